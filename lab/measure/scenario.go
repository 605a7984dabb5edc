package measure

import (
	"time"
)

// scenario is what happens during a run. The zero value is steady traffic.
type scenario struct {
	name string
	// start is when the disturbance begins, counted from the end of the warm-up, and lasts its length.
	start, lasts time.Duration
	// after is how long arrivals go on after the disturbance; zero means the workload's measured time.
	after time.Duration
	// load is the offered load in the disturbance over the steady load; zero means 1.
	load float64
	// greedy is the one organisation that the load applies to, counted from 1; zero means all.
	greedy int
	// shifted makes other prefixes hot from the start of the disturbance on.
	shifted bool
	// withoutLong leaves out long answers; filled raises the rest to the same offered work.
	withoutLong, filled bool
	// newWeights makes callers ask for new weights once engines have loaded them.
	newWeights bool
	// callersRetry makes callers send refused work again.
	callersRetry bool
	// reportLag replaces the usual lag of load reports.
	reportLag time.Duration
	// inject schedules faults.
	inject func(*world)
}

const disturbanceStart = 20 * time.Second

func (s scenario) length(w workload) time.Duration {
	if s.after == 0 {
		return w.measured
	}
	return s.start + s.lasts + s.after
}

// begin and end are the disturbance in time of the run.
func (s scenario) begin(w workload) time.Duration { return w.warm + s.start }
func (s scenario) end(w workload) time.Duration   { return s.begin(w) + s.lasts }

// peak returns the greatest value of rate.
func (s scenario) peak(_ workload, org int) float64 {
	if s.load == 0 || s.greedy != 0 && s.greedy != org+1 {
		return 1
	}
	return max(1, s.load)
}

// rate returns an organisation's load at a time over its steady load.
func (s scenario) rate(w workload, org int, at time.Duration) float64 {
	if at < s.begin(w) || at >= s.end(w) {
		return 1
	}
	return s.peak(w, org)
}

func (s scenario) drops(k *kind) bool { return s.withoutLong && k.long }

// shift returns how often the hot set has changed.
func (s scenario) shift(w workload, at time.Duration) int {
	if s.shifted && at >= s.begin(w) {
		return 1
	}
	return 0
}

// weights returns the version of the weights that callers ask for.
func (s scenario) weights(w workload, at time.Duration) int {
	if s.newWeights && at >= s.end(w) {
		return 2
	}
	return 1
}

// scenarios returns all scenarios in the order of the tables.
func scenarios() []scenario {
	const start, settle = disturbanceStart, 20 * time.Second
	return []scenario{
		{name: "steady"},
		{name: "crest", start: start, lasts: 20 * time.Second, after: settle, load: 2 / steadyLoad},
		{name: "slowed", inject: slowInTurn},
		{name: "hot-shift", start: start, after: 40 * time.Second, shifted: true},
		{name: "herd-restart", start: start, after: settle, inject: restartAll},
		{name: "engine-crash", start: start, lasts: 5 * time.Second, after: settle, inject: crashOne},
		{name: "long-and-short"},
		{name: "short-only", withoutLong: true},
		{name: "short-filled", withoutLong: true, filled: true},
		{name: "frozen", start: start, lasts: 10 * time.Second, after: settle, inject: freezeOne},
		{name: "new-weights", start: start, lasts: 14 * time.Second, after: settle, newWeights: true, inject: loadWeights},
		{name: "stale-reports", reportLag: staleLag, inject: slowInTurn},
		{name: "cut", start: start, lasts: 8 * time.Second, after: settle, inject: cutDataCentre},
		{name: "daemon-replaced", start: start, lasts: 5 * time.Second, after: settle, inject: replaceOne},
		{name: "greedy", start: start, lasts: 20 * time.Second, after: settle, load: greedyLoad, greedy: 2},
		{name: "outage", start: start, lasts: 3 * time.Second, after: settle, callersRetry: true, inject: crashAll},
	}
}

const (
	// staleLag is the age of load reports in stale-reports.
	staleLag = 2 * time.Second
	// greedyLoad is the factor on the second organisation's traffic, which
	// brings all traffic to one and a half times the capacity.
	greedyLoad = 5.8
)
