package schedule

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// immediateScheduler is due again immediately, except after every 100th call.
type immediateScheduler struct {
	routing.Scheduler
	calls int
}

func (s *immediateScheduler) Advance(time.Time) []routing.Action { s.calls++; return nil }

func (s *immediateScheduler) NextWake(now time.Time) time.Time {
	if s.calls%100 == 0 {
		return time.Time{}
	}
	return now
}

// With several schedulers due immediately, no timer is set to expire at the
// current time: in a synctest bubble that crashes the race detector of Go 1.26.
func TestTimersDueImmediately(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		var runners sync.WaitGroup
		for range 8 {
			s := &immediateScheduler{}
			r := New(s)
			runners.Go(func() {
				for range 300 {
					r.Do(func(routing.Scheduler, time.Time) {})
				}
			})
		}
		runners.Wait()
		synctest.Wait()
	})
}

// shareScheduler has load information to share after every second call.
type shareScheduler struct {
	immediateScheduler
	shareDue bool
}

func (s *shareScheduler) Advance(now time.Time) []routing.Action {
	s.shareDue = !s.shareDue
	return s.immediateScheduler.Advance(now)
}

func (s *shareScheduler) ShareDue() bool { return s.shareDue }

// The callback runs as soon as the scheduler has something to share.
func TestShareDueCallbackRunsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(&shareScheduler{immediateScheduler: immediateScheduler{calls: 99}})
		calls := 0
		r.OnShareDue(func() { calls++ })
		for call, want := range []int{1, 1, 2, 2, 3} {
			r.Do(func(routing.Scheduler, time.Time) {})
			if calls != want {
				t.Fatalf("callback ran %d times after call %d, want %d", calls, call, want)
			}
		}
		r.Close()
	})
}
