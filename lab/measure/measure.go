// Package measure simulates the product's scheduler, package routing, against
// engine models in virtual time and compares it with simple policies.
//
// A run is a discrete-event simulation without goroutines: seven daemons, each
// with its own Scheduler, which sees only the daemon's traffic, peers' gossip at
// most every 250 ms and load reports that are half a second old; engine models
// in three data centres; callers that cache an entries response for some
// seconds. All randomness derives from the seed, so a run repeats exactly.
//
//	go run ./lab measure                       all workloads, scenarios and policies, one seed, a table
//	  --workload trust,hilos                   which workloads
//	  --scenario steady,slowed,crest,...       which scenarios
//	  --policy verbenabend,round-robin,...     which policies
//	  --seed 1 --seed 2                        which seeds, repeatable
//	  --seeds 5                                seeds 1 to 5 instead
//	  --without RULE                           turn off a rule of the product's policy, repeatable
//	  --json                                   one JSON object per run and line
//	  --quick                                  a quarter of the virtual time
//	  --targets                                each target's bound, median and worst value, met or missed
//	  --rules                                  the main figures with all rules on and with each one off
//
// Without --json, the tables show medians over the seeds, and sums for counts.
//
// The offered load is a fraction of the capacity. The capacity is the request
// rate at which all slots of all engines are taken if each request computes only
// the prompt tokens that a single cache as large as all engines' caches together
// would miss. A policy's throughput cannot exceed it, except for work that
// finishes after the period counted.
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

// Cmd is the command line of `lab measure`.
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

// Run runs the selected simulations and prints the results to standard output.
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

// namedPolicy is a policy with the name that flags and reports use.
type namedPolicy struct {
	name         string
	newScheduler schedulerFactory
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"verbenabend", func(s routing.Settings) routing.Scheduler { return routing.New(s) }},
		{"round-robin", newRoundRobin},
		{"least-outstanding", newLeastOutstanding},
		{"single-home", newSingleHome},
	}
}

// job is one run. Jobs that differ only in the policy have the same trace.
type job struct {
	workload      workload
	scenario      scenario
	seed          uint64
	policy        namedPolicy
	disabledRules []string
	// means returns the mean request, from which the capacity is computed.
	means func() requestMeans
}

// lazyMeans returns a function that calibrates a workload on its first call.
func lazyMeans(w workload, seed uint64) func() requestMeans {
	return sync.OnceValue(func() requestMeans { return calibrate(w, seed) })
}

func (c *Cmd) plan() ([]job, error) {
	selectedWorkloads, err := selectByName("workload", workloads(), c.Workload, func(w workload) string { return w.name })
	if err != nil {
		return nil, err
	}
	selectedScenarios, err := selectByName("scenario", scenarios(), c.Scenario, func(s scenario) string { return s.name })
	if err != nil {
		return nil, err
	}
	selectedPolicies, err := selectByName("policy", policies(), c.Policy, func(p namedPolicy) string { return p.name })
	if err != nil {
		return nil, err
	}
	if _, err := selectByName("rule", ruleNames(), c.Without, func(r string) string { return r }); err != nil {
		return nil, err
	}
	var plan []job
	for _, w := range selectedWorkloads {
		if c.Quick {
			w = shorten(w)
		}
		for _, seed := range c.allSeeds() {
			mean := lazyMeans(w, seed)
			for _, s := range selectedScenarios {
				for _, p := range selectedPolicies {
					plan = append(plan, job{w, s, seed, p, c.Without, mean})
				}
			}
		}
	}
	return plan, nil
}

// quickDivisor divides the warm-up and the measured time of a quick run.
const quickDivisor = 4

func shorten(w workload) workload {
	w.warmup /= quickDivisor
	w.measuredTime /= quickDivisor
	return w
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

// selectByName returns the entries with the given names, or all if names is empty.
// It returns an error that lists the valid names if one is unknown.
func selectByName[T any](what string, all []T, names []string, nameOf func(T) string) ([]T, error) {
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
			return nil, errors.Newf("unknown %s %q; valid names are %s", what, n, strings.Join(known, ", "))
		}
	}
	return out, nil
}

// maxParallelRuns limits how many runs execute at once.
const maxParallelRuns = 5

// runAll executes the plan in parallel and returns the results in the plan's order.
func runAll(plan []job) ([]Result, error) {
	results := make([]Result, len(plan))
	var g errgroup.Group
	g.SetLimit(maxParallelRuns)
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
	if j.scenario.greedyOrganisation > 0 {
		withinShare := j.scenario
		withinShare.loadFactor = 1
		r.OthersWaitP99Without = j.runScenario(withinShare).OthersWaitP99
	}
	return r
}

func (j job) runScenario(s scenario) Result {
	t := newTrace(j.workload, s, j.seed, j.means())
	sim := newSimulation(j.workload, s, j.seed, j.policy.newScheduler, j.disabledRules, &t)
	sim.simulate()
	r := sim.result(j.policy.name)
	r.DisabledRules = strings.Join(j.disabledRules, ",")
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
