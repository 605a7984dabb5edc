package measure

import (
	"io"
)

// group holds the results of one workload, scenario, policy and set of disabled rules
// for several seeds.
type group []Result

func groups(results []Result) []group {
	type key struct{ workload, scenario, policy, without string }
	index := map[key]int{}
	var out []group
	for _, r := range results {
		k := key{r.Workload, r.Scenario, r.Policy, r.DisabledRules}
		i, ok := index[k]
		if !ok {
			i = len(out)
			index[k] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], r)
	}
	return out
}

// median returns the median of a figure over the group's seeds.
func (g group) median(f func(Result) float64) float64 {
	var values []float64
	for _, r := range g {
		values = append(values, f(r))
	}
	return medianOf(values)
}

// total returns the sum of a count over the group's seeds.
func (g group) total(f func(Result) int) int {
	n := 0
	for _, r := range g {
		n += f(r)
	}
	return n
}

// writeTable prints sums of counts and medians of the other figures over the seeds.
func writeTable(out io.Writer, results []Result) error {
	p := printer{out: out}
	p.line("| workload | scenario | policy | seeds | requests | completed | refused | lost | hit rate | of ideal | wasted | TTFT p50 ms | TTFT p99 ms | short wait p99 ms | goodput | late refusals | hedges | retries |")
	p.line("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, g := range groups(results) {
		r := g[0]
		p.line("| %s | %s | %s | %d | %d | %d | %d | %d | %.3f | %.3f | %.2f | %.0f | %.0f | %.0f | %.3f | %d | %.3f | %.3f |",
			r.Workload, r.Scenario, r.Policy, len(g),
			g.total(func(r Result) int { return r.Requests }), g.total(func(r Result) int { return r.Completed }),
			g.total(func(r Result) int { return r.Refused }), g.total(func(r Result) int { return r.Lost }),
			g.median(func(r Result) float64 { return r.PrefixHitRate }), g.median(func(r Result) float64 { return r.HitRateOfIdeal }),
			g.median(func(r Result) float64 { return r.WastedOfUnavoidable }), g.median(func(r Result) float64 { return r.TTFTp50 }),
			g.median(ttftP99), g.median(shortWaitP99), g.median(func(r Result) float64 { return r.GoodputShare }),
			g.total(func(r Result) int { return r.RefusedLate }), g.median(func(r Result) float64 { return r.HedgeShare }),
			g.median(func(r Result) float64 { return r.RetryShare }))
	}
	writeRecoveries(&p, results)
	writeOthers(&p, results)
	writeHomes(&p, results)
	return p.err
}

// writeRecoveries prints the impact of the disturbance and the recovery from it, for
// scenarios that have one.
func writeRecoveries(p *printer, results []Result) {
	p.line("")
	p.line("| workload | scenario | policy | least good share in a second | least hit rate of ideal in a second | of ideal before | first second | 10 s after | recovery s (median) | recovery s (worst) | never back |")
	p.line("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, g := range groups(results) {
		r := g[0]
		if r.HitOfIdealBefore == 0 {
			continue
		}
		never, worst := 0, 0.0
		for _, r := range g {
			worst = max(worst, r.RecoverySeconds)
			if r.RecoverySeconds < 0 {
				never++
			}
		}
		p.line("| %s | %s | %s | %.2f | %.2f | %.3f | %.3f | %.3f | %.0f | %.0f | %d of %d |", r.Workload, r.Scenario, r.Policy,
			g.median(func(r Result) float64 { return r.MinGoodShare }), g.median(func(r Result) float64 { return r.MinHitOfIdeal }),
			g.median(func(r Result) float64 { return r.HitOfIdealBefore }), g.median(func(r Result) float64 { return r.HitOfIdealFirstSecond }),
			g.median(func(r Result) float64 { return r.HitOfIdealAfter10s }), g.median(recoverySeconds), worst, never, len(g))
	}
}

// writeHomes prints the numbers of homes of hot prefixes before and after a hot shift.
func writeHomes(p *printer, results []Result) {
	p.line("")
	p.line("| workload | policy | seed | homes of the prefix that was hot, before | after | homes of the prefix that becomes hot, before | after |")
	p.line("| --- | --- | ---: | ---: | ---: | ---: | ---: |")
	for _, r := range results {
		if len(r.HomesOfOldHot) == 2 {
			p.line("| %s | %s | %d | %d | %d | %d | %d |", r.Workload, r.Policy, r.Seed, r.HomesOfOldHot[0], r.HomesOfOldHot[1], r.HomesOfNewHot[0], r.HomesOfNewHot[1])
		}
	}
}

// writeOthers prints the waits and refusals of the other organisations with and
// without a greedy one.
func writeOthers(p *printer, results []Result) {
	p.line("")
	p.line("| workload | policy | others' wait p99 ms beside a greedy organisation | without | others refused |")
	p.line("| --- | --- | ---: | ---: | ---: |")
	for _, g := range groups(results) {
		if g[0].OthersWaitP99 == 0 {
			continue
		}
		p.line("| %s | %s | %.0f | %.0f | %.3f |", g[0].Workload, g[0].Policy,
			g.median(func(r Result) float64 { return r.OthersWaitP99 }),
			g.median(func(r Result) float64 { return r.OthersWaitP99Without }),
			g.median(func(r Result) float64 { return r.OthersRefusedShare }))
	}
}
