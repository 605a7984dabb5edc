package wholepath

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/lab/fabric"
)

// TestLeavingEngineGetsNoNewWork lets an engine start to leave while the
// platform's list goes on saying that it is live.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	const bound = 3 * time.Second
	runCluster(t, func(t *testing.T, c *cluster) {
		c.engines[0].SetLeaving()
		time.Sleep(bound)
		before := c.engines[0].Asked()
		for n := range 120 {
			_, err := c.ask(n%clusterDaemons, fmt.Sprintf("Which blue? %d", n))
			assert.NilError(t, err)
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(t, c.engines[0].Asked(), before)
	})
}

// TestIsolatedDaemonLeavesTheEntries cuts one daemon off from platform and peers.
func TestIsolatedDaemonLeavesTheEntries(t *testing.T) {
	const bound = 10 * time.Second
	runCluster(t, func(t *testing.T, c *cluster) {
		named := func(at, who int) bool {
			e, err := c.caller(at).Entries(t.Context(), modelService, "")
			assert.NilError(t, err)
			for _, x := range e.Entries {
				if x.Address == callers(who) {
					return true
				}
			}
			return false
		}
		everywhere := func(want bool) bool { return named(0, 2) == want && named(1, 2) == want && named(2, 2) == want }
		c.await(bound, "all daemons are named everywhere", func() bool { return everywhere(true) })
		c.net.SetCut(func(from, to string) bool {
			return from == name(2) && (to == platformAddress || to == peers(0) || to == peers(1)) || to == peers(2)
		})
		t.Logf("left after %v", c.await(bound, "entry-3 left the answers everywhere", func() bool { return everywhere(false) }))
		assert.Equal(t, c.seen(2, eventlog.DaemonIsolated, ""), 1)
		assert.Equal(t, c.seen(0, eventlog.DaemonIsolated, ""), 0)
		_, err := c.ask(2, "Which blue?")
		assert.NilError(t, err) // who still has its address is served
		time.Sleep(time.Minute)
		assert.Assert(t, everywhere(false))
		c.net.SetCut(fabric.NothingCut)
		// Peers that were lost are dialled again within the greatest pause of 30 s.
		t.Logf("back after %v", c.await(45*time.Second, "entry-3 is back", func() bool { return everywhere(true) }))
	})
}
