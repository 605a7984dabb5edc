package measure

import (
	"math"
	"slices"
	"time"
)

// Result is the outcome of one run. Counts are of requests that arrived after
// the warm-up; shares are between 0 and 1 if not said otherwise.
type Result struct {
	Workload  string `json:"workload"`
	Scenario  string `json:"scenario"`
	Policy    string `json:"policy"`
	Seed      uint64 `json:"seed"`
	Without   string `json:"without,omitempty"`
	Requests  int    `json:"requests"`
	Completed int    `json:"completed"`
	// Refused requests were not run; Lost ones may have run and gave no whole answer.
	Refused int `json:"refused"`
	Lost    int `json:"lost"`
	// PrefixHitRate is cached over all prompt tokens of completed requests.
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	// HitRateOfIdeal is PrefixHitRate over that of one cache as large as all
	// engines' that sees all requests in order of arrival, refused ones too.
	HitRateOfIdeal float64 `json:"hit_rate_of_ideal"`
	// WastedRecomputeTokens are all computed prompt tokens, hedges and failed
	// attempts included, less the ones that the ideal cache misses too.
	WastedRecomputeTokens int64 `json:"wasted_recompute_tokens"`
	// WastedOfUnavoidable is over the tokens that the ideal cache misses.
	WastedOfUnavoidable float64 `json:"wasted_of_unavoidable"`
	// TTFT is from the caller's sending to its first token, interactive work only.
	TTFTp50 float64 `json:"ttft_p50_ms"`
	TTFTp99 float64 `json:"ttft_p99_ms"`
	// ShortWaitP99 is from the arrival at a daemon to the start at the engine.
	ShortWaitP99 float64 `json:"short_wait_p99_ms"`
	// GoodputShare is work done for requests whose first token came in time,
	// over the lesser of the capacity and the offered work, in slot time and
	// within the disturbance (up to the last arrival if the load is steady).
	GoodputShare float64 `json:"goodput_share"`
	RefusedLate  int     `json:"refused_late"`
	// HedgeShare and RetryShare are further attempts over requests, the warm-up included.
	HedgeShare    float64 `json:"hedge_share"`
	RetryShare    float64 `json:"retry_share"`
	CallerRetries int     `json:"caller_retries"`
	// Forbidden counts second copies of work that may not be repeated.
	Forbidden int `json:"forbidden_repeats"`
	// RecoverySeconds is from the end of the disturbance to the first of three
	// good seconds in a row; -1 means never, and it is 0 without a disturbance.
	RecoverySeconds float64 `json:"recovery_s"`
	// DipInTime is the least share of good requests in a second since the disturbance began.
	DipInTime float64 `json:"dip_good_share"`
	// HitDip is the least hit rate of ideal in a second since the disturbance began.
	HitDip float64 `json:"dip_hit_of_ideal"`
	// HitBefore and HitFirstSecond are hit rates of ideal before the
	// disturbance and of requests that arrived in the first second after it.
	HitBefore      float64 `json:"hit_of_ideal_before"`
	HitFirstSecond float64 `json:"hit_of_ideal_first_second"`
	// HitLater is the hit rate of ideal from ten seconds after the disturbance's end.
	HitLater float64 `json:"hit_of_ideal_after_10s"`
	// OthersWaitP99 is the wait of organisations other than the greedy one
	// within the disturbance, OthersRefused the share of them refused;
	// OthersWaitP99Without is the wait when the greedy one stays within its share.
	OthersWaitP99        float64 `json:"others_wait_p99_ms"`
	OthersWaitP99Without float64 `json:"others_wait_p99_without_ms"`
	OthersRefused        float64 `json:"others_refused_share"`
	// HomesOld and HomesNew are, before and after a hot shift, the engines that
	// serve the prefix which was the hottest and the one which becomes it.
	HomesOld []int `json:"homes_of_old_hot,omitempty"`
	HomesNew []int `json:"homes_of_new_hot,omitempty"`
	// CapacityRate is the computed capacity in requests a second.
	CapacityRate float64 `json:"capacity_rps"`
}

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

func filter(calls []*call, keep func(*call) bool) []*call {
	var out []*call
	for _, c := range calls {
		if keep(c) {
			out = append(out, c)
		}
	}
	return out
}

func times(calls []*call) []time.Duration {
	var out []time.Duration
	for _, c := range filter(calls, (*call).served) {
		out = append(out, c.ttft)
	}
	return out
}

func waits(calls []*call) []time.Duration {
	var out []time.Duration
	for _, c := range filter(calls, (*call).served) {
		out = append(out, c.wait)
	}
	return out
}

// percentile returns the nearest-rank percentile in milliseconds.
func percentile(d []time.Duration, p float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	i := int(math.Ceil(p*float64(len(d)))) - 1
	return round(milliseconds(d[max(0, i)]), 1)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return round(a/b, 4)
}

func round(v float64, digits int) float64 {
	f := math.Pow(10, float64(digits))
	return math.Round(v*f) / f
}
