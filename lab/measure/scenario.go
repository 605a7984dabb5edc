package measure

import (
	"time"
)

// scenario describes the load and faults of a run. The zero value is steady traffic.
type scenario struct {
	name string
	// start is the time from the end of the warm-up to the beginning of the
	// disturbance, duration the length of the disturbance.
	start, duration time.Duration
	// trailingTime is how long arrivals go on after the disturbance. Zero means
	// that they go on for the workload's measuredTime after the warm-up.
	trailingTime time.Duration
	// loadFactor is the offered load during the disturbance over the steady load;
	// zero means 1.
	loadFactor float64
	// greedyOrganisation is the only organisation that loadFactor applies to,
	// counted from 1; zero means all.
	greedyOrganisation int
	// shiftsHotSet makes other prefixes hot from the beginning of the disturbance.
	shiftsHotSet bool
	// omitsLong leaves out requests with long responses; keepsOfferedWork raises
	// the rate of the others to offer the same work.
	omitsLong, keepsOfferedWork bool
	// switchesWeights makes callers request the new weights after the disturbance.
	switchesWeights bool
	// callersRetry makes callers retry refused requests.
	callersRetry bool
	// reportLag overrides defaultReportLag if it is not zero.
	reportLag time.Duration
	// injectFaults schedules the scenario's faults; nil means none.
	injectFaults func(*simulation)
}

const disturbanceStart = 20 * time.Second

func (s scenario) arrivalsDuration(w workload) time.Duration {
	if s.trailingTime == 0 {
		return w.measuredTime
	}
	return s.start + s.duration + s.trailingTime
}

// begin and end return the beginning and the end of the disturbance in run time.
func (s scenario) begin(w workload) time.Duration { return w.warmup + s.start }
func (s scenario) end(w workload) time.Duration   { return s.begin(w) + s.duration }

// maxRateFactor returns the maximum of rateFactor over time.
func (s scenario) maxRateFactor(_ workload, org int) float64 {
	if s.loadFactor == 0 || s.greedyOrganisation != 0 && s.greedyOrganisation != org+1 {
		return 1
	}
	return max(1, s.loadFactor)
}

// rateFactor returns an organisation's offered load at a time over its steady load.
func (s scenario) rateFactor(w workload, org int, at time.Duration) float64 {
	if at < s.begin(w) || at >= s.end(w) {
		return 1
	}
	return s.maxRateFactor(w, org)
}

func (s scenario) omits(k *requestKind) bool { return s.omitsLong && k.long }

// hotShifts returns how often the hot set has changed by a time.
func (s scenario) hotShifts(w workload, at time.Duration) int {
	if s.shiftsHotSet && at >= s.begin(w) {
		return 1
	}
	return 0
}

// weightsVersion returns the version of the weights that callers request at a time.
func (s scenario) weightsVersion(w workload, at time.Duration) int {
	if s.switchesWeights && at >= s.end(w) {
		return 2
	}
	return 1
}

// scenarios returns all scenarios in the order in which they are printed.
func scenarios() []scenario {
	const start, settle = disturbanceStart, 20 * time.Second
	return []scenario{
		{name: "steady"},
		{name: "crest", start: start, duration: 20 * time.Second, trailingTime: settle, loadFactor: 2 / steadyLoadFraction},
		{name: "slowed", injectFaults: rotateSlowdowns},
		{name: "hot-shift", start: start, trailingTime: 40 * time.Second, shiftsHotSet: true},
		{name: "herd-restart", start: start, trailingTime: settle, injectFaults: restartAllDaemons},
		{name: "engine-crash", start: start, duration: 5 * time.Second, trailingTime: settle, injectFaults: crashOneEngine},
		{name: "long-and-short"},
		{name: "short-only", omitsLong: true},
		{name: "short-filled", omitsLong: true, keepsOfferedWork: true},
		{name: "frozen", start: start, duration: 10 * time.Second, trailingTime: settle, injectFaults: freezeOneEngine},
		{name: "new-weights", start: start, duration: 14 * time.Second, trailingTime: settle, switchesWeights: true, injectFaults: loadWeights},
		{name: "stale-reports", reportLag: staleReportLag, injectFaults: rotateSlowdowns},
		{name: "cut", start: start, duration: 8 * time.Second, trailingTime: settle, injectFaults: partitionLastDataCentre},
		{name: "daemon-replaced", start: start, duration: 5 * time.Second, trailingTime: settle, injectFaults: replaceOneDaemon},
		{name: "greedy", start: start, duration: 20 * time.Second, trailingTime: settle, loadFactor: greedyLoadFactor, greedyOrganisation: 2},
		{name: "outage", start: start, duration: 3 * time.Second, trailingTime: settle, callersRetry: true, injectFaults: crashAllEngines},
	}
}

const (
	// staleReportLag is the lag of load reports in the scenario stale-reports.
	staleReportLag = 2 * time.Second
	// greedyLoadFactor, applied to the second organisation, raises the total load
	// to one and a half times the capacity.
	greedyLoadFactor = 5.8
)
