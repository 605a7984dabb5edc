package rollout

import (
	"cmp"
	"slices"
	"time"
)

// VersionEngine is an engine of a model whose weights are replaced in place.
type VersionEngine struct {
	ID      string
	Version int
	// Switching engines were told or ordered to take new weights and have not yet.
	Switching bool
	// Unfinished is the number of prompt tokens that the engine is known to have
	// to compute, Requests that of requests that it runs.
	Unfinished int
	Requests   int
}

// SwitchLimits bound how many engines switch at the same time.
type SwitchLimits struct {
	// Concurrent is the number beyond which each switch takes longer.
	Concurrent int
	// OutPercent is the part of the engines that may be out, but at least one.
	OutPercent int
	// Prepared is how many more finish their prompts before their turn, as long
	// as half of the engines remain for new prompts.
	Prepared int
}

// told returns how many of so many engines may be out or prepared.
func (l SwitchLimits) told(engines int) int {
	return min(l.out(engines)+l.Prepared, max(1, engines/2))
}

// out returns how many of so many engines may be out at one time.
func (l SwitchLimits) out(engines int) int {
	return min(l.Concurrent, max(1, engines*l.OutPercent/100))
}

// PlanSwitches returns the engines to tell now that they will take a version:
// those with the oldest weights first, and of these the ones with the least to
// finish. It is a pure function.
func PlanSwitches(version int, engines []VersionEngine, limits SwitchLimits) []string {
	room := limits.told(len(engines))
	var due []VersionEngine
	for _, e := range engines {
		switch {
		case e.Switching:
			room--
		case e.Version < version:
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b VersionEngine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Unfinished, b.Unfinished), cmp.Compare(a.Requests, b.Requests), cmp.Compare(a.ID, b.ID))
	})
	var out []string
	for _, e := range due[:max(0, min(room, len(due)))] {
		out = append(out, e.ID)
	}
	return out
}

// Staleness prices work on weights for which newer ones were named.
type Staleness struct {
	// Free is how long after new weights were named old ones cost nothing.
	Free time.Duration
	// Price is the handicap of an engine with old weights after that.
	Price time.Duration
	// Last is when old weights may no longer be used.
	Last time.Duration
}

// Handicap returns the price of an engine whose weights were replaced age ago,
// and whether it may not be used any longer.
func (s Staleness) Handicap(age time.Duration) (price time.Duration, expired bool) {
	switch {
	case age < s.Free:
		return 0, false
	case age < s.Last:
		return s.Price, false
	default:
		return s.Price, true
	}
}
