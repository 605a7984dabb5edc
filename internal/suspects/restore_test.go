package suspects

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
)

// Guards against a part that is no longer refused because a restored store lost its row, and
// against a cleared part that is refused again because it has the row again.
func TestQuarantinesOutliveARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformtest.New()
		p.SetEra(1)
		f := newPartFleetOn(p, 3)
		cleared, bad := PartKey("s", "m", "", "cleared"), PartKey("s", "m", "", "bad")
		f.crash(0, cleared)
		f.crash(1, cleared)
		f.readRows(t)
		older := p.Snapshot()
		f.daemons[2].Begun("s", []string{cleared})
		synctest.Wait()
		f.readRows(t)
		f.crash(0, bad)
		f.crash(1, bad)
		f.readRows(t)
		assert.Equal(t, len(f.daemons[2].Refusing([]string{bad})), 1)
		p.Restore(older)
		for range 2 * int(lostRowSpread/time.Second) {
			rows := f.readRows(t)
			for i, d := range f.daemons {
				assert.Check(t, len(d.Refusing([]string{bad})) == 1, "daemon %d lets the part through with %d rows", i, len(rows))
				assert.Check(t, len(d.Refusing([]string{cleared})) == 0, "daemon %d refuses the cleared part", i)
			}
			time.Sleep(500 * time.Millisecond)
		}
		rows := f.readRows(t)
		_, present := rows[partName(bad)]
		assert.Check(t, present && len(rows) == 1, "rows %v", rows)
		time.Sleep(2 * rowWriteTimeout) // lets goroutines end
	})
}

// Guards against a quarantine of a request that is unknown after all daemons restarted, since a
// restored store lost its rows.
func TestQuarantinedRequestsAreStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, clients, registries := newRegistries(3)
		p.SetEra(1)
		older := p.Snapshot()
		for _, engine := range []string{"a", "b"} {
			registries[0].EngineCrashed(engine, "1", []Fingerprint{"s/x"})
			time.Sleep(time.Minute)
		}
		written := p.CountRows(RowPrefix)
		assert.Assert(t, written > 0)
		for _, c := range clients { // learns the era
			_, _ = c.Get(t.Context(), "x")
		}
		p.Restore(older)
		assert.Equal(t, p.CountRows(RowPrefix), 0)
		for _, c := range clients {
			_, _ = c.Get(t.Context(), "x")
		}
		time.Sleep(lostRowSpread + time.Second)
		assert.Equal(t, p.CountRows(RowPrefix), written)
	})
}
