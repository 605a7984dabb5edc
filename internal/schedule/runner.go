// Package schedule runs a routing.Scheduler in real time: it serialises calls,
// sets the timer for the scheduler's next wake-up, and delivers actions to the
// requests that wait for them.
package schedule

import (
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// Runner drives the scheduler of one service. It is safe for concurrent use.
type Runner struct {
	mu             sync.Mutex
	scheduler      routing.Scheduler
	actionChannels map[string]chan routing.Action
	timer          *time.Timer
	onShareDue     func()
}

// MaxPendingActions is the greatest number of actions of one request that are
// delivered but not yet received: a Start and a Hedge.
const MaxPendingActions = 2

// New returns a Runner of s, which nothing else may call.
func New(s routing.Scheduler) *Runner {
	r := &Runner{scheduler: s, actionChannels: map[string]chan routing.Action{}}
	r.timer = time.AfterFunc(time.Hour, func() { r.Do(func(routing.Scheduler, time.Time) {}) })
	r.timer.Stop()
	return r
}

// OnShareDue sets fn to be called whenever the scheduler has load information that
// peers should get at once. fn must not block or call the Runner. Set it before
// any other call.
func (r *Runner) OnShareDue(fn func()) { r.onShareDue = fn }

// Do calls fn with the scheduler and delivers the resulting actions.
func (r *Runner) Do(fn func(s routing.Scheduler, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	fn(r.scheduler, now)
	for _, action := range r.scheduler.Advance(now) {
		if !r.deliver(action) && action.Kind != routing.Refuse {
			r.scheduler.Finished(now, action.Request.ID, action.Endpoint, routing.Canceled, 0)
		}
	}
	if notifier, ok := r.scheduler.(routing.ShareNotifier); ok && r.onShareDue != nil && notifier.ShareDue() {
		r.onShareDue()
	}
	if wake := r.scheduler.NextWake(now); !wake.IsZero() {
		r.timer.Reset(max(time.Nanosecond, wake.Sub(now)))
	}
}

// deliver sends an action to the request that waits for it, without blocking. It
// reports false when the action was not delivered.
func (r *Runner) deliver(action routing.Action) bool {
	select {
	case r.actionChannels[action.Request.ID] <- action: // a nil channel, of a request that does not wait, is never ready
		return true
	default:
		return false
	}
}

// Submit submits a request to the scheduler and returns the channel of its
// actions. The caller must end it with Forget.
func (r *Runner) Submit(req *routing.Request) <-chan routing.Action {
	ch := make(chan routing.Action, MaxPendingActions)
	r.Do(func(s routing.Scheduler, now time.Time) {
		r.actionChannels[req.ID] = ch
		s.Submit(now, req)
	})
	return ch
}

// Forget withdraws a request. Actions that were delivered but not received are
// reported to the scheduler as canceled.
func (r *Runner) Forget(id string, ch <-chan routing.Action) {
	r.Do(func(s routing.Scheduler, now time.Time) {
		delete(r.actionChannels, id)
		s.Withdraw(now, id)
		for {
			select {
			case action := <-ch:
				if action.Kind != routing.Refuse {
					s.Finished(now, id, action.Endpoint, routing.Canceled, 0)
				}
			default:
				return
			}
		}
	})
}

// Close stops the timer.
func (r *Runner) Close() { r.timer.Stop() }
