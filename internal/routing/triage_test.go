package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that holds its caller until a deadline that an idle engine could
// not meet, and against such refusals before the engines' speed was observed.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	p, now := partsFleet(4)
	p.SetTriage(now, true)
	action := func(id string) Action {
		r := partsRequest(id, "", 0, 17_000)
		r.Deadline = now.Add(50 * time.Millisecond)
		p.Submit(now, r)
		return p.Advance(now)[0]
	}
	assert.Equal(t, action("unknown speed").Kind, Start)
	a := start(t, p, now, partsRequest("first", "desk", 60, 300))
	p.FirstToken(now.Add(20*time.Millisecond), "first", a.Endpoint, CachedUnknown)
	p.Finished(now.Add(400*time.Millisecond), "first", a.Endpoint, Completed, 20)
	now = now.Add(time.Second)
	refused := action("known speed")
	assert.Equal(t, refused.Kind, Refuse)
	assert.Equal(t, refused.Triage, TriageUnreachable)
}

// Guards against requests that are held in the daemon with no engine for them: callers that
// are refused early are served more often, since they try again elsewhere in time.
func TestTriageDoesNotExtendWaits(t *testing.T) {
	for _, triaged := range []bool{false, true} {
		p, now := New(Settings{}), epoch
		p.SetTriage(now, triaged)
		p.SetEndpoints(now, testEndpoints(1, 1))
		const maxWait = 100 * time.Millisecond
		for id := range 2 {
			r := testRequest(id, 0, Class{MaxWait: maxWait})
			r.FirstTokenGoal, r.Deadline = 800*time.Millisecond, now.Add(5*time.Second)
			p.Submit(now, r)
		}
		assert.Equal(t, p.Advance(now)[0].Kind, Start)
		assert.Equal(t, len(p.Advance(now.Add(maxWait-time.Millisecond))), 0)
		actions := p.Advance(now.Add(maxWait))
		assert.Equal(t, len(actions), 1)
		assert.Equal(t, actions[0].Kind, Refuse)
	}
}

// Guards against callers of long prompts that return together after a restart of all daemons
// and fill the engines before short requests: these are not held back, and long ones start
// one after the other. Without triage all start at once.
func TestLongPromptsAreRampedAfterStart(t *testing.T) {
	for _, triaged := range []bool{false, true} {
		p, now := partsFleet(8)
		p.SetTriage(now, triaged)
		p.SetDaemonCount(now, 8)
		submit := func(id string, own int) {
			r := partsRequest(id, id, 0, own)
			r.Deadline = now.Add(6 * time.Second)
			p.Submit(now, r)
		}
		for i := range 6 {
			submit(fmt.Sprint("long ", i), 17_000)
			submit(fmt.Sprint("short ", i), 300)
		}
		started := map[string]int{}
		for _, a := range p.Advance(now) {
			assert.Equal(t, a.Kind, Start)
			started[strings.Fields(a.Request.ID)[0]]++
		}
		assert.Equal(t, started["short"], 6)
		if triaged {
			assert.Equal(t, started["long"], 1)
		} else {
			assert.Assert(t, started["long"] > 1)
		}
	}
}
