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
		routing.RuleRecomputePrice, routing.RuleLoadPrice, routing.RuleSlowdown, routing.RuleWaitingEvidence, routing.RuleProgressEvidence,
		routing.RulePeerLoad, routing.RulePeerSlowdown, routing.RuleLoadReports, routing.RuleEjection, routing.RuleLimits,
		routing.RulePatience, routing.RuleFairness, routing.RuleEarlyRefusal, routing.RuleDeferral,
		routing.RuleHedges, routing.RuleCrowdPrice, routing.RuleShareHeadroom, routing.RulePeerHints,
	}
}

// ruleFigure is a column of the table that writeRules prints.
type ruleFigure struct {
	title    string
	scenario string
	format   string
	value    func(Result) float64
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
		{"hot-shift: of ideal after 10 s", "hot-shift", share, func(r Result) float64 { return r.HitOfIdealAfter10s }},
		{"crest: goodput", "crest", share, func(r Result) float64 { return r.GoodputShare }},
		{"crest: p99 ms", "crest", ms, ttftP99},
		{"crest: recovery s", "crest", ms, recoverySeconds},
		{"greedy: others' wait ms", "greedy", ms, func(r Result) float64 { return r.OthersWaitP99 }},
		{"greedy: others refused", "greedy", share, func(r Result) float64 { return r.OthersRefusedShare }},
		{"herd-restart: first second", "herd-restart", share, func(r Result) float64 { return r.HitOfIdealFirstSecond / r.HitOfIdealBefore }},
		{"engine-crash: p99 ms", "engine-crash", ms, ttftP99},
		{"frozen: p99 ms", "frozen", ms, ttftP99},
		{"outage: not served", "outage", share, func(r Result) float64 { return float64(r.Refused+r.Lost) / float64(r.Requests) }},
		{"outage: p99 ms", "outage", ms, ttftP99},
	}
}

// rulePlan replaces each job of the product's policy whose scenario is in the table
// by one job with all rules on and one for each rule turned off. It drops the others.
func rulePlan(plan []job) []job {
	measured := map[string]bool{}
	for _, f := range ruleFigures() {
		measured[f.scenario] = true
	}
	var out []job
	for _, j := range plan {
		if j.policy.name != productPolicy || !measured[j.scenario.name] {
			continue
		}
		j.disabledRules = nil
		out = append(out, j)
		for _, rule := range ruleNames() {
			j.disabledRules = []string{rule}
			out = append(out, j)
		}
	}
	return out
}

// writeRules prints the figures with all rules on and with each single rule off.
func writeRules(out io.Writer, results []Result) error {
	groupsByKey := map[[3]string]group{}
	for _, g := range groups(results) {
		groupsByKey[[3]string{g[0].Workload, g[0].Scenario, g[0].DisabledRules}] = g
	}
	p := printer{out: out}
	for _, w := range workloads() {
		header, rule := "| "+w.name+", without |", "| --- |"
		for _, f := range ruleFigures() {
			header += " " + f.title + " |"
			rule += " ---: |"
		}
		p.line("%s", header)
		p.line("%s", rule)
		for _, name := range append([]string{""}, ruleNames()...) {
			p.line("%s", ruleRow(w.name, name, groupsByKey))
		}
		p.line("")
	}
	return p.err
}

func ruleRow(workload, rule string, groupsByKey map[[3]string]group) string {
	row := "| " + rule + " |"
	if rule == "" {
		row = "| (all rules on) |"
	}
	for _, f := range ruleFigures() {
		cell := ""
		if g := groupsByKey[[3]string{workload, f.scenario, rule}]; len(g) > 0 {
			cell = fmt.Sprintf(f.format, g.median(f.value))
		}
		row += " " + cell + " |"
	}
	return row
}
