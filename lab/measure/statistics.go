package measure

import (
	"math"
	"slices"
	"time"
)

func filter(calls []*call, keep func(*call) bool) []*call {
	var out []*call
	for _, c := range calls {
		if keep(c) {
			out = append(out, c)
		}
	}
	return out
}

func timesToFirstToken(calls []*call) []time.Duration {
	var out []time.Duration
	for _, c := range filter(calls, (*call).served) {
		out = append(out, c.ttft)
	}
	return out
}

func waits(calls []*call) []time.Duration {
	var out []time.Duration
	for _, c := range filter(calls, (*call).served) {
		out = append(out, c.wait)
	}
	return out
}

// percentile returns the nearest-rank percentile in milliseconds, for p between 0
// and 1. It sorts d.
func percentile(d []time.Duration, p float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	i := int(math.Ceil(p*float64(len(d)))) - 1
	return round(milliseconds(d[max(0, i)]), 1)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return round(a/b, 4)
}

func round(v float64, digits int) float64 {
	f := math.Pow(10, float64(digits))
	return math.Round(v*f) / f
}
