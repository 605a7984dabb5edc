package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/admission"
	"github.com/verbenabend/verbenabend/internal/admission/triage"
)

const (
	// triageMinLoad is the fraction of the slots of a request's engines that must be known
	// to be taken before triage refuses a request that might be served.
	triageMinLoad = 0.5
	// replanInterval is the least time between two plans of a queue of more than
	// replanAlways requests; planning 4,096 requests takes about a millisecond.
	replanInterval = 25 * time.Millisecond
	replanAlways   = 64
	// congestedGoalFraction is the fraction of its goal that a request must have waited
	// before others are put behind or refused. It is a quarter of what a request may wait.
	congestedGoalFraction = 1.0 / 32
)

// TriageUser is implemented by a Scheduler that can delay and refuse the requests whose
// delay or refusal costs callers least.
type TriageUser interface {
	// SetTriage turns triage on or off. It applies to requests with a first-token goal
	// that are submitted from now on.
	SetTriage(now time.Time, on bool)
}

// TriageReason says why triage delayed or refused a request; empty if it did not.
type TriageReason string

// Reasons of delays.
const (
	// TriageBehind is a request that was put behind others in the queue.
	TriageBehind TriageReason = "behind"
	// TriageRanked is a request that the engine is told to serve after others of its kind.
	TriageRanked TriageReason = "ranked"
)

// Reasons of refusals.
const (
	// TriageUnreachable is a request that cannot meet its deadline.
	TriageUnreachable TriageReason = "unreachable"
	// TriageLeastLoss is a request whose refusal costs least of those that do not fit.
	TriageLeastLoss TriageReason = "least-loss"
	// TriageWaited is a request that no engine took within its allowed wait.
	TriageWaited TriageReason = "waited"
)

// triageState is a Policy's state of triage.
type triageState struct {
	guard     *triage.Guard
	returns   triage.Returns
	plannedAt time.Time
	waiting   []*triage.Waiting
	refuse    map[*triage.Waiting]bool
	// started measures the work that starts, by priority.
	started map[int]*dispatchRate
	load    triage.Load
	ramp    triage.Ramp
}

// measure updates the load.
func (t *triageState) measure(now time.Time) {
	for priority, rate := range t.started {
		t.load.Rates[priority] = rate.perSecond(now)
	}
}

// capacity returns the work of a kind that could start per second, 0 if that is not known.
func (t *triageState) capacity(now time.Time, priority int) float64 {
	t.measure(now)
	return t.load.Capacity(priority)
}

// SetTriage implements TriageUser.
func (p *Policy) SetTriage(now time.Time, on bool) {
	p.setNow(now)
	switch {
	case on && p.triage == nil:
		p.triage = &triageState{guard: triage.NewGuard(), refuse: map[*triage.Waiting]bool{}, started: map[int]*dispatchRate{}, load: triage.Load{Rates: map[int]float64{}, Congested: map[int]bool{}}}
	case !on:
		p.triage = nil
	}
}

// triageRequest describes a request for triage, nil where that is off.
func (p *Policy) triageRequest(now time.Time, r *Request, work float64, expires time.Time) *triage.Waiting {
	if p.triage == nil || r.FirstTokenGoal <= 0 {
		return nil
	}
	received := r.ReceivedAt
	if r.ReceivedAt.IsZero() || r.ReceivedAt.After(now) {
		received = now
	}
	w := &triage.Waiting{Request: triage.Request{
		Kind: r.Class.Name, Priority: r.Class.Priority, Organisation: r.Organisation, Size: float64(r.PromptTokens + r.MaxOutputTokens),
		SubmittedAt: now, ArrivedAt: received, Goal: received.Add(r.FirstTokenGoal), Deadline: r.Deadline, WaitsUntil: expires,
		FirstByte: p.leastFirstToken(r), Work: work, Restarted: r.PreviousAttempts > 0 || r.Resumed,
	}}
	if r.PreviousAttempts == 0 {
		p.triage.guard.Offer(&w.Request)
	}
	return w
}

// leastFirstToken predicts the time to first token at an idle engine that holds all shared
// parts of the prompt; 0 before responses were observed.
func (p *Policy) leastFirstToken(r *Request) time.Duration {
	if p.responseStats.serviceTime.weight == 0 {
		return 0
	}
	return p.speed.FirstToken(max(0, float64(r.PromptTokens)-sharedTokens(r)))
}

// refuseUnreachable refuses a new request that cannot meet its deadline, and reports
// whether it did.
func (p *Policy) refuseUnreachable(now time.Time, it *admission.Item[*queuedRequest]) bool {
	w := it.Value.triage
	if p.triage == nil || w == nil || !w.Unreachable(now) {
		return false
	}
	p.refuseTriaged(it, TriageUnreachable)
	return true
}

// planQueue orders the queue and, when a request has arrived, refuses those that do not fit: a
// prediction that is made again and again refuses ever more. Without triage it does nothing.
func (p *Policy) planQueue(now time.Time, arrived bool) {
	t := p.triage
	if t == nil || p.queue.Len() == 0 || p.queue.Len() > replanAlways && now.Sub(t.plannedAt) < replanInterval {
		return
	}
	t.plannedAt = now
	items := p.queue.Items()
	t.waiting = t.waiting[:0]
	for _, it := range items {
		if w := it.Value.triage; w != nil {
			t.waiting = append(t.waiting, w)
		}
	}
	t.findCongested(now)
	t.load.MayRefuse = arrived && p.isBusy()
	t.measure(now)
	clear(t.refuse)
	for _, w := range triage.Plan(now, &t.load, t.waiting, t.guard) {
		t.refuse[w] = true
	}
	for _, it := range items {
		w := it.Value.triage
		if w == nil || !t.refuse[w] {
			continue
		}
		p.queue.Remove(it.ID)
		reason := TriageLeastLoss
		if w.Stage == triage.Lost {
			reason = TriageUnreachable
		}
		p.refuseTriaged(it, reason)
	}
	clear(t.refuse)
	p.queue.Reorder(func(a, b *admission.Item[*queuedRequest]) int {
		wa, wb := a.Value.triage, b.Value.triage
		if wa == nil || wb == nil {
			return a.QueuedAt.Compare(b.QueuedAt)
		}
		return triage.Compare(wa, wb)
	})
}

// findCongested notes the priorities of which some request has waited for a good part of
// its goal.
func (t *triageState) findCongested(now time.Time) {
	clear(t.load.Congested)
	for _, w := range t.waiting {
		if now.Sub(w.SubmittedAt) >= time.Duration(congestedGoalFraction*float64(w.Goal.Sub(w.ArrivedAt))) {
			t.load.Congested[w.Priority] = true
		}
	}
}

// isBusy reports whether most of the slots are known to be taken. In large fleets the
// figures are those that engines reported within the last second, so that it errs on
// the side of no refusal.
func (p *Policy) isBusy() bool {
	taken := 0
	for _, e := range p.engines {
		taken += min(p.takenSlots(e), e.ep.Slots)
	}
	return p.totalSlots > 0 && float64(taken) >= triageMinLoad*float64(p.totalSlots)
}

// daemonsUnknownTime is how long after its start a daemon that knows no others is assumed to
// be one of as many as there are engines.
const daemonsUnknownTime = time.Second

// heldByRamp reports whether a long prompt waits for its turn after a start of the daemon.
// Callers that lost their responses return within their deadlines; until then all daemons
// together send no more long prompts than engines prefill, unless engines have responded
// and none reports that requests wait there.
func (p *Policy) heldByRamp(now time.Time, w *queuedRequest, uncachedTokens float64) bool {
	if p.triage == nil || w.triage == nil || w.triage.Deadline.IsZero() || w.request.PromptTokens < longPromptTokens {
		return false
	}
	age := now.Sub(p.startedAt)
	if age >= w.triage.Deadline.Sub(w.triage.SubmittedAt) {
		return false
	}
	known, waiting := false, false
	for _, e := range p.engines {
		known = known || !e.report.At.IsZero()
		waiting = waiting || p.reportsWaiting(now, e)
	}
	if known && !waiting {
		return false // an ordinary start
	}
	daemons := p.daemonCount
	if daemons == 1 && age < daemonsUnknownTime {
		daemons = len(p.engines)
	}
	perSecond := p.speed.TokensIn(time.Second) * float64(len(p.engines)) / float64(max(1, daemons))
	return !p.triage.ramp.Take(now, uncachedTokens, perSecond)
}

func (p *Policy) refuseTriaged(it *admission.Item[*queuedRequest], reason TriageReason) {
	p.refuseItem(it, defaultRetryAfter)
	p.actions[len(p.actions)-1].Triage = reason
}

// completeRefusal completes the refusal of a request that triage knows: it returns when
// the work before it is predicted to have started.
func (p *Policy) completeRefusal(it *admission.Item[*queuedRequest], a *Action) {
	w := it.Value.triage
	if p.triage == nil || w == nil {
		return
	}
	if !p.now.Before(it.ExpiresAt) {
		a.Triage = TriageWaited
	}
	if !w.Refused {
		w.Refused = true
		p.triage.guard.Refused(&w.Request)
	}
	if a.RetryAfter != defaultRetryAfter {
		return // the time at which an engine takes requests again is known
	}
	if after, ok := p.triage.returns.RetryAfter(p.now, &w.Request, p.queue.WorkAhead(it), p.triage.capacity(p.now, w.Priority)); ok {
		a.RetryAfter, a.Paced = max(after, minRetryAfter), true
	}
}

// completeStart sets the rank of an attempt and says whether triage delayed it.
func (p *Policy) completeStart(now time.Time, f *inFlight, at *attempt, a *Action) {
	w := f.triage
	if p.triage == nil || w == nil {
		return
	}
	rate := p.triage.started[w.Priority]
	if rate == nil {
		rate = &dispatchRate{}
		p.triage.started[w.Priority] = rate
	}
	rate.add(now, w.Work)
	if w.Stage == triage.Late {
		a.Triage = TriageBehind
	}
	contended := p.takenSlots(at.engine) > at.engine.ep.Slots || p.reportsWaiting(now, at.engine)
	r := w.Request
	r.FirstByte = at.expectedFirstToken
	r.Run = at.expectedFirstToken + time.Duration(f.demand.slotSeconds*float64(time.Second))
	r.Work = r.Run.Seconds()
	at.rank = p.triage.guard.Rank(now, &r, contended)
	if a.Rank = at.rank; a.Rank > 0 && a.Triage == "" {
		a.Triage = TriageRanked
	}
}

// observeFirstToken records the first token of an attempt.
func (p *Policy) observeFirstToken(now time.Time, f *inFlight, at *attempt) {
	if p.triage != nil && f != nil && f.triage != nil {
		p.triage.guard.ObserveFirstByte(now, &f.triage.Request, at.rank)
	}
}

// observeEnd records the end of an attempt that may have waited in vain.
func (p *Policy) observeEnd(f *inFlight, at *attempt, outcome Outcome) {
	if p.triage != nil && f.triage != nil && !at.gotFirstToken && outcome == Canceled {
		p.triage.guard.ObserveMissed(&f.triage.Request, at.rank)
	}
}

// reportsWaiting reports whether the engine's last report, if recent, names requests that
// wait there.
func (p *Policy) reportsWaiting(now time.Time, e *engine) bool {
	return e.report.Queued > 0 && now.Sub(e.report.At) < reportedRequestsMaxAge
}
