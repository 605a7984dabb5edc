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

func TestOldSnapshotsStayAsTheyWere(t *testing.T) {
	changes := 0
	f := New(func(*Snapshot) { changes++ })
	f.ApplyList(listed(platform.InstanceLive))
	before := f.Snapshot()
	f.ApplyEngineState(address, engine("i1"), time.Now())
	assert.Equal(t, before.ByAddress[address].State, Unknown)
	assert.Assert(t, f.Snapshot().ByAddress[address].Serves("opal@1"))
	assert.Assert(t, !f.Snapshot().ByAddress[address].Serves("opal@2"))
	f.ApplyList(nil)
	assert.Equal(t, len(f.Snapshot().ByAddress), 0)
	assert.Equal(t, changes, 3)
}

// The list lags: it may name an upstream live that has said it is leaving.
func TestLaggingListDoesNotBringBackALeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(nil)
		f.ApplyList(listed(platform.InstanceLive))
		leaving := engine("i1")
		leaving.Leaving = true
		f.ApplyEngineState(address, leaving, time.Now())
		f.ApplyList(listed(platform.InstanceLive))
		f.SetState(address, Serving)
		assert.Equal(t, state(f), Leaving)

		time.Sleep(time.Second)
		f.ApplyPeerState(address, PeerState{Service: "s", State: Serving, Incarnation: "i1"}, false, time.Now())
		assert.Equal(t, state(f), Leaving, "a peer that has not heard yet")
		f.ApplyEngineState(address, engine("i2"), time.Now())
		assert.Equal(t, state(f), Serving, "a new incarnation")
	})
}

func TestLeavingOnTheListOutweighsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(nil)
		f.ApplyList(listed(platform.InstanceLive))
		f.ApplyEngineState(address, engine("i1"), time.Now())
		f.ApplyList(listed(platform.InstanceLeaving))
		time.Sleep(time.Second)
		f.ApplyEngineState(address, engine("i1"), time.Now())
		assert.Equal(t, state(f), Leaving, "the engine itself does not know")
	})
}

func TestLateReportsAreIgnored(t *testing.T) {
	f := New(nil)
	f.ApplyList(listed(platform.InstanceLive))
	now := time.Now()
	f.ApplyEngineState(address, engine("i2"), now)
	f.ApplyEngineState(address, engine("i1"), now.Add(-time.Second))
	assert.Equal(t, f.Snapshot().ByAddress[address].Engine.Incarnation, "i2")
}

func TestWatcherTrustsItsOwnFreshReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(nil)
		f.ApplyList(listed(platform.InstanceLive))
		f.ApplyEngineState(address, engine("i1"), time.Now())
		down := PeerState{Service: "s", State: Down, Incarnation: "i1"}
		f.ApplyPeerState(address, down, true, time.Now())
		assert.Equal(t, state(f), Serving)
		f.ApplyPeerState(address, down, false, time.Now())
		assert.Equal(t, state(f), Down)
		time.Sleep(ownReportFresh)
		down.State = State(9)
		f.ApplyPeerState(address, down, false, time.Now())
		assert.Equal(t, state(f), Down, "a state of a later version is ignored")
	})
}

// A daemon that reads the list seldom hears from peers of upstreams that are
// new; that they know no more does not unsettle what is known here.
func TestPeersTellOfNewUpstreams(t *testing.T) {
	f := New(nil)
	f.ApplyPeerState(address, PeerState{Service: "s", DataCentre: "merrimack"}, false, time.Now())
	assert.Equal(t, state(f), Unknown)
	f.ApplyEngineState(address, engine("i1"), time.Now())
	f.ApplyPeerState(address, PeerState{Service: "s", DataCentre: "merrimack"}, false, time.Now())
	assert.Equal(t, state(f), Serving)
}
