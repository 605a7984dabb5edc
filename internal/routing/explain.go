package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/admission"
	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Explanation says where a request would go now, and why.
type Explanation struct {
	// Candidates are the engines that were considered, in the order of the prompt's homes.
	Candidates []ExplainedCandidate
	// Endpoint is the engine that would get the request; empty if none takes it now.
	Endpoint string
	// Source is where the engine would fetch cached parts of the prompt from, empty for none.
	Source string
	// WaitsFor says that the request would wait in the daemon, although Endpoint would take it,
	// because an engine without room would serve it sooner.
	WaitsFor bool
	// Refusal is why the request would be refused at once; empty if it would not be.
	Refusal verdict.Code
	// RetryAfter is set with Refusal.
	RetryAfter time.Duration
	// State is the daemon's state as in the log lines of refusals; its wait is the longest that
	// the request may wait here.
	State Refusal
}

// ExplainedCandidate is an engine that was considered for a request.
type ExplainedCandidate struct {
	Endpoint, DataCentre string
	// Excluded is why the engine must not get the request; empty if it may.
	Excluded string
	// Room says that the engine takes the request now. Room and Reasons are set for engines
	// that are not excluded.
	Room    bool
	Reasons Reasons
}

// Explainer is implemented by a Scheduler that explains its decisions.
type Explainer interface {
	// Explain returns the decision on a request that is not submitted. It changes no later
	// decision.
	Explain(now time.Time, r *Request) Explanation
}

var _ Explainer = (*Policy)(nil)

// Explain implements Explainer.
func (p *Policy) Explain(now time.Time, r *Request) Explanation {
	p.setNow(now)
	wait := r.Class.MaxWait
	if wait <= 0 {
		wait = defaultMaxWait
	}
	x := Explanation{State: p.refusal(r, wait)}
	pool := p.pool(r)
	if pool == nil || len(pool.Members) == 0 {
		x.Refusal, x.RetryAfter = verdict.CodeNoUpstream, defaultRetryAfter
		return x
	}
	p.explanation = &x
	defer func() { p.explanation = nil }()
	d := demand{organisationHash: prefix.NodeHash(r.Organisation), slotSeconds: p.responseStats.predictOutputTokens(r) * p.responseStats.tokenLatency.valueOr(initialTokenLatency.Seconds())}
	c := p.choose(now, r, p.homes(now, r), &d, nil)
	it := &admission.Item[*queuedRequest]{
		ID: r.ID, Organisation: r.Organisation, Share: max(1, r.Share), Priority: r.Class.Priority, Deferrable: r.Class.Deferrable,
		Work: p.predictWork(r), QueuedAt: now, ExpiresAt: now.Add(wait), Value: &queuedRequest{request: r, engineGeneration: -1},
	}
	if c.engine != nil {
		x.Endpoint, x.Source, x.WaitsFor = c.engine.ep.ID, c.source, p.worthWaiting(now, it, c)
		if x.Source == "" {
			x.Source = c.presumedSource
		}
		return x
	}
	if r.OnlySoftware && !c.anyEligible {
		x.Refusal, x.RetryAfter = verdict.CodeNoUpstream, defaultRetryAfter
		return x
	}
	if after, late := p.predictLate(now, it); late && p.rules.earlyRefusal {
		x.Refusal, x.RetryAfter = verdict.CodeOverloaded, after
	}
	return x
}

// add records a candidate. A nil Explanation records nothing.
func (x *Explanation) add(e *engine, room bool, reasons Reasons) {
	if x != nil {
		x.Candidates = append(x.Candidates, ExplainedCandidate{Endpoint: e.ep.ID, DataCentre: e.ep.DataCentre, Room: room, Reasons: reasons})
	}
}

func (x *Explanation) addExcluded(e *engine, reason string) {
	if x != nil {
		x.Candidates = append(x.Candidates, ExplainedCandidate{Endpoint: e.ep.ID, DataCentre: e.ep.DataCentre, Excluded: reason})
	}
}

// exclusion says why an engine must not get a request, for people.
func (p *Policy) exclusion(now time.Time, e *engine, r *Request) string {
	switch {
	case p.explanation == nil:
		return ""
	case now.Before(e.heldOffUntil):
		return "it asks for no requests"
	case runsOtherSoftware(e, r):
		return "it runs another software version than the engine that began the stream"
	case p.rules.ejection && p.isEjected(now, e):
		return "it is ejected after failures"
	case p.lacksAllowance(now, e):
		return "its rate limit leaves no turn"
	case r.Isolated && e.ownIsolated > 0:
		return "it runs another isolated request"
	}
	return "it failed the request before"
}

// reasons returns the estimates for an engine. They are not needed unless a decision is explained.
func (p *Policy) reasons(e *engine, rank, homes int, cost float64, c *placement.Candidate, estimate *prefillEstimate) Reasons {
	if p.explanation == nil {
		return Reasons{}
	}
	return Reasons{
		Rank: rank, Homes: homes, HeldTokens: int(estimate.heldTokens), ComputeTokens: int(estimate.computeTokens), Wait: c.Wait + c.SlotWait,
		Cost: time.Duration(cost * float64(time.Second)), Slowdown: c.Slowdown, Running: p.takenSlots(e),
	}
}
