package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/lab/enginemodel"
)

// schedulerFactory creates a policy's Scheduler for one daemon.
type schedulerFactory func(routing.Settings) routing.Scheduler

// simulation is one run: daemons, engines and callers in virtual time.
type simulation struct {
	timeline
	workload      workload
	scenario      scenario
	seed          uint64
	disabledRules []string
	newScheduler  schedulerFactory
	classes       map[string]class
	rand          *rand.Rand
	// entriesRand draws the entries responses. It is separate from rand, whose
	// draws depend on the policy.
	entriesRand    *rand.Rand
	net            network
	reportLag      time.Duration
	daemons        []*daemon
	engines        []*engine
	trace          *trace
	callsByID      map[string]*call
	calls          []*call
	cachedEntries  []cachedEntry
	lastAttemptID  int
	counters       counters
	progressBuffer []enginemodel.Progress
	// totalsAtWarmupEnd is subtracted from the final totals.
	totalsAtWarmupEnd engineTotals
}

// counters counts events of a run other than the outcomes of calls.
type counters struct {
	attempts, hedges, retries, callerRetries, lateRefusals int
	// forbiddenRepeats counts hedged and retried attempts of requests that may not
	// be repeated.
	forbiddenRepeats int
	// gossipBytes is the total size of the daemons' gossip messages.
	gossipBytes int
}

// cachedEntry is the daemon in the entries response that one caller has cached.
type cachedEntry struct {
	daemon    *daemon
	expiresAt time.Duration
}

// entryMaxAge is the longest time for which callers cache an entries response.
const entryMaxAge = 10 * time.Second

func newSimulation(workload workload, s scenario, seed uint64, factory schedulerFactory, disabledRules []string, t *trace) *simulation {
	sim := &simulation{
		workload: workload, scenario: s, seed: seed, disabledRules: disabledRules, newScheduler: factory, classes: classes(),
		rand: newRand(seed, "world"), entriesRand: newRand(seed, "entries"), reportLag: defaultReportLag, trace: t,
		callsByID:     make(map[string]*call, len(t.arrivals)),
		cachedEntries: make([]cachedEntry, len(workload.organisationShares)*callersPerOrganisation),
	}
	if s.reportLag > 0 {
		sim.reportLag = s.reportLag
	}
	sim.net = network{rand: newRand(seed, "network"), workload: &sim.workload}
	sim.addEngines()
	sim.addDaemons()
	sim.addCalls()
	if s.injectFaults != nil {
		s.injectFaults(sim)
	}
	return sim
}

func (sim *simulation) addEngines() {
	for i := range sim.workload.engines {
		e := &engine{
			id: fmt.Sprintf("10.0.%d.%d:8000", i%len(sim.workload.dataCentres), i), dataCentre: i % len(sim.workload.dataCentres),
			model: enginemodel.New(sim.workload.engine), weights: []string{weightsName(1)}, activeAttempts: map[int]*attempt{},
		}
		sim.engines = append(sim.engines, e)
		sim.after(time.Duration(sim.rand.Int64N(int64(reportInterval))), func() { sim.sendLoadReport(e) })
	}
}

func (sim *simulation) addDaemons() {
	for i := range sim.workload.daemons {
		d := &daemon{index: i, dataCentre: i % len(sim.workload.dataCentres), inRotation: make([]bool, len(sim.engines)), activeAttempts: map[int]*attempt{}}
		for j := range d.inRotation {
			d.inRotation[j] = true
		}
		sim.daemons = append(sim.daemons, d)
	}
	for _, d := range sim.daemons {
		sim.replaceScheduler(d)
		sim.after(time.Duration(sim.rand.Int64N(int64(gossipInterval))), func() { sim.sendGossip(d) })
	}
	if _, ok := sim.daemons[0].scheduler.(routing.ProgressObserver); ok {
		for _, e := range sim.engines {
			sim.after(time.Duration(sim.rand.Int64N(int64(routing.ProgressInterval))), func() { sim.sendProgress(e) })
		}
	}
}

func (sim *simulation) addCalls() {
	for i := range sim.trace.arrivals {
		c := &call{arrival: &sim.trace.arrivals[i], requestID: fmt.Sprintf("r%d", i)}
		sim.callsByID[c.requestID] = c
		sim.calls = append(sim.calls, c)
		sim.at(c.at, func() { sim.sendRequest(c) })
	}
}

// maxDrainTime limits how long a run goes on after the last arrival. Calls that
// are still open then count as lost.
const maxDrainTime = 200 * time.Second

func (sim *simulation) simulate() {
	sim.at(sim.workload.warmup, func() { sim.totalsAtWarmupEnd = sim.engineTotals() })
	end := sim.workload.warmup + sim.scenario.arrivalsDuration(sim.workload)
	for until := end; until < end+maxDrainTime; until += time.Second {
		sim.run(until)
		if until > end && sim.allEnded() {
			break
		}
	}
	for _, c := range sim.calls {
		if c.state == open {
			c.state = lost
		}
	}
}

func (sim *simulation) allEnded() bool {
	for i := len(sim.calls) - 1; i >= 0; i-- {
		if sim.calls[i].state == open {
			return false
		}
	}
	return true
}

// entryDaemon returns the daemon in a caller's cached entries response and renews
// the response if it has expired.
func (sim *simulation) entryDaemon(caller int) *daemon {
	entry := &sim.cachedEntries[caller]
	if entry.daemon == nil || sim.now >= entry.expiresAt {
		entry.daemon = sim.pickEntryDaemon(caller % len(sim.workload.dataCentres))
		entry.expiresAt = sim.now + entryMaxAge/2 + time.Duration(sim.entriesRand.Int64N(int64(entryMaxAge/2)))
	}
	return entry.daemon
}

func (sim *simulation) dropCachedEntry(caller int) { sim.cachedEntries[caller].daemon = nil }

// pickEntryDaemon picks a random daemon that is up, in the given data centre if
// there is one. It picks among all daemons if none is up.
func (sim *simulation) pickEntryDaemon(dataCentre int) *daemon {
	var near, all []*daemon
	for _, d := range sim.daemons {
		if d.down {
			continue
		}
		all = append(all, d)
		if d.dataCentre == dataCentre {
			near = append(near, d)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		near = sim.daemons
	}
	return near[sim.entriesRand.IntN(len(near))]
}

func (sim *simulation) engineByID(id string) *engine {
	for _, e := range sim.engines {
		if e.id == id {
			return e
		}
	}
	panic("policy chose an engine that does not exist: " + id)
}

// unreachable reports whether d gets no responses from e.
func (sim *simulation) unreachable(d *daemon, e *engine) bool {
	return e.down || e.frozen || sim.net.isPartitioned(sim.now, d.dataCentre, e.dataCentre)
}

func organisationName(i int) string { return fmt.Sprintf("organisation-%d", i) }
