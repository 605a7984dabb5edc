package sitepath

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// restorableSizes are the numbers of daemons: all read the store, and few do.
var restorableSizes = []int{3, 11}

// runOnRestorableDeployment runs a test on deployments whose store states its first era.
func runOnRestorableDeployment(t *testing.T, test func(d *deployment)) {
	for _, size := range restorableSizes {
		t.Run(strconv.Itoa(size)+" daemons", func(t *testing.T) {
			runDeployment(t, engines, func(d *deployment) {
				d.daemonCount = size
				d.store.SetEra(1)
			}, test)
		})
	}
}

// runsAt returns how many requests an engine ran after some more were sent to each daemon.
func (d *deployment) runsAt(engine int) int {
	before := len(d.engines[engine].Runs())
	for _, p := range d.processes {
		for range 6 {
			d.ask(p, http.MethodPost, modelHost, "/chat/1", nil)
		}
	}
	return len(d.engines[engine].Runs()) - before
}

// Guards against daemons that act on the older desired state of a restored store, also when they
// start meanwhile, that send requests to engines which left, or that ignore the operators' new
// state because its revision or version is not greater.
func TestRestoredStoreBringsNothingBack(t *testing.T) {
	t.Parallel()
	runOnRestorableDeployment(t, func(d *deployment) {
		older := d.store.Snapshot()
		d.revokeOtherKey()
		d.engines[1].Drain(d.store)
		time.Sleep(drainBound)
		d.store.Delete("servers", d.engines[1].ID)
		time.Sleep(drainBound)
		d.store.Restore(older)
		d.start(len(d.processes))
		for range 2 {
			time.Sleep(drainBound)
			for _, p := range d.processes {
				assert.Check(t, d.accepts(p, callerKey), p.name)
				assert.Check(t, !d.accepts(p, otherCallerKey), p.name)
			}
			assert.Equal(t, d.runsAt(1), 0, "an engine that left got requests")
		}
		// The operators write their state again, under the same revision.
		d.desiredState["tenants"] = []map[string]any{{"name": "trust", "apiKeys": []string{callerKey}}, {"name": "other", "apiKeys": []string{otherCallerKey}}}
		d.store.Put("op", "config", d.desiredState)
		time.Sleep(stateBound)
		for _, p := range d.processes {
			assert.Check(t, d.accepts(p, otherCallerKey), p.name)
			assert.Equal(t, d.metric(p, "verbenabend_store_era"), 2.0)
			restores := slices.DeleteFunc(p.log.entries(t), func(e eventlog.Entry) bool { return e.ID != eventlog.StoreRestored })
			if p != d.processes[len(d.processes)-1] {
				assert.Equal(t, len(restores), 1, "%s logged %v", p.name, restores)
			}
		}
	})
}

// Guards against a goal that is forgotten with its row, an order whose fencing token an engine has
// seen with another meaning, and two holders that send orders, when the store is restored twice
// while engines load new weights and one daemon is cut off.
func TestRestoreDuringWeightSwitch(t *testing.T) {
	t.Parallel()
	runOnRestorableDeployment(t, func(d *deployment) {
		d.setGoalVersion(2)
		older := d.store.Snapshot()
		d.setGoalVersion(3)
		time.Sleep(1500 * time.Millisecond)
		cut := d.processes[1]
		d.net.SetBlackhole(func(from, address string) bool {
			return from == cut.name || strings.HasPrefix(address, cut.host+":")
		})
		d.store.Restore(older)
		time.Sleep(500 * time.Millisecond)
		d.store.Restore(older)
		time.Sleep(500 * time.Millisecond)
		d.setGoalVersion(3)
		d.net.SetBlackhole(func(string, string) bool { return false })
		d.eventually("all engines have the goal's weights", 15*time.Second, func() bool { return d.countOlder(3) == 0 })
		for _, e := range d.engines {
			last, holder := 0, ""
			for _, order := range e.Orders() {
				fields := strings.Fields(order)
				fence, err := strconv.Atoi(fields[1])
				assert.NilError(t, err)
				assert.Check(t, fence > last || fence == last && fields[0] == holder, "%s: orders %v", e.ID, e.Orders())
				last, holder = fence, fields[0]
			}
		}
	})
}
