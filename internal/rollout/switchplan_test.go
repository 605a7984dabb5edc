package rollout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// For any state of the engines, the plan exceeds no limit, contains no engine
// that is up to date, and uses all of the allowed capacity.
func TestPlanSwitches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []SwitchCandidate
		behind, switching := 0, 0
		for i := range rapid.IntRange(1, 20).Draw(t, "engines") {
			e := SwitchCandidate{ID: fmt.Sprint(i), Version: rapid.IntRange(1, 4).Draw(t, "version"), Requests: rapid.IntRange(0, 9).Draw(t, "requests")}
			if e.Version < 3 {
				behind++
				if e.Switching = rapid.Bool().Draw(t, "switching"); e.Switching {
					switching++
				}
			}
			engines = append(engines, e)
		}
		limits := SwitchLimits{Rounds: rapid.IntRange(1, 8).Draw(t, "rounds")}
		half := max(1, len(engines)/2)
		room := min(2*min((len(engines)+limits.Rounds-1)/limits.Rounds, half), half)
		plan := PlanSwitches(3, engines, limits)
		assert.Equal(t, len(plan), max(0, min(room-switching, behind-switching)))
		seen := map[string]bool{}
		for _, id := range plan {
			assert.Assert(t, !seen[id])
			seen[id] = true
			for _, e := range engines {
				assert.Assert(t, e.ID != id || e.Version < 3 && !e.Switching)
			}
		}
	})
}

func TestStaleness(t *testing.T) {
	s := StalenessPolicy{GracePeriod: time.Second, CostPenalty: 400 * time.Millisecond, MaxAge: 8 * time.Second}
	for _, x := range []struct {
		age     time.Duration
		price   time.Duration
		expired bool
	}{{0, 0, false}, {2 * time.Second, s.CostPenalty, false}, {9 * time.Second, s.CostPenalty, true}} {
		price, expired := s.CostPenaltyAt(x.age)
		assert.Equal(t, price, x.price)
		assert.Equal(t, expired, x.expired)
	}
}

// Guards against the use of expired weights after a still newer version is named,
// when no engine has the newest weights.
func TestExpired(t *testing.T) {
	s := StalenessPolicy{GracePeriod: time.Second, MaxAge: 8 * time.Second}
	const old, expired = 2 * time.Second, 9 * time.Second
	engine := func(id, service string, available bool, age time.Duration) Serving {
		return Serving{ID: id, Service: service, Available: available, Age: age}
	}
	got := s.Expired([]Serving{
		engine("a1", "a", true, old), engine("a2", "a", true, expired), engine("a3", "a", false, expired),
		engine("b1", "b", true, expired), engine("b2", "b", false, old),
		engine("c1", "c", true, 0), engine("c2", "c", true, expired),
	})
	assert.DeepEqual(t, got, map[string]bool{"a2": true, "a3": true, "c2": true})

	// Nor are they used beyond the limit where no other engine is available.
	s.MaxAgeWithoutOther = 10 * time.Second
	got = s.Expired([]Serving{engine("b1", "b", true, expired), engine("b2", "b", true, s.MaxAgeWithoutOther)})
	assert.DeepEqual(t, got, map[string]bool{"b2": true})
}
