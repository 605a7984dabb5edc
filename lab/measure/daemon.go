package measure

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// daemon is one entry instance: a Scheduler that sees only its own traffic.
type daemon struct {
	index      int
	dataCentre int
	scheduler  routing.Scheduler
	// generation counts replacements of the scheduler.
	generation int
	down       bool
	// calls holds what waits in this daemon, in order of arrival.
	waiting []*call
	// listed holds, for each engine, whether the daemon gives it new work.
	listed []bool
	// planned is the time of the next wake-up; zero means none.
	planned time.Duration
	pumping bool
	// attempts holds what has not ended, by attempt.
	attempts map[int]*attempt
}

const (
	// detectionDelay is how long the fleet takes to learn that an engine is gone or back.
	detectionDelay = time.Second
	// detectionSpread is the greatest difference between daemons in learning it.
	detectionSpread = 250 * time.Millisecond
)

// replace gives the daemon a new Scheduler that knows nothing but the engines.
func (w *world) replace(d *daemon) {
	d.generation++
	d.planned = 0
	d.scheduler = w.policy(routing.Settings{
		HedgePercent: hedgePercent, RetryPercent: retryPercent,
		Seed: mix(w.seed, uint64(d.index*1000+d.generation)), Without: w.without,
	})
	d.scheduler.SetPeers(wall(w.now), w.peersOf(d))
	w.setEndpoints(d)
}

const (
	hedgePercent = 5
	retryPercent = 10
)

// peersOf returns how many daemons d can reach, itself included.
func (w *world) peersOf(d *daemon) int {
	n := 1
	for _, peer := range w.daemons {
		if peer != d && !peer.down && !w.net.separated(w.now, d.dataCentre, peer.dataCentre) {
			n++
		}
	}
	return n
}

// recountPeers tells all daemons how many they are, once they have noticed.
func (w *world) recountPeers() {
	w.after(detectionDelay, func() {
		for _, d := range w.daemons {
			if !d.down {
				d.scheduler.SetPeers(wall(w.now), w.peersOf(d))
				w.pump(d)
			}
		}
	})
}

func (w *world) setEndpoints(d *daemon) {
	var eps []routing.Endpoint
	for i, e := range w.engines {
		if !d.listed[i] {
			continue
		}
		eps = append(eps, routing.Endpoint{
			ID: e.id, Incarnation: e.incarnationName(), Weights: slices.Clone(e.weights),
			Slots: w.load.engine.Slots, Delay: w.net.fixed(d.dataCentre, e.dataCentre), Hash: prefix.NodeHash(e.id),
		})
	}
	d.scheduler.SetEndpoints(wall(w.now), eps)
	w.pump(d)
}

// setListed makes every daemon, one after the other, use or avoid an engine.
func (w *world) setListed(e *engine, listed bool) {
	for _, d := range w.daemons {
		w.after(time.Duration(w.rand.Int64N(int64(detectionSpread))), func() {
			w.listFor(d, e, listed)
		})
	}
}

func (w *world) listFor(d *daemon, e *engine, listed bool) {
	d.listed[slices.Index(w.engines, e)] = listed
	if d.down {
		return
	}
	if !listed {
		w.abandon(d, e)
	}
	w.setEndpoints(d)
}

// abandon fails the daemon's attempts at an unreachable engine that have no first token.
func (w *world) abandon(d *daemon, e *engine) {
	if !w.unreachable(d, e) {
		return
	}
	for _, id := range sortedKeys(d.attempts) {
		a := d.attempts[id]
		if a.engine == e && !a.firstToken {
			w.attemptFailed(a, connectionLost)
			w.cancel(a)
		}
	}
}

// pump carries out the scheduler's actions and plans its next wake-up.
func (w *world) pump(d *daemon) {
	if d.pumping || d.down {
		return
	}
	d.pumping = true
	for {
		acts := slices.Clone(d.scheduler.Advance(wall(w.now)))
		for _, act := range acts {
			w.carryOut(d, act)
		}
		if len(acts) == 0 {
			break
		}
	}
	d.pumping = false
	w.planWake(d)
}

func (w *world) planWake(d *daemon) {
	next := d.scheduler.NextWake(wall(w.now))
	if next.IsZero() {
		return
	}
	at := max(next.Sub(wall(0)), w.now+minWake)
	if d.planned > w.now && d.planned <= at {
		return
	}
	d.planned = at
	generation := d.generation
	w.at(at, func() {
		if d.planned == at && d.generation == generation {
			d.planned = 0
			w.pump(d)
		}
	})
}

// minWake keeps a scheduler that is always due from stopping virtual time.
const minWake = 10 * time.Microsecond
