package sitepath

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/fabric"
	"github.com/verbenabend/verbenabend/lab/site"
)

// askInTurn sends requests with the crashing part to all daemons in turn.
func (c *partCrashes) askInTurn(duration, pause time.Duration) {
	var group sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		group.Go(func() { c.ask(c.d.processes[i%len(c.d.processes)], sharedPart, crashingPart) })
		time.Sleep(pause)
	}
	group.Wait()
}

// Guards against daemons that reach the store but none of their peers, and each lose
// engines of their own to a part that crashes engines.
func TestPromptPartIsQuarantinedWithoutGossip(t *testing.T) {
	t.Parallel()
	const daemonCount, engineCount = 15, 20
	runOnDeploymentOf(t, daemonCount, engineCount, func(d *deployment) {
		c := d.crashOnPart(site.StallInFirstEvent)
		d.net.SetPartition(func(_, address string) bool {
			return strings.HasSuffix(address, ":"+strconv.Itoa(gossipPort)) || strings.HasSuffix(address, ":"+strconv.Itoa(peerPort))
		})
		defer d.net.SetPartition(fabric.NoConnections)
		time.Sleep(contactBound)
		c.askInTurn(40*time.Second, 600*time.Millisecond)
		assert.Assert(t, c.lateRequests() <= maxLateRequests, "%d requests with the part reached engines, %d crashed", c.lateRequests(), c.crashes())
	})
}

// Guards against a part that crashes engines for two organisations, of which one is
// isolated, and costs as many engines as for each of them alone.
func TestPromptPartOfTwoOrganisationsIsQuarantinedOnce(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, partDaemons, partEngines, func(d *deployment) {
		c := d.crashOnPart(site.StallInFirstEvent)
		keys := []string{callerKey, otherCallerKey}
		var group sync.WaitGroup
		start := time.Now()
		for i := 0; time.Since(start) < 2*time.Minute; i++ {
			group.Go(func() {
				d.ask(d.processes[i%partDaemons], http.MethodPost, modelHost, "/chat/"+strconv.Itoa(i), func(r *http.Request) {
					r.Header.Set("X-Key", keys[i%2])
					r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s:100,%s:100,f%06x:30", sharedPart, crashingPart, i))
				})
			})
			time.Sleep(time.Second / 4)
		}
		group.Wait()
		assert.Assert(t, c.lateRequests() <= maxLateRequests, "%d requests with the part reached engines, %d crashed", c.lateRequests(), c.crashes())
	})
}

// Guards against daemons that lose engines of their own to a part that crashes engines
// because a partition cuts some of them off from the others, or from one another.
func TestPromptPartIsQuarantinedAcrossPartition(t *testing.T) {
	t.Parallel()
	const daemonCount, engineCount = 15, 20
	for name, group := range map[string]func(daemon int) int{
		"two thirds alone": func(daemon int) int { return min(daemon, 2*daemonCount/3) },
		"two halves":       func(daemon int) int { return daemon % 2 },
		"groups of two":    func(daemon int) int { return daemon % (daemonCount / 2) },
	} {
		t.Run(name, func(t *testing.T) {
			runOnDeploymentOf(t, daemonCount, engineCount, func(d *deployment) {
				c := d.crashOnPart(site.StallInFirstEvent)
				groups, groupOfHost := map[string]int{}, map[string]int{}
				for i, p := range d.processes {
					groups[p.name], groupOfHost[p.host] = group(i), group(i)
				}
				d.net.SetPartition(func(from, address string) bool {
					host, port, _ := strings.Cut(address, ":")
					to, isDaemon := groupOfHost[host]
					return isDaemon && to != groups[from] && (port == strconv.Itoa(gossipPort) || port == strconv.Itoa(peerPort))
				})
				defer d.net.SetPartition(fabric.NoConnections)
				time.Sleep(contactBound)
				c.askInTurn(40*time.Second, 600*time.Millisecond)
				t.Logf("%d requests with the part reached engines, %d late", c.arrivals(), c.lateRequests())
				assert.Assert(t, c.lateRequests() <= maxLateRequests, "%d requests with the part reached engines, %d crashed", c.lateRequests(), c.crashes())
			})
		})
	}
}
