package routing

import (
	"math/bits"
	"time"
)

const (
	// meanMemory is the share of the past kept by a moving mean.
	meanMemory = 0.98
	// outputStart, paceStart and stayStart are assumed before anything was observed.
	outputStart = 200
	paceStart   = 25 * time.Millisecond
	stayStart   = 4 * time.Second
	// outputBuckets group requests by the power of two of their maximum.
	outputBuckets = 24
)

// mean is a moving mean that starts as the plain mean.
type mean struct{ sum, n float64 }

func (m *mean) add(x float64) {
	m.sum = m.sum*meanMemory + x
	m.n = m.n*meanMemory + 1
}

func (m *mean) or(start float64) float64 {
	if m.n == 0 {
		return start
	}
	return m.sum / m.n
}

// learned is what the daemon learns of the service's answers.
type learned struct {
	output  mean
	byLimit [outputBuckets]mean
	pace    mean // seconds an output token
	stay    mean // seconds an attempt runs
}

func bucket(maxOutput int) int { return min(bits.Len(uint(max(0, maxOutput))), outputBuckets-1) }

// completed records a whole answer.
func (l *learned) completed(r *Request, tokens int, generating, stay time.Duration) {
	l.output.add(float64(tokens))
	l.byLimit[bucket(r.MaxOutputTokens)].add(float64(tokens))
	l.stay.add(stay.Seconds())
	if tokens > 1 {
		l.pace.add(generating.Seconds() / float64(tokens))
	}
}

// outputTokens predicts the length of an answer.
func (l *learned) outputTokens(r *Request) float64 {
	return l.byLimit[bucket(r.MaxOutputTokens)].or(l.output.or(outputStart))
}
