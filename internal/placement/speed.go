package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// speedSamples is the number of samples that a PrefillSpeed keeps.
	speedSamples = 128
	// initialTimePerToken is assumed before the first samples: 40 prompt tokens per
	// ms, the rate on the engines' data sheets.
	initialTimePerToken = 25 * time.Microsecond
	initialBaseTime     = 10 * time.Millisecond
	minTimePerToken     = time.Microsecond
	// largeDivisor separates large from small samples: a sample is large from
	// 1/largeDivisor of the tokens of the largest.
	largeDivisor = 4
	// minSlopeSamples is the least number of large and of small samples from which a
	// slope is fitted, and the number of assumed slopes.
	minSlopeSamples = 3
	// minSlopeToNoise is the least ratio at which a fitted slope is used: of the time
	// it implies between the small samples and the largest one to the median error.
	minSlopeToNoise = 2
)

// PrefillSpeed fits a line to the time to first token of normal engines: a base
// time and a time per prompt token computed. The time per token is the median slope
// of the lines from the medians of small samples to each large one, the base time
// the median of the remaining times of all samples. Medians make the line robust
// against requests that waited behind unknown work or had more tokens cached than
// known.
type PrefillSpeed struct {
	samples                      []speedSample
	next                         int
	secondsPerToken, baseSeconds float64
	scratch                      []float64
}

// speedSample is one time to first token.
type speedSample struct{ tokens, seconds float64 }

// NewPrefillSpeed returns a PrefillSpeed with initial values that samples replace.
func NewPrefillSpeed() *PrefillSpeed {
	return &PrefillSpeed{secondsPerToken: initialTimePerToken.Seconds(), baseSeconds: initialBaseTime.Seconds()}
}

// Observe records that the first token took d, with the given number of prompt
// tokens to compute before it.
func (s *PrefillSpeed) Observe(tokens float64, d time.Duration) {
	sample := speedSample{tokens, d.Seconds()}
	if len(s.samples) < speedSamples {
		s.samples = append(s.samples, sample)
	} else {
		s.samples[s.next] = sample
		s.next = (s.next + 1) % speedSamples
	}
	s.fit()
}

func (s *PrefillSpeed) fit() {
	largest := 0.0
	for _, x := range s.samples {
		largest = max(largest, x.tokens)
	}
	large := func(x speedSample) bool { return x.tokens >= largest/largeDivisor }
	small := func(x speedSample) bool { return !large(x) }
	tokens := func(x speedSample) float64 { return x.tokens }
	seconds := func(x speedSample) float64 { return x.seconds }
	all := func(speedSample) bool { return true }

	smallTokens, smallCount := s.median(small, tokens)
	smallSeconds, _ := s.median(small, seconds)
	slope := func(x speedSample) float64 { return (x.seconds - smallSeconds) / (x.tokens - smallTokens) }
	perToken, largeCount := s.median(large, slope, assumedSlopes[:]...)
	if largeCount >= minSlopeSamples && smallCount >= minSlopeSamples {
		base := smallSeconds - perToken*smallTokens
		noise, _ := s.median(all, func(x speedSample) float64 { return math.Abs(x.seconds - base - perToken*x.tokens) })
		if perToken*(largest-smallTokens) > minSlopeToNoise*noise {
			s.secondsPerToken = max(minTimePerToken.Seconds(), perToken)
		}
	}
	base, _ := s.median(all, func(x speedSample) float64 { return x.seconds - s.secondsPerToken*x.tokens })
	s.baseSeconds = max(0, base)
}

// assumedSlopes are added to the slopes of large samples before their median is
// taken, in seconds per token.
var assumedSlopes = [minSlopeSamples]float64{initialTimePerToken.Seconds(), initialTimePerToken.Seconds(), initialTimePerToken.Seconds()}

// median returns the lower median of a value over the samples for which include
// returns true and the assumed values; n is the number of samples.
func (s *PrefillSpeed) median(include func(speedSample) bool, value func(speedSample) float64, assumed ...float64) (m float64, n int) {
	s.scratch = s.scratch[:0]
	for _, x := range s.samples {
		if include(x) {
			s.scratch = append(s.scratch, value(x))
		}
	}
	n = len(s.scratch)
	s.scratch = append(s.scratch, assumed...)
	if len(s.scratch) == 0 {
		return 0, 0
	}
	slices.Sort(s.scratch)
	return s.scratch[(len(s.scratch)-1)/2], n
}

// TokensTime returns the time in which a normal engine computes tokens, without the
// base time.
func (s *PrefillSpeed) TokensTime(tokens float64) time.Duration {
	return time.Duration(tokens * s.secondsPerToken * float64(time.Second))
}

// TokensIn returns the number of tokens that a normal engine computes in d.
func (s *PrefillSpeed) TokensIn(d time.Duration) float64 { return d.Seconds() / s.secondsPerToken }

// FirstToken returns the time to first token if tokens have to be computed before it.
func (s *PrefillSpeed) FirstToken(tokens float64) time.Duration {
	return time.Duration(s.baseSeconds*float64(time.Second)) + s.TokensTime(tokens)
}
