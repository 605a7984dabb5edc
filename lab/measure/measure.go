// Package measure runs the product's own decisions, package routing, against
// engine models in virtual time and compares them with simple policies.
//
// A run is a discrete-event simulation without goroutines: seven daemons, each
// with a Scheduler of its own that sees only its own traffic, peers' gossip
// every 250 ms and load reports that are half a second old; engine models in
// three data centres; callers that keep an entries answer for some seconds.
// Everything that moves time comes from the seed, so a run repeats exactly.
//
//	go run ./lab measure                       all workloads, scenarios and policies, one seed, a table
//	  --workload trust,hilos                   which workloads
//	  --scenario steady,slowed,crest,...       which scenarios
//	  --policy verbenabend,round-robin,...     which policies
//	  --seed 1 --seed 2                        which seeds, repeatable
//	  --seeds 5                                seeds 1 to 5 instead
//	  --without RULE                           turn off a rule of the product's policy, repeatable
//	  --json                                   one JSON object a run and line
//	  --quick                                  a quarter of the time
//	  --targets                                each target's bound, median and worst figure, met or missed
//	  --rules                                  the main figures with each rule turned off, one at a time
//
// Without --json the tables give medians over the seeds, and sums for counts.
//
// The offered load is a share of a capacity in requests a second: the rate at
// which all slots of all engines are taken when each request computes the
// prompt tokens that one cache as large as all engines' together would miss.
// A policy cannot exceed it but by what finishes late.
package measure

import (
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// Cmd is the command line of the tool.
type Cmd struct {
	Workload []string `help:"Workloads to run; default all." placeholder:"NAME"`
	Scenario []string `help:"Scenarios to run; default all." placeholder:"NAME"`
	Policy   []string `help:"Policies to run; default all." placeholder:"NAME"`
	Seed     []uint64 `help:"Seeds to run; default 1." placeholder:"N"`
	Seeds    uint64   `help:"Run seeds 1 to N." placeholder:"N"`
	Without  []string `help:"Turn off a rule of the product's policy." placeholder:"RULE"`
	JSON     bool     `help:"Print one JSON object a line." name:"json"`
	Quick    bool     `help:"Run a quarter of the time."`
	Targets  bool     `help:"Print the targets, the figures and whether they are met."`
	Rules    bool     `help:"Print what the product's policy does with each of its rules turned off."`

	out io.Writer
}

// Run executes the command and prints to standard output.
func (c *Cmd) Run() error {
	if c.out == nil {
		c.out = os.Stdout
	}
	plan, err := c.plan()
	if err != nil {
		return err
	}
	if c.Rules {
		plan = rulePlan(plan)
	}
	results, err := runAll(plan)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(c.out, results)
	}
	if c.Rules {
		return writeRules(c.out, results)
	}
	if c.Targets {
		return writeTargets(c.out, results)
	}
	return writeTable(c.out, results)
}

// policyOf is a policy by name.
type policyOf struct {
	name string
	make newScheduler
}

func policies() []policyOf {
	return []policyOf{
		{"verbenabend", func(s routing.Settings) routing.Scheduler { return routing.New(s) }},
		{"round-robin", newRoundRobin},
		{"least-outstanding", newLeastOutstanding},
		{"single-home", newSingleHome},
	}
}

// job is one run. Jobs that differ in the policy alone have the same trace.
type job struct {
	load     workload
	scenario scenario
	seed     uint64
	policy   policyOf
	without  []string
	// mean is the mean request, by which the capacity is computed.
	mean func() means
}

// meanOf returns a function that calibrates a workload at its first call.
func meanOf(l workload, seed uint64) func() means {
	return sync.OnceValue(func() means { return calibrate(l, seed) })
}

func (c *Cmd) plan() ([]job, error) {
	loads, err := chosen("workload", workloads(), c.Workload, func(w workload) string { return w.name })
	if err != nil {
		return nil, err
	}
	scens, err := chosen("scenario", scenarios(), c.Scenario, func(s scenario) string { return s.name })
	if err != nil {
		return nil, err
	}
	pols, err := chosen("policy", policies(), c.Policy, func(p policyOf) string { return p.name })
	if err != nil {
		return nil, err
	}
	if _, err := chosen("rule", ruleNames(), c.Without, func(r string) string { return r }); err != nil {
		return nil, err
	}
	var plan []job
	for _, l := range loads {
		if c.Quick {
			l = quick(l)
		}
		for _, seed := range c.allSeeds() {
			mean := meanOf(l, seed)
			for _, s := range scens {
				for _, p := range pols {
					plan = append(plan, job{l, s, seed, p, c.Without, mean})
				}
			}
		}
	}
	return plan, nil
}

// quickPart divides the times of a quick run.
const quickPart = 4

func quick(l workload) workload {
	l.warm /= quickPart
	l.measured /= quickPart
	return l
}

func (c *Cmd) allSeeds() []uint64 {
	seeds := slices.Clone(c.Seed)
	for s := uint64(1); s <= c.Seeds; s++ {
		seeds = append(seeds, s)
	}
	if len(seeds) == 0 {
		seeds = []uint64{1}
	}
	return seeds
}

// chosen returns the entries with the given names, all when none is given.
func chosen[T any](what string, all []T, names []string, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []T
	var known []string
	for _, x := range all {
		known = append(known, nameOf(x))
		if slices.Contains(names, nameOf(x)) {
			out = append(out, x)
		}
	}
	for _, n := range names {
		if !slices.Contains(known, n) {
			return nil, errors.Newf("unknown %s %q; known are %s", what, n, strings.Join(known, ", "))
		}
	}
	return out, nil
}

// maxParallel bounds the runs at the same time.
const maxParallel = 5

// runAll runs the plan on several cores; results come in the plan's order.
func runAll(plan []job) ([]Result, error) {
	results := make([]Result, len(plan))
	var g errgroup.Group
	g.SetLimit(maxParallel)
	for i, j := range plan {
		g.Go(func() error {
			results[i] = j.run()
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return results, nil
}

func (j job) run() Result {
	r := j.runScenario(j.scenario)
	if j.scenario.greedy > 0 {
		twin := j.scenario
		twin.load = 1
		r.OthersWaitP99Without = j.runScenario(twin).OthersWaitP99
	}
	return r
}

func (j job) runScenario(s scenario) Result {
	t := newTrace(j.load, s, j.seed, j.mean())
	w := newWorld(j.load, s, j.seed, j.policy.make, j.without, &t)
	w.play()
	r := w.result(j.policy.name)
	r.Without = strings.Join(j.without, ",")
	return r
}

func writeJSON(out io.Writer, results []Result) error {
	e := json.NewEncoder(out)
	for _, r := range results {
		if err := e.Encode(r); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	return nil
}
