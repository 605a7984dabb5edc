package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// upstreamRows is the number of registered upstreams of runUpstreamFleets.
	upstreamRows = 12
	// reportInterval is how often upstreams renew their rows.
	reportInterval = 1200 * time.Millisecond
	// removalLimit is the tightest stated bound for removals, that of deployments that grow to
	// minFleet daemons.
	removalLimit = 2 * time.Second
	// reappearanceLimit is how long after the store's return live upstreams may be missing.
	reappearanceLimit = 2 * time.Second
)

func upstreamKey(i int) string { return fmt.Sprint("upstream ", i) }

// runUpstreamFleets runs a test with fleets of several sizes that follow a table of upstreams.
func runUpstreamFleets(t *testing.T, sizes []int, test func(t *testing.T, f *copyFleet)) {
	runGrowingUpstreamFleets(t, sizes, 0, test)
}

// runGrowingUpstreamFleets is runUpstreamFleets with further daemons, the last ones, that are not
// started.
func runGrowingUpstreamFleets(t *testing.T, sizes []int, spares int, test func(t *testing.T, f *copyFleet)) {
	runSettledFleets(t, sizes, spares, func(*copyFleet) {}, test)
}

// runSettledFleets is runGrowingUpstreamFleets with fleets that are prepared before they start.
func runSettledFleets(t *testing.T, sizes []int, spares int, prepare func(f *copyFleet), test func(t *testing.T, f *copyFleet)) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCopyFleet(t, size+spares)
				for _, d := range f.daemons[size:] {
					d.down.Store(true)
				}
				f.renewalInterval, f.maxAge = reportInterval, removalLimit
				prepare(f)
				for i := range upstreamRows {
					f.store.write(upstreamKey(i), false)
				}
				f.start()
				time.Sleep(5 * time.Second)
				test(t, f)
				f.stopAll()
			})
		})
	}
}

// upstreamFleetSizes are those of one data centre that all read, of the smallest that follow one
// reader, and larger ones; with -short, as under the race detector, without the largest.
func upstreamFleetSizes() []int {
	if testing.Short() {
		return []int{7, minFleet}
	}
	return []int{7, minFleet, 60, 300}
}

// expire removes a row without a trace in the history, as the store does while it is down.
func (s *fakeStore) expire(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, key)
}

// has reports whether the daemon's copy has a row.
func (d *copyDaemon) has(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.rows[key]
	return ok
}

// checkRemoved checks that no daemon that is in order has a row that was removed removalLimit ago.
func (f *copyFleet) checkRemoved(what, key string, inOrder func(*copyDaemon) bool) {
	f.t.Helper()
	late := 0
	for _, d := range f.daemons {
		if !d.down.Load() && inOrder(d) && d.has(key) {
			late++
		}
	}
	assert.Check(f.t, late == 0, "%s: %d of %d daemons have the row %s after it was removed", what, late, len(f.daemons), removalLimit)
}

// Guards against removals, acknowledged while the store is stable, that are hidden from the whole
// fleet because the daemon that reads for it lost the store for a while (review/11).
func TestRemovalsAreKnownInTimeAroundALostReader(t *testing.T) {
	for name, impair := range impairments {
		for _, length := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprint(name, " for ", length), func(t *testing.T) {
				runUpstreamFleets(t, upstreamFleetSizes(), func(t *testing.T, f *copyFleet) {
					reader := f.readers()[0]
					others := func(d *copyDaemon) bool { return d != reader }
					start := time.Now()
					impair(reader, true)
					removedAt := make([]time.Time, upstreamRows)
					for checked, next, ended := 0, 0, false; checked < len(removedAt); time.Sleep(50 * time.Millisecond) {
						if !ended && time.Since(start) >= length {
							impair(reader, false)
							ended = true
						}
						if next < len(removedAt) && time.Since(start) >= time.Duration(next)*length/4 {
							f.store.write(upstreamKey(next), true)
							removedAt[next] = time.Now()
							next++
						}
						if checked < next && time.Since(removedAt[checked]) >= removalLimit {
							inOrder := others
							if time.Since(start) >= length+contactTime {
								inOrder = healthy
							}
							f.checkRemoved(fmt.Sprintf("removed %s after the reader's loss", removedAt[checked].Sub(start)), upstreamKey(checked), inOrder)
							checked++
						}
					}
				})
			})
		}
	}
}

// Guards against removals that are hidden long after an outage of the store, because a daemon that
// failed in it and followed another since reads the store for the first time (review/12).
func TestRemovalsAreKnownInTimeWhenReadersChangeAfterAnOutage(t *testing.T) {
	runUpstreamFleets(t, upstreamFleetSizes(), func(t *testing.T, f *copyFleet) {
		f.store.setDown(true)
		time.Sleep(4500 * time.Millisecond)
		f.store.setDown(false)
		time.Sleep(5500 * time.Millisecond)
		for i := range 3 {
			f.readers()[0].kill()
			time.Sleep(300 * time.Millisecond)
			f.store.write(upstreamKey(i), true)
			time.Sleep(removalLimit)
			f.checkRemoved(fmt.Sprintf("after the end of reader %d", i), upstreamKey(i), healthy)
			if len(f.readers()) == 0 {
				break
			}
		}
	})
}

// Guards against live upstreams that are dropped because their rows expired in an outage of the
// store, and against rows of crashed ones that stay after it, or come back later.
func TestRowsThatExpireInAnOutageAreKept(t *testing.T) {
	for _, length := range []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			runUpstreamFleets(t, upstreamFleetSizes(), func(t *testing.T, f *copyFleet) {
				const crashed = 2
				f.store.setDown(true)
				time.Sleep(length)
				for i := range upstreamRows {
					f.store.expire(upstreamKey(i))
				}
				f.store.setDown(false)
				returned := time.Now()
				for i := crashed; i < upstreamRows; i++ {
					time.AfterFunc(rand.N(reappearanceLimit), func() { f.store.write(upstreamKey(i), false) })
				}
				for time.Since(returned) < reappearanceLimit+removalLimit {
					time.Sleep(50 * time.Millisecond)
					for i := crashed; i < upstreamRows; i++ {
						for _, d := range f.daemons {
							assert.Assert(t, d.has(upstreamKey(i)), "%s dropped a live upstream %s after the store's return", d.node.Name, time.Since(returned))
						}
					}
				}
				for i := range crashed {
					f.checkRemoved("crashed in the outage", upstreamKey(i), healthy)
				}
				f.readers()[0].kill()
				time.Sleep(contactTime)
				for i := range crashed {
					f.checkRemoved("crashed in the outage, with another reader", upstreamKey(i), healthy)
				}
			})
		})
	}
}

// Guards against a removed row that comes back from a peer whose copy is older.
func TestRemovedRowsDoNotComeBackFromOlderCopies(t *testing.T) {
	m, read := restoredCopy(Settings{RenewalInterval: reportInterval})
	m.settings.Clock = newTestFollower().settings.Clock
	read(0, 20, row("lives", "ready", 3), row("gone", "ready", 4))
	m.apply(platform.Changes{Version: 22, Rows: []platform.Change{{Key: "gone", Version: 22, Deleted: true}}}, 0)
	whole := copiedTable{Table: table, Version: 22, Whole: true, Count: 2, Rows: []copiedRow{{Key: "lives", Value: []byte("ready"), Version: 3}, {Key: "gone", Value: []byte("ready"), Version: 4}}}
	m.applyCopied(&whole, "in its grace")
	assert.DeepEqual(t, m.values(), map[string]string{"lives": "ready"})
	older := copiedTable{Table: table, Version: 21, Count: 2, Rows: []copiedRow{{Key: "gone", Value: []byte("ready"), Version: 4}}}
	m.applyCopied(&older, "behind")
	assert.DeepEqual(t, m.values(), map[string]string{"lives": "ready"})
	again := copiedTable{Table: table, Version: 25, Count: 2, Rows: []copiedRow{{Key: "gone", Value: []byte("ready"), Version: 25}}}
	m.applyCopied(&again, "newer")
	assert.DeepEqual(t, m.values(), map[string]string{"lives": "ready", "gone": "ready"})
}

// checkNever checks for a while that no daemon but the excepted has a row.
func (f *copyFleet) checkNever(what, key string, length time.Duration, except *copyDaemon) {
	f.t.Helper()
	for start := time.Now(); time.Since(start) < length; time.Sleep(20 * time.Millisecond) {
		for _, d := range f.daemons {
			if d != except && !d.down.Load() && d.has(key) {
				assert.Check(f.t, false, "%s: %s has the row again", what, d.node.Name)
				return
			}
		}
	}
}

// Guards against removed rows that come back, to daemons that saw their removal and to one that
// started since, from a reader that was cut off meanwhile.
func TestRemovedRowsDoNotComeBackWithALostReader(t *testing.T) {
	runGrowingUpstreamFleets(t, upstreamFleetSizes(), 1, func(t *testing.T, f *copyFleet) {
		reader, started := f.readers()[0], f.daemons[len(f.daemons)-1]
		reader.cutOff.Store(true)
		time.Sleep(time.Second)
		f.store.write(upstreamKey(0), true)
		time.Sleep(removalLimit)
		started.start()
		time.Sleep(time.Second)
		reader.cutOff.Store(false)
		reader.closeConns()
		f.checkNever("removed while the reader was cut off", upstreamKey(0), contactTime, reader)
		f.checkRemoved("removed while the reader was cut off", upstreamKey(0), healthy)
	})
}

// Guards against rows that were removed after the store was restored, and come back from a daemon
// that notices the restore late.
func TestRemovedRowsDoNotComeBackWithALateNoticeOfARestore(t *testing.T) {
	runUpstreamFleets(t, upstreamFleetSizes(), func(t *testing.T, f *copyFleet) {
		rows, history, version := f.store.snapshot()
		f.store.write(upstreamKey(upstreamRows), false) // lost, written again
		time.Sleep(time.Second)
		reader := f.readers()[0]
		reader.cutOff.Store(true)
		time.Sleep(500 * time.Millisecond)
		f.store.restore(rows, history, version)
		time.Sleep(reappearanceLimit / 2)
		f.store.write(upstreamKey(upstreamRows), false)
		time.Sleep(contactTime)
		f.store.write(upstreamKey(0), true)
		f.store.write(upstreamKey(upstreamRows), true)
		time.Sleep(removalLimit)
		reader.cutOff.Store(false)
		reader.closeConns()
		f.checkNever("removed in the newer era", upstreamKey(0), contactTime, reader)
		for _, key := range []string{upstreamKey(0), upstreamKey(upstreamRows)} {
			f.checkRemoved("removed in the newer era", key, healthy)
		}
	})
}

// Guards against live upstreams that the whole fleet drops because its reader, or its only daemon,
// stood still in the outage of the store in which their rows expired.
func TestRowsThatExpireWhileTheReaderStandsStillAreKept(t *testing.T) {
	runUpstreamFleets(t, append([]int{1}, upstreamFleetSizes()...), func(t *testing.T, f *copyFleet) {
		reader := f.readers()[0]
		reader.frozen.Store(true)
		f.store.setDown(true)
		time.Sleep(5 * time.Second)
		for i := range upstreamRows {
			f.store.expire(upstreamKey(i))
		}
		f.store.setDown(false)
		returned := time.Now()
		reader.frozen.Store(false)
		for i := range upstreamRows {
			time.AfterFunc(rand.N(reappearanceLimit), func() { f.store.write(upstreamKey(i), false) })
		}
		for time.Since(returned) < reappearanceLimit+removalLimit {
			time.Sleep(50 * time.Millisecond)
			for i := range upstreamRows {
				for _, d := range f.daemons {
					assert.Assert(t, d.has(upstreamKey(i)), "%s dropped a live upstream %s after the store's return", d.node.Name, time.Since(returned))
				}
			}
		}
	})
}
