package measure

import (
	"container/heap"
	"time"
)

// timeline is the event queue of one run. Events at equal times run in the order
// in which they were added.
type timeline struct {
	now     time.Duration
	lastSeq uint64
	events  eventHeap
}

type event struct {
	at     time.Duration
	seq    uint64
	action func()
}

// at schedules action at t, or now if t is in the past.
func (l *timeline) at(t time.Duration, action func()) {
	l.lastSeq++
	heap.Push(&l.events, event{at: max(t, l.now), seq: l.lastSeq, action: action})
}

// after schedules action at d from now.
func (l *timeline) after(d time.Duration, action func()) { l.at(l.now+d, action) }

// run executes the events up to and including the time end.
func (l *timeline) run(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.action()
	}
}

// wallTime converts virtual time to a time.Time for schedulers.
func wallTime(d time.Duration) time.Time { return time.Unix(0, 0).UTC().Add(d) }

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
