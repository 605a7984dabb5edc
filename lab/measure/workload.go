package measure

import (
	"time"

	"github.com/verbenabend/verbenabend/lab/enginemodel"
)

// workload describes the traffic of one service and the fleet that serves it.
type workload struct {
	name        string
	dataCentres []string
	daemons     int
	engines     int
	engine      enginemodel.Spec
	// interCentreDelay is the one-way delay between data centres, localDelay within one.
	interCentreDelay, localDelay time.Duration
	// callerDelay is the one-way delay between callers and daemons.
	callerDelay time.Duration
	// organisationShares holds each organisation's share of the steady traffic,
	// which is also its configured share.
	organisationShares []int
	kinds              []requestKind
	// rootCount and branchCount are the numbers of first and second prompt
	// levels that an organisation draws from.
	rootCount, branchCount int
	// rootSkew and branchSkew are the exponents of the Zipf distributions over them.
	rootSkew, branchSkew float64
	// rootBytes and branchBytes are the ranges of the two levels' lengths.
	rootBytes, branchBytes intRange
	warmup, measuredTime   time.Duration
}

// intRange is a range of integers that includes both ends.
type intRange struct{ low, high int }

// requestKind describes one kind of request in a workload.
type requestKind struct {
	name string
	// percent is the kind's share of the requests, in percent.
	percent int
	// sharedLevels is the number of shared prompt levels, 1 or 2.
	sharedLevels int
	// questionBytes is the length of the unshared last level in bytes.
	questionBytes intRange
	// outputTokens is the length of the response; maxOutputTokens lists the limits
	// that callers set, drawn with equal probability.
	outputTokens    intRange
	maxOutputTokens []int
	class           string
	repeatable      bool
	short           bool
	long            bool
}

const (
	blockBytes    = 4000
	bytesPerToken = 4
	blockTokens   = blockBytes / bytesPerToken
)

func trustWorkload() workload {
	return workload{
		name:        "trust",
		dataCentres: []string{"merrimack", "housatonic", "kennebec"},
		daemons:     7,
		engines:     9,
		engine: enginemodel.Spec{
			Slots: 16, QueueLimit: 32, CacheBlocks: 160, BlockTokens: blockTokens, MaxPrefills: 2,
			PrefillRate: 24000, DecodeRate: 60, BatchSlowdown: 0.03, PrefillInterference: 0.3,
		},
		interCentreDelay: 3 * time.Millisecond, localDelay: 300 * time.Microsecond, callerDelay: 3 * time.Millisecond,
		organisationShares: []int{8, 6, 4, 1, 1, 1, 1, 1},
		kinds: []requestKind{
			{name: "opinion", percent: 42, sharedLevels: 2, questionBytes: intRange{1500, 7000}, outputTokens: intRange{100, 400}, maxOutputTokens: []int{1024, 1024, 1024, 4096}, class: "interactive", repeatable: true},
			{name: "long-opinion", percent: 4, sharedLevels: 2, questionBytes: intRange{3000, 9000}, outputTokens: intRange{2000, 4000}, maxOutputTokens: []int{4096}, class: "interactive", repeatable: true, long: true},
			{name: "desk", percent: 40, sharedLevels: 1, questionBytes: intRange{100, 400}, outputTokens: intRange{20, 60}, maxOutputTokens: []int{256}, class: "interactive", repeatable: true, short: true},
			{name: "order", percent: 4, sharedLevels: 1, questionBytes: intRange{200, 800}, outputTokens: intRange{20, 60}, maxOutputTokens: []int{256}, class: "interactive", short: true},
			{name: "review", percent: 10, sharedLevels: 2, questionBytes: intRange{1500, 4000}, outputTokens: intRange{200, 500}, maxOutputTokens: []int{1024}, class: "deferrable", repeatable: true},
		},
		rootCount: 3, branchCount: 12, rootSkew: 1.2, branchSkew: 1.4,
		rootBytes: intRange{9000, 20000}, branchBytes: intRange{20000, 70000},
		warmup: 100 * time.Second, measuredTime: 240 * time.Second,
	}
}

func hilosWorkload() workload {
	return workload{
		name:        "hilos",
		dataCentres: []string{"armenia", "pereira", "manizales"},
		daemons:     7,
		engines:     12,
		engine: enginemodel.Spec{
			Slots: 16, QueueLimit: 32, CacheBlocks: 100, BlockTokens: blockTokens, MaxPrefills: 2,
			PrefillRate: 32000, DecodeRate: 60, BatchSlowdown: 0.03, PrefillInterference: 0.3,
		},
		interCentreDelay: 6 * time.Millisecond, localDelay: 300 * time.Microsecond, callerDelay: 3 * time.Millisecond,
		organisationShares: []int{8, 6, 4, 1, 1, 1, 1, 1},
		kinds: []requestKind{
			{name: "stock", percent: 50, sharedLevels: 2, questionBytes: intRange{200, 1600}, outputTokens: intRange{30, 110}, maxOutputTokens: []int{256, 256, 256, 4096}, class: "interactive", repeatable: true, short: true},
			{name: "small", percent: 33, sharedLevels: 1, questionBytes: intRange{100, 400}, outputTokens: intRange{15, 50}, maxOutputTokens: []int{256}, class: "interactive", repeatable: true, short: true},
			{name: "order", percent: 4, sharedLevels: 1, questionBytes: intRange{200, 800}, outputTokens: intRange{20, 60}, maxOutputTokens: []int{256}, class: "interactive", short: true},
			{name: "comparison", percent: 3, sharedLevels: 2, questionBytes: intRange{400, 2000}, outputTokens: intRange{700, 1500}, maxOutputTokens: []int{4096}, class: "interactive", repeatable: true, long: true},
			{name: "digest", percent: 10, sharedLevels: 2, questionBytes: intRange{400, 2000}, outputTokens: intRange{60, 200}, maxOutputTokens: []int{1024}, class: "deferrable", repeatable: true},
		},
		rootCount: 5, branchCount: 10, rootSkew: 1.1, branchSkew: 0.9,
		rootBytes: intRange{24000, 48000}, branchBytes: intRange{8000, 20000},
		warmup: 40 * time.Second, measuredTime: 100 * time.Second,
	}
}

func workloads() []workload { return []workload{trustWorkload(), hilosWorkload()} }

// class is a request class with its limits.
type class struct {
	priority   int
	deferrable bool
	maxWait    time.Duration
	// firstTokenGoal is the greatest time to first token that counts as in time.
	firstTokenGoal time.Duration
}

func classes() map[string]class {
	return map[string]class{
		"interactive": {priority: 5, maxWait: 2 * time.Second, firstTokenGoal: 4 * time.Second},
		"deferrable":  {priority: 1, deferrable: true, maxWait: time.Minute, firstTokenGoal: 64 * time.Second},
	}
}
