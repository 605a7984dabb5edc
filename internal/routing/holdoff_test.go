package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	testHoldOff = 3 * time.Second
	// testMaxWait is how long requests of submitExcluding may wait.
	testMaxWait = 100 * time.Millisecond
)

// heldOffFleet returns a policy with engines of which the first held are held off until
// testHoldOff after epoch.
func heldOffFleet(engines, held int) (*Policy, []Endpoint) {
	p := New(Settings{HedgePercent: 100, RetryPercent: 100})
	endpoints := testEndpoints(engines, 8)
	p.SetEndpoints(epoch, endpoints)
	for _, ep := range endpoints[:held] {
		p.HoldOff(epoch, ep.ID, ep.StartedAt, epoch.Add(testHoldOff))
	}
	return p, endpoints
}

// submitExcluding submits a request that may not go to the excluded engines and returns
// the actions.
func submitExcluding(p *Policy, now time.Time, id int, excluded ...Endpoint) []Action {
	r := testRequest(id, 0, Class{Priority: 5, MaxWait: testMaxWait})
	for _, ep := range excluded {
		r.ExcludedEndpoints = append(r.ExcludedEndpoints, ep.ID)
	}
	r.PreviousAttempts = len(excluded)
	p.Submit(now, r)
	return slices.Clone(p.Advance(now))
}

// Guards against first attempts and retries at an engine that is held off.
func TestHeldOffEngineGetsNoRequest(t *testing.T) {
	p, endpoints := heldOffFleet(2, 1)
	end := epoch.Add(testHoldOff)
	id := 0
	for now := epoch; now.Before(end); now = now.Add(50 * time.Millisecond) {
		id++
		a := submitExcluding(p, now, id)
		assert.Equal(t, len(a), 1)
		assert.Equal(t, a[0].Kind, Start)
		assert.Equal(t, a[0].Endpoint, endpoints[1].ID)
		p.Finished(now, a[0].Request.ID, a[0].Endpoint, Completed, 1)
	}
	assert.Equal(t, len(submitExcluding(p, end.Add(-1), id+1, endpoints[1])), 0)
	retry := p.Advance(end)
	assert.Equal(t, len(retry), 1)
	assert.Equal(t, retry[0].Kind, Start)
	assert.Equal(t, retry[0].Endpoint, endpoints[0].ID)
}

// Guards against a hedge at an engine that is held off.
func TestHeldOffEngineGetsNoHedge(t *testing.T) {
	p, endpoints := heldOffFleet(2, 1)
	first := submitExcluding(p, epoch, 2)
	assert.Equal(t, first[0].Endpoint, endpoints[1].ID)
	end := epoch.Add(testHoldOff)
	for now := epoch; now.Before(end); now = now.Add(10 * time.Millisecond) {
		assert.Equal(t, len(p.Advance(now)), 0)
	}
	hedges := p.Advance(end.Add(hedgeRetryInterval))
	assert.Equal(t, len(hedges), 1)
	assert.Equal(t, hedges[0].Kind, Hedge)
	assert.Equal(t, hedges[0].Endpoint, endpoints[0].ID)
}

// Guards against a probe of an ejected engine, and a choice among ejected engines as a
// last resort, while they are held off.
func TestHeldOffEngineIsNotProbed(t *testing.T) {
	p, _ := heldOffFleet(2, 0)
	for id := range 2 {
		a := submitExcluding(p, epoch, id)
		p.Finished(epoch, a[0].Request.ID, a[0].Endpoint, Failed, 0)
		p.HoldOff(epoch, a[0].Endpoint, 0, epoch.Add(testHoldOff))
	}
	assert.Equal(t, p.ejectedEngines, 2)
	end := epoch.Add(testHoldOff)
	for _, now := range []time.Time{epoch, epoch.Add(minEjection + 1), end.Add(-testMaxWait - 1)} {
		a := submitExcluding(p, now, 3)
		assert.Equal(t, a[0].Kind, Refuse)
		assert.Assert(t, a[0].HeldOff)
	}
	assert.Equal(t, submitExcluding(p, end, 4)[0].Kind, Start)
}

// Guards against requests to an engine before the end of its hold-off because it was
// absent meanwhile or has other weights. A restart of its process ends the hold-off.
func TestHoldOffSurvivesChangesOfTheList(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *Policy, list []Endpoint)
		want   ActionKind
	}{
		"absent and back": {func(p *Policy, list []Endpoint) {
			p.SetEndpoints(epoch, list[1:])
			p.SetEndpoints(epoch, list)
		}, Refuse},
		"listed for the first time": {func(p *Policy, list []Endpoint) {
			late := list[0]
			late.ID = "late"
			p.HoldOff(epoch, late.ID, late.StartedAt, epoch.Add(testHoldOff))
			p.SetEndpoints(epoch, []Endpoint{late, list[1]})
		}, Refuse},
		"other weights": {func(p *Policy, list []Endpoint) {
			list[0].Incarnation, list[0].Versions = "1/opal@2", []int{2}
			p.SetEndpoints(epoch, list)
		}, Refuse},
		"restart": {func(p *Policy, list []Endpoint) {
			list[0].Incarnation, list[0].StartedAt = "2", 2
			p.SetEndpoints(epoch, list)
		}, Start},
		"late answer of the former process": {func(p *Policy, list []Endpoint) {
			list[0].Incarnation, list[0].StartedAt = "2", 2
			p.SetEndpoints(epoch, list)
			p.HoldOff(epoch, list[0].ID, 0, epoch.Add(2*testHoldOff))
		}, Start},
	} {
		t.Run(name, func(t *testing.T) {
			p, list := heldOffFleet(2, 1)
			c.change(p, slices.Clone(list))
			a := submitExcluding(p, epoch.Add(testHoldOff-testMaxWait-1), 1, list[1])
			assert.Equal(t, a[0].Kind, c.want)
		})
	}
}

// Guards against a hold-off that a later, shorter one ends early: each lasts to its own
// end.
func TestLaterHoldOffDoesNotShorten(t *testing.T) {
	p, list := heldOffFleet(2, 0)
	now := epoch
	for _, c := range []struct {
		until  time.Duration
		begins bool
	}{{testHoldOff, true}, {time.Second, false}, {-time.Second, false}, {testHoldOff + time.Second, false}} {
		assert.Equal(t, p.HoldOff(now, list[0].ID, 0, epoch.Add(c.until)), c.begins, "until %s", c.until)
		p.Advance(now)
		now = now.Add(500 * time.Millisecond)
	}
	end := epoch.Add(testHoldOff + time.Second)
	assert.Assert(t, p.HeldOff(end.Add(-1), list[0].ID, 0))
	assert.Assert(t, !p.HeldOff(end, list[0].ID, 0))
	assert.Assert(t, p.HoldOff(end, list[0].ID, 0, end.Add(time.Second)), "a hold-off after the end of the last one begins")
}

// Guards against a request that waits on although its engine's hold-off has ended.
func TestQueuedRequestStartsAtTheEndOfAHoldOff(t *testing.T) {
	p, list := heldOffFleet(1, 0)
	end := epoch.Add(testHoldOff + 30*time.Millisecond) // not a multiple of recheckInterval
	p.HoldOff(epoch, list[0].ID, 0, end)
	r := testRequest(1, 0, Class{Priority: 5, MaxWait: 2 * testHoldOff})
	p.Submit(epoch, r)
	assert.Equal(t, len(p.Advance(epoch)), 0)
	for now := epoch; ; {
		wake := p.NextWake(now)
		assert.Assert(t, wake.After(now) && !wake.After(end), "not awake at the end of the hold-off")
		now = wake
		if a := p.Advance(now); len(a) > 0 {
			assert.Equal(t, a[0].Kind, Start)
			assert.Equal(t, now, end)
			return
		}
	}
}

// Guards against requests that wait, or are told to come back too early, while all
// engines are held off.
func TestRequestIsRefusedWhileAllEnginesAreHeldOff(t *testing.T) {
	p, list := heldOffFleet(3, 0)
	for _, ep := range list[:2] {
		p.HoldOff(epoch, ep.ID, 0, epoch.Add(testHoldOff))
	}
	running := submitExcluding(p, epoch, 100)
	waiting := testRequest(1, 0, Class{Priority: 5, MaxWait: time.Second})
	p.Submit(epoch, waiting)
	p.engines[2].limit.Rejected(epoch, true) // no room at the third engine
	assert.Equal(t, len(p.Advance(epoch)), 0)
	now := epoch.Add(50 * time.Millisecond)
	p.HoldOff(now, list[2].ID, 0, epoch.Add(2*time.Second))
	refused := slices.Clone(p.Advance(now))
	refused = append(refused, submitExcluding(p, now, 2)...)
	refused = append(refused, submitExcluding(p, now, 3, list...)...)
	assert.Equal(t, len(refused), 3)
	for _, a := range refused {
		assert.Equal(t, a.Kind, Refuse)
		assert.Equal(t, a.Code, verdict.CodeOverloaded)
		assert.Assert(t, a.HeldOff)
		assert.Equal(t, a.RetryAfter, 2*time.Second-50*time.Millisecond)
		assert.Equal(t, a.Refusal.HeldOff, 3)
	}
	assert.Equal(t, p.queue.Len(), 0)
	p.Finished(now, running[0].Request.ID, running[0].Endpoint, Completed, 1)
}

// Guards against refusals although engines that are not homes of the prompt could
// serve it.
func TestOtherEnginesReplaceHomesThatAreHeldOff(t *testing.T) {
	for _, r := range []*Request{testRequest(1, 1, Class{MaxWait: testMaxWait}), {ID: "without prompt", Share: 1, Class: Class{MaxWait: testMaxWait}}} {
		p, _ := heldOffFleet(600, 0)
		homes := slices.Clone(p.homes(epoch, r))
		for _, i := range homes {
			p.HoldOff(epoch, p.engines[i].ep.ID, 0, epoch.Add(testHoldOff))
		}
		p.Submit(epoch, r)
		a := p.Advance(epoch)
		assert.Equal(t, len(a), 1)
		assert.Equal(t, a[0].Kind, Start)
	}
}

// Guards against memory that grows with every engine that ever asked for a hold-off.
func TestHoldOffsAreForgotten(t *testing.T) {
	p, _ := heldOffFleet(3, 3)
	now := epoch
	for i := range 10_000 {
		now = now.Add(10 * time.Millisecond)
		p.HoldOff(now, fmt.Sprint("engine-", i), int64(i), now.Add(testHoldOff))
		p.Advance(now)
		assert.Assert(t, len(p.holdOffs) <= 3+int(testHoldOff/(10*time.Millisecond)))
	}
	p.Advance(now.Add(testHoldOff))
	assert.Equal(t, len(p.holdOffs), 0)
	assert.Assert(t, p.holdOffsEndAt.IsZero())
}

// Guards against ejection, or a worse rating, of an engine for asking for a hold-off.
func TestHoldOffIsNoFailure(t *testing.T) {
	p, list := heldOffFleet(3, 0)
	before := *p.byID[list[0].ID]
	p.HoldOff(epoch, list[0].ID, 0, epoch.Add(testHoldOff))
	after := *p.byID[list[0].ID]
	assert.Equal(t, after.failures, before.failures)
	assert.Equal(t, after.ejectedUntil, before.ejectedUntil)
	assert.Equal(t, after.limit, before.limit)
	assert.Equal(t, p.ejectedEngines, 0)
}

// Guards against allocations in the choice of an engine of a large fleet while many
// engines, among them all homes of the request, are held off.
func TestChoiceBesideHoldOffsDoesNotAllocate(t *testing.T) {
	p, _ := heldOffFleet(600, 300)
	r := testRequest(1, 1, Class{MaxWait: time.Second})
	d := p.demand(epoch, r)
	for _, i := range slices.Clone(p.homes(epoch, r)) {
		p.HoldOff(epoch, p.engines[i].ep.ID, 0, epoch.Add(testHoldOff))
	}
	var c choice
	allocations := testing.AllocsPerRun(100, func() { c = p.choose(epoch, r, p.homes(epoch, r), &d, nil) })
	assert.Assert(t, c.engine != nil)
	assert.Equal(t, allocations, 0.0)
}

// Whatever becomes of the list of engines, no run of an engine's process gets an attempt
// before the end of its hold-offs, and a request is told to come back no earlier than
// one of them ends.
func TestHoldOffInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Settings{HedgePercent: 100, RetryPercent: 100})
		now, next := epoch, 0
		all := testEndpoints(4, 4)
		present := []bool{true, true, true, true}
		heldUntil := map[process]time.Time{}
		type attemptKey struct{ request, endpoint string }
		var running []attemptKey
		setEndpoints := func() {
			var list []Endpoint
			for i, ep := range all {
				if present[i] {
					list = append(list, ep)
				}
			}
			p.SetEndpoints(now, list)
		}
		setEndpoints()
		run := func(ep Endpoint) process { return process{ep.ID, ep.StartedAt} }
		advance := func(t *rapid.T) {
			for _, a := range p.Advance(now) {
				if a.Kind == Refuse {
					if a.HeldOff {
						first := time.Time{}
						for _, until := range heldUntil {
							if now.Before(until) {
								first = earlier(first, until)
							}
						}
						assert.Assert(t, !first.IsZero() && a.RetryAfter >= first.Sub(now))
					}
					continue
				}
				i := slices.IndexFunc(all, func(ep Endpoint) bool { return ep.ID == a.Endpoint })
				assert.Assert(t, present[i])
				assert.Assert(t, !now.Before(heldUntil[run(all[i])]), "%v at %s", a.Kind, now.Sub(epoch))
				running = append(running, attemptKey{a.Request.ID, a.Endpoint})
			}
		}
		engine := func(t *rapid.T) int { return rapid.IntRange(0, len(all)-1).Draw(t, "engine") }
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				next++
				p.Submit(now, testRequest(next, rapid.IntRange(0, 5).Draw(t, "family"), Class{Priority: 5, MaxWait: time.Second}))
				advance(t)
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("no attempt is running")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "attempt")
				p.Finished(now, running[i].request, running[i].endpoint, rapid.SampledFrom([]Outcome{Completed, Rejected, Failed, Canceled}).Draw(t, "outcome"), 5)
				running = slices.Delete(running, i, i+1)
				advance(t)
			},
			"hold off": func(t *rapid.T) {
				ep := all[engine(t)]
				until := now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				p.HoldOff(now, ep.ID, ep.StartedAt, until)
				if until.After(heldUntil[run(ep)]) {
					heldUntil[run(ep)] = until
				}
				advance(t)
			},
			"list": func(t *rapid.T) {
				i := engine(t)
				switch rapid.SampledFrom([]string{"absent", "weights", "restart"}).Draw(t, "change") {
				case "absent":
					present[i] = !present[i]
				case "weights":
					all[i].Incarnation += "+"
				case "restart":
					all[i].StartedAt++
					all[i].Incarnation = fmt.Sprint(all[i].StartedAt)
				}
				setEndpoints()
				advance(t)
			},
			"wait": func(t *rapid.T) {
				until := now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				for wake := p.NextWake(now); !wake.IsZero() && !wake.After(until); wake = p.NextWake(now) {
					assert.Assert(t, wake.After(now))
					now = wake
					advance(t)
				}
				now = until
				advance(t)
			},
		})
	})
}
