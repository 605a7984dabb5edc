package admission

import "time"

const (
	factorMin  = 0.25
	factorMax  = 1.0
	factorCut  = 0.7
	factorGain = 0.02
	// cutPause keeps several signs of one overload from counting several times.
	cutPause = 200 * time.Millisecond
)

// Limit bounds how many requests one daemon runs at one engine. The bound is
// what the other daemons are known to leave free, and never less than the
// daemon's fair share; it is cut when the engine refuses work and
// recovers as work completes.
type Limit struct {
	cut   float64 // 1 minus factor, so that the zero value is uncut
	cutAt time.Time
}

// Allowed returns the bound. peers is how many requests other daemons are
// known to run there, or -1 when that is not known.
func (l *Limit) Allowed(slots, daemons, peers int) int {
	share := max(1, slots/max(1, daemons))
	n := share
	if peers >= 0 {
		n = max(share, slots-peers)
	}
	return max(1, int(float64(n)*(1-l.cut)+0.5))
}

// Refused records that the engine refused a request.
func (l *Limit) Refused(now time.Time) {
	if now.Sub(l.cutAt) < cutPause {
		return
	}
	factor := max(factorMin, (1-l.cut)*factorCut)
	l.cut, l.cutAt = 1-factor, now
}

// Completed records that a request ended well.
func (l *Limit) Completed() { l.cut = 1 - min(factorMax, 1-l.cut+factorGain) }
