package measure

import (
	"fmt"
	"io"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// ruleNames returns the rules of the product's policy that can be turned off.
func ruleNames() []string {
	return []string{
		routing.RuleHomes, routing.RuleNestedHomes, routing.RuleHomeGrowth, routing.RuleHomeOrder, routing.RuleHints,
		routing.RulePrice, routing.RuleLoadPrice, routing.RuleSlowdown, routing.RuleWaiting, routing.RuleProgress,
		routing.RulePeerLoad, routing.RulePeerSlowdown, routing.RuleReports, routing.RuleEjection, routing.RuleLimits,
		routing.RulePatience, routing.RuleFairness, routing.RuleEarlyRefusal, routing.RuleDeferral,
		routing.RuleHedges, routing.RuleCrowd, routing.RuleHeadroom, routing.RulePeerHints,
	}
}

// ruleFigure is a column of the table of rules.
type ruleFigure struct {
	what     string
	scenario string
	digits   string
	figure   func(Result) float64
}

func ruleFigures() []ruleFigure {
	const ms, share = "%.0f", "%.3f"
	return []ruleFigure{
		{"steady: of ideal", "steady", share, func(r Result) float64 { return r.HitRateOfIdeal }},
		{"steady: wasted", "steady", share, func(r Result) float64 { return r.WastedOfUnavoidable }},
		{"steady: p99 ms", "steady", ms, ttftP99},
		{"steady: short wait ms", "steady", ms, shortWaitP99},
		{"slowed: p99 ms", "slowed", ms, ttftP99},
		{"slowed: wasted", "slowed", share, func(r Result) float64 { return r.WastedOfUnavoidable }},
		{"hot-shift: of ideal after 10 s", "hot-shift", share, func(r Result) float64 { return r.HitLater }},
		{"crest: goodput", "crest", share, func(r Result) float64 { return r.GoodputShare }},
		{"crest: p99 ms", "crest", ms, ttftP99},
		{"crest: recovery s", "crest", ms, recovery},
		{"greedy: others' wait ms", "greedy", ms, func(r Result) float64 { return r.OthersWaitP99 }},
		{"greedy: others refused", "greedy", share, func(r Result) float64 { return r.OthersRefused }},
		{"herd-restart: first second", "herd-restart", share, func(r Result) float64 { return r.HitFirstSecond / r.HitBefore }},
		{"engine-crash: p99 ms", "engine-crash", ms, ttftP99},
		{"frozen: p99 ms", "frozen", ms, ttftP99},
		{"outage: not served", "outage", share, func(r Result) float64 { return float64(r.Refused+r.Lost) / float64(r.Requests) }},
		{"outage: p99 ms", "outage", ms, ttftP99},
	}
}

// rulePlan turns every job of the product into one with all rules and one without each.
func rulePlan(plan []job) []job {
	measured := map[string]bool{}
	for _, f := range ruleFigures() {
		measured[f.scenario] = true
	}
	var out []job
	for _, j := range plan {
		if j.policy.name != product || !measured[j.scenario.name] {
			continue
		}
		j.without = nil
		out = append(out, j)
		for _, rule := range ruleNames() {
			j.without = []string{rule}
			out = append(out, j)
		}
	}
	return out
}

// writeRules prints, for every rule, the figures with that one rule off.
func writeRules(out io.Writer, results []Result) error {
	at := map[[3]string]group{}
	for _, g := range groups(results) {
		at[[3]string{g[0].Workload, g[0].Scenario, g[0].Without}] = g
	}
	p := printer{out: out}
	for _, load := range workloads() {
		header, rule := "| "+load.name+", without |", "| --- |"
		for _, f := range ruleFigures() {
			header += " " + f.what + " |"
			rule += " ---: |"
		}
		p.line("%s", header)
		p.line("%s", rule)
		for _, name := range append([]string{""}, ruleNames()...) {
			p.line("%s", ruleRow(load.name, name, at))
		}
		p.line("")
	}
	return p.err
}

func ruleRow(load, rule string, at map[[3]string]group) string {
	row := "| " + rule + " |"
	if rule == "" {
		row = "| (all rules on) |"
	}
	for _, f := range ruleFigures() {
		cell := ""
		if g := at[[3]string{load, f.scenario, rule}]; len(g) > 0 {
			cell = fmt.Sprintf(f.digits, g.median(f.figure))
		}
		row += " " + cell + " |"
	}
	return row
}
