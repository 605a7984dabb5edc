package sitepath

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// A daemon that reaches neither another one nor the store keeps to its own bound.
func TestRequestIsQuarantinedByDaemonAlone(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		d.cutPeers(never)
		for i := range daemons {
			d.store.SetFault(fmt.Sprintf("daemon-%d", i), site.Fault{Status: http.StatusServiceUnavailable})
		}
		time.Sleep(meetBound)
		d.crashOnCrashingPath()
		for range 6 {
			d.ask(d.processes[0], http.MethodPost, modelHost, crashingPath, nil)
			time.Sleep(crashRequestInterval)
		}
		assert.Equal(t, d.crashingRuns(), maxCrashedEngines)
	})
}
