package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// partsFleet returns a policy configured for prompts given by parts, with engines
// that fetch from one another, and the current time.
func partsFleet(engines int) (*Policy, time.Time) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{RetryPercent: 100, RecomputePrice: 3, HomePrior: 0.9, BatchDelay: 3 * time.Millisecond})
	var list []Endpoint
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i)
		list = append(list, Endpoint{ID: id, Incarnation: id, Weights: []string{"opal"}, Slots: 64, Hash: prefix.NodeHash(id), TransferPerToken: time.Microsecond})
	}
	p.SetEndpoints(now, list)
	return p, now
}

func partsRequest(id string, shared string, sharedTokens, ownTokens int) *Request {
	return &Request{
		ID: id, Organisation: "trust", Share: 1, Weights: "opal", PromptTokens: sharedTokens + ownTokens, MaxOutputTokens: 100,
		Class: Class{MaxWait: 100 * time.Millisecond}, FirstTokenGoal: time.Second,
		Chain: prefix.NewFromParts("", []prefix.Part{{ID: shared, Tokens: sharedTokens}, {ID: "own-" + id, Tokens: ownTokens}}),
	}
}

// start submits a request and returns its action, possibly after a wait for a
// better engine.
func start(t *testing.T, p *Policy, now time.Time, r *Request) Action {
	t.Helper()
	p.Submit(now, r)
	for end := now.Add(r.Class.MaxWait); !now.After(end); now = now.Add(10 * time.Millisecond) {
		if actions := p.Advance(now); len(actions) > 0 {
			return actions[0]
		}
	}
	t.Fatalf("no action for %s", r.ID)
	return Action{}
}

// While reserved engines have room, no short prompt goes to an engine that runs
// a long one, where it would wait for the long prompt's prefill.
func TestShortPromptsDoNotWaitBehindLongOnes(t *testing.T) {
	p, now := partsFleet(8)
	longAt := map[string]bool{}
	for i := range 6 {
		a := start(t, p, now, partsRequest(fmt.Sprintf("long-%d", i), fmt.Sprintf("case-%d", i), 13_000, 4_000))
		assert.Equal(t, a.Kind, Start)
		longAt[a.Endpoint] = true
	}
	for i := range 20 {
		a := start(t, p, now, partsRequest(fmt.Sprintf("short-%d", i), "desk", 60, 300))
		assert.Equal(t, a.Kind, Start)
		assert.Assert(t, !longAt[a.Endpoint], "short prompt %d waits behind a long one", i)
	}
}

// The reserved engines stay the same while new weights are loaded by one engine
// after the other and engines with old weights have a cost penalty.
func TestReservedEnginesStayWhileWeightsAreSwitched(t *testing.T) {
	p, now := partsFleet(10)
	reserved := func() (ids []string) {
		for _, e := range p.engines {
			if e.reserved {
				ids = append(ids, e.ep.ID)
			}
		}
		return ids
	}
	before := reserved()
	assert.Equal(t, len(before), 10*reservedPercent/100)
	var list []Endpoint
	for _, e := range p.engines {
		list = append(list, e.ep)
	}
	for switched := range list {
		for i := range list {
			list[i].CostPenalty = 0
			if i > switched {
				list[i].CostPenalty = time.Second
			}
		}
		p.SetEndpoints(now, list)
		assert.DeepEqual(t, reserved(), before)
	}
}

// In a burst of long prompts, those that the engines cannot begin within the
// first-token goal are refused with a Retry-After delay, not queued at the engines.
func TestBurstOfLongPromptsIsRefused(t *testing.T) {
	p, now := partsFleet(4)
	started, refused := 0, 0
	for i := range 40 {
		p.Submit(now, partsRequest(fmt.Sprintf("long-%d", i), fmt.Sprintf("case-%d", i), 13_000, 4_000))
	}
	for _, at := range []time.Time{now, now.Add(time.Second)} {
		for _, a := range p.Advance(at) {
			if a.Kind == Start {
				started++
				continue
			}
			refused++
			assert.Assert(t, a.RetryAfter > 0)
		}
	}
	assert.Equal(t, started+refused, 40)
	assert.Assert(t, started >= 3, "every engine for long prompts has work: %d", started)
	assert.Assert(t, refused >= 30, "%d refused", refused)
}

// Repeated requests for one long part go to the engine that holds it as long as
// that engine has room.
func TestLongPartStaysWhereItIsCached(t *testing.T) {
	p, now := partsFleet(8)
	first := start(t, p, now, partsRequest("a", "case", 13_000, 4_000))
	part := prefix.PartKey("", "case")
	p.FirstToken(now.Add(300*time.Millisecond), "a", first.Endpoint, CachedUnknown)
	p.Finished(now.Add(time.Second), "a", first.Endpoint, Completed, 20)
	now = now.Add(time.Second)
	p.PartCached(now, first.Endpoint, first.Endpoint, part, 13_000)
	for i := range 5 {
		now = now.Add(2 * time.Second)
		id := fmt.Sprintf("again-%d", i)
		a := start(t, p, now, partsRequest(id, "case", 13_000, 4_000))
		assert.Equal(t, a.Endpoint, first.Endpoint)
		assert.Assert(t, a.Reasons.HeldTokens >= 12_900, "%s", a.Reasons)
		p.Finished(now.Add(time.Second), id, a.Endpoint, Completed, 20)
	}
}

// If the engine that holds a part must not get the request, another one fetches
// the part from it.
func TestPartIsFetchedFromItsHolder(t *testing.T) {
	p, now := partsFleet(8)
	holder := start(t, p, now, partsRequest("a", "case", 13_000, 4_000)).Endpoint
	p.Finished(now, "a", holder, Completed, 20)
	p.PartCached(now, holder, holder, prefix.PartKey("", "case"), 13_000)
	r := partsRequest("b", "case", 13_000, 4_000)
	r.ExcludedEndpoints = []string{holder}
	a := start(t, p, now, r)
	assert.Assert(t, a.Endpoint != holder)
	assert.Equal(t, a.Source, holder)
}

// An evicted part no longer counts as held; events of another incarnation are
// ignored.
func TestEvictedPartIsNotHeld(t *testing.T) {
	p, now := partsFleet(4)
	r := partsRequest("a", "case", 13_000, 4_000)
	e := p.engines[0]
	p.PartCached(now, e.ep.ID, e.ep.Incarnation, prefix.PartKey("", "case"), 13_000)
	assert.Equal(t, p.heldBlocks(now, e, r), 13_000)
	p.PartCached(now, e.ep.ID, "another incarnation", prefix.PartKey("", "case"), 0)
	assert.Equal(t, p.heldBlocks(now, e, r), 13_000, "an event of another incarnation is ignored")
	p.PartCached(now, e.ep.ID, e.ep.Incarnation, prefix.PartKey("", "case"), 0)
	assert.Equal(t, p.heldBlocks(now, e, r), 0)
}

// A slowdown reported by an engine counts only while the report is recent.
func TestReportedSlowdownExpires(t *testing.T) {
	p, now := partsFleet(4)
	e := p.engines[0]
	p.ApplyLoadReport(now, LoadReport{Endpoint: e.ep.ID, At: now, Slowdown: 2.5})
	assert.Equal(t, p.slowdown(now, e), 2.5)
	assert.Equal(t, p.slowdown(now.Add(time.Second), e), 1.0)
}

// While the reserved engines are busy and the others have room, short prompts
// with long responses still go to reserved engines, those with short responses to
// the others.
func TestLongResponsesPreferReservedEngines(t *testing.T) {
	for _, c := range []struct {
		tokens   int
		reserved bool
	}{{10, false}, {400, true}} {
		p, now := partsFleet(8)
		for _, e := range p.engines {
			if e.reserved {
				e.ownAttempts = 45
			}
		}
		r := partsRequest("a", "desk", 60, 300)
		r.ExpectedOutputTokens = c.tokens
		a := start(t, p, now, r)
		assert.Equal(t, p.byID[a.Endpoint].reserved, c.reserved, "%d tokens", c.tokens)
	}
}

// An engine that prefills without pause while it decodes many responses gets no
// more long prompts until it has had time to decode; one that decodes few does.
func TestEngineThatComputesWithoutPauseGetsNoLongPrompt(t *testing.T) {
	for _, c := range []struct {
		running int
		limited bool
	}{{prefillLimitMinRunning, true}, {1, false}} {
		p, now := partsFleet(1)
		e := p.engines[0]
		for range 400 {
			now = now.Add(10 * time.Millisecond)
			e.prefillUtilisation.observe(now, true)
		}
		e.ownAttempts = c.running
		r := partsRequest("a", "case", 13_000, 4_000)
		assert.Equal(t, p.exceedsPrefillLimit(e, r, p.backlog(now, e), 17_000), c.limited, "%d running", c.running)
		for range 40 {
			now = now.Add(10 * time.Millisecond)
			e.prefillUtilisation.observe(now, false)
		}
		assert.Assert(t, !p.exceedsPrefillLimit(e, r, p.backlog(now, e), 17_000))
	}
}

// The prefill utilisation follows the observed fraction of time.
func TestPrefillUtilisation(t *testing.T) {
	var u prefillUtilisation
	now := epoch
	for i := range 1000 {
		u.observe(now, i%4 == 0)
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, u.fraction > 0.2 && u.fraction < 0.3, "%v", u.fraction)
}

// A long prompt that an engine holds may wait there for up to half of its
// first-token goal behind another's prefill, instead of being refused or computed
// whole elsewhere; it does not start where the wait would be longer.
func TestHeldPromptMayWaitBehindAnother(t *testing.T) {
	for _, c := range []struct {
		before int // tokens that the engine computes first
		starts bool
	}{{13_000, true}, {40_000, false}} {
		p, now := partsFleet(1)
		first := start(t, p, now, partsRequest("first", "case", 13_000, 4_000))
		p.FirstToken(now, "first", first.Endpoint, CachedUnknown)
		p.Finished(now, "first", first.Endpoint, Completed, 10)
		start(t, p, now, partsRequest("other", "another case", c.before-4_000, 4_000))
		p.Submit(now, partsRequest("next", "case", 13_000, 2_000))
		actions := p.Advance(now)
		if !c.starts {
			assert.Equal(t, len(actions), 0)
			continue
		}
		assert.Equal(t, len(actions), 1)
		assert.Equal(t, actions[0].Kind, Start)
		assert.Equal(t, actions[0].Reasons.ComputeTokens, 2_000)
	}
}
