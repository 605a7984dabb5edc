package rollout

import (
	"cmp"
	"slices"
	"time"
)

// SwitchCandidate is an engine whose weights are replaced in place.
type SwitchCandidate struct {
	ID      string
	Version int
	// Switching is set from the first notice of a switch until its end.
	Switching bool
	// Failures counts the orders since the last switch that were not carried out.
	Failures int
	// UnfinishedPromptTokens is the number of prompt tokens that the engine has
	// yet to compute, Requests the number of requests that it runs, as far as
	// the daemons know.
	UnfinishedPromptTokens int
	Requests               int
}

const (
	// switchRoundTime is the time that engines which switch together take, from the
	// stop of their traffic until they serve again.
	switchRoundTime = 1200 * time.Millisecond
	// maxSwitchRounds is the number of rounds where the time limit allows more:
	// fewer engines at a time leave more of them for requests.
	maxSwitchRounds = 6
)

// SwitchLimits bounds how many engines of a model switch at the same time. The
// bounds are fractions of the engines, so that a fleet of any size is switched in
// the same time.
type SwitchLimits struct {
	// Rounds is the number of rounds in which all engines switch, at least 1.
	Rounds int
}

// LimitsWithin returns the limits that switch all engines of a model within
// timeLimit, if that is possible while half of them serve. Engines prepare for all
// rounds but the first during the one before.
func LimitsWithin(timeLimit time.Duration) SwitchLimits {
	return SwitchLimits{Rounds: min(maxSwitchRounds, max(1, int((timeLimit-maxPrepareTime)/switchRoundTime)))}
}

// maxNotified returns how many engines may be without traffic or preparing: as
// many prepare for the next round as are without traffic, as long as half of all
// engines remain for new prompts.
func (l SwitchLimits) maxNotified(engines int) int {
	return min(2*l.maxUnavailable(engines), max(1, engines/2))
}

// maxUnavailable returns how many engines may be without traffic.
func (l SwitchLimits) maxUnavailable(engines int) int {
	rounds := max(1, l.Rounds)
	return min((engines+rounds-1)/rounds, max(1, engines/2))
}

// PlanSwitches returns the ids of the engines to start switching to a version:
// those with the fewest failures first, which would hold their places without
// effect, then those with the oldest weights, and of these the ones with the fewest
// unfinished prompt tokens. It is a pure function.
func PlanSwitches(version int, engines []SwitchCandidate, limits SwitchLimits) []string {
	capacity := limits.maxNotified(len(engines))
	var behind []SwitchCandidate
	for _, e := range engines {
		switch {
		case e.Switching:
			capacity--
		case e.Version < version:
			behind = append(behind, e)
		}
	}
	slices.SortFunc(behind, func(a, b SwitchCandidate) int {
		return cmp.Or(cmp.Compare(a.Failures, b.Failures), cmp.Compare(a.Version, b.Version), cmp.Compare(a.UnfinishedPromptTokens, b.UnfinishedPromptTokens), cmp.Compare(a.Requests, b.Requests), cmp.Compare(a.ID, b.ID))
	})
	var ids []string
	for _, e := range behind[:max(0, min(capacity, len(behind)))] {
		ids = append(ids, e.ID)
	}
	return ids
}

// StalenessPolicy is the routing penalty of engines whose weights are superseded, by
// the time since the newer version was requested.
type StalenessPolicy struct {
	// GracePeriod is the age up to which there is no penalty.
	GracePeriod time.Duration
	// CostPenalty is the penalty after that.
	CostPenalty time.Duration
	// MaxAge is the age from which old weights are not used while an engine with
	// newer ones can be.
	MaxAge time.Duration
	// MaxAgeWithoutOther is the age from which old weights are not used at all; 0
	// means that there is none.
	MaxAgeWithoutOther time.Duration
}

// CostPenaltyAt returns the penalty of an engine whose weights were superseded age
// ago, and whether they are too old to be used.
func (s StalenessPolicy) CostPenaltyAt(age time.Duration) (costPenalty time.Duration, expired bool) {
	switch {
	case age < s.GracePeriod:
		return 0, false
	case age < s.MaxAge:
		return s.CostPenalty, false
	default:
		return s.CostPenalty, true
	}
}

// Serving is what decides whether an engine may get requests.
type Serving struct {
	ID      string
	Service string
	// Available is unset while an engine gets no requests whatever its weights are.
	Available bool
	// Age is the time since the engine's weights were superseded.
	Age time.Duration
}

// Expired returns the engines whose weights are too old to be used. Those of a
// service without any other available engine are among them only from
// MaxAgeWithoutOther on: its requests have nowhere else to go. That a still newer
// version was requested does not make expired weights usable again.
func (s StalenessPolicy) Expired(engines []Serving) map[string]bool {
	usable := map[string]bool{} // services with an available engine that is not expired
	for _, e := range engines {
		if _, expired := s.CostPenaltyAt(e.Age); e.Available && !expired {
			usable[e.Service] = true
		}
	}
	out := map[string]bool{}
	for _, e := range engines {
		if _, expired := s.CostPenaltyAt(e.Age); expired && (usable[e.Service] || s.MaxAgeWithoutOther > 0 && e.Age >= s.MaxAgeWithoutOther) {
			out[e.ID] = true
		}
	}
	return out
}
