package placement

import (
	"math"
	"time"
)

const (
	slowdownRiseGain = 0.6
	slowdownFallGain = 0.15
	// slowdownHalfLife is the time in which the slowdown of an engine without new
	// observations decays by half.
	slowdownHalfLife = 3 * time.Second
	// MaxSlowdown bounds observed ratios.
	MaxSlowdown = 32
	// minExpectedTime keeps noise in short requests from giving large ratios.
	minExpectedTime = 40 * time.Millisecond
)

// Slowdown estimates how many times slower than normal an engine is. It rises
// quickly and falls slowly. The zero value is a normal engine.
type Slowdown struct {
	excess    float64 // slowdown minus one
	updatedAt time.Time
}

// Ratio returns the ratio of an observed to an expected duration, at most
// MaxSlowdown.
func Ratio(observed, expected time.Duration) float64 {
	r := float64(observed) / float64(max(expected, minExpectedTime))
	return min(r, MaxSlowdown)
}

// Observe records the ratio of an observed to an expected time.
func (s *Slowdown) Observe(now time.Time, ratio float64) {
	excess := s.Value(now) - 1
	observedExcess := max(0, min(ratio, MaxSlowdown)-1)
	gain := slowdownFallGain
	if observedExcess > excess {
		gain = slowdownRiseGain
	}
	s.excess, s.updatedAt = excess+gain*(observedExcess-excess), now
}

// Value returns the slowdown; 1 is normal.
func (s *Slowdown) Value(now time.Time) float64 {
	if s.excess == 0 {
		return 1
	}
	age := now.Sub(s.updatedAt).Seconds() / slowdownHalfLife.Seconds()
	return 1 + s.excess*math.Exp2(-age)
}
