package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/admission/triage"
	"github.com/verbenabend/verbenabend/internal/routetable"
)

// Guards against a rank that puts a request behind one of a less urgent kind of the same
// service at an engine, whatever the priorities of routes and organisations.
func TestRankStaysWithinKind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s routetable.State
		priority := rapid.IntRange(-1, 4)
		for i := range rapid.IntRange(1, 4).Draw(t, "routes") {
			s.Routes = append(s.Routes, routetable.Route{Host: "h", PathPrefix: "/" + string(rune('a'+i)) + "/", Priority: priority.Draw(t, "route"), Targets: []routetable.Target{{Service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"), Weight: 1}}})
		}
		for range rapid.IntRange(0, 3).Draw(t, "organisations") {
			o := routetable.Organisation{}
			if rapid.Bool().Draw(t, "has priority") {
				p := priority.Draw(t, "organisation")
				o.Priority = &p
			}
			s.Organisations = append(s.Organisations, o)
		}
		table, err := routetable.New(s)
		assert.NilError(t, err)
		organisations := []*routetable.Organisation{nil}
		for i := range table.Organisations {
			organisations = append(organisations, &table.Organisations[i])
		}
		var cache priorityBandCache
		for i := range table.Routes {
			for _, o := range organisations {
				base, service := kindPriority(&table.Routes[i], o), table.Routes[i].Targets[0].Service
				assert.Equal(t, cache.ranked(table, service, base, 0), base)
				last := cache.ranked(table, service, base, triage.MaxRank)
				assert.Assert(t, last >= base && last < enginePriorities)
				for j := range table.Routes {
					for _, other := range organisations {
						if k := kindPriority(&table.Routes[j], other); table.Routes[j].Targets[0].Service == service && k > base {
							assert.Assert(t, last < k, "%d ranked %d, behind %d", base, last, k)
						}
					}
				}
			}
		}
	})
	table, err := routetable.New(routetable.State{Routes: []routetable.Route{testRoute("a", 0, time.Second), testRoute("b", 2, time.Second)}})
	assert.NilError(t, err)
	var cache priorityBandCache
	for base, want := range map[int][]int{0: {0, 1, 2}, 8: {8, 9, 9}} {
		for rank, priority := range want {
			assert.Equal(t, cache.ranked(table, "chat", base, rank), priority)
		}
	}
}

func testRoute(name string, priority int, goal time.Duration) routetable.Route {
	return routetable.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Priority: priority, FirstByteGoal: goal, Targets: []routetable.Target{{Service: "chat", Weight: 1}}}
}

// Guards against triage in deployments that state no goals or no different priorities.
func TestTriageMode(t *testing.T) {
	const goal = time.Second
	engine := &routetable.Service{Name: "chat", Engine: &routetable.EngineSpec{}}
	for name, c := range map[string]struct {
		routes   []routetable.Route
		service  *routetable.Service
		auto, on bool
	}{
		"different priorities": {[]routetable.Route{testRoute("a", 0, goal), testRoute("b", 2, goal)}, engine, true, true},
		"equal priorities":     {[]routetable.Route{testRoute("a", 1, goal), testRoute("b", 1, goal)}, engine, false, true},
		"one without a goal":   {[]routetable.Route{testRoute("a", 0, goal), testRoute("b", 2, 0)}, engine, false, true},
		"no goals":             {[]routetable.Route{testRoute("a", 0, 0), testRoute("b", 2, 0)}, engine, false, false},
		"plain service":        {[]routetable.Route{testRoute("a", 0, goal), testRoute("b", 2, goal)}, &routetable.Service{Name: "chat"}, false, false},
		"another service":      {[]routetable.Route{testRoute("a", 0, goal), testRoute("b", 2, goal)}, &routetable.Service{Name: "other", Engine: &routetable.EngineSpec{}}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			table, err := routetable.New(routetable.State{Routes: c.routes})
			assert.NilError(t, err)
			assert.Equal(t, TriageAuto.applies(table, c.service), c.auto)
			assert.Equal(t, TriageOn.applies(table, c.service), c.on)
			assert.Equal(t, TriageOff.applies(table, c.service), false)
		})
	}
}
