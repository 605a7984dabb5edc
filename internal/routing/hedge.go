package routing

import (
	"container/heap"
	"time"
)

const (
	// minHedgeDelay is the least time before a request is hedged.
	minHedgeDelay = 250 * time.Millisecond
	// hedgeDelayFactor is how many times its predicted time to first token an
	// attempt must wait before it is hedged.
	hedgeDelayFactor = 2.5
	// hedgeRetryInterval is the time to the next try when no hedge could start.
	hedgeRetryInterval = 100 * time.Millisecond
	// maxHedgeLoad is the load of the fleet above which nothing is hedged.
	maxHedgeLoad = 0.9
)

// hedgeTimer is the time at which an attempt is hedged if it still has no first token.
type hedgeTimer struct {
	at       time.Time
	inFlight *inFlight
	attempt  *attempt
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

// scheduleHedge sets the time at which an attempt may be hedged. Prompts that
// take longer to compute are hedged later.
func (p *Policy) scheduleHedge(f *inFlight, a *attempt) {
	if !p.rules.hedges || !f.request.Repeatable || f.request.Class.Deferrable || f.request.Isolated {
		return
	}
	delay := max(minHedgeDelay, time.Duration(hedgeDelayFactor*float64(a.expectedFirstToken))) + a.roundTripDelay
	heap.Push(&p.hedges, hedgeTimer{at: a.sentAt.Add(delay), inFlight: f, attempt: a})
}

// hedge starts the hedges that are due.
func (p *Policy) hedge(now time.Time) {
	for len(p.hedges) > 0 && !p.hedges[0].at.After(now) {
		t := heap.Pop(&p.hedges).(hedgeTimer)
		if t.inFlight.hedged || len(t.inFlight.attempts) != 1 || t.inFlight.attempts[0] != t.attempt || t.inFlight.gotFirstToken() {
			continue
		}
		if !p.tryHedge(now, t.inFlight, t.attempt) {
			heap.Push(&p.hedges, hedgeTimer{at: now.Add(hedgeRetryInterval), inFlight: t.inFlight, attempt: t.attempt})
		}
	}
}

// tryHedge starts a hedged attempt if its first token is predicted before that of
// the first attempt, which is assumed to wait as long again as it has waited, and
// reports whether it did.
func (p *Policy) tryHedge(now time.Time, f *inFlight, a *attempt) bool {
	if p.load() > maxHedgeLoad {
		return false
	}
	c := p.choose(now, f.request, p.homes(now, f.request), &f.demand, a.engine)
	if c.engine == nil || c.candidate.FirstToken() > now.Sub(a.sentAt) || !p.hedgeBudget.Take() {
		return false
	}
	f.hedged = true
	p.start(now, f, c, Hedge)
	return true
}
