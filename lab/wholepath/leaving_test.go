package wholepath

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/lab/fabric"
)

// TestLeavingEngineGetsNoNewWork lets an engine report that it is leaving while
// the platform's instance list still has it as live.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	const bound = 3 * time.Second
	runCluster(t, func(t *testing.T, c *cluster) {
		c.engines[0].SetLeaving()
		time.Sleep(bound)
		before := c.engines[0].RequestsReceived()
		for n := range 120 {
			_, err := c.ask(n%clusterDaemons, fmt.Sprintf("Which blue? %d", n))
			assert.NilError(t, err)
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(t, c.engines[0].RequestsReceived(), before)
	})
}

// TestIsolatedDaemonLeavesEntryList cuts one daemon off from platform and peers.
// The daemons stop listing it as an entry and list it again after the partition.
func TestIsolatedDaemonLeavesEntryList(t *testing.T) {
	const bound = 10 * time.Second
	runCluster(t, func(t *testing.T, c *cluster) {
		listed := func(at, who int) bool {
			e, err := c.caller(at).Entries(t.Context(), modelService, "")
			assert.NilError(t, err)
			for _, x := range e.Entries {
				if x.Address == callerAddress(who) {
					return true
				}
			}
			return false
		}
		listedEverywhere := func(want bool) bool { return listed(0, 2) == want && listed(1, 2) == want && listed(2, 2) == want }
		c.await(bound, "entry-3 is listed everywhere", func() bool { return listedEverywhere(true) })
		c.net.SetPartition(func(from, to string) bool {
			return from == daemonName(2) && (to == platformAddress || to == peerAddress(0) || to == peerAddress(1)) || to == peerAddress(2)
		})
		t.Logf("left after %v", c.await(bound, "entry-3 is listed nowhere", func() bool { return listedEverywhere(false) }))
		assert.Equal(t, c.countEvents(2, eventlog.DaemonIsolated, ""), 1)
		assert.Equal(t, c.countEvents(0, eventlog.DaemonIsolated, ""), 0)
		_, err := c.ask(2, "Which blue?")
		assert.NilError(t, err) // callers that still have its address are served
		time.Sleep(time.Minute)
		assert.Assert(t, listedEverywhere(false))
		c.net.SetPartition(fabric.NoConnections)
		// Lost peers are redialled within the maximum backoff of 30 s.
		t.Logf("back after %v", c.await(45*time.Second, "entry-3 is listed everywhere again", func() bool { return listedEverywhere(true) }))
	})
}
