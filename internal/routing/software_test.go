package routing

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Guards against a resumed stream at an engine of another software version, or one that waits or is
// refused although an engine of its version is idle, whatever its prompt's homes are; and against
// one that waits although no engine of its version is left.
func TestOnlySoftwareRestrictsPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Settings{HedgePercent: 100, RetryPercent: 100, Seed: rapid.Uint64().Draw(t, "seed")})
		endpoints := testEndpoints(rapid.IntRange(1, 40).Draw(t, "engines"), 8)
		serving := map[string]bool{}
		for i := range endpoints {
			endpoints[i].Software = fmt.Sprint("v", rapid.IntRange(1, 3).Draw(t, "software"))
			serving[endpoints[i].Software] = true
		}
		p.SetEndpoints(epoch, endpoints)
		for i := range rapid.IntRange(1, 6).Draw(t, "requests") {
			r := testRequest(i, rapid.IntRange(0, 20).Draw(t, "prompt"), Class{Priority: 5, MaxWait: testMaxWait})
			r.Software, r.OnlySoftware = fmt.Sprint("v", rapid.IntRange(1, 4).Draw(t, "began by")), true
			p.Submit(epoch, r)
			actions := p.Advance(epoch)
			if len(actions) == 0 {
				t.Fatalf("the request waits")
			}
			a := actions[len(actions)-1]
			switch {
			case a.Kind == Refuse && (serving[r.Software] || a.Code != verdict.CodeNoUpstream):
				t.Fatalf("refused with %s", a.Code)
			case a.Kind == Start && p.byID[a.Endpoint].ep.Software != r.Software:
				t.Fatalf("a stream of %s at an engine of %s", r.Software, p.byID[a.Endpoint].ep.Software)
			}
			if a.Kind == Start {
				p.Finished(epoch, r.ID, a.Endpoint, Completed, 1)
			}
		}
	})
}

// Guards against an explanation that says a resumed stream waits, when no engine can continue it.
func TestExplanationNamesOtherSoftware(t *testing.T) {
	p := New(Settings{})
	endpoints := testEndpoints(2, 8)
	p.SetEndpoints(epoch, endpoints)
	r := testRequest(1, 0, Class{Priority: 5, MaxWait: testMaxWait})
	r.Software, r.OnlySoftware = "v2", true
	x := p.Explain(epoch, r)
	assert.Equal(t, x.Refusal, verdict.CodeNoUpstream)
	assert.Equal(t, len(x.Candidates), 2)
	for _, c := range x.Candidates {
		assert.Equal(t, c.Excluded, "it runs another software version than the engine that began the stream")
	}
}
