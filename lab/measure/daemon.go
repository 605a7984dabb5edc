package measure

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// daemon is one instance of the router. Its Scheduler sees only the daemon's own
// traffic.
type daemon struct {
	index      int
	dataCentre int
	scheduler  routing.Scheduler
	// generation is incremented each time the scheduler is replaced.
	generation int
	down       bool
	// queued holds the calls that wait in this daemon, in order of arrival.
	queued []*call
	// inRotation says for each engine whether the daemon sends it new requests.
	inRotation []bool
	// nextWake is the time of the scheduled wake-up; zero means none.
	nextWake         time.Duration
	schedulerRunning bool
	// activeAttempts holds the attempts that have not ended, by ID.
	activeAttempts map[int]*attempt
}

const (
	// detectionDelay is how long the daemons take to detect that an engine or
	// a peer has become unreachable or reachable.
	detectionDelay = time.Second
	// maxDetectionSpread bounds the difference between daemons in detecting it.
	maxDetectionSpread = 250 * time.Millisecond
)

// replaceScheduler gives the daemon a new Scheduler that knows only the engines
// and the number of reachable daemons.
func (sim *simulation) replaceScheduler(d *daemon) {
	d.generation++
	d.nextWake = 0
	d.scheduler = sim.newScheduler(routing.Settings{
		HedgePercent: hedgePercent, RetryPercent: retryPercent,
		Seed: mix(sim.seed, uint64(d.index*1000+d.generation)), DisabledRules: sim.disabledRules,
	})
	d.scheduler.SetDaemonCount(wallTime(sim.now), sim.countReachable(d))
	sim.setEndpoints(d)
}

const (
	hedgePercent = 5
	retryPercent = 10
)

// countReachable returns how many daemons d can reach, including itself.
func (sim *simulation) countReachable(d *daemon) int {
	n := 1
	for _, peer := range sim.daemons {
		if peer != d && !peer.down && !sim.net.isPartitioned(sim.now, d.dataCentre, peer.dataCentre) {
			n++
		}
	}
	return n
}

// updateDaemonCounts sets the number of reachable daemons at all daemons after
// detectionDelay.
func (sim *simulation) updateDaemonCounts() {
	sim.after(detectionDelay, func() {
		for _, d := range sim.daemons {
			if !d.down {
				d.scheduler.SetDaemonCount(wallTime(sim.now), sim.countReachable(d))
				sim.runScheduler(d)
			}
		}
	})
}

func (sim *simulation) setEndpoints(d *daemon) {
	var eps []routing.Endpoint
	for i, e := range sim.engines {
		if !d.inRotation[i] {
			continue
		}
		eps = append(eps, routing.Endpoint{
			ID: e.id, Incarnation: e.incarnationName(), Weights: slices.Clone(e.weights),
			Slots: sim.workload.engine.Slots, Delay: sim.net.baseDelay(d.dataCentre, e.dataCentre), Hash: prefix.NodeHash(e.id),
		})
	}
	d.scheduler.SetEndpoints(wallTime(sim.now), eps)
	sim.runScheduler(d)
}

// setInRotation makes all daemons use or avoid an engine, each after a random delay
// below maxDetectionSpread.
func (sim *simulation) setInRotation(e *engine, inRotation bool) {
	for _, d := range sim.daemons {
		sim.after(time.Duration(sim.rand.Int64N(int64(maxDetectionSpread))), func() {
			sim.setInRotationAt(d, e, inRotation)
		})
	}
}

func (sim *simulation) setInRotationAt(d *daemon, e *engine, inRotation bool) {
	d.inRotation[slices.Index(sim.engines, e)] = inRotation
	if d.down {
		return
	}
	if !inRotation {
		sim.failPendingAttempts(d, e)
	}
	sim.setEndpoints(d)
}

// failPendingAttempts fails the daemon's attempts without a first token at e if e
// is unreachable.
func (sim *simulation) failPendingAttempts(d *daemon, e *engine) {
	if !sim.unreachable(d, e) {
		return
	}
	for _, id := range sortedKeys(d.activeAttempts) {
		a := d.activeAttempts[id]
		if a.engine == e && !a.firstToken {
			sim.handleFailure(a, connectionLost)
			sim.cancelAttempt(a)
		}
	}
}

// runScheduler applies the scheduler's actions until there are none left and
// schedules its next wake-up.
func (sim *simulation) runScheduler(d *daemon) {
	if d.schedulerRunning || d.down {
		return
	}
	d.schedulerRunning = true
	for {
		acts := slices.Clone(d.scheduler.Advance(wallTime(sim.now)))
		for _, act := range acts {
			sim.apply(d, act)
		}
		if len(acts) == 0 {
			break
		}
	}
	d.schedulerRunning = false
	sim.scheduleWake(d)
}

func (sim *simulation) scheduleWake(d *daemon) {
	next := d.scheduler.NextWake(wallTime(sim.now))
	if next.IsZero() {
		return
	}
	at := max(next.Sub(wallTime(0)), sim.now+minWakeDelay)
	if d.nextWake > sim.now && d.nextWake <= at {
		return
	}
	d.nextWake = at
	generation := d.generation
	sim.at(at, func() {
		if d.nextWake == at && d.generation == generation {
			d.nextWake = 0
			sim.runScheduler(d)
		}
	})
}

// minWakeDelay makes virtual time advance even if a scheduler is always due.
const minWakeDelay = 10 * time.Microsecond
