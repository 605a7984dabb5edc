package sitepath

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// runWithoutRollout runs a test in which daemons may write to the store but cannot
// acquire the lease: engines keep their weights.
func runWithoutRollout(t *testing.T, daemonCount int, test func(d *deployment, g *versionGoals)) {
	runOnDeploymentOf(t, daemonCount, engines, func(d *deployment) {
		for i := range 2 * daemonCount {
			d.store.SetFault(fmt.Sprintf("daemon-%d", i), site.Fault{RefuseWritesTo: "lease/"})
		}
		time.Sleep(3 * time.Second) // until all peers are connected and the record is written
		test(d, d.nameVersions())
	})
}

// countOldRuns returns how many runs began on weights older than a version in a time.
func (d *deployment) countOldRuns(version int, from, to time.Time) int {
	n := 0
	for _, e := range d.engines {
		for _, r := range e.Runs() {
			if r.Version < version && !r.StartedAt.Before(from) && r.StartedAt.Before(to) {
				n++
			}
		}
	}
	return n
}

// Daemons that were suspended, so that their steady clocks stood still, count that time
// in the ages of weights.
func TestSuspendedDaemonsCountTheTime(t *testing.T) {
	const suspended = 6 * time.Second
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		g.name(2)
		time.Sleep(time.Second)
		d.suspended.Add(int64(suspended))
		d.store.SkipTime(suspended)
		g.namedAt[2] = g.namedAt[2].Add(-suspended)
		l := d.startTraffic(requestPeriod, d.processes...)
		time.Sleep(versionTimeLimit)
		l.stop()
		g.checkNoLateRuns()
		limit := g.namedAt[2].Add(versionTimeLimit)
		assert.Assert(t, d.countOldRuns(2, limit.Add(-time.Second), limit) > 0, "old weights serve until their limit")
	})
}
