package routing

import (
	"container/heap"
	"time"
)

const (
	// hedgeMin is the least time before a second copy.
	hedgeMin = 250 * time.Millisecond
	// hedgeFactor is how many times its prediction an attempt must wait.
	hedgeFactor = 2.5
	// hedgePause is the time to the next look when no engine was better.
	hedgePause = 100 * time.Millisecond
	// hedgeLoad is the fleet's load above which nothing is hedged.
	hedgeLoad = 0.9
)

// hedgeTimer is a time to look at an unanswered attempt.
type hedgeTimer struct {
	at time.Time
	f  *flight
	a  *attempt
}

type hedgeHeap []hedgeTimer

// Len implements heap.Interface.
func (h hedgeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h hedgeHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h hedgeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *hedgeHeap) Push(x any) { *h = append(*h, x.(hedgeTimer)) }

// Pop implements heap.Interface.
func (h *hedgeHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = hedgeTimer{}
	*h = old[:len(old)-1]
	return t
}

// planHedge sets the time at which an attempt may be hedged. Prompts that
// take longer to compute are hedged later.
func (p *Policy) planHedge(f *flight, a *attempt) {
	if !p.rules.hedges || !f.request.Repeatable || f.request.Class.Deferrable || f.request.Alone {
		return
	}
	wait := max(hedgeMin, time.Duration(hedgeFactor*float64(a.expected))) + a.delay
	heap.Push(&p.hedges, hedgeTimer{at: a.sent.Add(wait), f: f, a: a})
}

// hedge starts the second copies that are due.
func (p *Policy) hedge(now time.Time) {
	for len(p.hedges) > 0 && !p.hedges[0].at.After(now) {
		t := heap.Pop(&p.hedges).(hedgeTimer)
		if t.f.hedged || len(t.f.attempts) != 1 || t.f.attempts[0] != t.a || t.f.answered() {
			continue
		}
		if !p.tryHedge(now, t.f, t.a) {
			heap.Push(&p.hedges, hedgeTimer{at: now.Add(hedgePause), f: t.f, a: t.a})
		}
	}
}

// tryHedge starts a second copy where it is predicted to answer sooner than
// the first: an attempt that has waited past its prediction is taken to wait
// as long again.
func (p *Policy) tryHedge(now time.Time, f *flight, a *attempt) bool {
	if p.load() > hedgeLoad {
		return false
	}
	c := p.choose(now, f.request, p.homes(now, f.request), &f.demand, a.engine)
	if c.engine == nil || c.candidate.FirstToken() > now.Sub(a.sent) || !p.hedgeBudget.Take() {
		return false
	}
	f.hedged = true
	p.start(now, f, c, Hedge)
	return true
}
