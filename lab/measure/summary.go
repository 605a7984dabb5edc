package measure

import (
	"math"
	"time"
)

// engineTotals are sums over all engines at one time of a run.
type engineTotals struct{ computedTokens float64 }

func (sim *simulation) engineTotals() engineTotals {
	totals := engineTotals{}
	for _, e := range sim.engines {
		e.model.Advance(sim.now)
		totals.computedTokens += e.model.ComputedTokens()
	}
	return totals
}

const (
	recoveryGoodSeconds = 3
	// minGoodFraction is the fraction of a second's requests that must have a good
	// TTFT for the second to be good; recoveryGoodSeconds of these in a row count
	// as recovery.
	minGoodFraction = 0.9
	// goodTTFTFactor times the 99th percentile before the disturbance is the
	// greatest good TTFT.
	goodTTFTFactor  = 1.5
	lateWindowDelay = 10 * time.Second
)

func (sim *simulation) result(policy string) Result {
	counted := sim.arrivedBetween(sim.workload.warmup, math.MaxInt64)
	r := Result{
		Workload: sim.workload.name, Scenario: sim.scenario.name, Policy: policy, Seed: sim.seed,
		Requests: len(counted), RefusedLate: sim.counters.lateRefusals, CallerRetries: sim.counters.callerRetries,
		ForbiddenRepeats: sim.counters.forbiddenRepeats, CapacityRPS: round(sim.trace.fleetCapacity, 1),
	}
	for _, c := range counted {
		switch c.state {
		case completed:
			r.Completed++
		case refused:
			r.Refused++
		case lost:
			r.Lost++
		}
	}
	sim.fillCacheFigures(&r, counted)
	interactive := filter(counted, (*call).interactive)
	r.TTFTp50 = percentile(timesToFirstToken(interactive), 0.5)
	r.TTFTp99 = percentile(timesToFirstToken(interactive), 0.99)
	r.ShortWaitP99 = percentile(waits(filter(interactive, func(c *call) bool { return c.kind.short })), 0.99)
	r.GoodputShare = round(sim.goodput(), 4)
	all := float64(max(1, len(sim.calls)))
	r.HedgeShare = round(float64(sim.counters.hedges)/all, 4)
	r.GossipBytesPerSecond = round(float64(sim.counters.gossipBytes)/float64(len(sim.daemons))/sim.now.Seconds(), 0)
	r.RetryShare = round(float64(sim.counters.retries)/all, 4)
	sim.fillDisturbanceFigures(&r)
	return r
}

func (sim *simulation) fillCacheFigures(r *Result, counted []*call) {
	served := filter(counted, (*call).served)
	hits, prompt, ideal := 0, 0, 0
	for _, c := range served {
		hits += c.cachedTokens
		prompt += c.promptTokens
		ideal += c.idealCachedTokens
	}
	r.PrefixHitRate = ratio(float64(hits), float64(prompt))
	r.HitRateOfIdeal = ratio(float64(hits), float64(ideal))
	unavoidable := float64(prompt - ideal)
	wasted := sim.engineTotals().computedTokens - sim.totalsAtWarmupEnd.computedTokens - unavoidable
	r.WastedRecomputeTokens = int64(math.Round(wasted))
	r.WastedOfUnavoidable = ratio(wasted, unavoidable)
}

// fillDisturbanceFigures compares the time from the beginning of a disturbance
// with the time before it.
func (sim *simulation) fillDisturbanceFigures(r *Result) {
	begin, end := sim.scenario.begin(sim.workload), sim.scenario.end(sim.workload)
	if sim.scenario.start == 0 {
		return
	}
	before := sim.arrivedBetween(sim.workload.warmup, begin)
	r.HitOfIdealBefore = hitRateOfIdeal(before)
	r.HitOfIdealFirstSecond = hitRateOfIdeal(sim.arrivedBetween(begin, begin+time.Second))
	r.HitOfIdealAfter10s = hitRateOfIdeal(sim.arrivedBetween(end+lateWindowDelay, math.MaxInt64))
	maxTTFT := goodTTFTFactor * percentile(timesToFirstToken(filter(before, (*call).interactive)), 0.99)
	last := sim.workload.warmup + sim.scenario.arrivalsDuration(sim.workload)
	r.MinGoodShare, r.MinHitOfIdeal = 1, 1
	r.RecoverySeconds = -1
	good := 0
	for t := begin; t+time.Second <= last; t += time.Second {
		fraction := goodFractionOf(filter(sim.arrivedBetween(t, t+time.Second), (*call).interactive), maxTTFT)
		r.MinGoodShare = min(r.MinGoodShare, fraction)
		r.MinHitOfIdeal = min(r.MinHitOfIdeal, hitRateOfIdeal(sim.arrivedBetween(t, t+time.Second)))
		if t < end {
			continue
		}
		if fraction < minGoodFraction {
			good = 0
			continue
		}
		if good++; good == recoveryGoodSeconds && r.RecoverySeconds < 0 {
			r.RecoverySeconds = (t - end).Seconds() - recoveryGoodSeconds + 1
		}
	}
	sim.fillOtherOrganisations(r)
	sim.fillHomes(r)
}

// minHomeFraction is the fraction of a prefix's requests from which an engine counts
// as one of its homes.
const minHomeFraction = 0.05

// fillHomes counts the homes of the first organisation's hottest roots before and
// after a hot shift.
func (sim *simulation) fillHomes(r *Result) {
	if !sim.scenario.shiftsHotSet {
		return
	}
	begin := sim.scenario.begin(sim.workload)
	newest := newGenerator(sim.workload, sim.seed, 0).shiftedRank(0, sim.workload.rootCount, 1)
	for _, from := range []time.Duration{begin - disturbanceStart, begin + lateWindowDelay} {
		calls := sim.arrivedBetween(from, from+disturbanceStart)
		r.HomesOfOldHot = append(r.HomesOfOldHot, countHomes(calls, 0))
		r.HomesOfNewHot = append(r.HomesOfNewHot, countHomes(calls, newest))
	}
}

// countHomes returns how many engines are homes of a root of the first organisation.
func countHomes(calls []*call, root int) int {
	all := filter(calls, func(c *call) bool { return c.served() && c.organisation == 0 && c.root == root })
	servedBy := map[*engine]int{}
	for _, c := range all {
		servedBy[c.winner.engine]++
	}
	n := 0
	for _, served := range servedBy {
		if float64(served) >= minHomeFraction*float64(len(all)) {
			n++
		}
	}
	return n
}

// fillOtherOrganisations fills in the figures of the organisations that stay within
// their share.
func (sim *simulation) fillOtherOrganisations(r *Result) {
	if sim.scenario.greedyOrganisation == 0 {
		return
	}
	others := filter(sim.arrivedBetween(sim.scenario.begin(sim.workload), sim.scenario.end(sim.workload)), func(c *call) bool {
		return c.interactive() && c.organisation != sim.scenario.greedyOrganisation-1
	})
	r.OthersWaitP99 = percentile(waits(others), 0.99)
	r.OthersRefusedShare = 1 - ratio(float64(len(filter(others, (*call).served))), float64(len(others)))
}

// goodFractionOf returns the fraction of calls that completed with a TTFT of at most
// maxTTFT milliseconds, or 1 if there are no calls.
func goodFractionOf(calls []*call, maxTTFT float64) float64 {
	if len(calls) == 0 {
		return 1
	}
	n := 0
	for _, c := range calls {
		if c.served() && milliseconds(c.ttft) <= maxTTFT {
			n++
		}
	}
	return ratio(float64(n), float64(len(calls)))
}

// goodput returns the work done for requests whose first token came in time, over
// the lesser of the offered work and the capacity.
func (sim *simulation) goodput() float64 {
	from, to := sim.scenario.begin(sim.workload), sim.scenario.end(sim.workload)
	if sim.scenario.loadFactor == 0 {
		to = sim.workload.warmup + sim.scenario.arrivalsDuration(sim.workload)
	}
	offered, doneInTime := 0.0, 0.0
	for _, c := range sim.calls {
		cost := sim.slotSeconds(c)
		if c.at >= from && c.at < to {
			offered += cost
		}
		if c.served() && c.ttft <= sim.classes[c.kind.class].firstTokenGoal {
			doneInTime += cost * overlapFraction(c.winner.startedAt, c.finishedAt, from, to)
		}
	}
	capacity := float64(sim.workload.engines*sim.workload.engine.Slots) * (to - from).Seconds()
	return doneInTime / max(1, min(offered, capacity))
}

// overlapFraction returns the fraction of the time from start to end that lies
// between from and to.
func overlapFraction(start, end, from, to time.Duration) float64 {
	if end <= start {
		return 0
	}
	return max(0, min(end, to)-max(start, from)).Seconds() / (end - start).Seconds()
}

// slotSeconds returns how long a call holds a slot of a full engine at its ideal
// cache hits.
func (sim *simulation) slotSeconds(c *call) float64 {
	return sim.workload.engine.SlotSeconds(float64(c.promptTokens-c.idealCachedTokens), float64(c.outputTokens), sim.trace.engineCapacity)
}

func (sim *simulation) arrivedBetween(from, to time.Duration) []*call {
	return filter(sim.calls, func(c *call) bool { return c.at >= from && c.at < to })
}

func (c *call) served() bool      { return c.state == completed }
func (c *call) interactive() bool { return c.kind.class == "interactive" }

func hitRateOfIdeal(calls []*call) float64 {
	hits, ideal := 0, 0
	for _, c := range filter(calls, (*call).served) {
		hits += c.cachedTokens
		ideal += c.idealCachedTokens
	}
	return ratio(float64(hits), float64(ideal))
}
