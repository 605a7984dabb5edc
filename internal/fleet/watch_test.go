package fleet

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func names(format string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf(format, i))
	}
	return out
}

// Each engine has two watchers on which all daemons agree; the loss of any
// one daemon leaves the other watcher of its engines and moves nothing else.
func TestWatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := names("daemon-%d", rapid.IntRange(3, 40).Draw(t, "daemons"))
		engines := names("10.0.0.%d:80", rapid.IntRange(1, 60).Draw(t, "engines"))
		lost := rapid.SampledFrom(daemons).Draw(t, "lost")
		left := slices.DeleteFunc(slices.Clone(daemons), func(d string) bool { return d == lost })
		watched := map[string][]string{}
		for _, d := range daemons {
			peers := slices.DeleteFunc(slices.Clone(daemons), func(p string) bool { return p == d })
			for _, e := range Watched(d, peers, engines) {
				watched[e] = append(watched[e], d)
			}
		}
		for _, e := range engines {
			before, after := Watchers(e, daemons), Watchers(e, left)
			assert.Equal(t, len(before), WatchersPerEngine)
			assert.DeepEqual(t, slices.Sorted(slices.Values(before)), slices.Sorted(slices.Values(watched[e])))
			for _, d := range before {
				assert.Assert(t, d == lost || slices.Contains(after, d))
			}
		}
	})
}

// At the size of 330 daemons and 600 engines no daemon probes more than a few.
func TestWatchedIsBounded(t *testing.T) {
	daemons, engines := names("daemon-%d", 330), names("10.0.0.%d:80", 600)
	most := 0
	for i, d := range daemons {
		peers := slices.Concat(daemons[:i], daemons[i+1:])
		most = max(most, len(Watched(d, peers, engines)))
	}
	// The mean is 2*600/330 = 3.6.
	assert.Assert(t, most <= 16, "one daemon probes %d engines", most)
}

// A daemon alone watches everything.
func TestWatchedAlone(t *testing.T) {
	engines := names("10.0.0.%d:80", 5)
	assert.DeepEqual(t, Watched("only", nil, engines), engines)
}

// BenchmarkWatched is one look at which of all engines a daemon probes.
func BenchmarkWatched(b *testing.B) {
	daemons, engines := names("daemon-%d", 329), names("10.0.0.%d:80", 600)
	for b.Loop() {
		Watched("self", daemons, engines)
	}
}
