package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

const address = "10.0.0.1:1"

func listed(state platform.InstanceState) []platform.Instance {
	return []platform.Instance{{Address: address, Service: "s", DataCentre: "merrimack", State: state}}
}

func engine(incarnation string) upstream.EngineState {
	return upstream.EngineState{Incarnation: incarnation, Weights: []string{"opal@1"}, Slots: 4}
}

func state(f *Fleet) State { return f.Snapshot().ByAddress[address].State }

func TestSnapshotsAreImmutable(t *testing.T) {
	changes := 0
	f := New(func(*Snapshot) { changes++ })
	f.ApplyInstanceList(listed(platform.InstanceLive))
	before := f.Snapshot()
	f.ApplyEngineState(address, engine("i1"), time.Now())
	assert.Equal(t, before.ByAddress[address].State, Unknown)
	assert.Assert(t, f.Snapshot().ByAddress[address].Serves("opal@1"))
	assert.Assert(t, !f.Snapshot().ByAddress[address].Serves("opal@2"))
	f.ApplyInstanceList(nil)
	assert.Equal(t, len(f.Snapshot().ByAddress), 0)
	assert.Equal(t, changes, 3)
}

// The instance list is eventually consistent: it may still list an upstream as
// live that has reported that it is leaving.
func TestStaleListDoesNotReviveLeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(nil)
		f.ApplyInstanceList(listed(platform.InstanceLive))
		leaving := engine("i1")
		leaving.Leaving = true
		f.ApplyEngineState(address, leaving, time.Now())
		f.ApplyInstanceList(listed(platform.InstanceLive))
		f.SetState(address, Serving)
		assert.Equal(t, state(f), Leaving)

		time.Sleep(time.Second)
		f.ApplyPeerState(address, PeerState{Service: "s", State: Serving, Incarnation: "i1"}, false, time.Now())
		assert.Equal(t, state(f), Leaving, "a peer's report from before the leave")
		f.ApplyEngineState(address, engine("i2"), time.Now())
		assert.Equal(t, state(f), Serving, "a new incarnation")
	})
}

func TestListedLeavingOverridesServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(nil)
		f.ApplyInstanceList(listed(platform.InstanceLive))
		f.ApplyEngineState(address, engine("i1"), time.Now())
		f.ApplyInstanceList(listed(platform.InstanceLeaving))
		time.Sleep(time.Second)
		f.ApplyEngineState(address, engine("i1"), time.Now())
		assert.Equal(t, state(f), Leaving, "an engine report from before the leave")
	})
}

func TestLateReportsAreIgnored(t *testing.T) {
	f := New(nil)
	f.ApplyInstanceList(listed(platform.InstanceLive))
	now := time.Now()
	f.ApplyEngineState(address, engine("i2"), now)
	f.ApplyEngineState(address, engine("i1"), now.Add(-time.Second))
	assert.Equal(t, f.Snapshot().ByAddress[address].Engine.Incarnation, "i2")
}

func TestWatcherPrefersItsOwnRecentReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(nil)
		f.ApplyInstanceList(listed(platform.InstanceLive))
		f.ApplyEngineState(address, engine("i1"), time.Now())
		down := PeerState{Service: "s", State: Down, Incarnation: "i1"}
		f.ApplyPeerState(address, down, true, time.Now())
		assert.Equal(t, state(f), Serving)
		f.ApplyPeerState(address, down, false, time.Now())
		assert.Equal(t, state(f), Down)
		time.Sleep(ownReportMaxAge)
		down.State = State(9)
		f.ApplyPeerState(address, down, false, time.Now())
		assert.Equal(t, state(f), Down, "a state value of a later version is ignored")
	})
}

// A daemon that reads the instance list rarely learns of new upstreams from its
// peers. A peer's unknown state does not overwrite a known one.
func TestPeerStateAddsUnlistedUpstream(t *testing.T) {
	f := New(nil)
	f.ApplyPeerState(address, PeerState{Service: "s", DataCentre: "merrimack"}, false, time.Now())
	assert.Equal(t, state(f), Unknown)
	f.ApplyEngineState(address, engine("i1"), time.Now())
	f.ApplyPeerState(address, PeerState{Service: "s", DataCentre: "merrimack"}, false, time.Now())
	assert.Equal(t, state(f), Serving)
}
