package measure

import (
	"math"
	"time"
)

// marks are the engines' computed tokens at a time of the run.
type marks struct{ computed float64 }

func (w *world) mark() marks {
	m := marks{}
	for _, e := range w.engines {
		e.model.Advance(w.now)
		m.computed += e.model.ComputedTokens()
	}
	return m
}

const (
	recoveryRun = 3
	// goodShare is the part of a second's requests that must be good.
	goodShare = 0.9
	// goodFactor times the 99th percentile before the disturbance is the bound of a good TTFT.
	goodFactor = 1.5
	laterAfter = 10 * time.Second
)

func (w *world) result(policy string) Result {
	counted := w.between(w.load.warm, math.MaxInt64)
	r := Result{
		Workload: w.load.name, Scenario: w.scenario.name, Policy: policy, Seed: w.seed,
		Requests: len(counted), RefusedLate: w.tally.refusalsLate, CallerRetries: w.tally.callerRetries,
		Forbidden: w.tally.forbidden, CapacityRate: round(w.trace.capacity, 1),
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
	w.fillCache(&r, counted)
	interactive := filter(counted, (*call).interactive)
	r.TTFTp50 = percentile(times(interactive), 0.5)
	r.TTFTp99 = percentile(times(interactive), 0.99)
	r.ShortWaitP99 = percentile(waits(filter(interactive, func(c *call) bool { return c.kind.short })), 0.99)
	r.GoodputShare = round(w.goodput(), 4)
	all := float64(max(1, len(w.ordered)))
	r.HedgeShare = round(float64(w.tally.hedges)/all, 4)
	r.GossipBytes = round(float64(w.tally.gossipBytes)/float64(len(w.daemons))/w.now.Seconds(), 0)
	r.RetryShare = round(float64(w.tally.retries)/all, 4)
	w.fillDisturbance(&r)
	return r
}

func (w *world) fillCache(r *Result, counted []*call) {
	served := filter(counted, (*call).served)
	hits, prompt, ideal := 0, 0, 0
	for _, c := range served {
		hits += c.cached
		prompt += c.prompt
		ideal += c.ideal
	}
	r.PrefixHitRate = ratio(float64(hits), float64(prompt))
	r.HitRateOfIdeal = ratio(float64(hits), float64(ideal))
	unavoidable := float64(prompt - ideal)
	wasted := w.mark().computed - w.atWarm.computed - unavoidable
	r.WastedRecomputeTokens = int64(math.Round(wasted))
	r.WastedOfUnavoidable = ratio(wasted, unavoidable)
}

// fillDisturbance compares the time after a disturbance with the time before it.
func (w *world) fillDisturbance(r *Result) {
	begin, end := w.scenario.begin(w.load), w.scenario.end(w.load)
	if w.scenario.start == 0 {
		return
	}
	before := w.between(w.load.warm, begin)
	r.HitBefore = hitOfIdeal(before)
	r.HitFirstSecond = hitOfIdeal(w.between(begin, begin+time.Second))
	r.HitLater = hitOfIdeal(w.between(end+laterAfter, math.MaxInt64))
	bound := goodFactor * percentile(times(filter(before, (*call).interactive)), 0.99)
	last := w.load.warm + w.scenario.length(w.load)
	r.DipInTime, r.HitDip = 1, 1
	r.RecoverySeconds = -1
	good := 0
	for t := begin; t+time.Second <= last; t += time.Second {
		share := goodOf(filter(w.between(t, t+time.Second), (*call).interactive), bound)
		r.DipInTime = min(r.DipInTime, share)
		r.HitDip = min(r.HitDip, hitOfIdeal(w.between(t, t+time.Second)))
		if t < end {
			continue
		}
		if share < goodShare {
			good = 0
			continue
		}
		if good++; good == recoveryRun && r.RecoverySeconds < 0 {
			r.RecoverySeconds = (t - end).Seconds() - recoveryRun + 1
		}
	}
	w.fillOthers(r)
	w.fillHomes(r)
}

// homePart is the part of a prefix's requests that makes an engine one of its homes.
const homePart = 0.05

// fillHomes counts the homes of the first organisation's hottest roots.
func (w *world) fillHomes(r *Result) {
	if !w.scenario.shifted {
		return
	}
	begin := w.scenario.begin(w.load)
	newest := newGenerator(w.load, w.seed, 0).rank(0, w.load.roots, 1)
	for _, from := range []time.Duration{begin - disturbanceStart, begin + laterAfter} {
		calls := w.between(from, from+disturbanceStart)
		r.HomesOld = append(r.HomesOld, homes(calls, 0))
		r.HomesNew = append(r.HomesNew, homes(calls, newest))
	}
}

// homes returns how many engines served a root of the first organisation.
func homes(calls []*call, root int) int {
	all := filter(calls, func(c *call) bool { return c.served() && c.organisation == 0 && c.root == root })
	at := map[*engine]int{}
	for _, c := range all {
		at[c.winner.engine]++
	}
	n := 0
	for _, served := range at {
		if float64(served) >= homePart*float64(len(all)) {
			n++
		}
	}
	return n
}

// fillOthers measures the organisations that stay within their share.
func (w *world) fillOthers(r *Result) {
	if w.scenario.greedy == 0 {
		return
	}
	others := filter(w.between(w.scenario.begin(w.load), w.scenario.end(w.load)), func(c *call) bool {
		return c.interactive() && c.organisation != w.scenario.greedy-1
	})
	r.OthersWaitP99 = percentile(waits(others), 0.99)
	r.OthersRefused = 1 - ratio(float64(len(filter(others, (*call).served))), float64(len(others)))
}

// goodOf returns the part of calls with a TTFT of at most bound milliseconds.
func goodOf(calls []*call, bound float64) float64 {
	if len(calls) == 0 {
		return 1
	}
	n := 0
	for _, c := range calls {
		if c.served() && milliseconds(c.ttft) <= bound {
			n++
		}
	}
	return ratio(float64(n), float64(len(calls)))
}

// goodput relates the work done for requests served in time to what could have been done.
func (w *world) goodput() float64 {
	from, to := w.scenario.begin(w.load), w.scenario.end(w.load)
	if w.scenario.load == 0 {
		to = w.load.warm + w.scenario.length(w.load)
	}
	offered, done := 0.0, 0.0
	for _, c := range w.ordered {
		cost := w.slotSeconds(c)
		if c.at >= from && c.at < to {
			offered += cost
		}
		if c.served() && c.ttft <= w.classes[c.kind.class].inTime {
			done += cost * overlap(c.winner.started, c.finished, from, to)
		}
	}
	capacity := float64(w.load.engines*w.load.engine.Slots) * (to - from).Seconds()
	return done / max(1, min(offered, capacity))
}

// overlap returns the part of the time from start to end that lies within from and to.
func overlap(start, end, from, to time.Duration) float64 {
	if end <= start {
		return 0
	}
	return max(0, min(end, to)-max(start, from)).Seconds() / (end - start).Seconds()
}

// slotSeconds is the time in a full engine's slot that a call costs with ideal hits.
func (w *world) slotSeconds(c *call) float64 {
	return w.load.engine.SlotSeconds(float64(c.prompt-c.ideal), float64(c.output), w.trace.engineRate)
}

func (w *world) between(from, to time.Duration) []*call {
	return filter(w.ordered, func(c *call) bool { return c.at >= from && c.at < to })
}

func (c *call) served() bool      { return c.state == completed }
func (c *call) interactive() bool { return c.kind.class == "interactive" }

func hitOfIdeal(calls []*call) float64 {
	hits, ideal := 0, 0
	for _, c := range filter(calls, (*call).served) {
		hits += c.cached
		ideal += c.ideal
	}
	return ratio(float64(hits), float64(ideal))
}
