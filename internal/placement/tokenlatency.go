package placement

import (
	"math"
	"time"
)

const (
	// tokenLatencyTimeConstant is the time constant of TokenLatency.
	tokenLatencyTimeConstant = 300 * time.Millisecond
	// tokenLatencyMaxAge is how long a measurement is valid without a new sample.
	tokenLatencyMaxAge = time.Second
	// stallThreshold is the time without progress from which running responses count
	// as stalled.
	stallThreshold = 400 * time.Millisecond
	// normalLatencyStep is the relative step of NormalTokenLatency at each sample.
	normalLatencyStep = 0.01
)

// TokenLatency measures the time per output token of one engine, with exponential
// decay. The zero value has no samples.
type TokenLatency struct {
	seconds   float64
	tokens    float64
	sampledAt time.Time
}

// Observe records that a response progressed by tokens within elapsed.
func (l *TokenLatency) Observe(now time.Time, tokens int, elapsed time.Duration) {
	decay := math.Exp(-now.Sub(l.sampledAt).Seconds() / tokenLatencyTimeConstant.Seconds())
	l.seconds = l.seconds*decay + elapsed.Seconds()
	l.tokens = l.tokens*decay + float64(tokens)
	l.sampledAt = now
}

// PerToken returns the measured seconds per token, false without a recent sample.
// The time since the last sample counts once it exceeds stallThreshold.
func (l *TokenLatency) PerToken(now time.Time) (float64, bool) {
	if l.seconds == 0 || now.Sub(l.sampledAt) > tokenLatencyMaxAge {
		return 0, false
	}
	seconds := l.seconds
	if sinceSample := now.Sub(l.sampledAt); sinceSample > stallThreshold {
		seconds += sinceSample.Seconds()
	}
	return seconds / max(l.tokens, 0.5), true
}

// Reset deletes all samples; it is called when no responses are running.
func (l *TokenLatency) Reset() { *l = TokenLatency{} }

// NormalTokenLatency tracks the median token latency of all engines, which a few slow
// engines hardly change. The zero value has no samples.
type NormalTokenLatency struct{ median float64 }

// Observe records a sample in seconds per token.
func (n *NormalTokenLatency) Observe(secondsPerToken float64) {
	switch {
	case n.median == 0:
		n.median = secondsPerToken
	case secondsPerToken > n.median:
		n.median *= 1 + normalLatencyStep
	default:
		n.median /= 1 + normalLatencyStep
	}
}

// Ratio returns how many times slower than normal a token latency is, at most
// MaxSlowdown.
func (n *NormalTokenLatency) Ratio(secondsPerToken float64) float64 {
	if n.median == 0 {
		return 1
	}
	return min(secondsPerToken/n.median, MaxSlowdown)
}
