package lease

import "time"

// timePoint is a point in time on two clocks that are never set: the monotonic
// one, which stops while the machine is suspended, and the time since boot,
// which goes on.
type timePoint struct {
	monotonic time.Time
	sinceBoot time.Duration
}

func (m timePoint) add(d time.Duration) timePoint {
	return timePoint{m.monotonic.Add(d), m.sinceBoot + d}
}

// reached reports whether now is past m by either clock.
func (m timePoint) reached(now timePoint) bool {
	return !now.monotonic.Before(m.monotonic) || now.sinceBoot > m.sinceBoot
}
