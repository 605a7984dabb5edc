package daemon

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/docstore"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/settings"
)

func newDaemon(t *testing.T) *Daemon {
	s, err := settings.Parse([]byte(`{
		"name": "entry-1", "data_centre": "merrimack", "caller_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0",
		"peer_listen": "127.0.0.1:0", "operator_key": "0123456789abcdef", "fleet_key": "0123456789abcdef",
		"platform": {"url": "http://127.0.0.1:1"}}`))
	assert.NilError(t, err)
	d, err := New(s, hclog.NewNullLogger())
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	return d
}

// A daemon that has been ready stays ready while a new service has upstreams of
// unknown state. A starting daemon is not ready until their states are known.
func TestNewServiceDoesNotMakeAServingDaemonUnready(t *testing.T) {
	d := newDaemon(t)
	d.instancesKnown.Store(true)
	d.documentsKnown.Store(true)
	d.fleet.ApplyInstanceList([]platform.Instance{{Address: "10.0.0.1:1", Service: "s", DataCentre: "merrimack", State: platform.InstanceLive}})
	submitTestDocument(t, d)
	assert.Equal(t, len(d.notReadyReasons()), 1)
	d.fleet.SetState("10.0.0.1:1", fleet.Serving)
	assert.Equal(t, len(d.notReadyReasons()), 0)
	d.wasReady.Store(true)
	d.fleet.ApplyPeerState("10.0.0.2:1", fleet.PeerState{Service: "s"}, false, time.Now())
	assert.Equal(t, len(d.servicesWithUnknownUpstreams()), 1)
	assert.Equal(t, len(d.notReadyReasons()), 0)
	d.draining.Store(true)
	assert.Equal(t, len(d.notReadyReasons()), 1)
}

// submitTestDocument brings a document into force through an in-memory platform.
func submitTestDocument(t *testing.T, d *Daemon) {
	p := platformtest.New().Client()
	store := docstore.NewStore(p, p.Objects(), d.catalogue, nil, d.log)
	_, err := store.Submit(context.Background(), []byte(`{"service":"s","kind":"plain","organisations":[{"name":"o","key_sha256":["`+strings.Repeat("ab", 32)+`"]}]}`), 0)
	assert.NilError(t, err)
}

// In a large fleet each daemon reads the instance list, probes upstreams and
// renews their published states less often.
func TestIntervalsGrowWithFleetSize(t *testing.T) {
	assert.Equal(t, probeInterval(7), minProbeInterval)
	assert.Equal(t, probeInterval(330), maxProbeInterval)
	assert.Equal(t, stateTTL(7), minStateTTL)
	assert.Equal(t, stateTTL(330), maxStateTTL)
	assert.Equal(t, listInterval(time.Second, 1), time.Second)
	assert.Equal(t, listInterval(time.Second, 7), time.Second)
	assert.Equal(t, listInterval(time.Second, 330), 41250*time.Millisecond)
}
