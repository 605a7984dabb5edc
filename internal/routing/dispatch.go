package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/admission"
	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// recheckPause is how soon waiting requests are tried again though no
	// slot was seen to come free.
	recheckPause = 100 * time.Millisecond
	// congestedPart is the part of a class's longest wait that the oldest
	// waiting request must have reached before others are refused early.
	congestedPart = 0.25
	// earlyPart is the part of the longest wait that a predicted wait may take.
	earlyPart = 0.8
	// patiencePart is the part of the longest wait for which a request waits
	// for a better home.
	patiencePart = 0.9
)

// dispatch starts what can start: requests that just came, and, when
// something changed, those that wait.
func (p *Policy) dispatch(now time.Time) {
	if p.dirty || !p.recheck.After(now) {
		p.dirty = false
		p.recheck = now.Add(recheckPause)
		p.queue.Dispatch(func(it *admission.Item[*waiting]) bool { return p.tryStart(now, it) })
	}
	for i, it := range p.fresh {
		p.arrive(now, it)
		p.fresh[i] = nil
	}
	p.fresh = p.fresh[:0]
}

// arrive starts, queues or refuses a request that just came.
func (p *Policy) arrive(now time.Time, it *admission.Item[*waiting]) {
	if p.tryStart(now, it) {
		p.queue.Charge(it)
		return
	}
	if p.rules.earlyRef {
		if wait, late := p.tooLate(now, it); late {
			p.refuseNow(it, wait)
			return
		}
	}
	if !p.queue.Push(it) {
		p.refuseNow(it, defaultRetryAfter)
	}
}

// tooLate predicts whether the request would not start in time.
func (p *Policy) tooLate(now time.Time, it *admission.Item[*waiting]) (time.Duration, bool) {
	oldest := p.queue.Oldest(it.Deferrable, it.Priority)
	allowed := it.Expires.Sub(now)
	if allowed <= 0 {
		return defaultRetryAfter, true
	}
	if oldest.IsZero() || now.Sub(oldest) < time.Duration(congestedPart*float64(allowed)) {
		return 0, false
	}
	rate := max(p.drain.rate(now), minDrain)
	wait := time.Duration(p.queue.Ahead(it) / rate * float64(time.Second))
	return wait, wait > time.Duration(earlyPart*float64(allowed))
}

// minDrain bounds the predicted wait, in work seconds a second.
const minDrain = 0.05

// tryStart starts a request if one of its homes has room.
func (p *Policy) tryStart(now time.Time, it *admission.Item[*waiting]) bool {
	w := it.Value
	if w.request.Class.Deferrable && p.rules.deferral && p.queue.Waiting() {
		return false
	}
	homes := p.itemHomes(now, w)
	c := p.choose(now, w.request, homes, &w.demand, nil)
	if c.engine == nil || p.waitsForBetter(now, it, c) {
		w.homes = append(w.homes[:0], homes...)
		w.generation = p.generation
		return false
	}
	f := p.flights[w.request.ID]
	if f == nil {
		f = &flight{request: w.request, demand: w.demand}
		p.flights[w.request.ID] = f
	}
	p.drain.started(now, it.Work)
	p.start(now, f, c, Start)
	return true
}

// itemHomes returns the homes of a request, which are computed again when the engines change.
func (p *Policy) itemHomes(now time.Time, w *waiting) []int {
	if w.generation == p.generation {
		return w.homes
	}
	return p.homes(now, w.request)
}

// waitsForBetter reports whether a home without room is worth waiting for.
func (p *Policy) waitsForBetter(now time.Time, it *admission.Item[*waiting], c choice) bool {
	if !p.rules.patience || c.busyCost >= c.cost {
		return false
	}
	patience := time.Duration(patiencePart * float64(it.Expires.Sub(it.Queued)))
	return now.Sub(it.Queued) < min(patience, time.Duration((c.cost-c.busyCost)*float64(time.Second)))
}

// start accounts for an attempt and adds its action.
func (p *Policy) start(now time.Time, f *flight, c choice, kind ActionKind) {
	e := c.engine
	a := &attempt{
		request: f.request, engine: e, sent: now, tokens: c.uncached, ahead: p.backlog(now, e),
		delay: 2 * e.ep.Delay, alone: f.request.Alone, organisation: f.demand.organisation, hinted: -1,
	}
	a.expected = p.speed.FirstToken(a.ahead+a.tokens) + c.candidate.Transfer
	p.noteHint(now, a)
	if e.failures > 0 {
		e.probing = true
	}
	e.add(a)
	p.news = p.news || a.tokens >= longPrompt
	p.own++
	p.organisations.get(a.organisation).own++
	f.attempts = append(f.attempts, a)
	action := Action{Kind: kind, Request: f.request, Endpoint: e.ep.ID, Incarnation: e.ep.Incarnation, Why: Reasons{
		Rank: c.rank, Homes: c.homes, Held: int(c.held), Compute: int(c.uncached), Wait: c.candidate.Wait + c.candidate.Slot,
		Cost: time.Duration(c.cost * float64(time.Second)), Slowdown: c.candidate.Slowdown, Running: p.taken(e) - 1,
	}}
	action.Source = c.source
	action.Save = p.save(now, f.request, e.version(f.request.Weights))
	p.actions = append(p.actions, action)
	if kind == Start {
		p.planHedge(f, a)
	}
}

// noteHint records the deepest hint that an attempt relies on.
func (p *Policy) noteHint(now time.Time, a *attempt) {
	c := &a.request.Chain
	for level := len(c.Levels) - 1; level >= max(0, len(c.Levels)-maxMarks); level-- {
		if age, ok := p.hints.Age(now, c.Levels[level], a.engine.hintKey); ok {
			a.hinted, a.hintedPieces = age, c.LevelPieces[level]
			return
		}
	}
}

// idleLoad is the load of the fleet below which nothing is refused for having
// waited for a better engine. Above it, computing the prompt anew elsewhere
// would take what others need.
const idleLoad = 0.1

// expire refuses what has waited as long as it may.
func (p *Policy) expire(now time.Time) {
	for {
		it := p.queue.PopExpired(now)
		if it == nil {
			return
		}
		deadline := it.Value.request.Deadline
		if p.load() < idleLoad && (deadline.IsZero() || deadline.After(now)) && p.tryStart(now, it) {
			p.queue.Charge(it)
			continue
		}
		p.refuseNow(it, defaultRetryAfter)
	}
}

func (p *Policy) refuseNow(it *admission.Item[*waiting], after time.Duration) {
	r := it.Value.request
	code := verdict.CodeOverloaded
	if !r.Deadline.IsZero() && !it.Expires.Before(r.Deadline) {
		code = verdict.CodeDeadline
	}
	p.actions = append(p.actions, Action{
		Kind: Refuse, Request: r, Code: code, RetryAfter: max(after, minRetryAfter), Refusal: p.refusal(r, p.now.Sub(it.Queued)),
	})
}

// refusal returns the figures behind a refusal.
func (p *Policy) refusal(r *Request, waited time.Duration) Refusal {
	out := Refusal{Waited: waited, Resting: p.resting, Queued: p.queue.Len(), Load: p.load()}
	if pool := p.pool(r); pool != nil {
		out.Engines = len(pool.Members)
	}
	return out
}

// minRetryAfter is the least time to retry that a refusal gives.
const minRetryAfter = 100 * time.Millisecond

// pool returns the engines that have loaded what the request needs.
func (p *Policy) pool(r *Request) *placement.Pool {
	if r.Weights == "" {
		return &p.all
	}
	return p.pools[r.Weights]
}

// homes returns the homes of a request; the slice is valid until the next call.
func (p *Policy) homes(now time.Time, r *Request) []int {
	pool := p.pool(r)
	if pool == nil {
		return nil
	}
	if split := p.split(r); split != nil {
		if r.PromptTokens < longPrompt {
			// A short prompt gains little from its home: any reserved engine may
			// take it, and the others when those are busy.
			p.candidates = append(append(p.candidates[:0], split.reserved.Members...), split.others.Members...)
			return p.candidates
		}
		return p.picker.PickFlat(&r.Chain, &split.others, longHomes)
	}
	switch {
	case !p.rules.homes:
		return pool.Members
	case !p.rules.nested:
		return p.picker.PickFlat(&r.Chain, pool, p.width(now, r.Chain.HomeKey()))
	}
	p.widths = p.widths[:0]
	for level := range min(placement.SharedLevels(&r.Chain), maxMarks) {
		p.widths = append(p.widths, p.width(now, placement.SharedKey(&r.Chain, level)))
	}
	return p.picker.Pick(&r.Chain, pool, p.widths)
}

// longHomes is how many engines a long prompt may go to, where engines fetch
// from one another what its first home holds.
const longHomes = 16

// width returns the number of homes for a key at its measured rate.
func (p *Policy) width(now time.Time, key uint64) int {
	if !p.rules.growth || len(p.engines) == 0 {
		return 1
	}
	rate := p.rates.Rate(now, key) * float64(p.daemons)
	return placement.Width(rate * p.learned.stay.or(stayStart.Seconds()) / float64(max(1, p.engines[0].ep.Slots)))
}

func (p *Policy) observeRates(now time.Time, r *Request) {
	if p.rates == nil {
		return
	}
	for level := range min(placement.SharedLevels(&r.Chain), maxMarks) {
		p.rates.Observe(now, placement.SharedKey(&r.Chain, level))
	}
}
