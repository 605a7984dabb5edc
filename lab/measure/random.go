package measure

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// newRand returns the random stream for one purpose of a run. Separate streams
// keep the draws of one purpose from changing those of another.
func newRand(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, hashName(purpose)))
}

func hashName(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// mix hashes two numbers into one.
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b + 0x632be59bd9b4e019
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// zipf draws ranks 0 to n-1, rank i with a probability proportional to (i+1)^-skew.
type zipf struct{ cumulative []float64 }

func newZipf(n int, skew float64) zipf {
	z := zipf{cumulative: make([]float64, n)}
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -skew)
		z.cumulative[i] = total
	}
	return z
}

func (z zipf) draw(r *rand.Rand) int {
	return sort.SearchFloat64s(z.cumulative, r.Float64()*z.cumulative[len(z.cumulative)-1])
}

func (s intRange) draw(r *rand.Rand) int { return s.low + r.IntN(s.high-s.low+1) }

// exponential draws an interval with the given mean.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}
