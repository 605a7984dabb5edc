package routing

import (
	"math/bits"
	"time"
)

const (
	// meanDecay is the factor by which each sample reduces the weight of older ones.
	meanDecay = 0.98
	// initialOutputTokens, initialTokenLatency and initialServiceTime are assumed
	// before the first sample.
	initialOutputTokens = 200
	initialTokenLatency = 25 * time.Millisecond
	initialServiceTime  = 4 * time.Second
	// outputBuckets is the number of groups of requests, by the power of two of
	// their maximum number of output tokens.
	outputBuckets = 24
)

// decayingMean is an exponentially weighted mean that starts as the plain mean.
type decayingMean struct{ weightedSum, weight float64 }

func (m *decayingMean) add(x float64) {
	m.weightedSum = m.weightedSum*meanDecay + x
	m.weight = m.weight*meanDecay + 1
}

func (m *decayingMean) valueOr(initial float64) float64 {
	if m.weight == 0 {
		return initial
	}
	return m.weightedSum / m.weight
}

// responseStats holds moving averages over the service's complete responses.
type responseStats struct {
	outputTokens  decayingMean
	outputByLimit [outputBuckets]decayingMean
	tokenLatency  decayingMean // seconds per output token
	serviceTime   decayingMean // seconds that an attempt runs
}

func limitBucket(maxOutput int) int { return min(bits.Len(uint(max(0, maxOutput))), outputBuckets-1) }

// observe records a complete response.
func (s *responseStats) observe(r *Request, tokens int, decodeTime, serviceTime time.Duration) {
	s.outputTokens.add(float64(tokens))
	s.outputByLimit[limitBucket(r.MaxOutputTokens)].add(float64(tokens))
	s.serviceTime.add(serviceTime.Seconds())
	if tokens > 1 {
		s.tokenLatency.add(decodeTime.Seconds() / float64(tokens))
	}
}

// predictOutputTokens predicts the length of a response in tokens.
func (s *responseStats) predictOutputTokens(r *Request) float64 {
	return s.outputByLimit[limitBucket(r.MaxOutputTokens)].valueOr(s.outputTokens.valueOr(initialOutputTokens))
}
