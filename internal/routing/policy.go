package routing

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Policy is the product's Scheduler: a request goes to the least loaded of the
// few home engines of its prompt, or waits in arrival order until one has a
// free slot.
type Policy struct {
	settings  Settings
	daemons   int
	endpoints []Endpoint
	hashes    []uint64
	running   map[string]int
	queue     []*Request
	actions   []Action
}

// New returns a Policy.
func New(s Settings) *Policy {
	return &Policy{settings: s, daemons: 1, running: map[string]int{}}
}

var _ Scheduler = (*Policy)(nil)

// SetEndpoints implements Scheduler.
func (p *Policy) SetEndpoints(_ time.Time, endpoints []Endpoint) {
	p.endpoints = endpoints
	p.hashes = p.hashes[:0]
	for _, e := range endpoints {
		p.hashes = append(p.hashes, e.Hash)
	}
}

// SetPeers implements Scheduler.
func (p *Policy) SetPeers(_ time.Time, daemons int) { p.daemons = max(1, daemons) }

// Submit implements Scheduler.
func (p *Policy) Submit(_ time.Time, r *Request) { p.queue = append(p.queue, r) }

// Withdraw implements Scheduler.
func (p *Policy) Withdraw(_ time.Time, id string) {
	p.queue = slices.DeleteFunc(p.queue, func(r *Request) bool { return r.ID == id })
}

// FirstToken implements Scheduler.
func (p *Policy) FirstToken(time.Time, string, string, int) {}

// Finished implements Scheduler.
func (p *Policy) Finished(_ time.Time, _, endpoint string, _ Outcome, _ int) {
	p.running[endpoint]--
	if p.running[endpoint] <= 0 {
		delete(p.running, endpoint)
	}
}

// Report implements Scheduler.
func (p *Policy) Report(time.Time, LoadReport) {}

// Share implements Scheduler.
func (p *Policy) Share(time.Time) []PeerLoad { return nil }

// Learn implements Scheduler.
func (p *Policy) Learn(time.Time, string, []PeerLoad) {}

// Advance implements Scheduler.
func (p *Policy) Advance(time.Time) []Action {
	p.actions = p.actions[:0]
	p.queue = slices.DeleteFunc(p.queue, p.place)
	return p.actions
}

// NextWake implements Scheduler.
func (p *Policy) NextWake(time.Time) time.Time { return time.Time{} }

// place decides one request and reports whether it is decided.
func (p *Policy) place(r *Request) bool {
	var best *Endpoint
	served := false
	for _, i := range prefix.TopScores(nil, r.Chain.HomeKey(), p.hashes, len(p.hashes)) {
		e := &p.endpoints[i]
		if !slices.Contains(e.Weights, r.Weights) || slices.Contains(r.Avoid, e.ID) {
			continue
		}
		served = true
		if p.running[e.ID] >= e.Slots {
			continue
		}
		if best == nil || p.running[e.ID] < p.running[best.ID] {
			best = e
		}
	}
	switch {
	case !served:
		p.actions = append(p.actions, Action{Kind: Refuse, Request: r, Code: verdict.CodeNoUpstream, RetryAfter: time.Second})
		return true
	case best == nil:
		return false
	}
	p.running[best.ID]++
	p.actions = append(p.actions, Action{Kind: Start, Request: r, Endpoint: best.ID, Incarnation: best.Incarnation})
	return true
}
