package rollout

import (
	"cmp"
	"slices"
	"time"
)

// maxVersions bounds the versions remembered for a model; older ones are no
// longer in use.
const maxVersions = 64

// Wanted records the versions that operators requested for a model and when
// each became known. The zero value is empty.
type Wanted struct {
	// goals is ordered by version. Versions above newest were only reported by
	// peers.
	goals  []versionGoal
	newest int
}

// versionGoal is a requested version and when a daemon first learnt of it.
type versionGoal struct {
	version   int
	firstSeen time.Time
}

// Name records a version that operators requested and reports whether it is
// newer than all before; an older one is ignored.
func (w *Wanted) Name(version int, at time.Time) bool {
	if version <= w.newest {
		return false
	}
	w.newest = version
	w.Heard(version, at)
	return true
}

// Heard records that a peer learnt of a version at a time, which may be earlier
// than this daemon did. It does not make the version a goal.
func (w *Wanted) Heard(version int, at time.Time) {
	i, known := slices.BinarySearchFunc(w.goals, version, func(n versionGoal, v int) int { return cmp.Compare(n.version, v) })
	if known {
		if at.Before(w.goals[i].firstSeen) {
			w.goals[i].firstSeen = at
		}
		return
	}
	w.goals = slices.Insert(w.goals, i, versionGoal{version, at})
	if len(w.goals) > maxVersions {
		w.goals = w.goals[1:]
	}
}

// Version returns the newest requested version, 0 when there is none.
func (w *Wanted) Version() int { return w.newest }

// Superseded returns when the first version newer than the given one was
// requested; later versions do not change that. ok is false when there is none.
func (w *Wanted) Superseded(version int) (since time.Time, ok bool) {
	for _, goal := range w.goals {
		if goal.version > version && goal.version <= w.newest && (!ok || goal.firstSeen.Before(since)) {
			since, ok = goal.firstSeen, true
		}
	}
	return since, ok
}
