package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The estimated backlog of an engine with one long prompt shrinks as time
// passes, but not to zero before the first token: the engine may be slow.
func TestBacklogShrinksUntilTheFirstToken(t *testing.T) {
	p, now := partsFleet(1)
	start(t, p, now, partsRequest("long", "case", 13_000, 4_000))
	e := p.engines[0]
	initial := p.backlog(now, e)
	assert.Equal(t, initial, 17_000.0)
	half := p.backlog(now.Add(p.speed.TokensTime(8_500)), e)
	assert.Assert(t, half > 8_000 && half < 9_000, "%v tokens at half time", half)
	for _, late := range []time.Duration{2 * time.Second, time.Minute} {
		assert.Equal(t, p.backlog(now.Add(late), e), uncomputedFraction*initial)
		assert.Equal(t, p.LoadsForPeers(now.Add(late))[0].PendingTokens, int(uncomputedFraction*initial))
	}
	p.FirstToken(now.Add(time.Minute), "long", e.ep.ID, CachedUnknown)
	assert.Equal(t, p.backlog(now.Add(time.Minute), e), 0.0)
}

// An engine divides its time among the prompts of all daemons, so this daemon's
// backlog shrinks only in proportion to its fraction of the pending tokens.
func TestBacklogShrinksBesidePeersPrompts(t *testing.T) {
	p, now := partsFleet(1)
	start(t, p, now, partsRequest("long", "case", 13_000, 4_000))
	e := p.engines[0]
	p.ApplyPeerLoads(now, "peer", []PeerLoad{{Endpoint: e.ep.ID, Incarnation: e.ep.Incarnation, PendingTokens: 17_000, Requests: 1}})
	own := p.ownBacklog(now.Add(p.speed.TokensTime(8_000)), e)
	assert.Assert(t, own > 12_900 && own < 13_100, "%v tokens", own)
}

// The backlog of an engine that reports a slowdown shrinks by that factor more
// slowly.
func TestBacklogShrinksSlowlyAtASlowEngine(t *testing.T) {
	p, now := partsFleet(1)
	start(t, p, now, partsRequest("long", "case", 13_000, 4_000))
	e := p.engines[0]
	later := now.Add(p.speed.TokensTime(8_000))
	p.ApplyLoadReport(later, LoadReport{Endpoint: e.ep.ID, At: later, Running: 1, Slowdown: 2})
	assert.Equal(t, p.backlog(later, e), 13_000.0)
}

// A first home is presumed to hold a prompt when costs are compared, but the
// whole prompt counts in the backlog of the prompts behind it.
func TestPresumedPromptsCountAsComputed(t *testing.T) {
	p, now := partsFleet(1)
	start(t, p, now, partsRequest("first", "case", 13_000, 4_000))
	assert.Equal(t, p.LoadsForPeers(now)[0].PendingTokens, 17_000)
}

// After the engine that holds a prompt has failed, requests for the prompt that
// start elsewhere do not fetch from it.
func TestNothingIsFetchedFromAFailedEngine(t *testing.T) {
	p, now := partsFleet(6)
	first := start(t, p, now, partsRequest("first", "case", 13_000, 4_000))
	p.FirstToken(now, "first", first.Endpoint, CachedUnknown)
	p.Finished(now, "first", first.Endpoint, Failed, 0)
	for i := range 4 {
		r := partsRequest(fmt.Sprint("next", i), "case", 13_000, 4_000)
		r.ExcludedEndpoints = []string{first.Endpoint}
		a := start(t, p, now, r)
		assert.Equal(t, a.Kind, Start)
		assert.Equal(t, a.Source, "")
		assert.Equal(t, a.Reasons.ComputeTokens, 17_000)
	}
}

// Loads are shared at once after a long prompt, which delays what peers send
// to the engine, and with the next interval after others.
func TestLongPromptsAreSharedAtOnce(t *testing.T) {
	p, now := partsFleet(4)
	start(t, p, now, partsRequest("short", "desk", 60, 300))
	assert.Assert(t, !p.ShareDue())
	start(t, p, now, partsRequest("long", "case", 13_000, 4_000))
	assert.Assert(t, p.ShareDue())
	p.LoadsForPeers(now)
	assert.Assert(t, !p.ShareDue())
}

// A peer's load at a removed engine that runs requests of this daemon counts once,
// however often it is shared.
func TestPeerLoadAtARemovedEngineCountsOnce(t *testing.T) {
	p, now := partsFleet(1)
	id := start(t, p, now, partsRequest("long", "case", 13_000, 4_000)).Endpoint
	p.SetEndpoints(now, nil)
	for range 3 {
		p.ApplyPeerLoads(now, "peer", []PeerLoad{{Endpoint: id, Incarnation: id, PendingTokens: 1_000, Requests: 1}})
	}
	requests, tokens := p.Requests(id)
	assert.Equal(t, requests, 2)
	assert.Equal(t, tokens, 18_000)
	assert.Equal(t, p.peerRequests, 0, "the load of the other engines includes none of a removed one")
}

// A peer's requests at an engine that gets no more work stay known until they end,
// also to a daemon that has none there: a weight switch waits for their prompts.
func TestRequestsAtARemovedEngineStayKnown(t *testing.T) {
	sender, now := partsFleet(1)
	receiver, _ := partsFleet(1)
	id := start(t, sender, now, partsRequest("long", "case", 13_000, 4_000)).Endpoint
	sender.SetEndpoints(now, nil)
	receiver.SetEndpoints(now, nil)
	assertKnown := func(wantRequests, wantTokens int) {
		t.Helper()
		if loads := sender.LoadsForPeers(now); len(loads) > 0 {
			receiver.ApplyPeerLoads(now, "sender", loads)
		}
		for _, p := range []*Policy{sender, receiver} {
			requests, tokens := p.Requests(id)
			assert.Equal(t, requests, wantRequests)
			assert.Equal(t, tokens, wantTokens)
		}
	}
	assertKnown(1, 17_000)
	assertKnown(1, 17_000)
	sender.FirstToken(now, "long", id, CachedUnknown)
	assertKnown(1, 0)
	sender.Finished(now, "long", id, Completed, 10)
	assertKnown(0, 0)
	assert.Equal(t, len(sender.LoadsForPeers(now)), 0)
	assert.Equal(t, len(sender.byID), 0)
}
