package schedule

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// eager is a scheduler that wants to be called again at once, a few times.
type eager struct {
	routing.Scheduler
	calls int
}

func (e *eager) Advance(time.Time) []routing.Action { e.calls++; return nil }

func (e *eager) NextWake(now time.Time) time.Time {
	if e.calls%100 == 0 {
		return time.Time{}
	}
	return now
}

// Schedulers that are due at once, side by side: no timer of theirs is due the
// moment it is set, which crashes the race detector of Go 1.26 in a synctest
// bubble.
func TestDueAtOnce(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		var runners sync.WaitGroup
		for range 8 {
			e := &eager{}
			r := New(e)
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

// teller has news after every second call.
type teller struct {
	eager
	news bool
}

func (t *teller) Advance(now time.Time) []routing.Action {
	t.news = !t.news
	return t.eager.Advance(now)
}

func (t *teller) News() bool { return t.news }

// Peers hear of news without anybody looking for it.
func TestNewsIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(&teller{eager: eager{calls: 99}})
		told := 0
		r.OnNews(func() { told++ })
		for call, want := range []int{1, 1, 2, 2, 3} {
			r.Do(func(routing.Scheduler, time.Time) {})
			if told != want {
				t.Fatalf("told %d times after call %d, not %d", told, call, want)
			}
		}
		r.Close()
	})
}
