package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// The age of old weights counts from the first newer version. When it counted
// from the newest, a new version every 10 s made engines with old weights count
// as up to date again each time.
func TestOldWeightsAgeFromTheFirstNewerVersion(t *testing.T) {
	at := func(s int) platform.StoreTime { return platform.StoreTime(1000 * s) }
	var history GoalHistory
	_, _, old := history.SupersededSince(1)
	assert.Assert(t, !old)
	assert.Assert(t, history.AdoptGoal(2, at(4)))
	assert.Assert(t, history.AdoptGoal(3, at(6)))
	assert.Assert(t, !history.AdoptGoal(2, at(7)), "an older version does not become the goal")
	assert.Assert(t, history.AdoptGoal(5, at(16)))
	assert.Equal(t, history.Version(), 5)
	for version, want := range map[int]int{1: 4, 2: 6, 3: 16, 4: 16} {
		since, dated, old := history.SupersededSince(version)
		assert.Assert(t, old && dated && since == at(want), "version %d: since %d", version, since)
	}
	_, _, old = history.SupersededSince(5)
	assert.Assert(t, !old)
	for v := range 10 * maxVersions {
		history.AdoptGoal(v, at(20+v))
	}
	since, dated, old := history.SupersededSince(1)
	assert.Assert(t, old && dated && since < at(20+10*maxVersions))
}

// A starting daemon learns from its peers when versions were requested, before
// or after it reads the goal itself; peers' reports alone set no goal.
func TestPeersReportWhenGoalsWereSet(t *testing.T) {
	at := func(s int) platform.StoreTime { return platform.StoreTime(1000 * s) }
	for _, order := range []string{"peers first", "operators first"} {
		var history GoalHistory
		reportPeers := func() {
			history.RecordSight(4, at(15))
			history.RecordSight(4, at(18))
			history.RecordSight(3, at(6))
			history.RecordSight(9, at(1))
		}
		if order == "peers first" {
			reportPeers()
			assert.Equal(t, history.Version(), 0)
			_, _, old := history.SupersededSince(2)
			assert.Assert(t, !old)
		}
		assert.Assert(t, history.AdoptGoal(4, at(18)))
		if order == "operators first" {
			reportPeers()
		}
		assert.Equal(t, history.Version(), 4)
		for version, want := range map[int]int{3: 15, 2: 6} {
			since, dated, old := history.SupersededSince(version)
			assert.Assert(t, old && dated && since == at(want), "%s, version %d: since %d", order, version, since)
		}
		_, _, old := history.SupersededSince(4)
		assert.Assert(t, !old, order)
	}
}

// A version that was requested before the daemon started has no date until a record or
// a peer tells one; what is known of later versions does not replace it.
func TestUndatedVersionIsNotTakenForNew(t *testing.T) {
	var history GoalHistory
	assert.Assert(t, history.AdoptUndatedGoal(3))
	assert.Assert(t, history.AdoptGoal(4, 9000))
	since, dated, old := history.SupersededSince(2)
	assert.Assert(t, old && !dated, "superseded since %d", since)
	assert.Equal(t, history.Undated(), 1)
	since, dated, old = history.SupersededSince(3)
	assert.Assert(t, old && dated && since == 9000)
	assert.DeepEqual(t, history.BoundUndated(5000), []int{3})
	since, dated, _ = history.SupersededSince(2)
	assert.Assert(t, dated && since == 5000)
	history.RecordSight(2, 1000)
	since, dated, _ = history.SupersededSince(1)
	assert.Assert(t, dated && since == 1000)
	since, _, _ = history.SupersededSince(2)
	assert.Equal(t, since, platform.StoreTime(5000))
}

// A record has the versions that engines may still use, whatever their number was.
func TestRecordedVersions(t *testing.T) {
	var history GoalHistory
	for v := range 10 * maxVersions {
		history.AdoptGoal(v, platform.StoreTime(v))
	}
	assert.Equal(t, len(history.Recorded(0)), maxVersions)
	recorded := history.Recorded(10*maxVersions - 3)
	assert.DeepEqual(t, recorded, []RecordedGoal{{10*maxVersions - 4, 10*maxVersions - 4, false}, {10*maxVersions - 3, 10*maxVersions - 3, false}, {10*maxVersions - 2, 10*maxVersions - 2, false}, {10*maxVersions - 1, 10*maxVersions - 1, false}})
	var unwanted GoalHistory
	unwanted.RecordSight(4, 100)
	assert.Equal(t, len(unwanted.Recorded(50)), 1)
	assert.Equal(t, len(unwanted.Recorded(200)), 0)
}

// A bound never counts as the date of a version that somebody saw named, whichever
// arrives first, and says nothing of versions before. When it did, all daemons took
// weights for as old as the guess of one.
func TestSightReplacesBound(t *testing.T) {
	for _, order := range []string{"bound first", "sight first"} {
		var history GoalHistory
		history.AdoptUndatedGoal(3)
		if order == "sight first" {
			history.RecordSight(3, 9000)
		}
		history.RecordBound(3, 5000)
		if order == "bound first" {
			since, dated, _ := history.SupersededSince(2)
			assert.Assert(t, dated && since == 5000, "superseded since %d", since)
			_, ok := history.SightedAt(3)
			assert.Assert(t, !ok, "a bound is no sight")
			assert.DeepEqual(t, history.Recorded(0), []RecordedGoal{{3, 5000, true}})
			history.RecordBound(3, 7000)
			since, _, _ = history.SupersededSince(2)
			assert.Equal(t, since, platform.StoreTime(5000))
			first, _ := history.RecordSight(3, 9000)
			assert.Assert(t, first)
		}
		assert.Assert(t, len(history.BoundUndated(1000)) == 0, order)
		at, ok := history.SightedAt(3)
		assert.Assert(t, ok && at == 9000, "%s: %d", order, at)
		assert.DeepEqual(t, history.Recorded(0), []RecordedGoal{{3, 9000, false}})
		history.AdoptUndatedGoal(4)
		history.RecordBound(4, 2000)
		since, dated, _ := history.SupersededSince(2)
		assert.Assert(t, dated && since == 9000, "%s: the first weights are superseded since %d", order, since)
	}
}

// A bound of which nothing is known gives way to any other, and replaces none.
func TestUnknownTimeGivesWayToBounds(t *testing.T) {
	since := func(h *GoalHistory) platform.StoreTime {
		at, dated, old := h.SupersededSince(1)
		assert.Assert(t, dated && old)
		return at
	}
	var history GoalHistory
	assert.Assert(t, history.AdoptUndatedGoal(2))
	history.RecordBound(2, UnknownTime)
	assert.Equal(t, since(&history), UnknownTime)
	history.RecordBound(2, 9000)
	assert.Equal(t, since(&history), platform.StoreTime(9000))
	history.RecordBound(2, 7000)
	history.RecordBound(2, UnknownTime)
	assert.Equal(t, since(&history), platform.StoreTime(7000))
	history.RecordSight(2, 8000)
	history.RecordBound(2, UnknownTime)
	assert.Equal(t, since(&history), platform.StoreTime(8000))
}

// A record whose times are those of an earlier clock still names its versions; what is
// unknown stays so on any clock.
func TestRecordOfEarlierClock(t *testing.T) {
	record := GoalRecord{AsOf: 66_000, Models: map[string][]RecordedGoal{"opal": {{2, 60_000, false}, {3, 67_000, true}}}, Nonce: "n"}
	assert.Equal(t, record.LatestTime(), platform.StoreTime(67_000))
	back := func(at platform.StoreTime) platform.StoreTime { return at.Add(-time.Minute) }
	assert.DeepEqual(t, record.WithTimes(back), GoalRecord{AsOf: 6000, Models: map[string][]RecordedGoal{"opal": {{2, 0, false}, {3, 7000, true}}}, Nonce: "n"})
	unknown := record.WithoutTimes()
	assert.DeepEqual(t, unknown, GoalRecord{AsOf: UnknownTime, Models: map[string][]RecordedGoal{"opal": {{2, UnknownTime, true}, {3, UnknownTime, true}}}, Nonce: "n"})
	assert.DeepEqual(t, unknown.WithTimes(back), unknown)
	value, err := unknown.Encode()
	assert.NilError(t, err)
	decoded, err := DecodeGoalRecord(value)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, unknown)
}
