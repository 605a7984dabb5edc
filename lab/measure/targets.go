package measure

import (
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// target is a bound on the product's policy and how the figure comes from results.
type target struct {
	what string
	// limit is the least value if atLeast, else the greatest.
	limit   float64
	atLeast bool
	// every makes the verdict hang on the worst seed instead of the median one.
	every bool
	// figure returns the value for one workload and seed; false means not measured.
	figure func(at lookup) (float64, bool)
}

// lookup finds a result of one workload and seed.
type lookup func(scenario, policy string) (Result, bool)

const product = "verbenabend"

// of makes a figure of one result of the product.
func of(scenario string, f func(Result) float64) func(lookup) (float64, bool) {
	return func(at lookup) (float64, bool) {
		r, ok := at(scenario, product)
		return f(r), ok
	}
}

// over makes a figure that compares the product's result with another one.
func over(scenario, otherScenario, otherPolicy string, f func(Result) float64) func(lookup) (float64, bool) {
	return func(at lookup) (float64, bool) {
		r, ok := at(scenario, product)
		other, found := at(otherScenario, otherPolicy)
		return f(r) / f(other), ok && found && f(other) != 0
	}
}

// greatest makes a figure of the product's worst scenario.
func greatest(f func(Result) float64) func(lookup) (float64, bool) {
	return func(at lookup) (float64, bool) {
		worst, found := 0.0, false
		for _, s := range scenarios() {
			if r, ok := at(s.name, product); ok {
				worst, found = max(worst, f(r)), true
			}
		}
		return worst, found
	}
}

func ttftP99(r Result) float64      { return r.TTFTp99 }
func shortWaitP99(r Result) float64 { return r.ShortWaitP99 }
func wastedTokens(r Result) float64 { return float64(r.WastedRecomputeTokens) }

func recovery(r Result) float64 {
	if r.RecoverySeconds < 0 {
		return math.Inf(1)
	}
	return r.RecoverySeconds
}

func targets() []target {
	return []target{
		{what: "hit rate of ideal, steady", limit: 0.95, atLeast: true, figure: of("steady", func(r Result) float64 { return r.HitRateOfIdeal })},
		{what: "hit rate of ideal, 10 s after a hot shift", limit: 0.95, atLeast: true, figure: of("hot-shift", func(r Result) float64 { return r.HitLater })},
		{what: "wasted over least-outstanding's, steady", limit: 0.25, figure: over("steady", "steady", "least-outstanding", wastedTokens)},
		{what: "wasted over least-outstanding's, hot-shift", limit: 0.25, figure: over("hot-shift", "hot-shift", "least-outstanding", wastedTokens)},
		{what: "TTFT p99 slowed over steady", limit: 1.5, figure: over("slowed", "steady", product, ttftP99)},
		{what: "TTFT p99 slowed over round-robin's", limit: 0.25, figure: over("slowed", "slowed", "round-robin", ttftP99)},
		{what: "crest: work in time over capacity", limit: 0.95, atLeast: true, figure: of("crest", func(r Result) float64 { return r.GoodputShare })},
		{what: "crest: late refusals and lost requests", limit: 0, every: true, figure: of("crest", func(r Result) float64 { return float64(r.RefusedLate + r.Lost) })},
		{what: "crest: seconds until back to steady", limit: 5, figure: of("crest", recovery)},
		{what: "short work's wait p99 beside long over without", limit: 1.3, figure: over("long-and-short", "short-only", product, shortWaitP99)},
		{what: "the same at equal offered work", limit: 1.3, figure: over("long-and-short", "short-filled", product, shortWaitP99)},
		{what: "others' wait p99 beside a greedy organisation over without", limit: 1, figure: of("greedy", func(r Result) float64 { return r.OthersWaitP99 / r.OthersWaitP99Without })},
		{what: "herd restart: hit rate in the first second over before", limit: 0.9, atLeast: true, figure: of("herd-restart", func(r Result) float64 { return r.HitFirstSecond / r.HitBefore })},
		{what: "retries over requests, worst scenario", limit: 0.10, every: true, figure: greatest(func(r Result) float64 { return r.RetryShare })},
		{what: "hedges over requests, worst scenario", limit: 0.05, every: true, figure: greatest(func(r Result) float64 { return r.HedgeShare })},
		{what: "gossip bytes that a daemon sends a second, worst scenario", limit: 4096, every: true, figure: greatest(func(r Result) float64 { return r.GossipBytes })},
		{what: "repeats of work that may not be repeated, worst scenario", limit: 0, every: true, figure: greatest(func(r Result) float64 { return float64(r.Forbidden) })},
	}
}

// writeTargets prints each target's bound, the median and the worst seed's figure, and whether it is met.
func writeTargets(out io.Writer, results []Result) error {
	p := printer{out: out}
	p.line("| workload | target | bound | median | worst | verdict |")
	p.line("| --- | --- | --- | --- | --- | --- |")
	for _, load := range workloads() {
		for _, t := range targets() {
			values := t.values(load.name, results)
			if len(values) == 0 {
				p.line("| %s | %s | %s | | | not run |", load.name, t.what, t.bound())
				continue
			}
			median, worst := t.summary(values)
			p.line("| %s | %s | %s | %.3f | %.3f | %s |", load.name, t.what, t.bound(), median, worst, t.verdict(median, worst))
		}
	}
	return p.err
}

// values returns the target's figure of every seed.
func (t target) values(load string, results []Result) []float64 {
	type key struct {
		scenario, policy string
		seed             uint64
	}
	known := map[key]Result{}
	var seeds []uint64
	for _, r := range results {
		if r.Workload != load {
			continue
		}
		known[key{r.Scenario, r.Policy, r.Seed}] = r
		if !slices.Contains(seeds, r.Seed) {
			seeds = append(seeds, r.Seed)
		}
	}
	var values []float64
	for _, seed := range seeds {
		v, ok := t.figure(func(scenario, policy string) (Result, bool) {
			r, ok := known[key{scenario, policy, seed}]
			return r, ok
		})
		if ok {
			values = append(values, v)
		}
	}
	return values
}

func (t target) bound() string {
	if t.atLeast {
		return fmt.Sprintf("at least %g", t.limit)
	}
	return fmt.Sprintf("at most %g", t.limit)
}

func (t target) summary(values []float64) (median, worst float64) {
	worst = slices.Max(values)
	if t.atLeast {
		worst = slices.Min(values)
	}
	return medianOf(values), worst
}

func (t target) verdict(median, worst float64) string {
	v := median
	if t.every {
		v = worst
	}
	if t.atLeast && v >= t.limit || !t.atLeast && v <= t.limit {
		return "met"
	}
	return "missed"
}

// medianOf returns the middle value, the upper one of two.
func medianOf(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// printer writes lines and keeps the first error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err != nil {
		return
	}
	if _, err := fmt.Fprintf(p.out, format+"\n", args...); err != nil {
		p.err = errors.Wrap(err, "write table")
	}
}
