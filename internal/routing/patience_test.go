package routing

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against refusing a request although an engine has room: nothing woke the
// scheduler between the end of its patience and the end of its wait.
func TestRequestStartsWhenItsPatienceEnds(t *testing.T) {
	p, now := partsFleet(8)
	p.SetDaemonCount(now, 64) // one request at a time per engine
	reserved := 0
	for _, e := range p.engines {
		if e.reserved {
			reserved++
		}
	}
	for i := range reserved {
		a := start(t, p, now, partsRequest(fmt.Sprintf("short-%d", i), "desk", 60, 300))
		assert.Assert(t, p.byID[a.Endpoint].reserved)
	}
	r := partsRequest("waiting", "desk", 60, 300)
	p.Submit(now, r)
	assert.Equal(t, len(p.Advance(now)), 0)
	for at := p.NextWake(now); at.Before(now.Add(r.Class.MaxWait)); at = p.NextWake(at) {
		if actions := p.Advance(at); len(actions) > 0 {
			assert.Equal(t, actions[0].Kind, Start)
			return
		}
	}
	t.Fatal("the request did not start before its wait ended")
}

// Guards against engines that stay closed to long prompts because of peers' figures
// that are older than the prompts take.
func TestPeersBacklogFades(t *testing.T) {
	p, now := partsFleet(2)
	p.SetDaemonCount(now, 3)
	e := p.engines[0]
	p.ApplyPeerLoads(now, "peer-1", []PeerLoad{{Endpoint: e.ep.ID, Incarnation: e.ep.Incarnation, PendingTokens: 10_000, Requests: 1}})
	assert.Equal(t, int(p.backlog(now, e)), 10_000)
	later := now.Add(peerBacklogMaxAge / 2)
	p.ApplyPeerLoads(later, "peer-2", nil)
	assert.Equal(t, int(p.backlog(later, e)), 5_000)
	assert.Equal(t, p.takenSlots(e), 1)
}

// Guards against daemons that know few of their peers ignoring what an engine reports
// of its load.
func TestReportedRequestsCountWhilePeersAreUnknown(t *testing.T) {
	p, now := partsFleet(2)
	p.SetDaemonCount(now, 65)
	e := p.engines[0]
	p.ApplyPeerLoads(now, "peer-1", []PeerLoad{{Endpoint: e.ep.ID, Incarnation: e.ep.Incarnation, Requests: 1}})
	p.ApplyLoadReport(now, LoadReport{Endpoint: e.ep.ID, At: now, Running: 16, Queued: 24})
	assert.Equal(t, p.takenSlots(e), 40)
	p.Advance(now.Add(reportedRequestsMaxAge / 2))
	assert.Equal(t, p.takenSlots(e), 20)
	p.Advance(now.Add(reportedRequestsMaxAge))
	assert.Equal(t, p.takenSlots(e), 1)
}
