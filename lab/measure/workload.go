package measure

import (
	"time"

	"github.com/verbenabend/verbenabend/lab/enginemodel"
)

// workload describes one team's service and traffic.
type workload struct {
	name        string
	dataCentres []string
	daemons     int
	engines     int
	engine      enginemodel.Spec
	// delay is the one-way delay between data centres, local within one.
	delay, local time.Duration
	// client is the one-way delay between callers and daemons.
	client time.Duration
	// organisations holds each organisation's share of the traffic, which is also its share by right.
	organisations []int
	kinds         []kind
	// roots and branches are the numbers of first and second levels an organisation has.
	roots, branches int
	// rootSkew and branchSkew are exponents of the Zipf distributions over them.
	rootSkew, branchSkew float64
	// rootBytes and branchBytes bound the lengths of the two levels.
	rootBytes, branchBytes span
	warm, measured         time.Duration
}

// span is an interval of integers, both ends included.
type span struct{ low, high int }

// kind is a kind of request.
type kind struct {
	name string
	// part of the requests, in percent.
	part int
	// deepest is the prompt's number of shared levels, 1 or 2.
	deepest int
	// question is the length of the unshared last level in bytes.
	question span
	// output is the answer's length in tokens; allowed is what callers state as the maximum.
	output     span
	allowed    []int
	class      string
	repeatable bool
	short      bool
	long       bool
}

const (
	pieceBytes    = 4000
	bytesPerToken = 4
	pieceTokens   = pieceBytes / bytesPerToken
)

func trust() workload {
	return workload{
		name:        "trust",
		dataCentres: []string{"merrimack", "housatonic", "kennebec"},
		daemons:     7,
		engines:     9,
		engine: enginemodel.Spec{
			Slots: 16, QueueLimit: 32, CachePieces: 160, PieceTokens: pieceTokens, PrefillWays: 2,
			PrefillRate: 24000, DecodeRate: 60, BatchSlope: 0.03, Interference: 0.3,
		},
		delay: 3 * time.Millisecond, local: 300 * time.Microsecond, client: 3 * time.Millisecond,
		organisations: []int{8, 6, 4, 1, 1, 1, 1, 1},
		kinds: []kind{
			{name: "opinion", part: 42, deepest: 2, question: span{1500, 7000}, output: span{100, 400}, allowed: []int{1024, 1024, 1024, 4096}, class: "interactive", repeatable: true},
			{name: "long-opinion", part: 4, deepest: 2, question: span{3000, 9000}, output: span{2000, 4000}, allowed: []int{4096}, class: "interactive", repeatable: true, long: true},
			{name: "desk", part: 40, deepest: 1, question: span{100, 400}, output: span{20, 60}, allowed: []int{256}, class: "interactive", repeatable: true, short: true},
			{name: "order", part: 4, deepest: 1, question: span{200, 800}, output: span{20, 60}, allowed: []int{256}, class: "interactive", short: true},
			{name: "review", part: 10, deepest: 2, question: span{1500, 4000}, output: span{200, 500}, allowed: []int{1024}, class: "deferrable", repeatable: true},
		},
		roots: 3, branches: 12, rootSkew: 1.2, branchSkew: 1.4,
		rootBytes: span{9000, 20000}, branchBytes: span{20000, 70000},
		warm: 100 * time.Second, measured: 240 * time.Second,
	}
}

func hilos() workload {
	return workload{
		name:        "hilos",
		dataCentres: []string{"armenia", "pereira", "manizales"},
		daemons:     7,
		engines:     12,
		engine: enginemodel.Spec{
			Slots: 16, QueueLimit: 32, CachePieces: 100, PieceTokens: pieceTokens, PrefillWays: 2,
			PrefillRate: 32000, DecodeRate: 60, BatchSlope: 0.03, Interference: 0.3,
		},
		delay: 6 * time.Millisecond, local: 300 * time.Microsecond, client: 3 * time.Millisecond,
		organisations: []int{8, 6, 4, 1, 1, 1, 1, 1},
		kinds: []kind{
			{name: "stock", part: 50, deepest: 2, question: span{200, 1600}, output: span{30, 110}, allowed: []int{256, 256, 256, 4096}, class: "interactive", repeatable: true, short: true},
			{name: "small", part: 33, deepest: 1, question: span{100, 400}, output: span{15, 50}, allowed: []int{256}, class: "interactive", repeatable: true, short: true},
			{name: "order", part: 4, deepest: 1, question: span{200, 800}, output: span{20, 60}, allowed: []int{256}, class: "interactive", short: true},
			{name: "comparison", part: 3, deepest: 2, question: span{400, 2000}, output: span{700, 1500}, allowed: []int{4096}, class: "interactive", repeatable: true, long: true},
			{name: "digest", part: 10, deepest: 2, question: span{400, 2000}, output: span{60, 200}, allowed: []int{1024}, class: "deferrable", repeatable: true},
		},
		roots: 5, branches: 10, rootSkew: 1.1, branchSkew: 0.9,
		rootBytes: span{24000, 48000}, branchBytes: span{8000, 20000},
		warm: 40 * time.Second, measured: 100 * time.Second,
	}
}

func workloads() []workload { return []workload{trust(), hilos()} }

// class is a class of work with what its callers accept.
type class struct {
	priority   int
	deferrable bool
	maxWait    time.Duration
	// inTime bounds the time to first token of work that counts as served in time.
	inTime time.Duration
}

func classes() map[string]class {
	return map[string]class{
		"interactive": {priority: 5, maxWait: 2 * time.Second, inTime: 4 * time.Second},
		"deferrable":  {priority: 1, deferrable: true, maxWait: time.Minute, inTime: 64 * time.Second},
	}
}
