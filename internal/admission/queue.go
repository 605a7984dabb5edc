// Package admission provides admission control: a bounded queue, fair by
// organisation and ordered by class, concurrency limits per engine, and budgets of
// extra attempts. Its types are state machines without I/O and without a clock.
package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// MaxTriesPerTurn is how many waiting items of one organisation are tried before
	// the next organisation's turn.
	MaxTriesPerTurn = 16
	// maxTriesPerDispatch is the number of tries after which Dispatch returns.
	maxTriesPerDispatch = 512
)

// Item is a waiting request.
type Item[T any] struct {
	ID           string
	Organisation string
	// Share is the organisation's weight, at least 1.
	Share    int
	Priority int
	// Deferrable says that the item comes after all others, whatever its priority.
	Deferrable bool
	// Work is the predicted work, in the same unit for all items.
	Work float64
	// QueuedAt is when the item arrived.
	QueuedAt time.Time
	// ExpiresAt is when PopExpired returns the item if it is still waiting.
	ExpiresAt time.Time
	Value     T

	heapIndex int
	class     *class[T]
	flow      *flow[T]
}

// Queue holds waiting requests: classes in order of priority, within a class
// organisations by start-time fair queueing over their work, within an
// organisation in order of arrival unless Reorder is used. The first MaxTriesPerTurn items of an
// organisation are tried, so that one that cannot start does not block the others.
type Queue[T any] struct {
	maxItems int
	fair     bool
	byID     map[string]*Item[T]
	classes  []*class[T]
	expiry   expiryHeap[T]
	// reordered is set once items may wait in another order than that of arrival.
	reordered bool
}

// class holds the waiting items of one priority, deferrable or not, in a flow for
// each organisation; active lists the flows with items.
type class[T any] struct {
	priority    int
	deferrable  bool
	flows       map[string]*flow[T]
	active      []*flow[T]
	virtualTime float64
	itemCount   int
}

// flow holds the waiting items of one organisation in a class, and their work.
type flow[T any] struct {
	organisation string
	share        float64
	// virtualFinish is the virtual time at which the last started item finishes, or
	// at which the flow became active if that is later.
	virtualFinish float64
	items         []*Item[T]
	work          float64
	// blocked is true if Dispatch could start none of the first items.
	blocked bool
}

// NewQueue returns a queue of at most maxItems items. If fair is false, all
// organisations share one flow.
func NewQueue[T any](maxItems int, fair bool) *Queue[T] {
	return &Queue[T]{maxItems: maxItems, fair: fair, byID: map[string]*Item[T]{}}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.byID) }

// Push adds an item and reports whether it did: the queue may be full or hold an
// item with the same ID.
func (q *Queue[T]) Push(it *Item[T]) bool {
	if len(q.byID) >= q.maxItems || q.byID[it.ID] != nil {
		return false
	}
	c := q.class(it)
	f := c.flow(q.flowName(it), it.Share)
	if len(f.items) == 0 {
		f.virtualFinish = max(f.virtualFinish, c.virtualTime)
		c.active = append(c.active, f)
	}
	f.items = append(f.items, it)
	f.work += it.Work
	c.itemCount++
	it.class, it.flow = c, f
	q.byID[it.ID] = it
	heap.Push(&q.expiry, it)
	return true
}

// Remove removes an item and reports whether it was queued.
func (q *Queue[T]) Remove(id string) bool {
	it := q.byID[id]
	if it == nil {
		return false
	}
	q.drop(it)
	return true
}

// PopExpired removes and returns an item that has expired by now, nil if there is
// none.
func (q *Queue[T]) PopExpired(now time.Time) *Item[T] {
	if len(q.expiry) == 0 || q.expiry[0].ExpiresAt.After(now) {
		return nil
	}
	it := q.expiry[0]
	q.drop(it)
	return it
}

// NextExpiring returns the item that expires next, nil if the queue is empty.
func (q *Queue[T]) NextExpiring() *Item[T] {
	if len(q.expiry) == 0 {
		return nil
	}
	return q.expiry[0]
}

// Items returns the waiting items, in no particular order.
func (q *Queue[T]) Items() []*Item[T] { return slices.Clone(q.expiry) }

// Charge counts the work of an item that starts without waiting in the queue
// against its organisation.
func (q *Queue[T]) Charge(it *Item[T]) {
	c := q.class(it)
	f := c.flow(q.flowName(it), it.Share)
	f.virtualFinish = max(f.virtualFinish, c.virtualTime) + it.Work/f.share
	if len(c.active) == 0 {
		c.virtualTime = f.virtualFinish - it.Work/f.share
	}
}

// WorkAhead returns the waiting work that would start before an item that arrives
// now: that of its organisation, the fair part of the others in its class, and that
// of all classes that precede it.
func (q *Queue[T]) WorkAhead(it *Item[T]) float64 {
	total := 0.0
	for _, c := range q.classes {
		switch {
		case precedes(c.deferrable, c.priority, it.Deferrable, it.Priority):
			total += c.totalWork()
		case c.deferrable == it.Deferrable && c.priority == it.Priority:
			total += c.workAhead(q.flowName(it), float64(max(1, it.Share)))
		}
	}
	return total
}

// OldestArrival returns when the item that has waited longest in a class arrived,
// zero if none waits.
func (q *Queue[T]) OldestArrival(deferrable bool, priority int) time.Time {
	var oldest time.Time
	for _, c := range q.classes {
		if c.deferrable != deferrable || c.priority != priority {
			continue
		}
		for _, f := range c.active {
			candidates := f.items
			if !q.reordered {
				candidates = candidates[:1]
			}
			for _, it := range candidates {
				if at := it.QueuedAt; oldest.IsZero() || at.Before(oldest) {
					oldest = at
				}
			}
		}
	}
	return oldest
}

// Reorder sorts the waiting items of each organisation within a class. Items that compare
// as equal keep their order, and items pushed later come last until the next call.
func (q *Queue[T]) Reorder(compare func(a, b *Item[T]) int) {
	q.reordered = true
	for _, c := range q.classes {
		for _, f := range c.active {
			slices.SortStableFunc(f.items, compare)
		}
	}
}

// HasNonDeferrable reports whether an item waits that is not deferrable.
func (q *Queue[T]) HasNonDeferrable() bool {
	for _, c := range q.classes {
		if c.itemCount > 0 && !c.deferrable {
			return true
		}
	}
	return false
}

// Dispatch calls start with waiting items in their order and removes those for
// which it returns true.
func (q *Queue[T]) Dispatch(start func(*Item[T]) bool) {
	triesLeft := maxTriesPerDispatch
	for _, c := range q.classes {
		for _, f := range c.active {
			f.blocked = false
		}
		for triesLeft > 0 {
			f := c.next()
			if f == nil {
				break
			}
			triesLeft -= q.tryFlow(f, start)
		}
	}
}

// tryFlow tries the first items of a flow until one starts and returns the number
// of tries.
func (q *Queue[T]) tryFlow(f *flow[T], start func(*Item[T]) bool) int {
	n := min(MaxTriesPerTurn, len(f.items))
	for i := range n {
		it := f.items[i]
		if !start(it) {
			continue
		}
		it.class.virtualTime = max(it.class.virtualTime, f.virtualFinish)
		f.virtualFinish += it.Work / f.share
		q.drop(it)
		return i + 1
	}
	f.blocked = true
	return n
}

func (q *Queue[T]) drop(it *Item[T]) {
	c, f := it.class, it.flow
	at := slices.Index(f.items, it)
	f.items = slices.Delete(f.items, at, at+1)
	f.work -= it.Work
	c.itemCount--
	if len(f.items) == 0 {
		f.work = 0
		c.active = slices.DeleteFunc(c.active, func(g *flow[T]) bool { return g == f })
		c.evictIdleFlows()
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
		if precedes(a.deferrable, a.priority, b.deferrable, b.priority) {
			return -1
		}
		return 1
	})
	return c
}

func precedes(aDeferrable bool, aPriority int, bDeferrable bool, bPriority int) bool {
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

// next returns the flow with the lowest virtual finish time that is not blocked.
func (c *class[T]) next() *flow[T] {
	var best *flow[T]
	for _, f := range c.active {
		if f.blocked {
			continue
		}
		if best == nil || cmp.Less(f.virtualFinish, best.virtualFinish) {
			best = f
		}
	}
	return best
}

func (c *class[T]) totalWork() float64 {
	total := 0.0
	for _, f := range c.active {
		total += f.work
	}
	return total
}

// workAhead returns a flow's work plus the work that other flows may start meanwhile.
func (c *class[T]) workAhead(name string, share float64) float64 {
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

// maxIdleFlows is the number of flows without items that a class may keep before
// evictIdleFlows takes effect.
const maxIdleFlows = 1024

// evictIdleFlows deletes idle flows whose virtual finish time has passed.
func (c *class[T]) evictIdleFlows() {
	if len(c.flows) <= maxIdleFlows+len(c.active) {
		return
	}
	for name, f := range c.flows {
		if len(f.items) == 0 && f.virtualFinish <= c.virtualTime {
			delete(c.flows, name)
		}
	}
}

type expiryHeap[T any] []*Item[T]

func (h expiryHeap[T]) Len() int           { return len(h) }
func (h expiryHeap[T]) Less(i, j int) bool { return h[i].ExpiresAt.Before(h[j].ExpiresAt) }
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
