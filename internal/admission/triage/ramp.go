package triage

import "time"

// rampBurst is the time for which a daemon that sent nothing may send at once.
const rampBurst = 250 * time.Millisecond

// Ramp bounds the prompt tokens of long requests that a daemon sends to engines soon after
// its start. After a restart of all daemons callers return at once, while no daemon knows
// what the others send.
type Ramp struct {
	level     float64
	updatedAt time.Time
}

// Take takes the tokens of a request if earlier requests have left some, and reports whether
// it did. perSecond is the daemon's part of what engines prefill.
func (r *Ramp) Take(now time.Time, tokens, perSecond float64) bool {
	if !r.updatedAt.IsZero() {
		r.level = min(r.level+perSecond*now.Sub(r.updatedAt).Seconds(), perSecond*rampBurst.Seconds())
	}
	r.updatedAt = now
	if r.level < 0 {
		return false
	}
	r.level -= tokens
	return true
}
