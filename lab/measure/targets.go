package measure

import (
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// target is a bound on a figure of the product's policy.
type target struct {
	title string
	// limit is the least allowed value if atLeast is set, else the greatest.
	limit   float64
	atLeast bool
	// judgeWorstSeed compares the worst seed with the limit instead of the median.
	judgeWorstSeed bool
	// figure returns the value for one workload and seed, or false if the results
	// that it needs are missing.
	figure func(at resultLookup) (float64, bool)
}

// resultLookup returns the result of a scenario and policy for one workload and seed,
// or false if there is none.
type resultLookup func(scenario, policy string) (Result, bool)

const productPolicy = "verbenabend"

// figureOf returns a target.figure that applies f to the product's result in a scenario.
func figureOf(scenario string, f func(Result) float64) func(resultLookup) (float64, bool) {
	return func(at resultLookup) (float64, bool) {
		r, ok := at(scenario, productPolicy)
		return f(r), ok
	}
}

// ratioOf returns a target.figure that divides f of the product's result by f of another.
func ratioOf(scenario, otherScenario, otherPolicy string, f func(Result) float64) func(resultLookup) (float64, bool) {
	return func(at resultLookup) (float64, bool) {
		r, ok := at(scenario, productPolicy)
		other, found := at(otherScenario, otherPolicy)
		return f(r) / f(other), ok && found && f(other) != 0
	}
}

// worstOf returns a target.figure that is the product's greatest f over all scenarios.
func worstOf(f func(Result) float64) func(resultLookup) (float64, bool) {
	return func(at resultLookup) (float64, bool) {
		worst, found := 0.0, false
		for _, s := range scenarios() {
			if r, ok := at(s.name, productPolicy); ok {
				worst, found = max(worst, f(r)), true
			}
		}
		return worst, found
	}
}

func ttftP99(r Result) float64      { return r.TTFTp99 }
func shortWaitP99(r Result) float64 { return r.ShortWaitP99 }
func wastedTokens(r Result) float64 { return float64(r.WastedRecomputeTokens) }

func recoverySeconds(r Result) float64 {
	if r.RecoverySeconds < 0 {
		return math.Inf(1)
	}
	return r.RecoverySeconds
}

func targets() []target {
	return []target{
		{title: "hit rate of ideal, steady", limit: 0.95, atLeast: true, figure: figureOf("steady", func(r Result) float64 { return r.HitRateOfIdeal })},
		{title: "hit rate of ideal, 10 s after a hot shift", limit: 0.95, atLeast: true, figure: figureOf("hot-shift", func(r Result) float64 { return r.HitOfIdealAfter10s })},
		{title: "wasted over least-outstanding's, steady", limit: 0.25, figure: ratioOf("steady", "steady", "least-outstanding", wastedTokens)},
		{title: "wasted over least-outstanding's, hot-shift", limit: 0.25, figure: ratioOf("hot-shift", "hot-shift", "least-outstanding", wastedTokens)},
		{title: "TTFT p99 slowed over steady", limit: 1.5, figure: ratioOf("slowed", "steady", productPolicy, ttftP99)},
		{title: "TTFT p99 slowed over round-robin's", limit: 0.25, figure: ratioOf("slowed", "slowed", "round-robin", ttftP99)},
		{title: "crest: work in time over capacity", limit: 0.95, atLeast: true, figure: figureOf("crest", func(r Result) float64 { return r.GoodputShare })},
		{title: "crest: late refusals and lost requests", limit: 0, judgeWorstSeed: true, figure: figureOf("crest", func(r Result) float64 { return float64(r.RefusedLate + r.Lost) })},
		{title: "crest: seconds until back to steady", limit: 5, figure: figureOf("crest", recoverySeconds)},
		{title: "short work's wait p99 beside long over without", limit: 1.3, figure: ratioOf("long-and-short", "short-only", productPolicy, shortWaitP99)},
		{title: "the same at equal offered work", limit: 1.3, figure: ratioOf("long-and-short", "short-filled", productPolicy, shortWaitP99)},
		{title: "others' wait p99 beside a greedy organisation over without", limit: 1, figure: figureOf("greedy", func(r Result) float64 { return r.OthersWaitP99 / r.OthersWaitP99Without })},
		{title: "herd restart: hit rate in the first second over before", limit: 0.9, atLeast: true, figure: figureOf("herd-restart", func(r Result) float64 { return r.HitOfIdealFirstSecond / r.HitOfIdealBefore })},
		{title: "retries over requests, worst scenario", limit: 0.10, judgeWorstSeed: true, figure: worstOf(func(r Result) float64 { return r.RetryShare })},
		{title: "hedges over requests, worst scenario", limit: 0.05, judgeWorstSeed: true, figure: worstOf(func(r Result) float64 { return r.HedgeShare })},
		{title: "gossip bytes that a daemon sends a second, worst scenario", limit: 4096, judgeWorstSeed: true, figure: worstOf(func(r Result) float64 { return r.GossipBytesPerSecond })},
		{title: "repeats of work that may not be repeated, worst scenario", limit: 0, judgeWorstSeed: true, figure: worstOf(func(r Result) float64 { return float64(r.ForbiddenRepeats) })},
	}
}

// writeTargets prints each target's bound, its median and worst value over the seeds,
// and whether it is met.
func writeTargets(out io.Writer, results []Result) error {
	p := printer{out: out}
	p.line("| workload | target | bound | median | worst | verdict |")
	p.line("| --- | --- | --- | --- | --- | --- |")
	for _, w := range workloads() {
		for _, t := range targets() {
			values := t.values(w.name, results)
			if len(values) == 0 {
				p.line("| %s | %s | %s | | | not run |", w.name, t.title, t.bound())
				continue
			}
			median, worst := t.summary(values)
			p.line("| %s | %s | %s | %.3f | %.3f | %s |", w.name, t.title, t.bound(), median, worst, t.verdict(median, worst))
		}
	}
	return p.err
}

// values returns the target's figure for every seed of a workload that has it.
func (t target) values(workload string, results []Result) []float64 {
	type key struct {
		scenario, policy string
		seed             uint64
	}
	known := map[key]Result{}
	var seeds []uint64
	for _, r := range results {
		if r.Workload != workload {
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
	if t.judgeWorstSeed {
		v = worst
	}
	if t.atLeast && v >= t.limit || !t.atLeast && v <= t.limit {
		return "met"
	}
	return "missed"
}

// medianOf returns the median, or the upper of the two middle values.
func medianOf(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// printer writes lines until the first error, which it keeps.
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
