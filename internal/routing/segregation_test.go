package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// partsFleet is a policy with engines that fetch from one another and state
// their slowdown, as on the users' platform.
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
		Class: Class{MaxWait: 100 * time.Millisecond}, Goal: time.Second,
		Chain: prefix.OfParts("", []prefix.Part{{ID: shared, Tokens: sharedTokens}, {ID: "own-" + id, Tokens: ownTokens}}),
	}
}

// start submits a request and returns its action, which may come after a wait
// for a better engine.
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

// Load: long prompts arrive without pause beside short ones. No short prompt
// that finds a reserved engine idle may be sent behind a long one, and no long
// one to a reserved engine.
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

// Load: new weights are loaded by one engine after the other, and those that
// still have the old ones are dearer. The engines that are kept for short
// prompts stay the same all the while.
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
	assert.Equal(t, len(before), 10*shortPercent/100)
	var list []Endpoint
	for _, e := range p.engines {
		list = append(list, e.ep)
	}
	for switched := range list {
		for i := range list {
			list[i].Handicap = 0
			if i > switched {
				list[i].Handicap = time.Second
			}
		}
		p.SetEndpoints(now, list)
		assert.DeepEqual(t, reserved(), before)
	}
}

// Load: a crest of long prompts, more than the engines can begin within their
// goal. What can't begin is refused with a time to come back, not queued at
// the engines.
func TestCrestOfLongPromptsIsRefusedInTime(t *testing.T) {
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

// Load: one long part is asked for again and again. It stays at the engine
// that holds it as long as that engine has time.
func TestLongPartStaysWhereItIsCached(t *testing.T) {
	p, now := partsFleet(8)
	first := start(t, p, now, partsRequest("a", "case", 13_000, 4_000))
	part := prefix.PartKey("", "case")
	p.FirstToken(now.Add(300*time.Millisecond), "a", first.Endpoint, CachedUnknown)
	p.Finished(now.Add(time.Second), "a", first.Endpoint, Completed, 20)
	now = now.Add(time.Second)
	p.Cached(now, first.Endpoint, first.Endpoint, part, 13_000)
	for i := range 5 {
		now = now.Add(2 * time.Second)
		id := fmt.Sprintf("again-%d", i)
		a := start(t, p, now, partsRequest(id, "case", 13_000, 4_000))
		assert.Equal(t, a.Endpoint, first.Endpoint)
		assert.Assert(t, a.Why.Held >= 12_900, "%s", a.Why)
		p.Finished(now.Add(time.Second), id, a.Endpoint, Completed, 20)
	}
}

// When the engine that holds a part must not get work, another one fetches it.
func TestPartIsFetchedFromItsHolder(t *testing.T) {
	p, now := partsFleet(8)
	holder := start(t, p, now, partsRequest("a", "case", 13_000, 4_000)).Endpoint
	p.Finished(now, "a", holder, Completed, 20)
	p.Cached(now, holder, holder, prefix.PartKey("", "case"), 13_000)
	r := partsRequest("b", "case", 13_000, 4_000)
	r.Avoid = []string{holder}
	a := start(t, p, now, r)
	assert.Assert(t, a.Endpoint != holder)
	assert.Equal(t, a.Source, holder)
}

// Evicted and lost caches are no longer relied on.
func TestEvictedPartIsNotHeld(t *testing.T) {
	p, now := partsFleet(4)
	r := partsRequest("a", "case", 13_000, 4_000)
	e := p.engines[0]
	p.Cached(now, e.ep.ID, e.ep.Incarnation, prefix.PartKey("", "case"), 13_000)
	assert.Equal(t, p.held(now, e, r), 13_000)
	p.Cached(now, e.ep.ID, "another life", prefix.PartKey("", "case"), 0)
	assert.Equal(t, p.held(now, e, r), 13_000, "events of another life say nothing")
	p.Cached(now, e.ep.ID, e.ep.Incarnation, prefix.PartKey("", "case"), 0)
	assert.Equal(t, p.held(now, e, r), 0)
}

// An engine's word on its slowdown counts for as long as it is fresh.
func TestStatedSlowdown(t *testing.T) {
	p, now := partsFleet(4)
	e := p.engines[0]
	p.Report(now, LoadReport{Endpoint: e.ep.ID, At: now, Slowdown: 2.5})
	assert.Equal(t, p.slowdown(now, e), 2.5)
	assert.Equal(t, p.slowdown(now.Add(time.Second), e), 1.0)
}

// Load: short prompts with answers of very different length, while the engines
// that are not kept for short prompts have room. Long answers go to the
// reserved engines even where these run much; short answers take the others.
func TestLongAnswersPreferEnginesWithoutLongPrompts(t *testing.T) {
	for _, c := range []struct {
		tokens   int
		reserved bool
	}{{10, false}, {400, true}} {
		p, now := partsFleet(8)
		for _, e := range p.engines {
			if e.reserved {
				e.own = 45
			}
		}
		r := partsRequest("a", "desk", 60, 300)
		r.ExpectedTokens = c.tokens
		a := start(t, p, now, r)
		assert.Equal(t, p.byID[a.Endpoint].reserved, c.reserved, "%d tokens", c.tokens)
	}
}

// Load: a crest of long prompts that keeps an engine computing without pause
// while it generates answers. It gets no more of them until it had time for the
// answers; an engine that generates few goes on.
func TestEngineThatComputesWithoutPauseGetsNoLongPrompt(t *testing.T) {
	for _, c := range []struct {
		running int
		crowded bool
	}{{manyAnswers, true}, {1, false}} {
		p, now := partsFleet(1)
		e := p.engines[0]
		for range 400 {
			now = now.Add(10 * time.Millisecond)
			e.prefill.observe(now, true)
		}
		e.own = c.running
		r := partsRequest("a", "case", 13_000, 4_000)
		assert.Equal(t, p.crowded(e, r, p.backlog(now, e), 17_000), c.crowded, "%d running", c.running)
		for range 40 {
			now = now.Add(10 * time.Millisecond)
			e.prefill.observe(now, false)
		}
		assert.Assert(t, !p.crowded(e, r, p.backlog(now, e), 17_000))
	}
}

// The part of its time for which an engine computes follows what was seen.
func TestBusyPart(t *testing.T) {
	var b busyPart
	now := epoch
	for i := range 1000 {
		b.observe(now, i%4 == 0)
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, b.part > 0.2 && b.part < 0.3, "%v", b.part)
}

// Load: a crest of long prompts, and one more for a case that an engine holds
// while it computes another. It waits there for less than half of its goal
// instead of being refused or computed whole elsewhere; where it would wait
// longer, it does not.
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
		assert.Equal(t, actions[0].Why.Compute, 2_000)
	}
}
