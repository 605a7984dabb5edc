package sitepath

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/suspects"
	"github.com/verbenabend/verbenabend/lab/site"
)

// Guards against sending requests that waited in a daemon for a place at an engine while
// a part of their prompts was quarantined.
func TestRequestsWaitingInDaemonAreNotSentOnceQuarantined(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, 2, 2, func(d *deployment) {
		const fillTime = 500 * time.Millisecond
		const quarantineTable, fillers, pause = "verbenabend-quarantine", 16, 10 * time.Millisecond
		rowKey := func(part string) string {
			return hex.EncodeToString([]byte(suspects.PartKey("bench", model, "", part)))
		}
		c := &partCrashes{d: d, down: map[*site.Upstream]bool{}}
		end := c.stallAll(true)
		for range 4 {
			c.ask(d.processes[0], sharedPart)
			time.Sleep(partRestartDelay + time.Second)
		}
		end()
		row := d.store.Value(quarantineTable, rowKey(sharedPart))
		assert.Assert(t, row != nil)

		c = d.crashOnPart(site.StallInFirstEvent)
		c.count = 100 // requests unlike those before
		for _, u := range d.engines {
			u.StreamEvents, u.EventInterval = 10, fillTime/10
		}
		var group sync.WaitGroup
		for i := range fillers {
			group.Go(func() {
				d.ask(d.processes[0], http.MethodPost, modelHost, "/once/"+strconv.Itoa(i), func(r *http.Request) {
					r.Header.Set("X-Prompt-Prefix", "c"+strconv.Itoa(i)+":30")
				})
			})
		}
		time.Sleep(fillTime - 3*pause)
		for range 4 {
			group.Go(func() { c.ask(d.processes[0], crashingPart) })
		}
		time.Sleep(pause)
		assert.Equal(t, c.arrivals(), 0, "the requests wait")
		d.store.PutBytes(quarantineTable, rowKey(crashingPart), row)
		time.Sleep(pause)
		assert.Assert(t, isQuarantined(c.ask(d.processes[0], crashingPart)))
		assert.Equal(t, c.arrivals(), 0, "the requests still wait")
		group.Wait()
		assert.Equal(t, c.arrivals(), 0, "requests were sent after their part was quarantined")
	})
}
