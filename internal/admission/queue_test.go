package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// listOracle is the reference for Queue: a list of the waiting items.
type listOracle struct{ items []*Item[int] }

func (o *listOracle) remove(id string) bool {
	n := len(o.items)
	o.items = slices.DeleteFunc(o.items, func(it *Item[int]) bool { return it.ID == id })
	return len(o.items) < n
}

// The queue holds the same items as a list: each leaves it once, by starting,
// removal or expiry, and items start in order.
func TestQueueMatchesList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 12
		q, o, now, next := NewQueue[int](limit, true), &listOracle{}, epoch, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := &Item[int]{
					ID: fmt.Sprint(next), Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Share: rapid.IntRange(1, 3).Draw(t, "share"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Deferrable: rapid.Bool().Draw(t, "deferrable"), Work: rapid.Float64Range(0.1, 9).Draw(t, "work"),
					QueuedAt: now, ExpiresAt: now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "wait")) * time.Second),
				}
				next++
				taken := q.Push(it)
				assert.Equal(t, taken, len(o.items) < limit)
				if taken {
					o.items = append(o.items, it)
				}
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, next).Draw(t, "id"))
				assert.Equal(t, q.Remove(id), o.remove(id))
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Second)
				for it := q.PopExpired(now); it != nil; it = q.PopExpired(now) {
					assert.Assert(t, !it.ExpiresAt.After(now))
					assert.Assert(t, o.remove(it.ID))
				}
				for _, it := range o.items {
					assert.Assert(t, it.ExpiresAt.After(now))
				}
			},
			"dispatch": func(t *rapid.T) {
				room := rapid.IntRange(0, 4).Draw(t, "room")
				q.Dispatch(func(it *Item[int]) bool {
					if room == 0 {
						return false
					}
					room--
					for _, other := range o.items {
						assert.Assert(t, !precedes(other.Deferrable, other.Priority, it.Deferrable, it.Priority))
						if other.Organisation == it.Organisation && other.Priority == it.Priority && other.Deferrable == it.Deferrable {
							assert.Assert(t, !other.QueuedAt.Before(it.QueuedAt))
						}
					}
					return assert.Check(t, o.remove(it.ID))
				})
				assert.Assert(t, room == 0 || len(o.items) == 0)
			},
			"": func(t *rapid.T) { assert.Equal(t, q.Len(), len(o.items)) },
		})
	})
}

// Two organisations that always have work waiting start work in proportion to
// their shares, up to one item each, whatever the size of their items.
func TestQueueFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 5.0
		shares := map[string]int{"a": rapid.IntRange(1, 4).Draw(t, "a"), "b": rapid.IntRange(1, 4).Draw(t, "b")}
		q, started, next := NewQueue[int](1000, true), map[string]float64{}, 0
		push := func(organisation string) {
			next++
			work := rapid.Float64Range(0.5, largest).Draw(t, "work")
			q.Push(&Item[int]{ID: fmt.Sprint(next), Organisation: organisation, Share: shares[organisation], Work: work, QueuedAt: epoch, ExpiresAt: epoch.Add(time.Hour)})
		}
		for range 4 {
			push("a")
			push("b")
		}
		for range 60 {
			mayStart := true
			var from string
			q.Dispatch(func(it *Item[int]) bool {
				if !mayStart {
					return false
				}
				mayStart, from = false, it.Organisation
				started[from] += it.Work
				return true
			})
			push(from)
			gap := started["a"]/float64(shares["a"]) - started["b"]/float64(shares["b"])
			assert.Assert(t, gap <= 2*largest && gap >= -2*largest, "gap %v", gap)
		}
	})
}

// A budget never allows more attempts than its initial ones plus its percentage of
// requests, and none if the percentage is zero.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 30).Draw(t, "percent")
		initial := rapid.IntRange(0, budgetBurst).Draw(t, "initial")
		b, credited, taken := NewBudget(percent, initial), 0, 0
		if percent == 0 {
			initial = 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"earn": func(*rapid.T) {
				b.Credit()
				credited++
			},
			"take": func(t *rapid.T) {
				if b.Take() {
					taken++
				}
				assert.Assert(t, float64(taken) <= float64(initial)+float64(credited*percent)/100+1e-6)
			},
		})
	})
}

// A limit is at least one, at most the slots left by others or the fair share, and
// recovers after rejections.
func TestLimit(t *testing.T) {
	var l Limit
	assert.Equal(t, l.Allowed(16, 4, -1), 4)
	assert.Equal(t, l.Allowed(16, 4, 2), 14)
	assert.Equal(t, l.Allowed(16, 4, 20), 4)
	l.Rejected(epoch, false)
	l.Rejected(epoch, false)
	assert.Equal(t, l.Allowed(16, 4, 0), 11)
	for i := range 100 {
		l.Rejected(epoch.Add(time.Duration(i)*time.Second), false)
	}
	assert.Equal(t, l.Allowed(16, 4, -1), 1)
	for range 100 {
		l.Completed()
	}
	assert.Equal(t, l.Allowed(16, 4, 0), 16)
}

// Guards against daemons that outnumber an engine's slots sending on to it after it
// rejected their only request.
func TestLimitPausesAfterRejections(t *testing.T) {
	var l Limit
	l.Rejected(epoch, false)
	assert.Assert(t, !l.Paused(epoch))
	at := epoch
	for _, pause := range []time.Duration{minPause, 2 * minPause, 4 * minPause, 8 * minPause, maxPause, maxPause} {
		l.Rejected(at, true)
		assert.Assert(t, l.Paused(at.Add(pause-1)))
		assert.Assert(t, !l.Paused(at.Add(pause)))
		at = at.Add(pause)
	}
	l.Completed()
	l.Rejected(at, true)
	assert.Assert(t, !l.Paused(at.Add(minPause)))
}
