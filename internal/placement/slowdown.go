package placement

import (
	"math"
	"time"
)

const (
	slowRise   = 0.6
	slowForget = 0.15
	// slowHalfLife is how long an engine that gets no work takes to lose
	// half of its slowdown.
	slowHalfLife = 3 * time.Second
	// MaxSlowdown bounds one observation.
	MaxSlowdown = 32
	// minExpected keeps short requests from giving large ratios by chance.
	minExpected = 40 * time.Millisecond
)

// Slowdown estimates how many times slower than normal an engine is. It rises
// at once and falls slowly. The zero value is a normal engine.
type Slowdown struct {
	excess float64 // slowdown minus one
	at     time.Time
}

// Ratio compares an observed with an expected duration.
func Ratio(observed, expected time.Duration) float64 {
	r := float64(observed) / float64(max(expected, minExpected))
	return min(r, MaxSlowdown)
}

// Observe records a ratio of observed to expected time.
func (s *Slowdown) Observe(now time.Time, ratio float64) {
	current := s.Value(now) - 1
	target := max(0, min(ratio, MaxSlowdown)-1)
	gain := slowForget
	if target > current {
		gain = slowRise
	}
	s.excess, s.at = current+gain*(target-current), now
}

// Value returns the slowdown; 1 is normal.
func (s *Slowdown) Value(now time.Time) float64 {
	if s.excess == 0 {
		return 1
	}
	age := now.Sub(s.at).Seconds() / slowHalfLife.Seconds()
	return 1 + s.excess*math.Exp2(-age)
}
