package sitepath

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// darkTime is how long the machine of an engine answers nothing.
const darkTime = 2500 * time.Millisecond

// darkness holds the addresses that answer nothing.
type darkness struct {
	d    *deployment
	mu   sync.Mutex
	dark map[string]bool
}

func (x *darkness) set(address string, dark bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.dark = maps.Clone(x.dark)
	x.dark[address] = dark
	now := x.dark
	x.d.net.SetBlackhole(func(_, to string) bool { return now[to] })
}

// next is how an engine comes back.
type next string

const (
	otherProcess next = "another process"
	otherID      next = "another process of another ID"
	sameProcess  next = "the same process"
)

// darken leaves an engine's machine without an answer for darkTime.
func (x *darkness) darken(u *site.Upstream, comesBack next) {
	x.set(u.Address, true)
	x.d.mu.Lock()
	server := x.d.servers[u.Address]
	x.d.mu.Unlock()
	time.AfterFunc(darkTime, func() {
		x.set(u.Address, false)
		if comesBack == sameProcess {
			return
		}
		server.Close()
		after := u
		if r := x.d.replacementOf(u); r != nil && comesBack == otherID {
			x.d.store.Delete("servers", u.ID)
			after = r
		}
		after.Restart(x.d.store)
		x.d.serve(after.Address, after)
	})
}

const replacementSuffix = "-again"

// addReplacements adds an engine of another ID at the address of each, which does not serve yet.
func (d *deployment) addReplacements() {
	for _, e := range slices.Clone(d.engines) {
		r := &site.Upstream{ID: e.ID + replacementSuffix, Address: e.Address, Service: e.Service, Zone: e.Zone, Model: e.Model, StreamEvents: e.StreamEvents, EventInterval: e.EventInterval, SwitchDuration: e.SwitchDuration, CacheStore: e.CacheStore}
		r.SetVersion(e.Version())
		d.engines = append(d.engines, r)
	}
}

// replacementOf returns the engine that takes another one's place, nil if there is none.
func (d *deployment) replacementOf(u *site.Upstream) *site.Upstream {
	i := slices.IndexFunc(d.engines, func(e *site.Upstream) bool { return e.ID == u.ID+replacementSuffix })
	if i < 0 {
		return nil
	}
	return d.engines[i]
}

// darkenOnCrashingPath makes requests for crashingPath leave the machine of the engine that runs them
// without an answer.
func (d *deployment) darkenOnCrashingPath(comesBack next) {
	x := &darkness{d: d, dark: map[string]bool{}}
	for _, u := range d.upstreams() {
		u.ChooseBehaviour = func(r *http.Request) site.Behaviour {
			if r.URL.Path != crashingPath {
				return site.Serve
			}
			go x.darken(u, comesBack)
			return site.Hang
		}
	}
}

// Guards against a request that is never refused although it takes each engine that runs it away:
// their machines fall silent in place of closing connections.
func TestRequestThatDarkensEnginesIsRefused(t *testing.T) {
	t.Parallel()
	for _, comesBack := range []next{otherProcess, otherID} {
		t.Run(string(comesBack), func(t *testing.T) {
			runDeployment(t, 4, func(d *deployment) {
				d.daemonCount = daemons
				d.addReplacements()
			}, func(d *deployment) {
				d.darkenOnCrashingPath(comesBack)
				for i := range 8 {
					d.ask(d.processes[i%daemons], http.MethodPost, modelHost, crashingPath, nil)
					time.Sleep(4 * time.Second)
				}
				assert.Equal(t, d.crashingRuns(), maxCrashedEngines)
				a := d.ask(d.processes[2], http.MethodPost, modelHost, crashingPath, nil)
				assert.Assert(t, a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "quarantined"), "status %d: %s", a.status, a.body)
				assert.Equal(t, d.ask(d.processes[0], http.MethodPost, modelHost, "/chat/1", nil).status, http.StatusOK)
			})
		})
	}
}

// An engine that was cut off, and is back as it was, has not crashed.
func TestCutOffEngineIsNoCrash(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, daemons, 4, func(d *deployment) {
		d.darkenOnCrashingPath(sameProcess)
		const requests = 5
		for i := range requests {
			d.ask(d.processes[i%daemons], http.MethodPost, modelHost, crashingPath, nil)
			time.Sleep(4 * time.Second)
		}
		assert.Equal(t, d.crashingRuns(), requests)
	})
}

// Engines that fall silent together are one failure, and requests that ran beside it are served once
// they ran to their ends elsewhere.
func TestEnginesThatDarkenTogetherQuarantineNothing(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, daemons, 4, func(d *deployment) {
		x := &darkness{d: d, dark: map[string]bool{}}
		for _, e := range d.engines {
			e.StreamEvents, e.EventInterval = 30, 100*time.Millisecond
		}
		var asked sync.WaitGroup
		for i := range 12 { // equal requests, at all engines
			asked.Go(func() {
				d.ask(d.processes[i%daemons], http.MethodPost, modelHost, "/once/popular", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "6000") })
			})
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		for _, e := range d.engines[:3] {
			assert.Assert(t, d.runningAt(e) > 0 || d.runningAt(d.engines[3]) > 0)
			x.darken(e, otherProcess)
		}
		asked.Wait()
		time.Sleep(darkTime + 5*time.Second)
		a := d.ask(d.processes[0], http.MethodPost, modelHost, "/once/popular", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "6000") })
		assert.Assert(t, a.err == nil && a.status == http.StatusOK, "status %d: %s", a.status, a.body)
	})
}
