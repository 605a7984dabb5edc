package suspects

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
)

// followers are registries that know of each other by the rows of a table only.
type followers struct {
	platform   *platformtest.Platform
	registries []*Registry
	era        uint64
}

// newFollowers returns registries without peers. alone is what they know of that.
func newFollowers(n int, alone bool) *followers {
	f := &followers{}
	var clients []*platformtest.Client
	f.platform, clients, f.registries = newRegistries(n)
	for i, r := range f.registries {
		r.bus = &connectedBus{peers: &[]*connectedBus{}}
		r.table = clients[i]
		r.FollowRows(func() bool { return alone })
	}
	return f
}

// follow passes the rows to all.
func (f *followers) follow(t *testing.T) {
	synctest.Wait()
	list, err := f.platform.Client().List(t.Context(), RowPrefix, "", 1000)
	assert.NilError(t, err)
	rows := map[string]platform.Change{}
	for _, r := range list {
		rows[r.Key] = platform.Change{Key: r.Key, Value: r.Value, Version: r.Version}
	}
	for _, r := range f.registries {
		r.ApplyRows(rows, f.era)
	}
}

// Guards against crashes of which daemons without contact do not tell each other: each let a
// request crash two engines.
func TestDaemonsAloneCountCrashesTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowers(3, true)
		for i, engine := range []string{"a", "b"} {
			assert.Assert(t, f.registries[i].Status("s/x") != Quarantined)
			f.registries[i].EngineCrashed(engine, "1", []Fingerprint{"s/x", "s/y"})
			time.Sleep(time.Minute)
			f.follow(t)
		}
		for i, r := range f.registries {
			assert.Check(t, r.Status("s/x") == Quarantined, "daemon %d", i)
		}
		assert.Equal(t, f.platform.CountRows(RowPrefix), 4)
		time.Sleep(CrashTTL)
		f.follow(t)
		time.Sleep(2 * lostRowSpread)
		assert.Equal(t, f.platform.CountRows(RowPrefix), 0, "expired rows stay")
		for i, r := range f.registries {
			assert.Check(t, r.Status("s/x") == NotSuspected, "daemon %d", i)
		}
	})
}

// In contact, only crashes of quarantined requests are written.
func TestSuspectsAreNotStoredInContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowers(2, false)
		f.registries[0].EngineCrashed("a", "1", []Fingerprint{"s/x"})
		synctest.Wait()
		assert.Equal(t, f.platform.CountRows(RowPrefix), 0)
		time.Sleep(time.Minute)
		f.registries[0].EngineCrashed("b", "1", []Fingerprint{"s/x"})
		f.follow(t)
		assert.Equal(t, f.platform.CountRows(RowPrefix), 2)
		assert.Assert(t, f.registries[1].Status("s/x") == Quarantined)
	})
}

// Guards against a request that was cleared and is refused again, because its rows are still there
// or come late.
func TestClearedRequestIsNotBroughtBackByItsRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowers(3, true)
		f.registries[0].EngineCrashed("a", "1", []Fingerprint{"s/x"})
		f.follow(t)
		older := f.platform.Snapshot()
		assert.Assert(t, f.registries[2].Status("s/x") == Suspected)
		f.registries[1].RequestCompleted("s/x")
		assert.Assert(t, f.registries[1].Status("s/x") == NotSuspected)
		f.follow(t)
		assert.Equal(t, f.platform.CountRows(RowPrefix), 0)
		for i, r := range f.registries {
			assert.Check(t, i == 0 || r.Status("s/x") == NotSuspected, "daemon %d", i)
		}
		f.platform.Restore(older) // the store has the row again
		f.follow(t)
		assert.Assert(t, f.registries[1].Status("s/x") == NotSuspected)
		time.Sleep(2 * lostRowSpread)
		assert.Equal(t, f.platform.CountRows(RowPrefix), 0)
	})
}

// Rows that cannot be read count for nothing and are removed.
func TestOddRowsOfRequestsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowers(2, true)
		crash := digest("crash")
		for _, key := range []string{RowPrefix, RowPrefix + "x", RowPrefix + "x/y", RowPrefix + digest("r") + "/" + crash} {
			assert.NilError(t, f.platform.Client().Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte{1}}}}))
		}
		f.follow(t)
		assert.Assert(t, !f.registries[0].Known())
		time.Sleep(2 * lostRowSpread)
		assert.Equal(t, f.platform.CountRows(RowPrefix), 0)
	})
}
