package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/lab/enginemodel"
)

// newScheduler makes a policy's Scheduler for one daemon.
type newScheduler func(routing.Settings) routing.Scheduler

// world is one run: daemons, engines and callers in virtual time.
type world struct {
	timeline
	load     workload
	scenario scenario
	seed     uint64
	without  []string
	policy   newScheduler
	classes  map[string]class
	rand     *rand.Rand
	// entryRand draws the entries answers, apart from what policies cause.
	entryRand *rand.Rand
	net       network
	lag       time.Duration
	daemons   []*daemon
	engines   []*engine
	trace     *trace
	calls     map[string]*call
	ordered   []*call
	entries   []entryAnswer
	attempts  int
	tally     tally
	progress  []enginemodel.Progress
	// atWarm is taken at the end of the warm-up.
	atWarm marks
}

// tally counts what happens besides the calls' own ends.
type tally struct {
	starts, hedges, retries, callerRetries, refusalsLate int
	// forbidden counts hedges and retries of work that may not be repeated.
	forbidden int
	// gossipBytes counts what daemons sent to one another.
	gossipBytes int
}

// entryAnswer is the entries answer that one caller keeps.
type entryAnswer struct {
	daemon *daemon
	until  time.Duration
}

// entryMaxAge is how long callers keep an entries answer.
const entryMaxAge = 10 * time.Second

func newWorld(l workload, s scenario, seed uint64, policy newScheduler, without []string, t *trace) *world {
	w := &world{
		load: l, scenario: s, seed: seed, without: without, policy: policy, classes: classes(),
		rand: newRand(seed, "world"), entryRand: newRand(seed, "entries"), lag: reportLag, trace: t,
		calls:   make(map[string]*call, len(t.arrivals)),
		entries: make([]entryAnswer, len(l.organisations)*callersPerOrganisation),
	}
	if s.reportLag > 0 {
		w.lag = s.reportLag
	}
	w.net = network{rand: newRand(seed, "network"), load: &w.load}
	w.addEngines()
	w.addDaemons()
	w.addCalls()
	if s.inject != nil {
		s.inject(w)
	}
	return w
}

func (w *world) addEngines() {
	for i := range w.load.engines {
		e := &engine{
			id: fmt.Sprintf("10.0.%d.%d:8000", i%len(w.load.dataCentres), i), dataCentre: i % len(w.load.dataCentres),
			model: enginemodel.New(w.load.engine), weights: []string{weightsName(1)}, attempts: map[int]*attempt{},
		}
		w.engines = append(w.engines, e)
		w.after(time.Duration(w.rand.Int64N(int64(reportInterval))), func() { w.report(e) })
	}
}

func (w *world) addDaemons() {
	for i := range w.load.daemons {
		d := &daemon{index: i, dataCentre: i % len(w.load.dataCentres), listed: make([]bool, len(w.engines)), attempts: map[int]*attempt{}}
		for j := range d.listed {
			d.listed[j] = true
		}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		w.replace(d)
		w.after(time.Duration(w.rand.Int64N(int64(gossipInterval))), func() { w.gossip(d) })
	}
	if _, ok := w.daemons[0].scheduler.(routing.ProgressObserver); ok {
		for _, e := range w.engines {
			w.after(time.Duration(w.rand.Int64N(int64(routing.ProgressInterval))), func() { w.streams(e) })
		}
	}
}

func (w *world) addCalls() {
	for i := range w.trace.arrivals {
		c := &call{arrival: &w.trace.arrivals[i], requestID: fmt.Sprintf("r%d", i)}
		w.calls[c.requestID] = c
		w.ordered = append(w.ordered, c)
		w.at(c.at, func() { w.arrive(c) })
	}
}

// drainTime is how long a run goes on after the last arrival.
const drainTime = 200 * time.Second

func (w *world) play() {
	w.at(w.load.warm, func() { w.atWarm = w.mark() })
	end := w.load.warm + w.scenario.length(w.load)
	for until := end; until < end+drainTime; until += time.Second {
		w.run(until)
		if until > end && w.settled() {
			break
		}
	}
	for _, c := range w.ordered {
		if c.state == open {
			c.state = lost
		}
	}
}

func (w *world) settled() bool {
	for i := len(w.ordered) - 1; i >= 0; i-- {
		if w.ordered[i].state == open {
			return false
		}
	}
	return true
}

// entry returns the daemon in a caller's entries answer, asking again when that is too old.
func (w *world) entry(caller int) *daemon {
	answer := &w.entries[caller]
	if answer.daemon == nil || w.now >= answer.until {
		answer.daemon = w.nearest(caller % len(w.load.dataCentres))
		answer.until = w.now + entryMaxAge/2 + time.Duration(w.entryRand.Int64N(int64(entryMaxAge/2)))
	}
	return answer.daemon
}

func (w *world) forget(caller int) { w.entries[caller].daemon = nil }

// nearest picks at random among the live daemons of a data centre, else of all.
func (w *world) nearest(dataCentre int) *daemon {
	var near, all []*daemon
	for _, d := range w.daemons {
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
		near = w.daemons
	}
	return near[w.entryRand.IntN(len(near))]
}

func (w *world) engineByID(id string) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	panic("policy chose an engine that does not exist: " + id)
}

// unreachable reports whether d gets no answer from e.
func (w *world) unreachable(d *daemon, e *engine) bool {
	return e.down || e.frozen || w.net.separated(w.now, d.dataCentre, e.dataCentre)
}

func organisationName(i int) string { return fmt.Sprintf("organisation-%d", i) }
