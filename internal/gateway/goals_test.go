package gateway

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/rollout"
)

// A goal's fact tells the age of the goal, not of the fact: a daemon publishes it
// up to two seconds after it learnt of the goal.
func TestGoalFactTellsAgeOfGoal(t *testing.T) {
	const now = platform.StoreTime(10_000_000)
	g := rollout.Goal{Model: "opal", Version: 4}
	older := gossip.Fact{Version: maxUndatedFactVersion} // of an older daemon
	for _, age := range []time.Duration{0, 1700 * time.Millisecond, goalTTL, goalTTL + time.Second} {
		for _, recorded := range []bool{false, true} {
			v := goalFactVersion{now.Add(-age), recorded}
			f, err := newGoalFact(g, v, age)
			assert.NilError(t, err)
			assert.Equal(t, f.ID, "opal/4")
			assert.Equal(t, goalTTL-f.TTL, age)
			assert.Assert(t, f.Supersedes(older), "the fact of a daemon that learnt of the goal earlier wins, then the one about a recorded goal")
			decoded, ok := decodeGoalFactVersion(f.Version)
			assert.Assert(t, ok)
			assert.Equal(t, decoded, v)
			older = f
		}
	}
	_, ok := decodeGoalFactVersion(maxUndatedFactVersion)
	assert.Assert(t, !ok)
}

// A goal may have been requested before the store's present clock began.
func TestGoalFactDatedBeforeClockBegan(t *testing.T) {
	var newest gossip.Fact
	for _, at := range []platform.StoreTime{1, 0, -1, -2, -59_001} {
		for _, recorded := range []bool{false, true} {
			v := goalFactVersion{at, recorded}
			decoded, ok := decodeGoalFactVersion(v.encode())
			assert.Assert(t, ok)
			assert.Equal(t, decoded, v)
			f := gossip.Fact{Version: v.encode()}
			assert.Assert(t, f.Supersedes(newest))
			newest = f
		}
	}
	_, ok := decodeGoalFactVersion(math.MaxUint64)
	assert.Assert(t, !ok)
}

// Guards against facts that were dated by a clock of the store that went back since: their
// goals counted as new until the clock had passed that date.
func TestDateOfFactFromEarlierStoreClock(t *testing.T) {
	const now = platform.StoreTime(9000)
	assert.Equal(t, dateOfFact(68_000, 5*time.Second, now, true), platform.StoreTime(4000))
	assert.Equal(t, dateOfFact(68_000, time.Minute, now, true), platform.StoreTime(-51_000))
	assert.Equal(t, dateOfFact(4000, 5*time.Second, now, true), platform.StoreTime(4000))
	assert.Equal(t, dateOfFact(4000, time.Second, now, true), platform.StoreTime(4000), "the fact was held up for 4 s")
	assert.Equal(t, dateOfFact(4900, 5*time.Second, now, true), platform.StoreTime(4900), "an error of estimates")
	assert.Equal(t, dateOfFact(4000, time.Second, now, false), platform.StoreTime(8000), "the clock may have gone back")
	assert.Equal(t, dateOfFact(68_000, 5*time.Second, now, false), platform.StoreTime(4000))
	assert.Equal(t, dateOfFact(4900, 5*time.Second, now, false), platform.StoreTime(4900))
}

// The delay of a goal's publication is bounded and its spread grows with the
// number of daemons.
func TestGoalDelaySpread(t *testing.T) {
	for daemons, spread := range map[int]time.Duration{1: 50 * time.Millisecond, 8: 400 * time.Millisecond, 24: 1200 * time.Millisecond, 74: maxGoalSpread} {
		var longest time.Duration
		for range 1000 {
			delay := goalDelay(daemons)
			assert.Assert(t, delay >= minGoalDelay && delay < minGoalDelay+spread, "%d daemons: %s", daemons, delay)
			longest = max(longest, delay)
		}
		assert.Assert(t, longest > minGoalDelay+spread/2, "%d daemons: at most %s", daemons, longest)
	}
}
