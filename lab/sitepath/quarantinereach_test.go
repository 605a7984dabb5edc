package sitepath

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that crash two engines for each daemon while daemons reach the store and
// not each other.
func TestRequestIsQuarantinedWithoutGossip(t *testing.T) {
	t.Parallel()
	const size = 7
	runOnDeploymentOf(t, size, engines, func(d *deployment) {
		d.cutPeers(never)
		time.Sleep(meetBound)
		d.crashOnCrashingPath()
		d.sendCrashingRequest(2 * size)
		assert.Equal(t, d.crashingRuns(), maxCrashedEngines)
	})
}
