package sitepath

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

const (
	// crashingPath is the path of a request that crashes each engine that runs it.
	crashingPath = "/once/poison"
	// restartDelay is how long a crashed engine stays down.
	restartDelay = 2 * time.Second
	// maxCrashedEngines is how many engines a request may crash before it is
	// quarantined.
	maxCrashedEngines = 2
)

// crashOnCrashingPath makes requests for crashingPath crash the upstream that
// runs them.
func (d *deployment) crashOnCrashingPath() {
	for _, u := range d.upstreams() {
		u.ChooseBehaviour = func(r *http.Request) site.Behaviour {
			if r.URL.Path != crashingPath {
				return site.Serve
			}
			go d.crash(u, restartDelay)
			return site.DropResponse
		}
	}
}

// crashingRuns returns how often requests for crashingPath ran.
func (d *deployment) crashingRuns() int {
	n := 0
	for _, u := range d.upstreams() {
		for _, r := range u.Runs() {
			if r.Path == crashingPath {
				n++
			}
		}
	}
	return n
}

// A request that crashes each engine that runs it is repeated at all daemons,
// also after all of them were restarted. It crashes two engines in total, and
// other requests are served.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		d.crashOnCrashingPath()
		refused := func(p *process) bool {
			a := d.ask(p, http.MethodPost, modelHost, crashingPath, nil)
			return a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "" && strings.Contains(a.body, "quarantined")
		}
		for i := range 4 * daemons {
			refused(d.processes[i%daemons])
			time.Sleep(700 * time.Millisecond)
		}
		assert.Equal(t, d.crashingRuns(), maxCrashedEngines)
		for _, p := range d.processes {
			assert.Assert(t, refused(p))
			assert.Equal(t, d.ask(p, http.MethodPost, modelHost, "/chat/1", nil).status, http.StatusOK)
		}
		for _, p := range d.processes {
			p.stop()
		}
		for _, p := range d.processes {
			assert.NilError(t, <-p.done)
		}
		d.processes = nil
		d.startAll()
		for _, p := range d.processes {
			assert.Assert(t, refused(p))
		}
		assert.Equal(t, d.crashingRuns(), maxCrashedEngines)
	})
}

// All upstreams of a service crash at the same time while they run equal
// requests. The requests are not the cause, so they are not quarantined and are
// served once the upstreams are back.
func TestSimultaneousCrashQuarantinesNothing(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		done := make(chan answer)
		var recovered atomic.Bool
		for _, u := range d.ledgers {
			u.ChooseBehaviour = func(*http.Request) site.Behaviour {
				if recovered.Load() {
					return site.Serve
				}
				return site.Hang
			}
		}
		for i := range 3 * daemons {
			go func() { done <- d.ask(d.processes[i%daemons], http.MethodGet, plainHost, "/read/1", nil) }()
		}
		time.Sleep(100 * time.Millisecond)
		recovered.Store(true)
		for _, u := range d.ledgers {
			d.crash(u, restartDelay)
		}
		for range 3 * daemons {
			<-done
		}
		d.eventually("requests are served again", restartDelay+startTimeout, func() bool {
			return d.ask(d.processes[0], http.MethodGet, plainHost, "/read/1", nil).status == http.StatusOK
		})
		for _, p := range d.processes {
			assert.Equal(t, d.ask(p, http.MethodGet, plainHost, "/read/1", nil).status, http.StatusOK)
		}
	})
}

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
