package suspects

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
)

// unconnectedFleet returns daemons that share a table but hear nothing of each other, and
// a function that ends their writes.
func unconnectedFleet(n int) (fleet []*partFleet, stop func()) {
	shared := platformtest.New()
	for i := range n {
		f := newPartFleetOn(shared, 1)
		f.gossipFails = true
		f.crashes = i * 1000 // for names of their own
		fleet = append(fleet, f)
	}
	return fleet, func() {
		for _, f := range fleet {
			f.daemons[0].stop()
		}
	}
}

// settle lets daemons write what is pending and read the table.
func settle(t *testing.T, fleet []*partFleet) {
	t.Helper()
	for range 2 {
		time.Sleep(suspicionWriteSpread)
		synctest.Wait()
		for _, f := range fleet {
			f.readRows(t)
		}
	}
}

func suspicionCount(f *partFleet) int { return f.platform.CountRows(suspicionPrefix) }

// Guards against a part that crashes an engine of each daemon that gossip doesn't reach.
func TestFirstCrashIsKnownWithoutGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, stop := unconnectedFleet(3)
		defer stop()
		part := PartKey("s", "m", "", "bad")
		for i, f := range fleet[:2] {
			for _, other := range fleet {
				assert.Equal(t, len(other.daemons[0].Refusing([]string{part})), 0, "after %d crashes", i)
			}
			f.crash(0, part)
			settle(t, fleet)
		}
		for i, f := range fleet {
			assert.Equal(t, len(f.daemons[0].Refusing([]string{part})), 1, "daemon %d", i)
		}
	})
}

// Guards against calls to the store after crashes of which gossip tells all daemons.
func TestFirstCrashIsNotWrittenWithGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(3)
		f.crash(0, PartKey("s", "m", "", "a"), PartKey("s", "m", "", "b"))
		time.Sleep(time.Minute)
		_, writes := f.platform.CountCalls()
		assert.Equal(t, writes, 0)
	})
}

// Guards against a suspicion that lasts at daemons that gossip doesn't reach although a
// peer has begun an answer on the part.
func TestBeginEndsSuspicionWithoutGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, stop := unconnectedFleet(3)
		defer stop()
		parts := []string{PartKey("s", "m", "", "a"), PartKey("s", "m", "", "b")}
		fleet[0].crash(0, parts...)
		settle(t, fleet)
		assert.DeepEqual(t, fleet[2].daemons[0].Suspected(parts), parts)
		fleet[1].daemons[0].Begun("s", parts[:1])
		settle(t, fleet)
		assert.DeepEqual(t, fleet[2].daemons[0].Suspected(parts), parts[1:])
		assert.Equal(t, suspicionCount(fleet[0]), 1)
	})
}

// Guards against the quarantine of a part after two crashes by daemons that gossip doesn't
// reach although answers on it began shortly before the first.
func TestSuspicionTellsOfRecentBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, stop := unconnectedFleet(4)
		defer stop()
		part := PartKey("s", "m", "", "popular")
		fleet[0].daemons[0].Begun("s", []string{part})
		for i, f := range fleet[:3] {
			assert.Equal(t, len(fleet[3].daemons[0].Refusing([]string{part})), 0, "after %d crashes", i)
			f.crash(0, part)
			settle(t, fleet)
		}
		assert.Equal(t, len(fleet[3].daemons[0].Refusing([]string{part})), 1)
	})
}

// Guards against rows and calls to the store that grow with the crashes while gossip fails,
// and rows that are never deleted.
func TestSuspicionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crashes = 40
		fleet, stop := unconnectedFleet(1)
		defer stop()
		f := fleet[0]
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = f.daemons[0].Run(ctx) }()
		start := time.Now()
		for i := range crashes {
			var parts []string
			for j := range maxPartsPerRequest {
				parts = append(parts, PartKey("s", "m", "", fmt.Sprint(i, "/", j)))
			}
			f.crash(0, parts...)
			settle(t, fleet)
		}
		_, writes := f.platform.CountCalls()
		maxWrites := 1 + int(time.Since(start)/suspicionWriteInterval)
		assert.Assert(t, writes <= maxWrites, "%d writes, %d crashes", writes, crashes)
		assert.Assert(t, suspicionCount(f) > 0)
		for end := time.Now().Add(CrashTTL + 3*partExpiryInterval); time.Now().Before(end); time.Sleep(10 * time.Second) {
			f.readRows(t)
		}
		assert.Equal(t, suspicionCount(f), 0)
	})
}

// Guards against more suspicions in the table than its bound, and the loss of the newest.
func TestOldestSuspicionsMakeRoom(t *testing.T) {
	at := time.Unix(1000, 0)
	s := newPartState(testCrashInterval)
	rows := map[string]suspicionRow{}
	for i := range maxSuspicionRows {
		rows[fmt.Sprint("part", i)] = suspicionRow{suspicionValue{Crash: fmt.Sprint("crash", i), Depth: 1}, 1, at.Add(time.Duration(i) * time.Second)}
	}
	s.setSuspicions(rows)
	now := at.Add(maxSuspicionRows * time.Second)
	s.recordCrash([]string{"new", "other"}, "later", "r", now, now)
	txn, ok := s.suspicionTxn([]pendingSuspicion{{"new", "later"}, {"other", "later"}, {"part3", "crash3"}})
	assert.Assert(t, ok)
	var deleted []string
	for _, w := range txn.Writes {
		if w.Delete {
			deleted = append(deleted, w.Key)
		}
	}
	assert.Equal(t, len(txn.Writes), 4)
	assert.DeepEqual(t, deleted, []string{suspicionPrefix + partName("part0"), suspicionPrefix + partName("part1")})
	assert.Assert(t, strings.HasPrefix(txn.Writes[0].Key, suspicionPrefix))
}

// Guards against crashes that stay known after the part began an answer, because the row
// that told of them had been replaced by that of a later crash.
func TestReplacedSuspicionIsForgotten(t *testing.T) {
	at := time.Unix(1000, 0)
	s := newPartState(testCrashInterval)
	for i, crash := range []string{"first", "second"} {
		since := at.Add(time.Duration(i) * time.Second)
		s.setSuspicions(map[string]suspicionRow{"part": {suspicionValue{Crash: crash, Request: crash, Depth: 1}, uint64(i + 1), since}})
		assert.Assert(t, s.isSuspected("part"))
	}
	s.setSuspicions(nil)
	assert.Assert(t, !s.isSuspected("part"))
	s.recordCrash([]string{"part", "cause"}, "third", "r", at.Add(10*time.Second), at.Add(11*time.Second))
	assert.Assert(t, !s.isQuarantined("part"))
}

// Guards against daemons that forget crashes of their own because a row tells that the part
// began answers before its first crash.
func TestRowOfProvenPartKeepsKnownCrashes(t *testing.T) {
	at := time.Unix(1000, 0)
	s := newPartState(testCrashInterval)
	s.recordCrash([]string{"part"}, "own", "r1", at.Add(-time.Second), at)
	s.setSuspicions(map[string]suspicionRow{"part": {suspicionValue{Crash: "peer's", Request: "r0", Depth: 1, Proven: true}, 1, at.Add(10 * time.Second)}})
	assert.Equal(t, s.quarantineDepth("part"), provenPartDepth)
	s.recordCrash([]string{"part"}, "next", "r2", at.Add(time.Second), at.Add(11*time.Second))
	assert.Equal(t, s.parts["part"].depth(), 2)
	s.recordCrash([]string{"part"}, "last", "r3", at.Add(12*time.Second), at.Add(13*time.Second))
	assert.Assert(t, s.isQuarantined("part"))
}

// Guards against a crash that counts once more when its row is read after the part began an
// answer, which voided it.
func TestVoidCrashStaysVoidWhenItsRowIsRead(t *testing.T) {
	at := time.Unix(1000, 0)
	s := newPartState(testCrashInterval)
	s.addCrash("part", "crash", partCrash{request: "r", at: at, depth: 1}) // by gossip
	s.begin("part", at.Add(time.Second))
	s.setSuspicions(map[string]suspicionRow{"part": {suspicionValue{Crash: "crash", Request: "r", Depth: 1}, 1, at.Add(10 * time.Second)}})
	assert.Assert(t, !s.isSuspected("part"))
}
