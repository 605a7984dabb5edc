package routing

import (
	"math"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
)

const (
	// initialHomePrior and settledHomePrior are the fractions of a prompt's shared
	// levels that its first home is presumed to hold without a hint: a daemon
	// has no hints when it starts and most of them later.
	initialHomePrior = 0.9
	settledHomePrior = 0.2
	// priorTimeConstant is the time constant of the change from initialHomePrior to
	// settledHomePrior.
	priorTimeConstant = 3 * time.Second
	// slowdownThreshold is the slowdown below which the deviation counts as noise.
	slowdownThreshold = 1.3
	// deferrableSlotFraction is the fraction of an engine's slots that may be taken
	// when deferrable work starts.
	deferrableSlotFraction = 0.7
	// maxHintLevels bounds the levels of a prompt that are used for hints and homes.
	maxHintLevels = 8
)

// demand is the predicted resource use of a request.
type demand struct {
	organisationHash uint64
	// slotSeconds is how long the request holds a slot while its response is generated.
	slotSeconds float64
}

// demand predicts the resource use of a request and records its arrival for its
// organisation.
func (p *Policy) demand(now time.Time, r *Request) demand {
	return demand{
		organisationHash: p.organisations.recordArrival(now, r.Organisation, r.Share),
		slotSeconds:      p.responseStats.predictOutputTokens(r) * p.responseStats.tokenLatency.valueOr(initialTokenLatency.Seconds()),
	}
}

// choice is the result of choosing among a request's homes.
type choice struct {
	engine         *engine // nil when no home has room
	cost           float64
	uncachedTokens float64
	source         string // ID of the engine or store to fetch from, empty for none
	rank           int
	homes          int
	heldTokens     float64
	candidate      placement.Candidate
	// minBusyCost is the least cost of a home without room, infinite if there is none.
	minBusyCost float64
	// presumedSource is the home, other than engine, that is presumed to hold the prompt;
	// empty for none.
	presumedSource string
	// rateLimited is true if an engine with a rate limit was ruled out.
	rateLimited bool
	// anyEligible is true if some home may run the request, with or without room.
	anyEligible bool
}

// unknownLoadTolerance is the difference below which costs count as equal while peers'
// loads are not known at once: what they have at an engine costs as much.
const unknownLoadTolerance = 15 * time.Millisecond

// choose returns the home with the least predicted cost that has room for the
// request. exclude, if not nil, is not considered.
func (p *Policy) choose(now time.Time, r *Request, homes []int, d *demand, exclude *engine) choice {
	price := p.price(r)
	p.findHolders(now, r)
	overShare := p.rules.shareHeadroom && p.organisations.exceedsShare(d.organisationHash, p.totalSlots)
	out := choice{cost: math.Inf(1), minBusyCost: math.Inf(1)}
	prefers := p.preferenceOf(now, r)
	tolerance := 0.0
	if !p.knowsPeersAtOnce() {
		tolerance = unknownLoadTolerance.Seconds()
	}
	highlyLoaded := p.rules.loadPrice && p.load() >= highLoad
	presumedHomes := p.presumedHomes(now, r)
	var presumed []*engine
	current := p.preferred[r.Weights].current > 0
	for rank, i := range homes {
		if highlyLoaded && rank >= highLoadHomes && out.anyEligible {
			break
		}
		e := p.engines[i]
		if e == exclude || p.excluded(now, e, r) {
			p.explanation.addExcluded(e, p.exclusion(now, e, r))
			out.rateLimited = out.rateLimited || e.limiter != nil
			continue
		}
		out.anyEligible = true
		// Daemons move prompts away from engines with old weights alike.
		isPresumed := len(presumed) < presumedHomes && e.failures == 0 && !e.ep.StoppingSoon && (e.ep.CostPenalty == 0 || !current)
		if isPresumed {
			presumed = append(presumed, e)
		}
		backlog := p.backlog(now, e)
		e.prefillUtilisation.observe(now, backlog >= prefillBacklogTokens)
		estimate := p.estimatePrefill(now, e, r, isPresumed || presumedHomes == 0 && rank == 0, p.holderFor(e.version(r.Weights)))
		c := p.candidate(now, e, backlog, estimate.computeTokens-estimate.presumedTokens)
		c.Transfer = estimate.transferTime
		c.Recompute += time.Duration(copyCostFactor * float64(p.speed.TokensTime(estimate.copiedTokens)))
		room := p.hasRoom(e, r) && !p.lacksMemory(now, e, r) && !p.exceedsPrefillLimit(e, r, backlog, estimate.computeTokens) && !(overShare && p.takenSlots(e) >= int(overShareSlotFraction*float64(e.ep.Slots)))
		c.SlotWait = p.slotWait(e)
		c.SlotPrice = p.slotPrice(e, d.slotSeconds)
		cost := c.Cost(price) + (p.preferencePenalty(e, r, prefers) + p.stoppingSoonPenalty(e, r) + p.spillPenaltyOf(r, isPresumed, presumedHomes)).Seconds()
		p.explanation.add(e, room, p.reasons(e, rank, len(homes), cost, &c, &estimate))
		switch {
		case !room:
			out.minBusyCost = min(out.minBusyCost, cost)
		case cost < out.cost-tolerance:
			out.engine, out.cost, out.uncachedTokens, out.candidate, out.source = e, cost, estimate.computeTokens, c, estimate.source
			out.rank, out.homes, out.heldTokens = rank, len(homes), estimate.heldTokens
		}
	}
	out.presumedSource = presumedSource(out.engine, presumed, r)
	return out
}

// slotPriceWeight scales slotPrice.
const slotPriceWeight = 0.2

// slotPrice returns the price of holding a slot for slotSeconds: the wait that it
// is expected to cause for later requests, which grows with the fourth power of
// the engine's slot utilisation.
func (p *Policy) slotPrice(e *engine, slotSeconds float64) time.Duration {
	if !p.rules.crowdPrice {
		return 0
	}
	utilisation := float64(p.takenSlots(e)) / float64(max(1, e.ep.Slots))
	return time.Duration(slotPriceWeight * slotSeconds * utilisation * utilisation * utilisation * utilisation * float64(time.Second))
}

// takenSlots returns the number of the engine's slots known to be in use, including
// requests that wait there for one.
func (p *Policy) takenSlots(e *engine) int {
	if !p.rules.peerLoad {
		return e.ownAttempts
	}
	return max(e.ownAttempts+e.peerLoad.requests+e.announcedRequests(), p.reportedRequests(e))
}

// maxFreshPeers is the number of peers up to which their loads arrive within about
// 0.1 s: each daemon is then connected to all others.
const maxFreshPeers = 15

// knowsPeersAtOnce reports whether the loads of most peers are known and recent enough
// to tell engines of about equal cost apart.
func (p *Policy) knowsPeersAtOnce() bool { return p.daemonCount-1 <= maxFreshPeers && p.knowsPeers() }

// knowsPeers reports whether most peers have shared their loads: the loads of a few
// of many peers say little about an engine.
func (p *Policy) knowsPeers() bool { return 2*len(p.peers) >= p.daemonCount-1 }

// reportedRequestsMaxAge is the age up to which the number of requests that an engine
// reports is used. Requests take some tenths of a second.
const reportedRequestsMaxAge = time.Second

// reportedRequests returns the number of requests that the engine reported, less the
// more time has passed, and 0 if the peers' loads are known.
func (p *Policy) reportedRequests(e *engine) int {
	age := p.now.Sub(e.report.At)
	if !p.rules.loadReports || p.knowsPeers() || age >= reportedRequestsMaxAge {
		return 0
	}
	return int(float64(e.report.Running+e.report.Queued) * (1 - age.Seconds()/reportedRequestsMaxAge.Seconds()))
}

// slotWait predicts the wait for a slot, 0 if one is free.
func (p *Policy) slotWait(e *engine) time.Duration {
	requestsAhead := p.takenSlots(e) + 1 - e.ep.Slots
	if requestsAhead <= 0 {
		return 0
	}
	turnover := p.responseStats.serviceTime.valueOr(initialServiceTime.Seconds()) / float64(max(1, e.ep.Slots))
	return time.Duration(float64(requestsAhead) * turnover * float64(time.Second))
}

const (
	// highLoad is the load of the fleet from which a request goes only to the first
	// highLoadHomes of its homes, unless all of these are excluded: further copies
	// of a prompt take cache and compute that are scarce then.
	highLoad      = 0.9
	highLoadHomes = 3
)

// deferrablePriceFactor multiplies the price of recomputation for deferrable work,
// which can wait for the engine that holds its prompt.
const deferrablePriceFactor = 3

// price returns the price of recomputation for a request.
func (p *Policy) price(r *Request) float64 {
	if !p.rules.recomputePrice || p.announcing.on && r.PromptTokens >= longPromptTokens {
		return 1 // predicted times are compared as they are
	}
	load := 0.0
	if p.rules.loadPrice {
		load = p.load()
	}
	price := placement.RecomputePrice(load)
	if p.settings.RecomputePrice > 0 {
		price *= p.settings.RecomputePrice
	}
	if r.Class.Deferrable && p.rules.deferral {
		price *= deferrablePriceFactor
	}
	return price
}

// load returns the fraction of all slots known to be in use.
func (p *Policy) load() float64 {
	if p.totalSlots == 0 {
		return 0
	}
	return float64(p.ownAttempts+p.peerRequests) / float64(p.totalSlots)
}

// candidate returns the cost estimate of an engine that has to compute
// uncachedTokens of a request after backlogTokens of others.
func (p *Policy) candidate(now time.Time, e *engine, backlogTokens, uncachedTokens float64) placement.Candidate {
	c := placement.Candidate{
		Wait:      p.speed.TokensTime(backlogTokens),
		Recompute: p.speed.TokensTime(uncachedTokens),
		Slowdown:  p.slowdown(now, e),
		Delay:     2 * e.ep.Delay,
	}
	c.Wait += time.Duration(p.takenSlots(e)) * p.settings.BatchDelay
	if p.rules.waitingEvidence {
		c.Overrun = e.overrun(now, c.Slowdown)
	}
	return c
}

// backlog returns the number of prompt tokens that the engine has to compute
// before those of a new request.
func (p *Policy) backlog(now time.Time, e *engine) float64 {
	tokens := p.ownBacklog(now, e)
	if p.rules.peerLoad {
		tokens += float64(e.peerLoad.pendingTokens)
	}
	p.drainAnnounced(now, e)
	return tokens + e.announcedTokens()
}

// ownBacklog estimates how many prompt tokens of this daemon's requests the engine
// has yet to compute. It assumes that the engine computes prompts one after
// another at its current speed and shares its time with those of peers.
func (p *Policy) ownBacklog(now time.Time, e *engine) float64 {
	if len(e.awaitingFirstToken) == 0 {
		return 0
	}
	head := e.awaitingFirstToken[0]
	prefillStart := head.sentAt.Add(head.roundTripDelay / 2)
	if e.lastFirstTokenAt.After(prefillStart) {
		prefillStart = e.lastFirstTokenAt
	}
	computed := p.speed.TokensIn(now.Sub(prefillStart)) / p.slowdown(now, e)
	if peers := float64(e.peerLoad.pendingTokens) + e.announcedTokens(); p.rules.peerLoad && peers > 0 {
		computed *= e.ownTokens / (e.ownTokens + peers)
	}
	return e.ownTokens - min((1-uncomputedFraction)*head.uncachedTokens, max(0, computed))
}

// uncomputedFraction is the fraction of a prompt that counts as not computed until
// its first token arrives: the engine may be slower than known.
const uncomputedFraction = 0.25

// slowdown returns the engine's slowdown as used in decisions. What the engine
// reports takes precedence over what is measured from running responses, here and
// at peers, and that over what is inferred from times to first token, which unknown
// work ahead of a request lengthens too.
func (p *Policy) slowdown(now time.Time, e *engine) float64 {
	if !p.rules.slowdown {
		return 1
	}
	if slowdown, ok := p.learntSlowdown(now, e); ok {
		return slowdown
	}
	if slowdown, ok := e.reportedSlowdown(now); ok {
		return max(slowdown, e.overdueSlowdown(now))
	}
	slowdown, measured := p.ownSlowdown(now, e)
	if p.rules.peerSlowdown {
		slowdown = averageWithPeers(slowdown, measured, &e.peerLoad)
	}
	if slowdown < slowdownThreshold {
		return 1
	}
	return slowdown
}

// overdueRatio is how many times its prediction an attempt must have waited
// before it counts against an engine that reports its own slowdown.
const overdueRatio = 3

// overdueSlowdown returns the slowdown implied by attempts without a first token, 1
// while their wait may be due to work that the daemon does not know of.
func (e *engine) overdueSlowdown(now time.Time) float64 {
	if s := e.waitingSlowdown(now); s >= overdueRatio {
		return s
	}
	return 1
}

func averageWithPeers(own float64, responses int, peers *peerTotals) float64 {
	if responses+peers.responses == 0 {
		return max(own, peers.inferredSlowdown)
	}
	return (own*float64(responses) + peers.weightedSlowdown) / float64(responses+peers.responses)
}

// ownSlowdown returns the slowdown observed by this daemon and the number of
// running responses it was measured on, 0 if it was inferred.
func (p *Policy) ownSlowdown(now time.Time, e *engine) (float64, int) {
	if p.rules.progressEvidence {
		if perToken, ok := e.tokenLatency.PerToken(now); ok {
			return max(1, p.normalTokenLatency.Ratio(perToken)), max(1, e.ownAttempts-len(e.awaitingFirstToken))
		}
	}
	slowdown := e.observedSlowdown.Value(now)
	if p.rules.waitingEvidence {
		slowdown = max(slowdown, e.waitingSlowdown(now))
	}
	return slowdown, 0
}

// homePrior returns the fraction of a prompt's shared levels that its homes, if presumed
// to hold it, hold without a hint.
func (p *Policy) homePrior(now time.Time, presumed bool) float64 {
	switch {
	case !presumed:
		return 0
	case p.settings.HomePrior > 0:
		return p.settings.HomePrior
	case !p.rules.peerHints || !p.rules.hints:
		return initialHomePrior
	}
	fade := math.Exp(-now.Sub(p.startedAt).Seconds() / priorTimeConstant.Seconds())
	return settledHomePrior + (initialHomePrior-settledHomePrior)*fade
}

// heldBlocks returns the number of leading blocks of a prompt that the engine
// reports as cached or, if its cache is not followed, that hints imply.
func (p *Policy) heldBlocks(now time.Time, e *engine, r *Request) int {
	c := &r.Chain
	if e.tokensByPart != nil && c.Parts != nil {
		return max(e.cachedBlocks(c), p.announcedBlocks(e, c))
	}
	for level := len(c.Levels) - 1; level >= max(0, len(c.Levels)-maxHintLevels); level-- {
		if p.hints.Holds(now, c.Levels[level], e.hintKey) {
			return c.LevelBlocks[level]
		}
	}
	return 0
}

// recordHeld stores hints that the engine holds the whole prompt.
func (p *Policy) recordHeld(now time.Time, e *engine, r *Request) {
	c := &r.Chain
	for level := max(0, len(c.Levels)-maxHintLevels); level < len(c.Levels); level++ {
		if c.LevelBlocks[level] == 0 {
			continue
		}
		// The last level is specific to this prompt, so it is not shared with peers.
		if level < len(c.Levels)-1 {
			p.queueHeldLevel(now, e, c.Levels[level])
		}
		p.hints.Store(now, c.Levels[level], e.hintKey)
	}
}

// excluded reports whether the engine must not get the request, even if idle.
func (p *Policy) excluded(now time.Time, e *engine, r *Request) bool {
	if now.Before(e.heldOffUntil) {
		return true
	}
	if slices.Contains(r.ExcludedEndpoints, e.ep.ID) || r.Isolated && e.ownIsolated > 0 || runsOtherSoftware(e, r) {
		return true
	}
	return p.rules.ejection && p.isEjected(now, e) || p.lacksAllowance(now, e)
}

// runsOtherSoftware reports whether the engine cannot continue the request's response because it
// runs another software version than the engine that began it.
func runsOtherSoftware(e *engine, r *Request) bool {
	return r.OnlySoftware && e.ep.Software != r.Software
}

// isEjected reports whether the engine gets no work after failures. When its
// ejection time is over, one attempt probes it.
func (p *Policy) isEjected(now time.Time, e *engine) bool {
	if e.failures == 0 || p.ejectedEngines > len(p.engines)/maxEjectedDivisor {
		return false
	}
	return now.Before(e.ejectedUntil) || e.probing
}

// maxEjectedDivisor disables ejection while more than 1/maxEjectedDivisor of the
// engines are ejected.
const maxEjectedDivisor = 2

// hasRoom reports whether the engine may run one more request of r's class.
func (p *Policy) hasRoom(e *engine, r *Request) bool {
	if p.rules.limits && (e.limit.Paused(p.now) || e.ownAttempts >= e.limit.Allowed(e.ep.Slots, p.daemonCount, p.peerRequestsAt(e))) {
		return false
	}
	if !p.rules.limits && e.ownAttempts >= e.ep.Slots {
		return false
	}
	if r.Class.Deferrable && p.rules.deferral {
		return p.takenSlots(e) < max(1, int(deferrableSlotFraction*float64(e.ep.Slots)))
	}
	return true
}

// peerRequestsAt returns how many requests other daemons run at the engine, -1
// if unknown.
func (p *Policy) peerRequestsAt(e *engine) int {
	if p.rules.peerLoad && p.knowsPeers() {
		return e.peerLoad.requests
	}
	if p.rules.loadReports && !e.report.At.IsZero() && p.now.Sub(e.report.At) < loadReportMaxAge {
		return max(0, e.report.Running+e.report.Queued-e.ownAttempts)
	}
	return -1
}
