// Package triage decides which requests of a service wait and which are refused when
// the predicted work does not fit, so that the delay or the refusal costs callers least.
// Its types are state machines without I/O and without a clock.
package triage

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Request describes a request. Times that are zero are not known.
type Request struct {
	// Kind names the kind of request, such as its route. Those of a higher Priority are
	// more urgent.
	Kind         string
	Priority     int
	Organisation string
	// Size compares requests of one kind, such as the number of their tokens.
	Size float64
	// ArrivedAt is when the caller sent the request, SubmittedAt when it began to wait.
	ArrivedAt   time.Time
	SubmittedAt time.Time
	// Goal and Deadline are when the first byte of the response should and must arrive.
	Goal     time.Time
	Deadline time.Time
	// WaitsUntil is when the request is refused if it has not started.
	WaitsUntil time.Time
	// FirstByte is the predicted time from the start to the first byte, Run the
	// predicted time to the end of the response.
	FirstByte time.Duration
	Run       time.Duration
	// Work is the predicted engine time in seconds.
	Work float64
	// Restarted says that engines have worked on the request before.
	Restarted bool
}

// Stage is the best outcome that a waiting request can still have.
type Stage int8

const (
	// OnTime requests can meet their goal.
	OnTime Stage = iota
	// Late requests can meet their deadline only.
	Late
	// Lost requests can meet neither.
	Lost
)

const (
	// lateValue is the value of a late response in units of one on time. Callers state
	// between a fifth and three quarters.
	lateValue = 0.5
	// refusalSafety divides a predicted time before it leads to a refusal: a late
	// response has most of its value, a refusal none.
	refusalSafety = 2
)

// Waiting is a request that waits to be started.
type Waiting struct {
	Request
	// Stage is set by Plan. A request that was put behind others keeps its stage: it
	// may have missed its goal because of that.
	Stage Stage
	// Refused is set once the Guard has counted the refusal of the request.
	Refused bool
	// owed is set while the request's size or organisation is served too seldom.
	owed bool
	// planned is set once Plan had the figures to place the request.
	planned bool
}

// LatestStart returns when the request must start for the best outcome of its stage; ok is
// false if any time is as good.
func (w *Waiting) LatestStart() (at time.Time, ok bool) {
	by := w.Deadline
	if w.Stage == OnTime && !w.Goal.IsZero() {
		by = w.Goal
	}
	at, ok = by.Add(-w.FirstByte), !by.IsZero()
	if end := w.WaitsUntil; !end.IsZero() && (!ok || end.Before(at)) {
		return end, true
	}
	return at, ok
}

// missesGoal reports whether the request cannot meet its goal any longer.
func (w *Waiting) missesGoal(now time.Time) bool {
	return !w.Goal.IsZero() && now.Add(w.FirstByte).After(w.Goal)
}

// Unreachable reports whether the request cannot meet its deadline even if it starts at
// once.
func (r *Request) Unreachable(now time.Time) bool {
	return !r.Deadline.IsZero() && now.Add(r.FirstByte/refusalSafety).After(r.Deadline)
}

// lossPerSecond returns the value that is lost per second of engine time that a refusal
// or a delay of the request frees.
func (w *Waiting) lossPerSecond() float64 {
	value := 1.0
	if w.Stage != OnTime {
		value = lateValue
	}
	return value / max(w.Work, minWork)
}

// minWork, in seconds, bounds the loss per second of requests without predicted work.
const minWork = 1e-3

// Compare orders the requests of one kind: those whose size or organisation is served too
// seldom, then those that can meet their goal first, then by
// their latest start, then by arrival. The latest start of a request that waits stays the
// same while that of new ones moves on, so that none waits for ever.
func Compare(a, b *Waiting) int {
	if !a.planned || !b.planned {
		return a.ArrivedAt.Compare(b.ArrivedAt)
	}
	if a.owed != b.owed {
		if a.owed {
			return -1
		}
		return 1
	}
	startA, hasA := a.LatestStart()
	startB, hasB := b.LatestStart()
	byStart := 0
	switch {
	case hasA && hasB:
		byStart = startA.Compare(startB)
	case hasA:
		byStart = -1
	case hasB:
		byStart = 1
	}
	return cmp.Or(cmp.Compare(a.Stage, b.Stage), byStart, a.ArrivedAt.Compare(b.ArrivedAt))
}

// Load describes what engines take of a service's requests.
type Load struct {
	// Rates is the work in seconds that starts per second, by priority. A kind without a
	// rate waits in order of arrival.
	Rates map[int]float64
	// Congested holds the priorities of which requests have waited for a good part of their
	// goal: only then do the rates tell what engines can take, and requests of that kind are
	// put behind others.
	Congested map[int]bool
	// MayRefuse allows the refusal of requests that could be served if others were not.
	MayRefuse bool
}

// Capacity returns how much work of a kind could start per second: less urgent kinds give
// way to it.
func (l *Load) Capacity(priority int) float64 {
	if l.Rates[priority] <= 0 {
		return 0
	}
	total := 0.0
	for other, rate := range l.Rates {
		if other <= priority {
			total += rate
		}
	}
	return total
}

// Plan sets the stages of all waiting requests of a service and returns those to refuse.
//
// Kinds are planned in order of priority. Within a kind requests start in order of their
// latest start for the goal. Whenever one would miss its goal, the request that loses the
// least value per second of work among those planned so far is put behind the others
// (the algorithm of Moore and Hodgson, which leaves the fewest late). Those put behind are
// planned in the same way for their deadlines, and refused instead, within the bounds of
// guard.
func Plan(now time.Time, load *Load, waiting []*Waiting, guard *Guard) (refuse []*Waiting) {
	byKind := map[int][]*Waiting{}
	var kinds []int
	for _, w := range waiting {
		if w.Unreachable(now) {
			w.Stage = Lost
			refuse = append(refuse, w)
			continue
		}
		if byKind[w.Priority] == nil {
			kinds = append(kinds, w.Priority)
		}
		byKind[w.Priority] = append(byKind[w.Priority], w)
	}
	slices.SortFunc(kinds, func(a, b int) int { return cmp.Compare(b, a) })
	start := now
	for _, kind := range kinds {
		s := schedule{start: start, rate: load.Capacity(kind), safety: 1}
		var onTime, late []*Waiting
		for _, w := range byKind[kind] {
			w.planned, w.owed = s.rate > 0, guard.Owed(&w.Request)
			if w.missesGoal(now) {
				w.Stage = Late
			}
			if w.Stage == OnTime {
				onTime = append(onTime, w)
			} else {
				late = append(late, w)
			}
		}
		if s.rate <= 0 {
			continue
		}
		for _, w := range s.fill(onTime, func(w *Waiting) bool { return load.Congested[w.Priority] && !w.owed }) {
			w.Stage = Late
			late = append(late, w)
		}
		s.safety, s.planned = refusalSafety, nil
		refuse = append(refuse, s.fill(late, func(w *Waiting) bool {
			w.Refused = load.Congested[w.Priority] && load.MayRefuse && guard.Refuse(&w.Request)
			return w.Refused
		})...)
		start = start.Add(seconds(s.ahead / s.rate))
	}
	return refuse
}

// schedule is a sequence of requests that start one after the other.
type schedule struct {
	start time.Time
	// rate is the work that starts per second, ahead the work before the next request,
	// in seconds.
	rate, ahead float64
	// safety divides predicted waits from start on.
	safety  float64
	planned lossHeap
}

// fill plans requests in order of their latest start and returns those that drop allowed
// to be taken out, because a request would have missed its latest start. drop is called
// at most once for each request.
func (s *schedule) fill(list []*Waiting, drop func(*Waiting) bool) (dropped []*Waiting) {
	slices.SortStableFunc(list, Compare)
	for _, w := range list {
		latest, bounded := w.LatestStart()
		heap.Push(&s.planned, w)
		s.ahead += w.Work
		for bounded && s.startAfter(s.ahead-w.Work).After(latest) && len(s.planned) > 0 {
			least := heap.Pop(&s.planned).(*Waiting)
			if !drop(least) {
				continue // it stays in the sequence
			}
			s.ahead -= least.Work
			dropped = append(dropped, least)
			if least == w {
				break
			}
		}
	}
	return dropped
}

func (s *schedule) startAfter(work float64) time.Time {
	return s.start.Add(seconds(work / s.rate / s.safety))
}

// maxWaitSeconds keeps predicted waits within the range of a time.Duration.
const maxWaitSeconds = 1e6

// lossHeap holds requests, the one with the least loss per second first, of several the
// newest.
type lossHeap []*Waiting

func (h lossHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h lossHeap) Less(i, j int) bool {
	a, b := h[i].lossPerSecond(), h[j].lossPerSecond()
	return a < b || a == b && h[i].ArrivedAt.After(h[j].ArrivedAt)
}

// Swap implements heap.Interface.
func (h lossHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *lossHeap) Push(x any) { *h = append(*h, x.(*Waiting)) }

// Pop implements heap.Interface.
func (h *lossHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
