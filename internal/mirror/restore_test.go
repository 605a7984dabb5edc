package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
)

// runRestoredFleets runs a test with fleets of several sizes that follow a store in its first era.
func runRestoredFleets(t *testing.T, test func(t *testing.T, f *copyFleet)) {
	sizes := []int{7, 60, 300}
	if testing.Short() {
		sizes = sizes[:2]
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCopyFleet(t, size)
				f.store.era = 1
				f.start()
				time.Sleep(5 * time.Second)
				test(t, f)
				for _, d := range f.daemons {
					d.mu.Lock()
					for i := 1; i < len(d.positions); i++ {
						assert.Check(t, !d.positions[i].Before(d.positions[i-1]), "the copy of %s went back", d.node.Name)
					}
					d.mu.Unlock()
				}
				f.stopAll()
			})
		})
	}
}

// loseWrites writes rows, and returns the store to the copy before them.
func (f *copyFleet) loseWrites(n int) {
	rows, history, version := f.store.snapshot()
	for i := range n {
		f.store.write(fmt.Sprint("lost ", i), false)
		f.store.write("first", false)
	}
	time.Sleep(newsLimit)
	f.store.restore(rows, history, version)
}

// checkCopies checks that all daemons but the excepted have the store's rows.
func (f *copyFleet) checkCopies(what string, except *copyDaemon) {
	f.t.Helper()
	rows, _, version := f.store.snapshot()
	wrong := 0
	for _, d := range f.daemons {
		d.mirror.mu.Lock()
		if d != except && (fmt.Sprint(d.mirror.rows) != fmt.Sprint(rows) || d.mirror.at != platform.Position{Era: f.store.era, Version: version}) {
			wrong++
		}
		d.mirror.mu.Unlock()
	}
	assert.Check(f.t, wrong == 0, "%s: %d of %d daemons have other rows than the store", what, wrong, len(f.daemons))
}

// Guards against copies that keep rows which the store lost, because their versions seem newer, or
// that mix the rows of two eras, and against a fleet that all reads the restored store.
func TestCopiesFollowARestoredStore(t *testing.T) {
	runRestoredFleets(t, func(t *testing.T, f *copyFleet) {
		before := f.store.calls.Load()
		f.loseWrites(20)
		time.Sleep(newsLimit)
		f.checkCopies("while the store has fewer versions", nil)
		f.checkNews("with a version that was issued before", healthy)
		for range 30 { // beyond the versions of the older era
			f.store.write(fmt.Sprint("again ", rand.N(10)), false)
		}
		time.Sleep(newsLimit)
		f.checkCopies("after more writes", nil)
		if calls := f.store.calls.Load() - before; len(f.daemons) >= minFleet {
			assert.Check(t, float64(calls) <= 12*maxSteadyReads*testSites+10, "%d calls", calls)
		}
	})
}

// Guards against an open read of the older era whose answer is applied in the newer one, where its
// version has been issued again.
func TestRestoreDuringOpenReads(t *testing.T) {
	runRestoredFleets(t, func(t *testing.T, f *copyFleet) {
		rows, history, version := f.store.snapshot()
		f.store.write("lost", false)
		time.Sleep(newsLimit)
		for _, d := range f.readers() {
			d.delay.Store(int64(500 * time.Millisecond))
		}
		f.store.write("lost while read", false)
		time.Sleep(100 * time.Millisecond)
		f.store.restore(rows, history, version)
		f.store.write("news", false)
		f.store.write("other news", false)
		time.Sleep(100 * time.Millisecond)
		for _, d := range f.daemons {
			d.delay.Store(0)
		}
		time.Sleep(newsLimit)
		f.checkCopies("after the restore", nil)
	})
}

// Guards against daemons that never take the rows of a store that is restored twice, or that was
// restored while they were cut off, and against daemons that follow one which has old copies.
func TestRestoreTwiceWithADaemonCutOff(t *testing.T) {
	runRestoredFleets(t, func(t *testing.T, f *copyFleet) {
		cut := f.readers()[0]
		cut.cutOff.Store(true)
		f.loseWrites(5)
		time.Sleep(500 * time.Millisecond)
		f.loseWrites(3)
		time.Sleep(newsLimit)
		f.checkCopies("without one daemon", cut)
		cut.cutOff.Store(false)
		time.Sleep(contactTime)
		f.checkCopies("with it again", nil)
		f.checkNews("later", healthy)
	})
}

// Guards against daemons that all read the store in the same instant when their polls fail because
// it was restored.
func TestReadsOfARestoredStoreAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 300
		f := newCopyFleet(t, size)
		f.store.era, f.minFleet = 1, size+1 // all read the store
		f.start()
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(f.readers()), size)
		f.loseWrites(1)
		most := int64(0)
		for range 20 {
			before := f.store.wholeReads.Load()
			time.Sleep(100 * time.Millisecond)
			most = max(most, f.store.wholeReads.Load()-before)
		}
		assert.Check(t, most <= size/2, "%d tables were read in 100 ms", most)
		time.Sleep(newsLimit)
		f.checkCopies("after the restore", nil)
		f.stopAll()
	})
}

// restoredCopy returns a copy of rows that expire, read at version 10 of the first era, and a
// function that applies a read of the whole table.
func restoredCopy(s Settings) (m *Mirror, read func(era, version uint64, rows ...platform.Change)) {
	s.Table, s.OnChange = table, func(map[string]platform.Change, Read) {}
	m = New(s, nil, nil, eventlog.Discard())
	read = func(era, version uint64, rows ...platform.Change) {
		m.observeAnswer(m.storeNow(), m.storeNow())
		m.apply(platform.Changes{Rows: rows, Era: era, Version: version, Whole: true}, 0)
	}
	return m, read
}

func row(key, value string, version uint64) platform.Change {
	return platform.Change{Key: key, Value: []byte(value), Version: version}
}

func (m *Mirror) values() map[string]string {
	out := map[string]string{}
	for k, r := range m.rows {
		out[k] = string(r.Value)
	}
	return out
}

// Guards against an upstream that left and comes back because a restored store has its old row,
// one that takes requests again because its row of before it drained is back, and a live one that
// is forgotten because its row was lost.
func TestOldRowsOfUpstreamsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, read := restoredCopy(Settings{RenewalInterval: reportInterval})
		read(1, 4, row("gone", "ready", 1), row("drains", "ready", 2), row("lives", "ready", 3))
		read(1, 10, row("drains", "draining", 7), row("lives", "ready", 8), row("new", "ready", 9))
		read(2, 5, row("gone", "ready", 1), row("drains", "ready", 2), row("lives", "ready", 3))
		assert.DeepEqual(t, m.values(), map[string]string{"drains": "draining", "lives": "ready", "new": "ready"})
		read(2, 6, row("gone", "ready", 1), row("drains", "draining", 6), row("lives", "ready", 3))
		assert.DeepEqual(t, m.values(), map[string]string{"drains": "draining", "lives": "ready", "new": "ready"})
		read(2, 8, row("gone", "ready", 8), row("drains", "ready", 7), row("lives", "ready", 3))
		assert.DeepEqual(t, m.values(), map[string]string{"gone": "ready", "drains": "ready", "lives": "ready", "new": "ready"})
		time.Sleep(reappearanceWindow / 2)
		read(2, 8, row("gone", "ready", 8), row("drains", "ready", 7), row("lives", "ready", 3)) // the store is up all the while
		time.Sleep(reappearanceWindow/2 + time.Millisecond)
		read(2, 9, row("drains", "ready", 7), row("lives", "ready", 3))
		assert.DeepEqual(t, m.values(), map[string]string{"drains": "ready", "lives": "ready"})
	})
}

// Guards against a read of an older era that replaces a newer copy, and against daemons that give
// others an operators' row which they know to be older than the one in force.
func TestOlderErasAndOlderRowsDoNotReplaceACopy(t *testing.T) {
	m, read := restoredCopy(Settings{IsNewer: func(kept, restored platform.Change) bool { return string(kept.Value) > string(restored.Value) }})
	read(1, 10, row("state", "7", 9), row("other", "1", 4))
	read(2, 6, row("state", "5", 3))
	assert.DeepEqual(t, m.values(), map[string]string{"state": "7"})
	read(1, 12, row("state", "9", 12))
	assert.DeepEqual(t, m.values(), map[string]string{"state": "7"})
	m.apply(platform.Changes{Rows: []platform.Change{row("state", "6", 7)}, Era: 2, Version: 7}, 0)
	assert.DeepEqual(t, m.values(), map[string]string{"state": "6"})
	m.apply(platform.Changes{Rows: []platform.Change{row("state", "8", 1)}, Era: 3, Version: 1}, 0)
	assert.DeepEqual(t, m.values(), map[string]string{"state": "6"})
	assert.Equal(t, m.copyPosition(false), platform.Position{Era: 2, Version: 7})
}

// Guards against a follower that keeps to a source which does not know of the era, and against a
// position of the older era that is taken for one of the newer.
func TestStreamSendsTheWholeTableOfANewerEra(t *testing.T) {
	m, read := restoredCopy(Settings{})
	read(1, 10, row("a", "1", 9), row("b", "1", 10))
	_, p := m.changesSince(position{version: 10, era: 1})
	read(2, 3, row("a", "0", 3))
	for _, from := range []position{p, {version: 10, era: 1}, {version: 2}} {
		sent, _ := m.changesSince(from)
		assert.Check(t, sent.Whole && sent.Era == 2 && len(sent.Rows) == 1)
	}
	follower, apply := restoredCopy(Settings{})
	apply(1, 10, row("a", "1", 9), row("b", "1", 10))
	follower.settings.Clock = newTestFollower().settings.Clock
	sent, _ := m.changesSince(p)
	assert.Check(t, follower.applyCopied(&sent, "source"))
	assert.DeepEqual(t, follower.values(), map[string]string{"a": "0"})
	older := copiedTable{Table: table, Era: 1, Version: 11, Whole: true, Count: 1, Rows: []copiedRow{{Key: "c", Version: 11}}}
	assert.Check(t, follower.applyCopied(&older, "source"))
	assert.DeepEqual(t, follower.values(), map[string]string{"a": "0"})
	_, err := (&Peers{Addresses: func() []string { return nil }}).ReadChanges(context.Background(), table, platform.Position{}, 0)
	assert.Check(t, err != nil)
}

// Guards against copies that count as complete, and a source that is kept, because a daemon confirms
// its copies of an older era.
func TestSourceOfAnOlderEraConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFollower()
		m := f.mirrors[0]
		m.settings.MaxAge = newsLimit
		frame := func(era, version uint64) *copyFrame {
			return &copyFrame{Era: era, Tables: []copiedTable{{Table: table, Era: era, Version: version, Whole: true}}}
		}
		assert.NilError(t, f.applyFrame(Node{Name: "source"}, frame(2, 5), false))
		confirmed, _ := m.lastConfirmed()
		time.Sleep(time.Second)
		assert.ErrorIs(t, f.applyFrame(Node{Name: "behind"}, frame(1, 9), false), errStaleSource)
		at, ok := m.lastConfirmed()
		assert.Check(t, ok && at == confirmed, "confirmed at %s", at)
		assert.Equal(t, m.copyPosition(false), platform.Position{Era: 2, Version: 5})
		assert.NilError(t, f.applyFrame(Node{Name: "ahead"}, frame(3, 1), false))
		at, _ = m.lastConfirmed()
		assert.Check(t, at > confirmed)
	})
}
