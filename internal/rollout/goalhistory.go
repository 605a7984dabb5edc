package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// maxVersions bounds the versions remembered for a model; older ones are no
// longer in use.
const maxVersions = 64

// UnknownAge is the age of superseded weights while it is not known since when they
// are: it exceeds all limits.
const UnknownAge = 1000 * time.Hour

// UnknownTime is the bound of a version of which nothing is known: it makes the version
// at least as old as UnknownAge.
const UnknownTime = -platform.StoreTime(UnknownAge / time.Millisecond)

// GoalHistory records the versions that operators requested for a model and when,
// on the store's clock. The zero value is empty.
type GoalHistory struct {
	// goals is ordered by version. Versions above newest were only reported by
	// peers.
	goals  []versionGoal
	newest int
}

// versionGoal is a requested version.
type versionGoal struct {
	version int
	// requestedAt is when the version was first seen or, if bounded, a time before it
	// was requested. It is meaningless unless dated.
	requestedAt    platform.StoreTime
	dated, bounded bool
}

// sighted reports whether it is known when the version was first seen.
func (g *versionGoal) sighted() bool { return g.dated && !g.bounded }

// AdoptGoal records a version that operators requested and that was first seen at a
// time. It reports whether it is newer than all before; an older one is ignored.
func (h *GoalHistory) AdoptGoal(version int, at platform.StoreTime) bool {
	if version <= h.newest {
		return false
	}
	h.newest = version
	h.RecordSight(version, at)
	return true
}

// AdoptUndatedGoal is AdoptGoal for a version that may have been requested long
// before it was seen.
func (h *GoalHistory) AdoptUndatedGoal(version int) bool {
	if version <= h.newest {
		return false
	}
	h.newest = version
	h.find(version)
	return true
}

// RecordSight records that a version was known at a time. It returns whether this is the
// first known sight, which replaces a bound, and how much earlier the known sight is now.
// It does not make the version a goal.
func (h *GoalHistory) RecordSight(version int, at platform.StoreTime) (first bool, earlierBy time.Duration) {
	goal := h.find(version)
	switch {
	case goal == nil:
	case !goal.sighted():
		goal.requestedAt, goal.dated, goal.bounded, first = at, true, false, true
	case at < goal.requestedAt:
		earlierBy = goal.requestedAt.Sub(at)
		goal.requestedAt = at
	}
	return first, earlierBy
}

// RecordBound records a time before a version was requested. It does not replace a sight,
// and UnknownTime replaces no other bound.
func (h *GoalHistory) RecordBound(version int, after platform.StoreTime) {
	goal := h.find(version)
	if goal == nil || goal.sighted() {
		return
	}
	unknown := !goal.dated || goal.requestedAt == UnknownTime
	if unknown || after != UnknownTime && after < goal.requestedAt {
		goal.requestedAt, goal.dated, goal.bounded = after, true, true
	}
}

// BoundUndated records a time before the versions without a date were requested. It
// returns these versions.
func (h *GoalHistory) BoundUndated(after platform.StoreTime) (versions []int) {
	for _, g := range h.goals {
		if !g.dated {
			versions = append(versions, g.version)
		}
	}
	for _, v := range versions {
		h.RecordBound(v, after)
	}
	return versions
}

// find returns the entry of a version, which it adds if it is missing; nil if the
// version is older than all of maxVersions others.
func (h *GoalHistory) find(version int) *versionGoal {
	i, known := slices.BinarySearchFunc(h.goals, version, func(n versionGoal, v int) int { return cmp.Compare(n.version, v) })
	if known {
		return &h.goals[i]
	}
	h.goals = slices.Insert(h.goals, i, versionGoal{version: version})
	if len(h.goals) > maxVersions {
		h.goals = h.goals[1:]
		i--
	}
	if i < 0 {
		return nil
	}
	return &h.goals[i]
}

// SightedAt returns when a version was first seen; ok is false if that is not, or no
// longer, known.
func (h *GoalHistory) SightedAt(version int) (at platform.StoreTime, ok bool) {
	for _, goal := range h.goals {
		if goal.version == version {
			return goal.requestedAt, goal.sighted()
		}
	}
	return 0, false
}

// Version returns the newest requested version, 0 when there is none.
func (h *GoalHistory) Version() int { return h.newest }

// Undated returns how many versions have no date.
func (h *GoalHistory) Undated() int {
	n := 0
	for _, goal := range h.goals {
		if !goal.dated {
			n++
		}
	}
	return n
}

// SupersededSince returns when the first version newer than the given one was
// requested; later versions do not change that. ok is false when there is none, and
// dated is false when its date is not known.
func (h *GoalHistory) SupersededSince(version int) (since platform.StoreTime, dated, ok bool) {
	for _, goal := range h.goals {
		if goal.version <= version || goal.version > h.newest {
			continue
		}
		if !ok {
			since, dated, ok = goal.requestedAt, goal.dated, true
		}
		if goal.sighted() && goal.requestedAt < since {
			since = goal.requestedAt
		}
	}
	return since, dated, ok
}
