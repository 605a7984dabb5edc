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

// All daemons agree on the two watchers of each engine. The loss of a daemon
// keeps the other watcher of its engines and reassigns no other engine.
func TestWatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := names("daemon-%d", rapid.IntRange(3, 40).Draw(t, "daemons"))
		engines := names("10.0.0.%d:80", rapid.IntRange(1, 60).Draw(t, "engines"))
		lost := rapid.SampledFrom(daemons).Draw(t, "lost")
		remaining := slices.DeleteFunc(slices.Clone(daemons), func(d string) bool { return d == lost })
		watched := map[string][]string{}
		for _, d := range daemons {
			peers := slices.DeleteFunc(slices.Clone(daemons), func(p string) bool { return p == d })
			for _, e := range WatchedBy(d, peers, engines) {
				watched[e] = append(watched[e], d)
			}
		}
		for _, e := range engines {
			before, after := Watchers(e, daemons), Watchers(e, remaining)
			assert.Equal(t, len(before), WatchersPerUpstream)
			assert.DeepEqual(t, slices.Sorted(slices.Values(before)), slices.Sorted(slices.Values(watched[e])))
			for _, d := range before {
				assert.Assert(t, d == lost || slices.Contains(after, d))
			}
		}
	})
}

// With 330 daemons and 600 engines no daemon probes more than a few engines.
func TestWatchedIsBounded(t *testing.T) {
	daemons, engines := names("daemon-%d", 330), names("10.0.0.%d:80", 600)
	maxWatched := 0
	for i, d := range daemons {
		peers := slices.Concat(daemons[:i], daemons[i+1:])
		maxWatched = max(maxWatched, len(WatchedBy(d, peers, engines)))
	}
	// The mean is 2*600/330 = 3.6.
	assert.Assert(t, maxWatched <= 16, "one daemon probes %d engines", maxWatched)
}

// A daemon without peers watches every upstream.
func TestSingleDaemonWatchesAllUpstreams(t *testing.T) {
	engines := names("10.0.0.%d:80", 5)
	assert.DeepEqual(t, WatchedBy("only", nil, engines), engines)
}

// BenchmarkWatched measures one computation of the engines that a daemon probes.
func BenchmarkWatched(b *testing.B) {
	daemons, engines := names("daemon-%d", 329), names("10.0.0.%d:80", 600)
	for b.Loop() {
		WatchedBy("self", daemons, engines)
	}
}
