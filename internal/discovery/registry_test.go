package discovery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fleet is a number of daemons that share a table, in groups that are in contact, and a clock.
type fleet struct {
	t        *testing.T
	platform *platformtest.Platform
	all      []Daemon
	daemons  []*Registry
	group    []int // by daemon; -1 for one that is gone
	now      time.Time
}

func newFleet(t *testing.T, size int, group func(daemon int) int) *fleet {
	f := &fleet{t: t, platform: platformtest.New(), now: time.Unix(0, 0)}
	for i := range size {
		f.all = append(f.all, Daemon{fmt.Sprint("daemon-", i), fmt.Sprintf("10.0.0.%d:1", i)})
		f.add(group(len(f.daemons)))
	}
	return f
}

func (f *fleet) add(group int) {
	i := len(f.daemons)
	f.group = append(f.group, group)
	f.daemons = append(f.daemons, New(Config{
		Self: f.all[i], Others: func() []Daemon { return f.others(i) }, Synced: func() bool { return true },
		Table: f.platform.Client(), Log: eventlog.New("d", hclog.NewNullLogger(), 16),
	}))
}

// others returns the daemons in contact with one.
func (f *fleet) others(daemon int) []Daemon {
	var out []Daemon
	for i, g := range f.group {
		if i != daemon && g == f.group[daemon] {
			out = append(out, f.all[i])
		}
	}
	return out
}

// step passes the table's rows to all daemons, lets them decide, and connects the groups of daemons
// that dial each other.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	list, err := f.platform.Client().List(f.t.Context(), RowPrefix, "", 1000)
	assert.NilError(f.t, err)
	rows := map[string]platform.Change{}
	for _, r := range list {
		rows[r.Key] = platform.Change{Key: r.Key, Value: r.Value, Version: r.Version}
	}
	for i, r := range f.daemons {
		if f.group[i] < 0 {
			continue
		}
		r.ApplyRows(rows)
		r.check(f.t.Context(), f.now)
		for _, address := range r.Addresses() {
			f.connect(i, address)
		}
	}
}

// connect merges the group of a daemon with that of the daemon at an address, if one is there.
func (f *fleet) connect(daemon int, address string) {
	for i, g := range f.group {
		if g < 0 || f.all[i].Address != address {
			continue
		}
		for j := range f.group {
			if f.group[j] == g {
				f.group[j] = f.group[daemon]
			}
		}
	}
}

func (f *fleet) run(d, interval time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step(interval)
	}
}

func (f *fleet) writes() int {
	_, writes := f.platform.CountCalls()
	return writes
}

// A day of a fleet in contact costs one write, however large the fleet is, and neither restarts
// nor a loss of power to all daemons cost another one. The loss of the registered daemon costs one
// more, and one to remove its row.
func TestCallsDoNotGrowWithTheFleetOrTime(t *testing.T) {
	for _, size := range []int{7, 60, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, size, func(int) int { return 0 })
			f.run(10*time.Second, checkInterval)
			assert.Equal(t, f.writes(), 1)
			for i := range f.daemons { // started anew at the same addresses
				f.daemons[i].rows, f.daemons[i].lostSince = map[string]row{}, map[string]time.Time{}
			}
			f.run(24*time.Hour, 10*time.Minute)
			assert.Equal(t, f.writes(), 1)
			for i, r := range f.daemons {
				if r.rows[f.all[i].Name].address != "" {
					f.group[i] = -1
				}
			}
			f.run(10*time.Second, checkInterval)
			f.run(24*time.Hour, 10*time.Minute)
			assert.Equal(t, f.writes(), 3)
			assert.Equal(t, f.platform.CountRows(RowPrefix), 1)
		})
	}
}

// Guards against a removed row that its daemon does not write again when it is back.
func TestDaemonThatIsBackRegistersAgain(t *testing.T) {
	f := newFleet(t, 4, func(daemon int) int { return daemon / 2 })
	f.step(0)
	f.group[2], f.group[3] = -1, -1 // cut off from the store too
	f.run(lostRowTTL+time.Minute, time.Second)
	f.group[2], f.group[3] = 1, 1
	f.run(3*time.Second, checkInterval)
	assert.Equal(t, len(f.others(0)), 3)
}

// Daemons in any groups, of which some come and go at any time, are one group soon after.
func TestGroupsMeet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 9).Draw(rt, "size")
		f := newFleet(t, size, func(daemon int) int { return rapid.IntRange(0, size-1).Draw(rt, "group") })
		for range rapid.IntRange(0, 6).Draw(rt, "changes") {
			pause := rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, lostRowTTL + time.Minute}).Draw(rt, "pause")
			f.run(pause, max(pause/20, checkInterval))
			for i := range f.group {
				switch rapid.IntRange(0, 4).Draw(rt, "change") {
				case 0:
					f.group[i] = -1
				case 1:
					f.group[i] = i
				}
			}
		}
		alive := slices.DeleteFunc(slices.Clone(f.group), func(g int) bool { return g < 0 })
		f.run(groupDelay+4*checkInterval, checkInterval)
		for i, g := range f.group {
			if g >= 0 {
				assert.Equal(rt, len(f.others(i))+1, len(alive))
			}
		}
	})
}

// Rows that cannot be read, and addresses where nobody is, do no harm and are removed.
func TestOddRowsAreRemoved(t *testing.T) {
	f := newFleet(t, 3, func(int) int { return 0 })
	client := f.platform.Client()
	odd := make([]byte, 300)
	for i := range odd {
		odd[i] = byte(rand.Uint32())
	}
	for i, value := range [][]byte{nil, {0xc1}, odd, []byte("\x81\xa7Address\xa0"), []byte("\x81\xa7Address\xa410.9")} {
		assert.NilError(t, client.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: fmt.Sprint(RowPrefix, "odd-", i), Value: value}}}))
	}
	assert.NilError(t, client.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: RowPrefix}}}))
	f.run(lostRowTTL+time.Minute, time.Second)
	assert.Equal(t, f.platform.CountRows(RowPrefix), 1)
	for i := range f.daemons {
		assert.Equal(t, len(f.daemons[i].Addresses()), 0)
	}
}
