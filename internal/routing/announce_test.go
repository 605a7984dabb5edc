package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// announcingFleet returns a policy of a large fleet whose engines hold two long prompts each.
func announcingFleet(engines int) (*Policy, time.Time) {
	p, now := partsFleet(engines)
	p.SetDaemonCount(now, 90)
	var list []Endpoint
	for _, e := range p.engines {
		ep := e.ep
		ep.MemoryTokens = 40_000
		list = append(list, ep)
	}
	p.SetEndpoints(now, list)
	p.SetAnnouncing(now, true)
	return p, now
}

func announce(p *Policy, now time.Time, e *engine, shared string, computeTokens int) {
	key := prefix.NewFromParts("", []prefix.Part{{ID: shared, Tokens: 13_300}, {ID: "own", Tokens: 3720}}).HomeKey()
	p.ApplyAnnouncements(now, Announcements{Prompts: []Announcement{{
		Endpoint: e.ep.ID, Incarnation: e.ep.Incarnation, Key: key, ComputeTokens: computeTokens, MemoryTokens: 17_100, At: now, Weight: 1,
	}}})
}

// Guards against a backlog that stays after the engine has computed the prompts, or for ever
// if it never tells.
func TestAnnouncedBacklogDecays(t *testing.T) {
	p, now := announcingFleet(8)
	e := p.engines[0]
	announce(p, now, e, "case", 17_020)
	before := p.backlog(now, e)
	assert.Equal(t, before, 17_020.0)
	half := p.backlog(now.Add(200*time.Millisecond), e)
	assert.Assert(t, half > 0 && half < before)
	assert.Equal(t, p.backlog(now.Add(announcedBacklogMaxAge), e), 0.0)
	assert.Equal(t, len(e.announced), 1)
	p.backlog(now.Add(announcedMaxAge), e)
	assert.Equal(t, len(e.announced), 0)
}

// Guards against long prompts that an engine has to preempt because its memory holds fewer of
// them than it has slots, while other engines have room.
func TestLongPromptGoesWhereMemoryIsLeft(t *testing.T) {
	p, now := announcingFleet(8)
	var free *engine
	for _, e := range p.engines {
		if e.reserved {
			continue
		}
		if free == nil {
			free = e
			continue
		}
		announce(p, now, e, "case", 0)
		announce(p, now, e, "other", 0)
	}
	p.ApplyLoadReport(now, LoadReport{Endpoint: free.ep.ID, At: now}) // else a daemon of 90 sends it one at a time
	for i := range 2 {
		a := start(t, p, now, partsRequest(fmt.Sprint("r", i), "case", 13_300, 3720))
		assert.Equal(t, a.Kind, Start)
		assert.Equal(t, a.Endpoint, free.ep.ID)
		p.FirstToken(now, fmt.Sprint("r", i), free.ep.ID, CachedUnknown)
	}
	p.Submit(now, partsRequest("waits", "case", 13_300, 3720))
	assert.Equal(t, len(p.Advance(now)), 0)
}

// Guards against a shared part that is read at several engines at once: the second prompt goes
// to the engine that reads it, and no engine is told to fetch it before it is there.
func TestPromptFollowsTheEngineThatReadsItsSharedPart(t *testing.T) {
	p, now := announcingFleet(8)
	var reading *engine
	for _, e := range p.engines {
		if !e.reserved {
			reading = e
		}
	}
	announce(p, now, reading, "case", 17_020)
	now = now.Add(350 * time.Millisecond)
	r := partsRequest("second", "case", 13_300, 3720)
	p.findHolders(now, r)
	assert.Assert(t, p.holderFor(0).engine == nil, "the part is fetched too early")
	assert.Equal(t, start(t, p, now, r).Endpoint, reading.ep.ID)
}

// Daemons of smaller fleets neither announce anything nor use what others announce.
func TestNothingIsAnnouncedInSmallFleets(t *testing.T) {
	p, now := announcingFleet(8)
	p.SetAnnouncing(now, false)
	start(t, p, now, partsRequest("a", "case", 13_300, 3720))
	announce(p, now, p.engines[0], "case", 17_020)
	p.ApplyLoadReport(now, LoadReport{Endpoint: p.engines[0].ep.ID, At: now, Queued: 9})
	out := p.TakeAnnouncements(now)
	assert.Equal(t, len(out.Prompts)+len(out.Reports)+len(out.Speeds), 0)
	assert.Equal(t, len(p.engines[0].announced), 0)
	assert.Assert(t, p.ShareDue())
}

// Guards against slow engines that get as many prompts as fast ones. Samples of prompts whose
// cached part was predicted wrongly do not count.
func TestEngineSpeedsAreLearnt(t *testing.T) {
	p, now := announcingFleet(8)
	for n := range 80 {
		tokens := []int{17_020, 3720}[n%2]
		for i, ratio := range []float64{0.6, 1, 1.7} {
			for _, wrong := range []float64{1, 4.6, 1, 1, 0.2, 1} {
				now = now.Add(speedFitInterval)
				p.ApplyAnnouncements(now, Announcements{Speeds: []EngineSpeed{{p.engines[i].ep.ID, tokens, time.Duration(ratio * wrong * float64(tokens) * 16 * float64(time.Microsecond))}}})
			}
		}
	}
	fast, normal, slow := p.slowdown(now, p.engines[0]), p.slowdown(now, p.engines[1]), p.slowdown(now, p.engines[2])
	assert.Assert(t, fast < 0.8*normal && slow > 1.4*normal, "%.2f, %.2f, %.2f", fast, normal, slow)
}
