package routing

import (
	"math"
	"time"
)

const (
	// maxPrefillUtilisation is the fraction of time in prefill from which an engine
	// gets no more long prompts, so that time is left for decoding.
	maxPrefillUtilisation = 0.9
	// prefillLimitMinRunning is how many requests an engine must run for
	// maxPrefillUtilisation to apply.
	prefillLimitMinRunning = 8
	// prefillBacklogTokens is the backlog from which an engine counts as prefilling.
	prefillBacklogTokens = 1000
	// prefillTimeConstant is the time constant of prefillUtilisation.
	prefillTimeConstant = 1500 * time.Millisecond
)

// prefillUtilisation is an exponentially weighted average of the fraction of time
// that an engine spends in prefill.
type prefillUtilisation struct {
	fraction  float64
	computing bool
	updatedAt time.Time
}

// observe records whether the engine has prompts to compute from now on.
func (u *prefillUtilisation) observe(now time.Time, computing bool) {
	if !u.updatedAt.IsZero() && now.After(u.updatedAt) {
		state := 0.0
		if u.computing {
			state = 1
		}
		keep := math.Exp(-now.Sub(u.updatedAt).Seconds() / prefillTimeConstant.Seconds())
		u.fraction = state + (u.fraction-state)*keep
	}
	u.computing, u.updatedAt = computing, now
}
