package measure

import (
	"container/heap"
	"time"
)

// timeline is the event heap of one run. Events at equal times happen in the
// order in which they were added.
type timeline struct {
	now    time.Duration
	next   uint64
	events eventHeap
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// at schedules do; a time in the past means now.
func (l *timeline) at(t time.Duration, do func()) {
	l.next++
	heap.Push(&l.events, event{at: max(t, l.now), seq: l.next, do: do})
}

// after schedules do in d from now.
func (l *timeline) after(d time.Duration, do func()) { l.at(l.now+d, do) }

// run executes events until none is left or the time end is reached.
func (l *timeline) run(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
	}
}

// wall converts virtual time to the time.Time that schedulers take.
func wall(d time.Duration) time.Time { return time.Unix(0, 0).UTC().Add(d) }

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
