package rollout

import (
	"cmp"
	"slices"
	"time"
)

// maxNamings bounds the versions remembered of a model; older ones are long
// past use.
const maxNamings = 64

// Wanted is what operators want of a model, over time.
type Wanted struct {
	// namings are those up to the newest version that operators named, then
	// those that only peers have told of; versions ascend.
	namings []naming
	newest  int
}

// naming is the moment at which a daemon learnt first that a version is wanted.
type naming struct {
	version int
	at      time.Time
}

// Name takes in a version that operators want, and reports whether it is newer
// than all before.
func (w *Wanted) Name(version int, at time.Time) bool {
	if version <= w.newest {
		return false
	}
	w.newest = version
	w.Heard(version, at)
	return true
}

// Heard takes in that a peer learnt of a version at some time, which may be
// before this daemon did. It makes no version wanted.
func (w *Wanted) Heard(version int, at time.Time) {
	i, known := slices.BinarySearchFunc(w.namings, version, func(n naming, v int) int { return cmp.Compare(n.version, v) })
	if known {
		if at.Before(w.namings[i].at) {
			w.namings[i].at = at
		}
		return
	}
	w.namings = slices.Insert(w.namings, i, naming{version, at})
	if len(w.namings) > maxNamings {
		w.namings = w.namings[1:]
	}
}

// Version returns the newest version that operators named, 0 when none was.
func (w *Wanted) Version() int { return w.newest }

// Superseded returns since when a newer version than the given one is wanted;
// later versions do not change that. ok is false when none is.
func (w *Wanted) Superseded(version int) (since time.Time, ok bool) {
	for _, n := range w.namings {
		if n.version > version && n.version <= w.newest && (!ok || n.at.Before(since)) {
			since, ok = n.at, true
		}
	}
	return since, ok
}
