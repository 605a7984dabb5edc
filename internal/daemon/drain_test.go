package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/settings"
)

// newIsolatedDaemon returns a daemon without a platform and without peers.
func newIsolatedDaemon(t *testing.T) *Daemon {
	s, err := settings.Parse([]byte(`{"name":"entry-1","data_centre":"merrimack","caller_listen":"127.0.0.1:0","operator_listen":"127.0.0.1:0",
		"peer_listen":"127.0.0.1:0","caller_address":"127.0.0.1:7001","peer_address":"127.0.0.1:7003",
		"operator_key":"an-operator-key-for-tests","fleet_key":"a-fleet-key-for-all-the-tests","platform":{"url":"http://127.0.0.1:1"},"entry_max_age":"100ms"}`))
	assert.NilError(t, err)
	d, err := New(s, hclog.NewNullLogger())
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	return d
}

func (d *Daemon) entryCount() int {
	return len(d.members.Entries("", func(string, string) time.Duration { return 0 }))
}

// TestEntriesListOnlyReadyDaemons checks that a daemon is listed in the entries
// only from its first readiness until it drains, and that the drain waits for
// requests in flight.
func TestEntriesListOnlyReadyDaemons(t *testing.T) {
	d := newIsolatedDaemon(t)
	d.announceAvailability()
	assert.Equal(t, d.entryCount(), 0) // not ready: no list, no documents
	d.wasReady.Store(true)
	d.announceAvailability()
	assert.Equal(t, d.entryCount(), 1)
	hard, cancel := context.WithCancel(context.Background())
	defer cancel()
	entered, release := make(chan struct{}), make(chan struct{})
	request := d.inFlight.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	}), d.draining.Load)
	go request.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	<-entered
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		d.drain(hard)
	}()
	for d.entryCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	d.updateIsolation(true) // an isolation update must not clear the draining mark
	assert.Equal(t, d.entryCount(), 0)
	select {
	case <-drained:
		t.Fatal("drained with a request in flight")
	case <-time.After(drainPropagationDelay + time.Second): // past the expiry of every response that listed the daemon
	}
	close(release)
	<-drained
}
