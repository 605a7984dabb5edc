package rollout

import "time"

// maxNamings bounds the versions remembered of a model; older ones are long
// past use.
const maxNamings = 64

// Wanted is what operators want of a model, over time.
type Wanted struct {
	namings []naming // versions ascend
}

// naming is the moment at which this daemon learnt that a version is wanted.
type naming struct {
	version int
	at      time.Time
}

// Name takes in a version that operators want, and reports whether it is newer
// than all before.
func (w *Wanted) Name(version int, at time.Time) bool {
	if version <= w.Version() {
		return false
	}
	w.namings = append(w.namings, naming{version, at})
	if len(w.namings) > maxNamings {
		w.namings = w.namings[1:]
	}
	return true
}

// Version returns the newest version, 0 when none was named.
func (w *Wanted) Version() int {
	if len(w.namings) == 0 {
		return 0
	}
	return w.namings[len(w.namings)-1].version
}

// Superseded returns since when a newer version than the given one is wanted;
// later versions do not change that. ok is false when none is.
func (w *Wanted) Superseded(version int) (since time.Time, ok bool) {
	for _, n := range w.namings {
		if n.version > version {
			return n.at, true
		}
	}
	return time.Time{}, false
}
