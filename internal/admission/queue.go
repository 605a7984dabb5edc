// Package admission decides what waits and what is refused: a bounded queue,
// fair by organisation and ordered by class, limits on what runs at an
// engine, and budgets of extra attempts. It holds state machines without I/O
// and without a clock of their own.
package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// Lookahead is how many waiting requests of one organisation are tried
	// before the next organisation's turn.
	Lookahead = 16
	// tryLimit bounds the tries of one call of Dispatch.
	tryLimit = 512
)

// Item is a waiting request.
type Item[T any] struct {
	ID           string
	Organisation string
	// Share is the organisation's weight, at least 1.
	Share    int
	Priority int
	// Deferrable items come after all others, whatever their priority.
	Deferrable bool
	// Work is the predicted work, in any unit that is the same for all items.
	Work float64
	// Queued is when the item came.
	Queued time.Time
	// Expires is when the item must be refused.
	Expires time.Time
	Value   T

	heapIndex int
	class     *class[T]
	flow      *flow[T]
}

// Queue holds waiting requests: classes in order of priority, within a class
// organisations by start-time fair queueing over their work, within an
// organisation in order of arrival, but an item that cannot start does not
// hold up the next ones.
type Queue[T any] struct {
	limit   int
	fair    bool
	byID    map[string]*Item[T]
	classes []*class[T]
	expiry  expiryHeap[T]
}

type class[T any] struct {
	priority   int
	deferrable bool
	flows      map[string]*flow[T]
	active     []*flow[T]
	virtual    float64
	items      int
}

type flow[T any] struct {
	organisation string
	share        float64
	finish       float64 // virtual time
	items        []*Item[T]
	work         float64
	tried        bool
}

// NewQueue returns a queue of at most limit items. Without fair, all
// organisations wait in one line.
func NewQueue[T any](limit int, fair bool) *Queue[T] {
	return &Queue[T]{limit: limit, fair: fair, byID: map[string]*Item[T]{}}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.byID) }

// Push adds an item and reports whether there was room.
func (q *Queue[T]) Push(it *Item[T]) bool {
	if len(q.byID) >= q.limit || q.byID[it.ID] != nil {
		return false
	}
	c := q.class(it)
	f := c.flow(q.flowName(it), it.Share)
	if len(f.items) == 0 {
		f.finish = max(f.finish, c.virtual)
		c.active = append(c.active, f)
	}
	f.items = append(f.items, it)
	f.work += it.Work
	c.items++
	it.class, it.flow = c, f
	q.byID[it.ID] = it
	heap.Push(&q.expiry, it)
	return true
}

// Remove takes an item out and reports whether it was there.
func (q *Queue[T]) Remove(id string) bool {
	it := q.byID[id]
	if it == nil {
		return false
	}
	q.drop(it)
	return true
}

// PopExpired returns an item that must be refused by now, nil when there is none.
func (q *Queue[T]) PopExpired(now time.Time) *Item[T] {
	if len(q.expiry) == 0 || q.expiry[0].Expires.After(now) {
		return nil
	}
	it := q.expiry[0]
	q.drop(it)
	return it
}

// NextExpiry returns when the next item expires, zero when the queue is empty.
func (q *Queue[T]) NextExpiry() time.Time {
	if len(q.expiry) == 0 {
		return time.Time{}
	}
	return q.expiry[0].Expires
}

// Charge accounts for work of an organisation that did not wait.
func (q *Queue[T]) Charge(it *Item[T]) {
	c := q.class(it)
	f := c.flow(q.flowName(it), it.Share)
	f.finish = max(f.finish, c.virtual) + it.Work/f.share
	if len(c.active) == 0 {
		c.virtual = f.finish - it.Work/f.share
	}
}

// Ahead returns the work that waits before an item would start, if it came
// now: the organisation's own, with the others' fair part beside it, and that
// of the classes before.
func (q *Queue[T]) Ahead(it *Item[T]) float64 {
	total := 0.0
	for _, c := range q.classes {
		switch {
		case before(c.deferrable, c.priority, it.Deferrable, it.Priority):
			total += c.work()
		case c.deferrable == it.Deferrable && c.priority == it.Priority:
			total += c.ahead(q.flowName(it), float64(max(1, it.Share)))
		}
	}
	return total
}

// Oldest returns when the item that has waited longest in the class came,
// zero when none waits.
func (q *Queue[T]) Oldest(deferrable bool, priority int) time.Time {
	var oldest time.Time
	for _, c := range q.classes {
		if c.deferrable != deferrable || c.priority != priority {
			continue
		}
		for _, f := range c.active {
			if at := f.items[0].Queued; oldest.IsZero() || at.Before(oldest) {
				oldest = at
			}
		}
	}
	return oldest
}

// Waiting reports whether any item waits that is not deferrable.
func (q *Queue[T]) Waiting() bool {
	for _, c := range q.classes {
		if c.items > 0 && !c.deferrable {
			return true
		}
	}
	return false
}

// Dispatch offers waiting items to start in their order; items that start
// leave the queue.
func (q *Queue[T]) Dispatch(start func(*Item[T]) bool) {
	tries := tryLimit
	for _, c := range q.classes {
		for _, f := range c.active {
			f.tried = false
		}
		for tries > 0 {
			f := c.next()
			if f == nil {
				break
			}
			tries -= q.offer(f, start)
		}
	}
}

// offer tries the first items of a flow and returns the number of tries.
func (q *Queue[T]) offer(f *flow[T], start func(*Item[T]) bool) int {
	n := min(Lookahead, len(f.items))
	for i := range n {
		it := f.items[i]
		if !start(it) {
			continue
		}
		it.class.virtual = max(it.class.virtual, f.finish)
		f.finish += it.Work / f.share
		q.drop(it)
		return i + 1
	}
	f.tried = true
	return n
}

func (q *Queue[T]) drop(it *Item[T]) {
	c, f := it.class, it.flow
	at := slices.Index(f.items, it)
	f.items = slices.Delete(f.items, at, at+1)
	f.work -= it.Work
	c.items--
	if len(f.items) == 0 {
		f.work = 0
		c.active = slices.DeleteFunc(c.active, func(g *flow[T]) bool { return g == f })
		c.forget()
	}
	delete(q.byID, it.ID)
	heap.Remove(&q.expiry, it.heapIndex)
}

func (q *Queue[T]) flowName(it *Item[T]) string {
	if q.fair {
		return it.Organisation
	}
	return ""
}

func (q *Queue[T]) class(it *Item[T]) *class[T] {
	for _, c := range q.classes {
		if c.priority == it.Priority && c.deferrable == it.Deferrable {
			return c
		}
	}
	c := &class[T]{priority: it.Priority, deferrable: it.Deferrable, flows: map[string]*flow[T]{}}
	q.classes = append(q.classes, c)
	slices.SortFunc(q.classes, func(a, b *class[T]) int {
		if before(a.deferrable, a.priority, b.deferrable, b.priority) {
			return -1
		}
		return 1
	})
	return c
}

func before(aDeferrable bool, aPriority int, bDeferrable bool, bPriority int) bool {
	if aDeferrable != bDeferrable {
		return bDeferrable
	}
	return aPriority > bPriority
}

func (c *class[T]) flow(name string, share int) *flow[T] {
	f := c.flows[name]
	if f == nil {
		f = &flow[T]{organisation: name}
		c.flows[name] = f
	}
	f.share = float64(max(1, share))
	return f
}

// next returns the flow whose turn it is among those not tried yet.
func (c *class[T]) next() *flow[T] {
	var best *flow[T]
	for _, f := range c.active {
		if f.tried {
			continue
		}
		if best == nil || cmp.Less(f.finish, best.finish) {
			best = f
		}
	}
	return best
}

func (c *class[T]) work() float64 {
	total := 0.0
	for _, f := range c.active {
		total += f.work
	}
	return total
}

// ahead returns the own work of a flow and what others may start beside it.
func (c *class[T]) ahead(name string, share float64) float64 {
	own := 0.0
	if f := c.flows[name]; f != nil {
		own = f.work
	}
	total := own
	for _, f := range c.active {
		if f.organisation != name {
			total += min(f.work, own*f.share/share)
		}
	}
	return total
}

// maxIdleFlows bounds the organisations remembered without waiting work.
const maxIdleFlows = 1024

// forget drops idle flows whose virtual time has passed.
func (c *class[T]) forget() {
	if len(c.flows) <= maxIdleFlows+len(c.active) {
		return
	}
	for name, f := range c.flows {
		if len(f.items) == 0 && f.finish <= c.virtual {
			delete(c.flows, name)
		}
	}
}

type expiryHeap[T any] []*Item[T]

func (h expiryHeap[T]) Len() int           { return len(h) }
func (h expiryHeap[T]) Less(i, j int) bool { return h[i].Expires.Before(h[j].Expires) }
func (h expiryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *expiryHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
