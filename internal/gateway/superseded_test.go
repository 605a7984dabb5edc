package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/platform"
)

// The weights of an engine with several models are as old as the oldest of them.
func TestSupersededSinceOfSeveralModels(t *testing.T) {
	d := &Daemon{}
	d.view.goalHistory("first").AdoptGoal(2, 90_000)
	d.view.goalHistory("second").AdoptGoal(2, 10_000)
	u := &fleet.Registration{Models: []fleet.LoadedModel{{Name: "first", Version: 1}, {Name: "second", Version: 1}}}
	since, dated, ok := d.supersededSince(u)
	assert.Assert(t, ok && dated)
	assert.Equal(t, since, platform.StoreTime(10_000))
}

// If it is not known when one of several models was superseded, the age of the engine's
// weights is not known.
func TestSupersededSinceUnknownTime(t *testing.T) {
	d := &Daemon{}
	d.view.goalHistory("first").AdoptGoal(2, 90_000)
	d.view.goalHistory("second").AdoptUndatedGoal(2)
	d.view.goalHistory("third").AdoptGoal(2, 10_000)
	d.view.goalHistory("current").AdoptGoal(1, 5_000)
	names := []string{"first", "second", "third", "current", "unknown"}
	for range names {
		u := &fleet.Registration{}
		for _, name := range names {
			u.Models = append(u.Models, fleet.LoadedModel{Name: name, Version: 1})
		}
		_, dated, ok := d.supersededSince(u)
		assert.Assert(t, ok && !dated, "%v", names)
		names = append(names[1:], names[0])
	}
}
