package mirror

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowMachine delays the steps of all processes that share a machine: the store's, and the daemons'.
type slowMachine struct {
	mu     sync.Mutex
	random *rand.Rand
	// least and most bound each delay.
	least, most time.Duration
	// cost is the time that the store spends on a call; it serves one at a time.
	cost      time.Duration
	busyUntil time.Time
}

// step waits for one step of a process.
func (s *slowMachine) step() {
	if s == nil {
		return
	}
	s.mu.Lock()
	delay := s.least
	if s.most > s.least {
		delay += time.Duration(s.random.Int64N(int64(s.most - s.least)))
	}
	s.mu.Unlock()
	time.Sleep(delay)
}

// serve waits until the store has spent its time on a call.
func (s *slowMachine) serve() {
	if s == nil || s.cost == 0 {
		return
	}
	s.mu.Lock()
	if now := time.Now(); s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(s.cost)
	done := s.busyUntil
	s.mu.Unlock()
	time.Sleep(time.Until(done))
}

// runSlowFleets runs a test with fleets of upstreams' copies on a machine that gets slow once they
// have settled.
func runSlowFleets(t *testing.T, sizes []int, machine *slowMachine, test func(t *testing.T, f *copyFleet)) {
	runSettledFleets(t, sizes, 0, func(f *copyFleet) { f.hasSecondTable = true }, func(t *testing.T, f *copyFleet) {
		machine.random = rand.New(rand.NewPCG(uint64(len(f.daemons)), 0))
		f.machine.Store(machine)
		test(t, f)
		f.machine.Store(nil)
	})
}

// knowsOf reports whether the daemon was answered by the store, or told by another daemon that was,
// since a time.
func (d *copyDaemon) knowsOf(at time.Time) bool {
	confirmedAt, ok := d.mirror.lastConfirmed()
	return ok && time.Now().Add(confirmedAt-d.clock.Local()).After(at)
}

// removeUpstreams removes four rows, from the first one on, and checks for a while that no daemon in order
// keeps one that was removed removalLimit ago: at all if everywhere is set, otherwise if it was answered or
// told since.
func (f *copyFleet) removeUpstreams(first int, length time.Duration, everywhere bool, inOrder func(*copyDaemon) bool) {
	f.t.Helper()
	const removed, gap = 4, 250 * time.Millisecond
	removedAt, reported := map[string]time.Time{}, map[string]bool{}
	for start := time.Now(); time.Since(start) < length; time.Sleep(50 * time.Millisecond) {
		if n := len(removedAt); n < removed && time.Since(start) >= time.Duration(n)*gap {
			f.store.write(upstreamKey(first+n), true)
			removedAt[upstreamKey(first+n)] = time.Now()
		}
		for key, at := range removedAt {
			late := 0
			for _, d := range f.daemons {
				if inOrder(d) && time.Since(at) >= removalLimit && d.has(key) && (everywhere || d.knowsOf(at)) {
					late++
				}
			}
			if late > 0 && !reported[key] {
				reported[key] = true
				assert.Check(f.t, false, "%d of %d daemons have %q %s after it was removed", late, len(f.daemons), key, time.Since(at))
			}
		}
	}
}

// maxSlowReads bounds the calls a second of one daemon, for all tables, while answers are slow: a fleet of 330 then
// makes a sixth of the 2,000 that the store serves.
const maxSlowReads = 1

// Guards against removals that a store in order acknowledged and that are hidden because its answers
// are slow: no answer in time is no outage (review/11, on a machine short of processor time).
func TestSlowAnswersAreNoOutage(t *testing.T) {
	for _, most := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
		t.Run(fmt.Sprint("steps of up to ", most), func(t *testing.T) {
			runSlowFleets(t, upstreamFleetSizes(), &slowMachine{least: most / 20, most: most}, func(t *testing.T, f *copyFleet) {
				reader := f.readers()[0]
				time.Sleep(contactTime)
				before := f.store.calls.Load()
				reader.refused.Store(true)
				time.Sleep(2 * time.Second)
				reader.refused.Store(false)
				f.removeUpstreams(0, 8*time.Second, false, func(d *copyDaemon) bool { return d != reader })
				time.Sleep(contactTime)
				f.removeUpstreams(4, 6*time.Second, false, healthy)
				const length = 20 // in seconds, as above
				calls := f.store.calls.Load() - before
				if len(f.daemons) >= minFleet {
					assert.Check(t, calls <= int64(maxSlowReads*length*len(f.daemons)), "%d calls", calls)
				}
			})
		})
	}
}

// Guards against a fleet whose daemons all read the store because its answers are slow, by which they
// get slower still, long after one daemon's link was lost.
func TestLostReaderOfASlowStoreIsReplacedInTime(t *testing.T) {
	for _, cost := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(cost.String()+" a call", func(t *testing.T) {
			runSlowFleets(t, []int{minFleet}, &slowMachine{most: 20 * time.Millisecond, cost: cost}, func(t *testing.T, f *copyFleet) {
				reader := f.readers()[0]
				time.Sleep(contactTime)
				reader.refused.Store(true)
				time.Sleep(2 * time.Second)
				reader.refused.Store(false)
				f.removeUpstreams(0, 6*time.Second, true, func(d *copyDaemon) bool { return d != reader })
			})
		})
	}
}

// Guards against live upstreams that are dropped because their rows expired in an outage of the store,
// whatever it does to calls, also where the daemons' steps are slow.
func TestRowsThatExpireInAnyOutageAreKept(t *testing.T) {
	impairAll := func(flag func(*copyDaemon) *atomic.Bool) func(f *copyFleet, on bool) {
		return func(f *copyFleet, on bool) {
			for _, d := range f.daemons {
				flag(d).Store(on)
			}
		}
	}
	for name, impair := range map[string]func(f *copyFleet, on bool){
		"refuses calls":       func(f *copyFleet, on bool) { f.store.setDown(on) },
		"turns daemons away":  impairAll(func(d *copyDaemon) *atomic.Bool { return &d.refused }),
		"answers when it can": impairAll(func(d *copyDaemon) *atomic.Bool { return &d.unanswered }),
		"loses calls":         impairAll(func(d *copyDaemon) *atomic.Bool { return &d.lost }),
	} {
		for _, length := range []time.Duration{4 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprint(name, " for ", length), func(t *testing.T) {
				runSlowFleets(t, upstreamFleetSizes(), &slowMachine{most: 100 * time.Millisecond}, func(t *testing.T, f *copyFleet) {
					impair(f, true)
					time.Sleep(length)
					for i := range upstreamRows {
						f.store.expire(upstreamKey(i))
					}
					impair(f, false)
					returned := time.Now()
					for i := range upstreamRows {
						time.AfterFunc(rand.N(reappearanceLimit), func() { f.store.write(upstreamKey(i), false) })
					}
					dropped := map[string]bool{}
					for time.Since(returned) < reappearanceLimit+removalLimit {
						time.Sleep(50 * time.Millisecond)
						for i := range upstreamRows {
							for _, d := range f.daemons {
								if !d.has(upstreamKey(i)) {
									dropped[d.node.Name+" "+upstreamKey(i)] = true
								}
							}
						}
					}
					assert.Check(t, len(dropped) == 0, "%d live rows were dropped", len(dropped))
				})
			})
		}
	}
}

// Guards against live upstreams that are dropped because their rows expired, with a trace in the history,
// just after an outage in which calls were lost and nobody had given one up.
func TestRowsThatExpireAfterAShortSilentOutageAreKept(t *testing.T) {
	runUpstreamFleets(t, []int{minFleet}, func(t *testing.T, f *copyFleet) {
		for _, lost := range []bool{true, false} {
			for _, d := range f.daemons {
				d.lost.Store(lost)
			}
			if lost {
				time.Sleep(3 * time.Second)
			}
		}
		for i := range upstreamRows {
			f.store.write(upstreamKey(i), true)
			time.AfterFunc(reappearanceLimit/2, func() { f.store.write(upstreamKey(i), false) })
		}
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			dropped := 0
			for i := range upstreamRows {
				for _, d := range f.daemons {
					if !d.has(upstreamKey(i)) {
						dropped++
					}
				}
			}
			if dropped > 0 {
				t.Errorf("%d rows of live upstreams were dropped by %d daemons", dropped, len(f.daemons))
				return
			}
		}
	})
}

// Guards against a reader that calls the store without a pause after one of its calls failed.
func TestReaderPollsAgainAfterAFailure(t *testing.T) {
	runUpstreamFleets(t, []int{minFleet - 3, minFleet}, func(t *testing.T, f *copyFleet) {
		const calm = 10 * time.Second
		count := func() int64 {
			before := f.store.calls.Load()
			time.Sleep(calm)
			return f.store.calls.Load() - before
		}
		usual := count()
		reader := f.readers()[0]
		reader.refused.Store(true)
		time.Sleep(3 * time.Second)
		reader.refused.Store(false)
		time.Sleep(contactTime)
		again := count()
		assert.Check(t, again <= usual+usual/4, "%d calls before, %d after", usual, again)
	})
}
