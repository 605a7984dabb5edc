package sitepath

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/gateway"
	"github.com/verbenabend/verbenabend/internal/telemetry"
	"github.com/verbenabend/verbenabend/lab/fabric"
	"github.com/verbenabend/verbenabend/lab/site"
)

const (
	// meetBound is the time in which daemons that share a store have to find each other: the
	// platform counts them as in contact then.
	meetBound = 3 * time.Second
	// crashRequestInterval is the interval at which a request that crashes engines comes again.
	crashRequestInterval = 3200 * time.Millisecond
)

// maxCutDaemons bounds the indexes of daemons that cutPeers knows.
const maxCutDaemons = 16

// deadSeeds are instances that are gone for good.
var deadSeeds = []string{"10.8.0.1", "10.8.0.2", "10.8.0.3"}

// knowEachOther reports whether each daemon lists all of them in its directory.
func (d *deployment) knowEachOther(processes []*process) bool {
	return !slices.ContainsFunc(processes, func(p *process) bool { return len(d.resolve(p)) != len(processes) })
}

// sendCrashingRequest sends a request that crashes each engine that runs it to the daemons in turn.
func (d *deployment) sendCrashingRequest(times int) {
	for i := range times {
		d.ask(d.processes[i%len(d.processes)], http.MethodPost, modelHost, crashingPath, nil)
		time.Sleep(crashRequestInterval)
	}
}

// cutPeers keeps daemons from each other unless together allows it; they still reach the store
// and the engines.
func (d *deployment) cutPeers(together func(a, b int) bool) {
	ports := []string{fmt.Sprintf(":%d", gossipPort), fmt.Sprintf(":%d", peerPort)}
	d.net.SetPartition(func(from, address string) bool {
		var a int
		if _, err := fmt.Sscanf(from, "daemon-%d", &a); err != nil || !slices.ContainsFunc(ports, func(port string) bool { return strings.HasSuffix(address, port) }) {
			return false
		}
		for b := range maxCutDaemons {
			if strings.HasPrefix(address, hostOf(b)+":") {
				return !together(a, b)
			}
		}
		return false
	})
}

func never(int, int) bool { return false }

// Guards against a fleet whose daemons never find each other because all seeds are gone: each let
// a request crash two engines of its own.
func TestDaemonsWithoutSeedsFindEachOther(t *testing.T) {
	t.Parallel()
	runOnDeploymentWith(t, func(d *deployment) { d.daemonCount, d.seeds = 0, deadSeeds }, func(d *deployment) {
		for i := range 4 {
			d.start(i)
		}
		time.Sleep(meetBound)
		for _, p := range d.processes {
			assert.Check(t, len(d.resolve(p)) == 4, "%s lists %v", p.name, d.resolve(p))
		}
		d.crashOnCrashingPath()
		d.sendCrashingRequest(8)
		assert.Equal(t, d.crashingRuns(), maxCrashedEngines)
	})
}

// Guards against two groups of daemons that never meet again: they were cut off from each other
// for longer than either remembers the other, and no seed of one is in the other.
func TestSeparatedGroupsMeetAgain(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, 4, engines, func(d *deployment) {
		d.cutPeers(func(a, b int) bool { return a/2 == b/2 })
		time.Sleep(time.Minute)
		for _, p := range d.processes[2:] {
			p.stop()
			assert.NilError(t, <-p.done)
		}
		d.processes = d.processes[:2]
		time.Sleep(time.Minute)
		d.seeds = []string{hostOf(2), hostOf(3)}
		d.start(2)
		d.start(3)
		time.Sleep(time.Minute)
		assert.Assert(t, d.knowEachOther(d.processes[:2]) && d.knowEachOther(d.processes[2:]))
		d.net.SetPartition(fabric.NoConnections)
		time.Sleep(meetBound)
		for _, p := range d.processes {
			assert.Check(t, len(d.resolve(p)) == 4, "%s lists %v", p.name, d.resolve(p))
		}
	})
}

// Guards against seeds that a process keeps although its settings name others.
func TestDaemonsFollowChangedSeeds(t *testing.T) {
	t.Parallel()
	runOnDeploymentWith(t, func(d *deployment) { d.daemonCount, d.seeds = 0, deadSeeds }, func(d *deployment) {
		for i := range 4 {
			d.store.SetFault(fmt.Sprintf("daemon-%d", i), site.Fault{RefuseWrites: true}) // the seeds are the only way
			d.start(i)
		}
		time.Sleep(startTimeout)
		assert.Assert(t, len(d.resolve(d.processes[0])) == 1)
		for _, p := range d.processes {
			p.gateway.ApplySettings(gateway.DynamicSettings{Seeds: seedAddresses([]string{hostOf(0), hostOf(1)})}, nil)
		}
		time.Sleep(meetBound)
		for _, p := range d.processes {
			assert.Check(t, len(d.resolve(p)) == 4, "%s lists %v", p.name, d.resolve(p))
		}
	})
}

// A daemon that meets the others late takes over what they share: which requests crashed engines,
// and the rates that upstreams state.
func TestLateDaemonTakesOverWhatIsShared(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		late := len(d.processes)
		d.cutPeers(func(a, b int) bool { return a != late && b != late })
		p := d.start(late)
		d.eventually("the late daemon serves", startTimeout, func() bool {
			return d.ask(p, http.MethodGet, plainHost, "/read/1", nil).status == http.StatusOK
		})
		d.crashOnCrashingPath()
		d.ask(d.processes[0], http.MethodPost, modelHost, crashingPath, nil)
		limits := []string{"5"}
		d.ledgers[0].RateLimit.Store(&limits)
		d.eventually("a rate is stated", startTimeout, func() bool {
			d.ask(d.processes[1], http.MethodGet, plainHost, "/read/1", nil)
			return d.metric(d.processes[1], telemetry.NameRateLimitedUpstreams) == 1
		})
		assert.Equal(t, d.metric(p, telemetry.NameRateLimitedUpstreams), 0.0)
		time.Sleep(crashRequestInterval)
		d.net.SetPartition(fabric.NoConnections)
		time.Sleep(meetBound)
		assert.Equal(t, d.metric(p, telemetry.NameRateLimitedUpstreams), 1.0)
		for range 3 {
			d.ask(p, http.MethodPost, modelHost, crashingPath, nil)
			time.Sleep(crashRequestInterval)
		}
		assert.Equal(t, d.crashingRuns(), maxCrashedEngines)
	})
}
