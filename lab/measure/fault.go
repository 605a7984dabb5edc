package measure

import (
	"slices"
	"time"
)

const (
	slowEngines  = 2
	slowFactor   = 5
	slowInterval = 4 * time.Second
	// restartTime is how long a daemon is away in a herd restart.
	restartTime = 300 * time.Millisecond
	// loadDrain is how long an engine gets no new work before it loads weights.
	loadDrain = 500 * time.Millisecond
	// loadTime is how long loading weights stops an engine.
	loadTime = 1200 * time.Millisecond
	// loadsAtOnce is how many engines load weights at the same time.
	loadsAtOnce = 2
)

// slowInTurn slows two engines at a time and moves on every four seconds.
func slowInTurn(w *world) {
	r := newRand(w.seed, "slowed")
	var slowed []*engine
	var move func()
	move = func() {
		for _, e := range slowed {
			w.setSlowdown(e, 1)
		}
		slowed = slowed[:0]
		for _, i := range r.Perm(len(w.engines))[:slowEngines] {
			slowed = append(slowed, w.engines[i])
			w.setSlowdown(w.engines[i], slowFactor)
		}
		w.after(slowInterval, move)
	}
	w.at(w.load.warm-slowInterval, move)
}

// restartAll replaces all daemons at once.
func restartAll(w *world) {
	begin := w.scenario.begin(w.load)
	for _, d := range w.daemons {
		w.at(begin, func() { w.stop(d) })
		w.at(begin+restartTime, func() { w.startNew(d) })
	}
}

// replaceOne stops one daemon; another takes its place at the disturbance's end.
func replaceOne(w *world) {
	d := w.daemons[newRand(w.seed, "replaced").IntN(len(w.daemons))]
	w.at(w.scenario.begin(w.load), func() {
		w.stop(d)
		w.recountPeers()
	})
	w.at(w.scenario.end(w.load), func() {
		w.startNew(d)
		w.recountPeers()
	})
}

// stop ends a daemon without notice. Streams that have begun are resumed
// through others; what has no first token is sent again by its caller if it
// may be repeated.
func (w *world) stop(d *daemon) {
	d.down = true
	waiting := d.waiting
	d.waiting = nil
	for _, c := range waiting {
		w.sendAgain(c)
	}
	for _, id := range sortedKeys(d.attempts) {
		a := d.attempts[id]
		if a == nil || a.call.winner != nil {
			continue
		}
		for _, copied := range slices.Clone(a.call.live) {
			w.cancel(copied)
		}
		a.call.live = nil
		w.sendAgain(a.call)
	}
}

func (w *world) sendAgain(c *call) {
	if !c.kind.repeatable {
		c.state = lost
		return
	}
	w.after(reconnectDelay, func() { w.arrive(c) })
}

func (w *world) startNew(d *daemon) {
	d.down = false
	w.replace(d)
}

// crashOne crashes an engine, which comes back empty at the disturbance's end.
func crashOne(w *world) {
	e := w.engines[newRand(w.seed, "crash").IntN(len(w.engines))]
	w.at(w.scenario.begin(w.load), func() { w.crash(e) })
	w.at(w.scenario.end(w.load), func() { w.restore(e) })
}

// crashAll crashes all engines, which come back empty at the disturbance's end.
func crashAll(w *world) {
	for _, e := range w.engines {
		w.at(w.scenario.begin(w.load), func() { w.crash(e) })
		w.at(w.scenario.end(w.load), func() { w.restore(e) })
	}
}

// crash drops everything in an engine; daemons see their connections fail.
func (w *world) crash(e *engine) {
	e.down = true
	e.model.Crash(w.now)
	for _, id := range sortedKeys(e.attempts) {
		a := e.attempts[id]
		w.toDaemon(a, func() { w.attemptFailed(a, connectionLost) })
	}
	clear(e.attempts)
	w.collect(e)
	w.after(detectionDelay, func() { w.setListed(e, !e.down) })
}

// restore brings a crashed engine back with an empty cache.
func (w *world) restore(e *engine) {
	e.down = false
	e.incarnation++
	w.after(detectionDelay, func() { w.setListed(e, true) })
}

// freezeOne stops an engine that keeps its connections until the disturbance's end.
func freezeOne(w *world) {
	e := w.engines[newRand(w.seed, "frozen").IntN(len(w.engines))]
	w.at(w.scenario.begin(w.load), func() {
		w.setFrozen(e, true)
		w.after(detectionDelay, func() { w.setListed(e, false) })
	})
	w.at(w.scenario.end(w.load), func() {
		w.setFrozen(e, false)
		w.after(detectionDelay, func() { w.setListed(e, true) })
	})
}

func (w *world) setFrozen(e *engine, frozen bool) {
	e.frozen = frozen
	e.model.SetFrozen(w.now, frozen)
	w.collect(e)
}

// loadWeights makes all engines load new weights beside the old ones, two at
// a time. An engine that loads stands still and empties its cache; daemons
// are told before.
func loadWeights(w *world) {
	groups := (len(w.engines) + loadsAtOnce - 1) / loadsAtOnce
	step := w.scenario.lasts / time.Duration(groups)
	for i, e := range w.engines {
		at := w.scenario.begin(w.load) + time.Duration(i/loadsAtOnce)*step
		w.at(at, func() { w.setListed(e, false) })
		w.at(at+loadDrain, func() {
			w.setFrozen(e, true)
			e.model.DropCache()
		})
		w.at(at+loadDrain+loadTime, func() {
			e.weights = append(e.weights, weightsName(2))
			w.setFrozen(e, false)
			w.setListed(e, true)
		})
	}
}

// cutDataCentre separates the last data centre from the others.
func cutDataCentre(w *world) {
	begin, end := w.scenario.begin(w.load), w.scenario.end(w.load)
	w.at(begin, func() {
		w.net.cutOf = len(w.load.dataCentres) - 1
		w.net.cutUntil = end
		w.recountPeers()
	})
	w.at(end, w.recountPeers)
	for _, d := range w.daemons {
		for _, e := range w.engines {
			w.at(begin+detectionDelay, func() {
				if w.unreachable(d, e) {
					w.listFor(d, e, false)
				}
			})
			w.at(end+detectionDelay, func() { w.listFor(d, e, true) })
		}
	}
}
