package measure

import (
	"slices"
	"time"
)

const (
	slowedEngineCount = 2
	slowFactor        = 5
	slowInterval      = 4 * time.Second
	// daemonRestartTime is how long each daemon is down in a herd restart.
	daemonRestartTime = 300 * time.Millisecond
	// preLoadDrainTime is how long an engine is out of rotation before it loads weights.
	preLoadDrainTime = 500 * time.Millisecond
	// weightsLoadTime is how long an engine is stopped while it loads weights.
	weightsLoadTime = 1200 * time.Millisecond
	// maxConcurrentLoads is how many engines load weights at once.
	maxConcurrentLoads = 2
)

// rotateSlowdowns slows slowedEngineCount random engines at a time and picks
// others every slowInterval.
func rotateSlowdowns(sim *simulation) {
	r := newRand(sim.seed, "slowed")
	var slowed []*engine
	var rotate func()
	rotate = func() {
		for _, e := range slowed {
			sim.setSlowdown(e, 1)
		}
		slowed = slowed[:0]
		for _, i := range r.Perm(len(sim.engines))[:slowedEngineCount] {
			slowed = append(slowed, sim.engines[i])
			sim.setSlowdown(sim.engines[i], slowFactor)
		}
		sim.after(slowInterval, rotate)
	}
	sim.at(sim.workload.warmup-slowInterval, rotate)
}

// restartAllDaemons restarts all daemons at once.
func restartAllDaemons(sim *simulation) {
	begin := sim.scenario.begin(sim.workload)
	for _, d := range sim.daemons {
		sim.at(begin, func() { sim.stopDaemon(d) })
		sim.at(begin+daemonRestartTime, func() { sim.startDaemon(d) })
	}
}

// replaceOneDaemon stops a random daemon and starts its replacement at the end of
// the disturbance.
func replaceOneDaemon(sim *simulation) {
	d := sim.daemons[newRand(sim.seed, "replaced").IntN(len(sim.daemons))]
	sim.at(sim.scenario.begin(sim.workload), func() {
		sim.stopDaemon(d)
		sim.updateDaemonCounts()
	})
	sim.at(sim.scenario.end(sim.workload), func() {
		sim.startDaemon(d)
		sim.updateDaemonCounts()
	})
}

// stopDaemon stops a daemon without draining. Started streams resume through
// other daemons; callers resend requests without a first token if these are
// repeatable.
func (sim *simulation) stopDaemon(d *daemon) {
	d.down = true
	queued := d.queued
	d.queued = nil
	for _, c := range queued {
		sim.resend(c)
	}
	for _, id := range sortedKeys(d.activeAttempts) {
		a := d.activeAttempts[id]
		if a == nil || a.call.winner != nil {
			continue
		}
		for _, other := range slices.Clone(a.call.activeAttempts) {
			sim.cancelAttempt(other)
		}
		a.call.activeAttempts = nil
		sim.resend(a.call)
	}
}

func (sim *simulation) resend(c *call) {
	if !c.kind.repeatable {
		c.state = lost
		return
	}
	sim.after(reconnectDelay, func() { sim.sendRequest(c) })
}

func (sim *simulation) startDaemon(d *daemon) {
	d.down = false
	sim.replaceScheduler(d)
}

// crashOneEngine crashes a random engine and restores it at the end of the disturbance.
func crashOneEngine(sim *simulation) {
	e := sim.engines[newRand(sim.seed, "crash").IntN(len(sim.engines))]
	sim.at(sim.scenario.begin(sim.workload), func() { sim.crashEngine(e) })
	sim.at(sim.scenario.end(sim.workload), func() { sim.restoreEngine(e) })
}

// crashAllEngines crashes all engines and restores them at the end of the disturbance.
func crashAllEngines(sim *simulation) {
	for _, e := range sim.engines {
		sim.at(sim.scenario.begin(sim.workload), func() { sim.crashEngine(e) })
		sim.at(sim.scenario.end(sim.workload), func() { sim.restoreEngine(e) })
	}
}

// crashEngine drops an engine's jobs and cache; daemons see their connections fail.
func (sim *simulation) crashEngine(e *engine) {
	e.down = true
	e.model.Crash(sim.now)
	for _, id := range sortedKeys(e.activeAttempts) {
		a := e.activeAttempts[id]
		sim.sendToDaemon(a, func() { sim.handleFailure(a, connectionLost) })
	}
	clear(e.activeAttempts)
	sim.processEvents(e)
	sim.after(detectionDelay, func() { sim.setInRotation(e, !e.down) })
}

// restoreEngine brings a crashed engine back with an empty cache.
func (sim *simulation) restoreEngine(e *engine) {
	e.down = false
	e.incarnation++
	sim.after(detectionDelay, func() { sim.setInRotation(e, true) })
}

// freezeOneEngine stops a random engine's progress, with its connections open, until
// the end of the disturbance.
func freezeOneEngine(sim *simulation) {
	e := sim.engines[newRand(sim.seed, "frozen").IntN(len(sim.engines))]
	sim.at(sim.scenario.begin(sim.workload), func() {
		sim.setFrozen(e, true)
		sim.after(detectionDelay, func() { sim.setInRotation(e, false) })
	})
	sim.at(sim.scenario.end(sim.workload), func() {
		sim.setFrozen(e, false)
		sim.after(detectionDelay, func() { sim.setInRotation(e, true) })
	})
}

func (sim *simulation) setFrozen(e *engine, frozen bool) {
	e.frozen = frozen
	e.model.SetFrozen(sim.now, frozen)
	sim.processEvents(e)
}

// loadWeights makes all engines load new weights next to the old ones,
// maxConcurrentLoads at a time. Each is taken out of rotation first, then makes
// no progress while loading and loses its cache.
func loadWeights(sim *simulation) {
	groups := (len(sim.engines) + maxConcurrentLoads - 1) / maxConcurrentLoads
	step := sim.scenario.duration / time.Duration(groups)
	for i, e := range sim.engines {
		at := sim.scenario.begin(sim.workload) + time.Duration(i/maxConcurrentLoads)*step
		sim.at(at, func() { sim.setInRotation(e, false) })
		sim.at(at+preLoadDrainTime, func() {
			sim.setFrozen(e, true)
			e.model.DropCache()
		})
		sim.at(at+preLoadDrainTime+weightsLoadTime, func() {
			e.weights = append(e.weights, weightsName(2))
			sim.setFrozen(e, false)
			sim.setInRotation(e, true)
		})
	}
}

// partitionLastDataCentre cuts the last data centre off from the others.
func partitionLastDataCentre(sim *simulation) {
	begin, end := sim.scenario.begin(sim.workload), sim.scenario.end(sim.workload)
	sim.at(begin, func() {
		sim.net.partitionedDataCentre = len(sim.workload.dataCentres) - 1
		sim.net.partitionEnd = end
		sim.updateDaemonCounts()
	})
	sim.at(end, sim.updateDaemonCounts)
	for _, d := range sim.daemons {
		for _, e := range sim.engines {
			sim.at(begin+detectionDelay, func() {
				if sim.unreachable(d, e) {
					sim.setInRotationAt(d, e, false)
				}
			})
			sim.at(end+detectionDelay, func() { sim.setInRotationAt(d, e, true) })
		}
	}
}
