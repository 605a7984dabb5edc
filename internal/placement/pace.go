package placement

import (
	"math"
	"time"
)

const (
	// paceMemory is the time constant of an engine's measured pace.
	paceMemory = 300 * time.Millisecond
	// paceLife is how long a measured pace stands without a new sample.
	paceLife = time.Second
	// paceSilence is the silence of running answers that is taken as a stall.
	paceSilence = 400 * time.Millisecond
	// normalStep is the relative step of NormalPace at each sample.
	normalStep = 0.01
)

// Pace measures how fast the answers of one engine grow. The zero value has
// no samples.
type Pace struct {
	seconds float64
	tokens  float64
	at      time.Time
}

// Observe records that an answer grew by tokens within d.
func (p *Pace) Observe(now time.Time, tokens int, d time.Duration) {
	keep := math.Exp(-now.Sub(p.at).Seconds() / paceMemory.Seconds())
	p.seconds = p.seconds*keep + d.Seconds()
	p.tokens = p.tokens*keep + float64(tokens)
	p.at = now
}

// PerToken returns the measured seconds a token, false when there is no
// recent sample.
func (p *Pace) PerToken(now time.Time) (float64, bool) {
	if p.seconds == 0 || now.Sub(p.at) > paceLife {
		return 0, false
	}
	seconds := p.seconds
	if silent := now.Sub(p.at); silent > paceSilence {
		seconds += silent.Seconds()
	}
	return seconds / max(p.tokens, 0.5), true
}

// Reset forgets all samples; it is for an engine without running answers.
func (p *Pace) Reset() { *p = Pace{} }

// NormalPace tracks the median of the paces of all engines, so that a few
// slow ones hardly move it. The zero value has no samples.
type NormalPace struct{ perToken float64 }

// Observe records a sample in seconds a token.
func (n *NormalPace) Observe(perToken float64) {
	switch {
	case n.perToken == 0:
		n.perToken = perToken
	case perToken > n.perToken:
		n.perToken *= 1 + normalStep
	default:
		n.perToken /= 1 + normalStep
	}
}

// Ratio returns how many times slower than normal a pace is.
func (n *NormalPace) Ratio(perToken float64) float64 {
	if n.perToken == 0 {
		return 1
	}
	return min(perToken/n.perToken, MaxSlowdown)
}
