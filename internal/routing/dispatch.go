package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/admission"
	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// recheckInterval is the time after which waiting requests are tried again even
	// if no change was observed.
	recheckInterval = 100 * time.Millisecond
	// congestedWaitFraction is the fraction of a new request's allowed wait that the
	// oldest request of its class must have waited before early refusal applies.
	congestedWaitFraction = 0.25
	// earlyRefusalFraction is the fraction of the allowed wait that the predicted
	// wait may take.
	earlyRefusalFraction = 0.8
	// patienceFraction is the fraction of the allowed wait that a request may spend
	// waiting for a better home.
	patienceFraction = 0.9
)

// dispatch tries queued requests if the state has changed, recheckInterval has
// passed or the patience of one has ended, then the requests submitted since the
// last call.
func (p *Policy) dispatch(now time.Time) {
	if p.recheckNow || !p.recheckAt.After(now) || p.patienceEnded(now) {
		p.recheckNow = false
		p.checkedAt = now
		p.recheckAt = now.Add(recheckInterval)
		p.planQueue(now, false)
		p.queue.Dispatch(func(it *admission.Item[*queuedRequest]) bool { return p.tryStart(now, it) })
		p.refuseHeldOff(now)
	}
	for i, it := range p.arrivals {
		p.handleArrival(now, it)
		p.arrivals[i] = nil
	}
	p.arrivals = p.arrivals[:0]
}

// patienceEnded reports whether the patience of the request that expires next has
// ended since the queued requests were last tried.
func (p *Policy) patienceEnded(now time.Time) bool {
	it := p.queue.NextExpiring()
	if it == nil {
		return false
	}
	end := patienceEnd(it)
	return !now.Before(end) && p.checkedAt.Before(end)
}

// patienceEnd returns when a queued request stops waiting for a better home.
func patienceEnd(it *admission.Item[*queuedRequest]) time.Time {
	return it.QueuedAt.Add(time.Duration(patienceFraction * float64(it.ExpiresAt.Sub(it.QueuedAt))))
}

// handleArrival starts, queues or refuses a newly submitted request.
func (p *Policy) handleArrival(now time.Time, it *admission.Item[*queuedRequest]) {
	if p.refuseUnreachable(now, it) || p.refuseWithoutSoftware(it) {
		return
	}
	if p.tryStart(now, it) {
		p.queue.Charge(it)
		return
	}
	if p.refuseIfHeldOff(now, it) {
		return
	}
	wait, late := time.Duration(0), false
	if p.rules.earlyRefusal {
		wait, late = p.predictLate(now, it)
	}
	if late && it.Value.triage == nil {
		p.refuseItem(it, wait)
		return
	}
	if !p.queue.Push(it) {
		p.refuseItem(it, defaultRetryAfter)
		return
	}
	if it.Value.triage != nil {
		p.planQueue(now, late)
	}
}

// refuseWithoutSoftware refuses a request whose response no engine can continue, and reports
// whether it did.
func (p *Policy) refuseWithoutSoftware(it *admission.Item[*queuedRequest]) bool {
	r := it.Value.request
	if !r.OnlySoftware {
		return false
	}
	if pool := p.pool(r); pool != nil {
		for _, i := range pool.Members {
			if e := p.engines[i]; !runsOtherSoftware(e, r) && !slices.Contains(r.ExcludedEndpoints, e.ep.ID) {
				return false
			}
		}
	}
	p.refuseItem(it, defaultRetryAfter)
	p.actions[len(p.actions)-1].Code = verdict.CodeNoUpstream
	return true
}

// predictLate reports whether the request is predicted to wait too long in the
// queue, and the predicted wait.
func (p *Policy) predictLate(now time.Time, it *admission.Item[*queuedRequest]) (time.Duration, bool) {
	oldestArrival := p.queue.OldestArrival(it.Deferrable, it.Priority)
	allowed := it.ExpiresAt.Sub(now)
	if allowed <= 0 {
		return defaultRetryAfter, true
	}
	if oldestArrival.IsZero() || now.Sub(oldestArrival) < time.Duration(congestedWaitFraction*float64(allowed)) {
		return 0, false
	}
	rate := max(p.dispatchRate.perSecond(now), minDispatchRate)
	wait := time.Duration(p.queue.WorkAhead(it) / rate * float64(time.Second))
	return wait, wait > time.Duration(earlyRefusalFraction*float64(allowed))
}

// minDispatchRate, in seconds of work per second, bounds the predicted wait.
const minDispatchRate = 0.05

// tryStart starts a request if one of its homes has room.
func (p *Policy) tryStart(now time.Time, it *admission.Item[*queuedRequest]) bool {
	w := it.Value
	if w.request.Class.Deferrable && p.rules.deferral && p.queue.HasNonDeferrable() {
		return false
	}
	homes := p.queuedHomes(now, w)
	c := p.choose(now, w.request, homes, &w.demand, nil)
	if c.engine == nil || p.worthWaiting(now, it, c) || p.heldByRamp(now, w, c.uncachedTokens) {
		w.homes = append(w.homes[:0], homes...)
		w.engineGeneration = p.engineGeneration
		return false
	}
	f := p.inFlight[w.request.ID]
	if f == nil {
		f = &inFlight{request: w.request, demand: w.demand, triage: w.triage}
		p.inFlight[w.request.ID] = f
	}
	p.dispatchRate.add(now, it.Work)
	p.start(now, f, c, Start)
	return true
}

// queuedHomes returns the homes of a queued request, which are computed again when
// the engines change.
func (p *Policy) queuedHomes(now time.Time, w *queuedRequest) []int {
	if w.engineGeneration == p.engineGeneration && p.rateLimits.limited == 0 {
		return w.homes
	}
	return p.homes(now, w.request) // which engines have an allowance changes all the time
}

// worthWaiting reports whether a cheaper home without room is worth waiting for.
func (p *Policy) worthWaiting(now time.Time, it *admission.Item[*queuedRequest], c choice) bool {
	if !p.rules.patience || c.minBusyCost >= c.cost {
		return false
	}
	return now.Before(patienceEnd(it)) && now.Sub(it.QueuedAt) < time.Duration((c.cost-c.minBusyCost)*float64(time.Second))
}

// start records an attempt and appends its action.
func (p *Policy) start(now time.Time, f *inFlight, c choice, kind ActionKind) {
	e := c.engine
	a := &attempt{
		request: f.request, engine: e, sentAt: now, uncachedTokens: c.uncachedTokens, tokensAhead: p.backlog(now, e), memoryTokens: p.memoryTokens(f.request),
		roundTripDelay: 2 * e.ep.Delay, isolated: f.request.Isolated, organisationHash: f.demand.organisationHash, hintAge: -1,
	}
	a.expectedFirstToken = p.speed.FirstToken(a.tokensAhead+a.uncachedTokens) + c.candidate.Transfer
	p.recordHint(now, a)
	p.announceStart(now, a)
	if e.failures > 0 {
		e.probing = true
	}
	a.admitted = e.limiter != nil && e.limiter.Take()
	e.add(a)
	p.shareDue = p.shareDue || a.uncachedTokens >= longPromptTokens
	p.ownAttempts++
	p.countDemand(now, f.request, 1)
	p.organisations.get(a.organisationHash).ownAttempts++
	f.attempts = append(f.attempts, a)
	action := Action{Kind: kind, Request: f.request, Endpoint: e.ep.ID, Incarnation: e.ep.Incarnation, RateLimited: c.rateLimited, Reasons: Reasons{
		Rank: c.rank, Homes: c.homes, HeldTokens: int(c.heldTokens), ComputeTokens: int(c.uncachedTokens), Wait: c.candidate.Wait + c.candidate.SlotWait,
		Cost: time.Duration(c.cost * float64(time.Second)), Slowdown: c.candidate.Slowdown, Running: p.takenSlots(e) - 1,
	}}
	action.Source = cmp.Or(c.source, c.presumedSource)
	action.Save = p.startSave(now, f.request, e.version(f.request.Weights))
	p.completeStart(now, f, a, &action)
	p.actions = append(p.actions, action)
	if kind == Start {
		p.scheduleHedge(f, a)
	}
}

// recordHint records in attempt a the deepest hint that it relies on.
func (p *Policy) recordHint(now time.Time, a *attempt) {
	c := &a.request.Chain
	for level := len(c.Levels) - 1; level >= max(0, len(c.Levels)-maxHintLevels); level-- {
		if age, ok := p.hints.Age(now, c.Levels[level], a.engine.hintKey); ok {
			a.hintAge, a.hintedBlocks = age, c.LevelBlocks[level]
			return
		}
	}
}

// lowLoad is the load of the fleet below which a request whose wait for a better
// engine has expired starts elsewhere instead of being refused. Under more load,
// recomputing its prompt would take capacity that others need.
const lowLoad = 0.1

// expire refuses, or at low load starts, requests whose allowed wait is over.
func (p *Policy) expire(now time.Time) {
	for {
		it := p.queue.PopExpired(now)
		if it == nil {
			return
		}
		deadline := it.Value.request.Deadline
		if p.load() < lowLoad && (deadline.IsZero() || deadline.After(now)) && p.tryStart(now, it) {
			p.queue.Charge(it)
			continue
		}
		p.refuseItem(it, defaultRetryAfter)
	}
}

func (p *Policy) refuseItem(it *admission.Item[*queuedRequest], after time.Duration) {
	r := it.Value.request
	code := verdict.CodeOverloaded
	if !r.Deadline.IsZero() && !it.ExpiresAt.Before(r.Deadline) {
		code = verdict.CodeDeadlineUnreachable
	}
	p.actions = append(p.actions, Action{
		Kind: Refuse, Request: r, Code: code, RetryAfter: max(after, minRetryAfter), Refusal: p.refusal(r, p.now.Sub(it.QueuedAt)),
	})
	p.completeRefusal(it, &p.actions[len(p.actions)-1])
}

// refusal returns the details of a refusal.
func (p *Policy) refusal(r *Request, waited time.Duration) Refusal {
	out := Refusal{Waited: waited, Ejected: p.ejectedEngines, HeldOff: len(p.holdOffs), Queued: p.queue.Len(), Load: p.load(), PeersKnown: len(p.peers), Peers: p.daemonCount - 1}
	if pool := p.pool(r); pool != nil {
		out.Engines = len(pool.Members)
	}
	return out
}

// minRetryAfter is the shortest Retry-After delay of a refusal.
const minRetryAfter = 100 * time.Millisecond

// pool returns the engines that have loaded the request's weights, nil if none.
func (p *Policy) pool(r *Request) *placement.Pool {
	if r.Weights == "" {
		return &p.allEngines
	}
	return p.pools[r.Weights]
}

// homes returns the homes of a request; the slice is valid until the next call.
func (p *Policy) homes(now time.Time, r *Request) []int {
	pool := p.pool(r)
	if pool == nil {
		return nil
	}
	if r.OnlySoftware && len(r.Chain.Levels) > 0 {
		// Few engines may run that version, and they need not be among the homes.
		return p.homePicker.PickByHomeKey(&r.Chain, pool, len(pool.Members))
	}
	return p.replaceHeldOff(now, r, pool, p.pickHomes(now, r, pool))
}

// pickHomes returns the homes of a request, whether or not they take it at present.
func (p *Policy) pickHomes(now time.Time, r *Request, pool *placement.Pool) []int {
	if len(r.Chain.Levels) == 0 {
		// Without a prompt there is no cache to return to.
		p.homesBuffer = appendPermuted(p.homesBuffer[:0], pool.Members, p.draw(r, orderKey))
		if r.OnlySoftware {
			return p.homesBuffer
		}
		return p.homesBuffer[:min(len(p.homesBuffer), maxHomesWithoutPrompt)]
	}
	if split := p.split(r); split != nil {
		if r.PromptTokens < longPromptTokens {
			// A short prompt gains little from a cache hit: any reserved engine may
			// take it, and the others when those are busy. Each request starts at
			// another engine: of engines with equal costs the first is chosen, and
			// daemons that do not know each other's load must not agree on it.
			seed := p.draw(r, orderKey)
			if !p.preferenceOf(now, r).reserved {
				p.homesBuffer = appendPermuted(p.homesBuffer[:0], pool.Members, seed)
				return p.homesBuffer
			}
			p.homesBuffer = p.homesBuffer[:0]
			if n := p.presumedHomes(now, r); n > 0 {
				p.homesBuffer = append(p.homesBuffer, p.homePicker.PickByHomeKey(&r.Chain, &split.reserved, n)[:min(n, len(split.reserved.Members))]...)
			}
			n := len(p.homesBuffer)
			p.homesBuffer = appendPermuted(p.homesBuffer, split.reserved.Members, seed)
			p.homesBuffer = appendPermuted(p.homesBuffer, split.others.Members, seed)
			return dropRepeated(p.homesBuffer, n)
		}
		homes := longPromptHomes
		if p.announcing.on {
			homes = len(split.others.Members) // their loads are known
		}
		return p.homePicker.PickByHomeKey(&r.Chain, &split.others, homes)
	}
	switch {
	case !p.rules.homes:
		return pool.Members
	case !p.rules.nestedHomes:
		return p.homePicker.PickByHomeKey(&r.Chain, pool, p.homeCount(now, r.Chain.HomeKey()))
	}
	p.homeCounts = p.homeCounts[:0]
	for level := range min(placement.SharedLevels(&r.Chain), maxHintLevels) {
		p.homeCounts = append(p.homeCounts, p.homeCount(now, placement.SharedKey(&r.Chain, level)))
	}
	return p.homePicker.Pick(&r.Chain, pool, p.homeCounts)
}

// dropRepeated removes those of the first n members that follow again after them.
func dropRepeated(list []int, n int) []int {
	first := list[:n]
	rest := slices.DeleteFunc(list[n:], func(i int) bool { return slices.Contains(first, i) })
	return list[:n+len(rest)]
}

// maxHomesWithoutPrompt bounds the engines that are considered for a request without
// a prompt.
const maxHomesWithoutPrompt = 16

// appendPermuted appends list to dst in an order that differs with seed, so that
// each member of any part of the list is about equally often the first of that part.
func appendPermuted(dst, list []int, seed uint64) []int {
	n := uint64(len(list))
	if n == 0 {
		return dst
	}
	at, stride := seed%n, 1+seed>>32%n
	for gcd(stride, n) > 1 {
		stride++
	}
	for range n {
		dst = append(dst, list[at])
		at = (at + stride) % n
	}
	return dst
}

func gcd(a, b uint64) uint64 {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}

// longPromptHomes is the number of homes of a long prompt where engines can fetch
// cached prompts from one another.
const longPromptHomes = 16

// homeCount returns the number of homes of a key at its measured request rate.
func (p *Policy) homeCount(now time.Time, key uint64) int {
	if !p.rules.homeGrowth || len(p.engines) == 0 {
		return 1
	}
	requestsPerSecond := p.rates.PerSecond(now, key) * float64(p.daemonCount)
	return placement.HomeCount(requestsPerSecond * p.responseStats.serviceTime.valueOr(initialServiceTime.Seconds()) / float64(max(1, p.engines[0].ep.Slots)))
}

func (p *Policy) observeRates(now time.Time, r *Request) {
	if p.rates == nil {
		return
	}
	for level := range min(placement.SharedLevels(&r.Chain), maxHintLevels) {
		p.rates.Observe(now, placement.SharedKey(&r.Chain, level))
	}
}
