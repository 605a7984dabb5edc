package rollout

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// The age of old weights counts from the first newer version. When it counted
// from the newest, a new version every 10 s made engines with old weights count
// as up to date again each time.
func TestOldWeightsAgeFromTheFirstNewerVersion(t *testing.T) {
	at := func(s int) platform.StoreTime { return platform.StoreTime(1000 * s) }
	var history GoalHistory
	_, old := history.SupersededSince(1)
	assert.Assert(t, !old)
	assert.Assert(t, history.AdoptGoal(2, at(4)))
	assert.Assert(t, history.AdoptGoal(3, at(6)))
	assert.Assert(t, !history.AdoptGoal(2, at(7)), "an older version does not become the goal")
	assert.Assert(t, history.AdoptGoal(5, at(16)))
	assert.Equal(t, history.Version(), 5)
	for version, want := range map[int]int{1: 4, 2: 6, 3: 16, 4: 16} {
		since, old := history.SupersededSince(version)
		assert.Assert(t, old && since == at(want), "version %d: since %d", version, since)
	}
	_, old = history.SupersededSince(5)
	assert.Assert(t, !old)
	for v := range 10 * maxVersions {
		history.AdoptGoal(v, at(20+v))
	}
	since, old := history.SupersededSince(1)
	assert.Assert(t, old && since < at(20+10*maxVersions))
}

// A starting daemon learns from its peers when versions were requested, before
// or after it reads the goal itself; peers' reports alone set no goal.
func TestPeersReportWhenGoalsWereSet(t *testing.T) {
	at := func(s int) platform.StoreTime { return platform.StoreTime(1000 * s) }
	for _, order := range []string{"peers first", "operators first"} {
		var history GoalHistory
		reportPeers := func() {
			history.RecordPeerGoal(4, at(15))
			history.RecordPeerGoal(4, at(18))
			history.RecordPeerGoal(3, at(6))
			history.RecordPeerGoal(9, at(1))
		}
		if order == "peers first" {
			reportPeers()
			assert.Equal(t, history.Version(), 0)
			_, old := history.SupersededSince(2)
			assert.Assert(t, !old)
		}
		assert.Assert(t, history.AdoptGoal(4, at(18)))
		if order == "operators first" {
			reportPeers()
		}
		assert.Equal(t, history.Version(), 4)
		for version, want := range map[int]int{3: 15, 2: 6} {
			since, old := history.SupersededSince(version)
			assert.Assert(t, old && since == at(want), "%s, version %d: since %d", order, version, since)
		}
		_, old := history.SupersededSince(4)
		assert.Assert(t, !old, order)
	}
}
