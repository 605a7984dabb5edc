// Package schedule runs a routing.Scheduler against the clock: it serialises
// calls, arms the timer that the scheduler asks for, and hands actions to the
// requests that wait for them.
package schedule

import (
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// Runner drives the scheduler of one service. It is safe for concurrent use.
type Runner struct {
	mu        sync.Mutex
	scheduler routing.Scheduler
	waiting   map[string]chan routing.Action
	timer     *time.Timer
	onNews    func()
}

// ActionBuffer is the room for the actions of one request: a Start and a Hedge.
const ActionBuffer = 2

// New returns a Runner of a scheduler that nobody else calls.
func New(s routing.Scheduler) *Runner {
	r := &Runner{scheduler: s, waiting: map[string]chan routing.Action{}}
	r.timer = time.AfterFunc(time.Hour, func() { r.Do(func(routing.Scheduler, time.Time) {}) })
	r.timer.Stop()
	return r
}

// OnNews makes the Runner call fn whenever the scheduler has something that
// peers should learn of at once (routing.NewsTeller). fn must not block or call
// the Runner. OnNews comes before any other call.
func (r *Runner) OnNews(fn func()) { r.onNews = fn }

// Do calls fn with the scheduler and delivers the actions that follow from it.
func (r *Runner) Do(fn func(s routing.Scheduler, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	fn(r.scheduler, now)
	for _, a := range r.scheduler.Advance(now) {
		if !r.deliver(a) && a.Kind != routing.Refuse {
			r.scheduler.Finished(now, a.Request.ID, a.Endpoint, routing.Canceled, 0)
		}
	}
	if t, ok := r.scheduler.(routing.NewsTeller); ok && r.onNews != nil && t.News() {
		r.onNews()
	}
	if wake := r.scheduler.NextWake(now); !wake.IsZero() {
		r.timer.Reset(max(time.Nanosecond, wake.Sub(now)))
	}
}

// deliver hands an action to the request that waits for it; it never blocks.
func (r *Runner) deliver(a routing.Action) bool {
	select {
	case r.waiting[a.Request.ID] <- a: // a request that does not wait has no channel
		return true
	default:
		return false
	}
}

// Submit hands in a request and returns the channel on which its actions come.
func (r *Runner) Submit(req *routing.Request) <-chan routing.Action {
	ch := make(chan routing.Action, ActionBuffer)
	r.Do(func(s routing.Scheduler, now time.Time) {
		r.waiting[req.ID] = ch
		s.Submit(now, req)
	})
	return ch
}

// Forget ends the interest in a request's actions. Actions that were
// delivered but not taken are given back to the scheduler.
func (r *Runner) Forget(id string, ch <-chan routing.Action) {
	r.Do(func(s routing.Scheduler, now time.Time) {
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

// Close stops the timer.
func (r *Runner) Close() { r.timer.Stop() }
