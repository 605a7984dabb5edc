package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against explanations that differ from the decision that follows, and against decisions
// that change because somebody asked.
func TestExplainMatchesDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		explained, other, now := New(Settings{Seed: 1}), New(Settings{Seed: 1}), epoch
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		for _, p := range []*Policy{explained, other} {
			p.SetEndpoints(now, testEndpoints(4, slots))
		}
		for id := range rapid.IntRange(1, 40).Draw(t, "requests") {
			r := testRequest(id, rapid.IntRange(0, 3).Draw(t, "family"), Class{MaxWait: 100 * time.Millisecond})
			var x Explanation
			for range rapid.IntRange(1, 3).Draw(t, "explanations") {
				x = explained.Explain(now, r)
			}
			attempts := explained.Attempts()
			actions := map[*Policy]Action{}
			for _, p := range []*Policy{explained, other} {
				p.Submit(now, r)
				for _, a := range p.Advance(now) {
					if a.Request == r {
						actions[p] = a
					}
				}
			}
			assert.Equal(t, attempts, other.Attempts()-len(startOf(actions[other])))
			a := actions[explained]
			assert.Equal(t, a.Endpoint, actions[other].Endpoint)
			assert.Equal(t, a.Code, actions[other].Code)
			switch {
			case a.Endpoint != "":
				assert.Equal(t, x.Endpoint, a.Endpoint)
				assert.Assert(t, !x.WaitsFor)
			case a.Code != "":
				assert.Equal(t, x.Refusal, a.Code)
			default:
				assert.Assert(t, x.Refusal == "" && (x.Endpoint == "" || x.WaitsFor))
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * time.Millisecond)
		}
	})
}

// startOf returns the engine that an action names, if it starts an attempt.
func startOf(a Action) []string {
	if a.Endpoint == "" {
		return nil
	}
	return []string{a.Endpoint}
}

// Guards against an explanation that does not say why an engine is left out.
func TestExplainNamesExclusions(t *testing.T) {
	p, now := New(Settings{}), epoch
	p.SetEndpoints(now, testEndpoints(2, 4))
	r := testRequest(1, 0, Class{})
	first := p.Explain(now, r).Endpoint
	assert.Assert(t, p.HoldOff(now, first, 0, now.Add(time.Second)))
	x := p.Explain(now, r)
	assert.Assert(t, x.Endpoint != "" && x.Endpoint != first)
	for _, c := range x.Candidates {
		assert.Equal(t, c.Excluded != "", c.Endpoint == first, "%+v", c)
	}
}
