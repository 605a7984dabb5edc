package dispatch

import (
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// runner drives the scheduler of one service: it serialises calls, arms the
// timer that the scheduler asks for, and hands actions to waiting requests.
type runner struct {
	mu        sync.Mutex
	scheduler routing.Scheduler
	waiting   map[string]chan routing.Action
	timer     *time.Timer
}

// actionBuffer holds a Start and a Hedge.
const actionBuffer = 2

func newRunner(s routing.Scheduler) *runner {
	r := &runner{scheduler: s, waiting: map[string]chan routing.Action{}}
	r.timer = time.AfterFunc(time.Hour, func() { r.do(func(routing.Scheduler, time.Time) {}) })
	r.timer.Stop()
	return r
}

// do calls fn with the scheduler and delivers the actions that follow from it.
func (r *runner) do(fn func(s routing.Scheduler, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	fn(r.scheduler, now)
	for _, a := range r.scheduler.Advance(now) {
		if !r.deliver(a) && a.Kind != routing.Refuse {
			r.scheduler.Finished(now, a.Request.ID, a.Endpoint, routing.Canceled, 0)
		}
	}
	if wake := r.scheduler.NextWake(now); !wake.IsZero() {
		r.timer.Reset(max(0, wake.Sub(now)))
	}
}

// deliver hands an action to the request that waits for it; it never blocks.
func (r *runner) deliver(a routing.Action) bool {
	select {
	case r.waiting[a.Request.ID] <- a: // a request that does not wait has no channel
		return true
	default:
		return false
	}
}

// submit hands in a request and returns the channel on which its actions come.
func (r *runner) submit(req *routing.Request) <-chan routing.Action {
	ch := make(chan routing.Action, actionBuffer)
	r.do(func(s routing.Scheduler, now time.Time) {
		r.waiting[req.ID] = ch
		s.Submit(now, req)
	})
	return ch
}

// forget ends the interest in a request's actions. Actions that were
// delivered but not taken are given back to the scheduler.
func (r *runner) forget(id string, ch <-chan routing.Action) {
	r.do(func(s routing.Scheduler, now time.Time) {
		delete(r.waiting, id)
		s.Withdraw(now, id)
		for {
			select {
			case a := <-ch:
				if a.Kind != routing.Refuse {
					s.Finished(now, id, a.Endpoint, routing.Canceled, 0)
				}
			default:
				return
			}
		}
	})
}

func (r *runner) close() { r.timer.Stop() }
