package rollout

import (
	"cmp"
	"slices"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// maxVersions bounds the versions remembered for a model; older ones are no
// longer in use.
const maxVersions = 64

// GoalHistory records the versions that operators requested for a model and when
// each became known, on the store's clock. The zero value is empty.
type GoalHistory struct {
	// goals is ordered by version. Versions above newest were only reported by
	// peers.
	goals  []versionGoal
	newest int
}

// versionGoal is a requested version and when a daemon first learnt of it.
type versionGoal struct {
	version   int
	firstSeen platform.StoreTime
}

// AdoptGoal records a version that operators requested and reports whether it is
// newer than all before; an older one is ignored.
func (h *GoalHistory) AdoptGoal(version int, at platform.StoreTime) bool {
	if version <= h.newest {
		return false
	}
	h.newest = version
	h.RecordPeerGoal(version, at)
	return true
}

// RecordPeerGoal records that a peer learnt of a version at a time, which may be earlier
// than this daemon did. It does not make the version a goal.
func (h *GoalHistory) RecordPeerGoal(version int, at platform.StoreTime) {
	i, known := slices.BinarySearchFunc(h.goals, version, func(n versionGoal, v int) int { return cmp.Compare(n.version, v) })
	if known {
		if at < h.goals[i].firstSeen {
			h.goals[i].firstSeen = at
		}
		return
	}
	h.goals = slices.Insert(h.goals, i, versionGoal{version, at})
	if len(h.goals) > maxVersions {
		h.goals = h.goals[1:]
	}
}

// FirstSeen returns when a version became known; ok is false if it is not, or no
// longer, recorded.
func (h *GoalHistory) FirstSeen(version int) (at platform.StoreTime, ok bool) {
	for _, goal := range h.goals {
		if goal.version == version {
			return goal.firstSeen, true
		}
	}
	return 0, false
}

// Version returns the newest requested version, 0 when there is none.
func (h *GoalHistory) Version() int { return h.newest }

// SupersededSince returns when the first version newer than the given one was
// requested; later versions do not change that. ok is false when there is none.
func (h *GoalHistory) SupersededSince(version int) (since platform.StoreTime, ok bool) {
	for _, goal := range h.goals {
		if goal.version > version && goal.version <= h.newest && (!ok || goal.firstSeen < since) {
			since, ok = goal.firstSeen, true
		}
	}
	return since, ok
}
