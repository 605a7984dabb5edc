package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// speedWindow is the number of first tokens that a Speed looks back on.
	speedWindow = 128
	// perTokenStart is the time a token assumed before anything was observed:
	// 40 prompt tokens in a ms, as the users' sheets state of their engines.
	perTokenStart = 25 * time.Microsecond
	baseStart     = 10 * time.Millisecond
	perTokenMin   = time.Microsecond
	// largeDivisor tells large amounts of work: at least that part of the
	// largest in the window.
	largeDivisor = 4
	// leastSamples is the number of large and of small amounts that a slope
	// needs, and the number that the assumed slope counts for beside them.
	leastSamples = 3
	// slopeOverNoise is how many times its typical error the time for the largest
	// amount must be.
	slopeOverNoise = 2
)

// Speed learns the time to first token of normal engines as a line: a base
// and a time for each prompt token that must be computed first. The line goes
// through the medians of small amounts of work, with the median slope of large
// ones, so that requests that waited behind unknown work, or found more cached
// than was known, do not bend it.
type Speed struct {
	samples []speedSample
	next    int
	// perToken and base are in seconds.
	perToken, base float64
	scratch        []float64
}

// speedSample is one time to first token, in seconds.
type speedSample struct{ tokens, seconds float64 }

// NewSpeed returns a Speed with assumptions that observations replace.
func NewSpeed() *Speed {
	return &Speed{perToken: perTokenStart.Seconds(), base: baseStart.Seconds()}
}

// Observe records that tokens took d.
func (s *Speed) Observe(tokens float64, d time.Duration) {
	x := speedSample{tokens, d.Seconds()}
	if len(s.samples) < speedWindow {
		s.samples = append(s.samples, x)
	} else {
		s.samples[s.next] = x
		s.next = (s.next + 1) % speedWindow
	}
	s.solve()
}

func (s *Speed) solve() {
	largest := 0.0
	for _, x := range s.samples {
		largest = max(largest, x.tokens)
	}
	large := func(x speedSample) bool { return x.tokens >= largest/largeDivisor }
	small := func(x speedSample) bool { return !large(x) }
	tokens := func(x speedSample) float64 { return x.tokens }
	seconds := func(x speedSample) float64 { return x.seconds }
	all := func(speedSample) bool { return true }

	smallTokens, m := s.median(small, tokens)
	smallSeconds, _ := s.median(small, seconds)
	slope := func(x speedSample) float64 { return (x.seconds - smallSeconds) / (x.tokens - smallTokens) }
	perToken, n := s.median(large, slope, assumedSlopes[:]...)
	if n >= leastSamples && m >= leastSamples {
		base := smallSeconds - perToken*smallTokens
		noise, _ := s.median(all, func(x speedSample) float64 { return math.Abs(x.seconds - base - perToken*x.tokens) })
		if perToken*(largest-smallTokens) > slopeOverNoise*noise {
			s.perToken = max(perTokenMin.Seconds(), perToken)
		}
	}
	base, _ := s.median(all, func(x speedSample) float64 { return x.seconds - s.perToken*x.tokens })
	s.base = max(0, base)
}

// assumedSlopes stand beside those of large amounts of work, in seconds a token.
var assumedSlopes = [leastSamples]float64{perTokenStart.Seconds(), perTokenStart.Seconds(), perTokenStart.Seconds()}

// median returns the median of a figure over the samples that include reports
// true for, and over the assumed figures; n counts the samples.
func (s *Speed) median(include func(speedSample) bool, figure func(speedSample) float64, assumed ...float64) (m float64, n int) {
	s.scratch = s.scratch[:0]
	for _, x := range s.samples {
		if include(x) {
			s.scratch = append(s.scratch, figure(x))
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

// Tokens returns the time that tokens take at a normal engine, without the base.
func (s *Speed) Tokens(tokens float64) time.Duration {
	return time.Duration(tokens * s.perToken * float64(time.Second))
}

// Computed returns the number of tokens that a normal engine computes in d.
func (s *Speed) Computed(d time.Duration) float64 { return d.Seconds() / s.perToken }

// FirstToken returns the time to first token behind and including tokens.
func (s *Speed) FirstToken(tokens float64) time.Duration {
	return time.Duration(s.base*float64(time.Second)) + s.Tokens(tokens)
}
