package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/ratelimit"
)

// A fact tells the rate that the daemon keeps itself, and of two facts the later one wins.
func TestRateFactVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := ratelimit.RoundRate(rapid.Float64Range(0, 2*ratelimit.MaxRate).Draw(t, "rate"))
		if rapid.Bool().Draw(t, "none") {
			rate = 0
		}
		at := platform.StoreTime(rapid.Int64Range(0, 1<<43-1).Draw(t, "at"))
		gotRate, gotAt := parseRateFactVersion(rateFactVersion(rate, at))
		assert.Assert(t, gotRate == rate && gotAt == at, "%g at %d for %g at %d", gotRate, gotAt, rate, at)
		assert.Assert(t, rateFactVersion(0, at+1) > rateFactVersion(rate, at))
	})
	for _, id := range []string{"", "engine", "engine/", "engine/x"} {
		_, ok := parseRateFactID(id)
		assert.Check(t, !ok, "%q", id)
	}
	k := upstreamStart{"i-1/2", -5}
	got, ok := parseRateFactID(rateFactID(k))
	assert.Assert(t, ok && got == k)
}

// Peers are told of changes at once, and again before they forget; not of each response.
func TestRateFactsAreFew(t *testing.T) {
	var f rateFacts
	k, start := upstreamStart{"engine", 1}, time.Now()
	assert.Check(t, !f.due(k, 0, start), "no limit, and none before")
	told := 0
	for at := start; at.Before(start.Add(10 * time.Minute)); at = at.Add(10 * time.Millisecond) {
		if f.due(k, 11.1, at) {
			told++
		}
	}
	assert.Check(t, told <= 21, "%d facts in 10 min", told)
	end := start.Add(10 * time.Minute)
	assert.Check(t, f.due(k, 0, end))
	assert.Check(t, !f.due(k, 0, end.Add(time.Hour)), "the end is told once")
	f.note(k, 3, end.Add(time.Hour))
	assert.Check(t, !f.due(k, 3, end.Add(time.Hour)), "a peer told it")
}

// A daemon that is lost keeps its part of a rate for a while: it may only be cut off.
func TestLostDaemonKeepsItsShare(t *testing.T) {
	var f rateFacts
	start := time.Now()
	assert.Equal(t, len(f.sharing([]string{"a", "b", "c"}, start)), 3)
	assert.Equal(t, len(f.sharing([]string{"a"}, start.Add(memberRetention))), 3)
	assert.Equal(t, len(f.sharing([]string{"a"}, start.Add(memberRetention+time.Second))), 1)
}
