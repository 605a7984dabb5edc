package sitepath

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

const (
	// poisonPath is that of a request which crashes each engine that runs it.
	poisonPath = "/once/poison"
	// restartTime is how long a crashed engine is away.
	restartTime = 2 * time.Second
	// mostLost is how many engines one request may crash before it is refused.
	mostLost = 2
)

// poison makes the request at poisonPath crash whatever runs it.
func (d *deployment) poison() {
	for _, u := range d.upstreams() {
		u.Behave = func(r *http.Request) site.Behaviour {
			if r.URL.Path != poisonPath {
				return site.Serve
			}
			go d.crash(u, restartTime)
			return site.LoseAnswer
		}
	}
}

// poisoned returns how often the request at poisonPath ran.
func (d *deployment) poisoned() int {
	n := 0
	for _, u := range d.upstreams() {
		for _, r := range u.Runs() {
			if r.Path == poisonPath {
				n++
			}
		}
	}
	return n
}

// One request crashes each engine that runs it, and comes again and again at
// all daemons, also after all of them were restarted. Two engines are lost, and
// other requests are served.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	run(t, func(d *deployment) {
		d.poison()
		refused := func(p *process) bool {
			a := d.ask(p, http.MethodPost, modelHost, poisonPath, nil)
			return a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "" && strings.Contains(a.body, "quarantined")
		}
		for i := range 4 * daemons {
			refused(d.processes[i%daemons])
			time.Sleep(700 * time.Millisecond)
		}
		assert.Equal(t, d.poisoned(), mostLost)
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
		assert.Equal(t, d.poisoned(), mostLost)
	})
}

// All engines of a service crash at one moment under equal requests. The cause
// is another, and the requests are served once the engines are back.
func TestRequestsBesideACrashOfAllAreServed(t *testing.T) {
	run(t, func(d *deployment) {
		done := make(chan answer)
		var back atomic.Bool
		for _, u := range d.ledgers {
			u.Behave = func(*http.Request) site.Behaviour {
				if back.Load() {
					return site.Serve
				}
				return site.Hang
			}
		}
		for i := range 3 * daemons {
			go func() { done <- d.ask(d.processes[i%daemons], http.MethodGet, plainHost, "/read/1", nil) }()
		}
		time.Sleep(100 * time.Millisecond)
		back.Store(true)
		for _, u := range d.ledgers {
			d.crash(u, restartTime)
		}
		for range 3 * daemons {
			<-done
		}
		d.eventually("requests are served again", restartTime+startTimeout, func() bool {
			return d.ask(d.processes[0], http.MethodGet, plainHost, "/read/1", nil).status == http.StatusOK
		})
		for _, p := range d.processes {
			assert.Equal(t, d.ask(p, http.MethodGet, plainHost, "/read/1", nil).status, http.StatusOK)
		}
	})
}
