package allowance

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// Fleet is what a daemon knows of the others. A daemon that stopped in order is in none of its
// lists.
type Fleet struct {
	// Owners are the daemons that may own buckets: they respond and stay.
	Owners []string
	// Alive are the daemons that respond, Lost those that are known and do not.
	Alive, Lost []string
}

// fleetView derives owners and shares from what is known of the daemons.
type fleetView struct {
	owners []ownerHash
	// seen holds when each daemon last responded.
	seen  map[string]time.Time
	alive int
	names []string // of seen, sorted
	// settled is set once a daemon without peers is known to have none.
	settled bool
}

type ownerHash struct {
	name string
	hash uint64
}

// update takes the current state of the fleet. Daemons that are in neither list are forgotten
// at once if they stopped; stopped names them.
func (v *fleetView) update(now time.Time, self string, f Fleet, stopped []string, settled bool) {
	if v.seen == nil {
		v.seen = map[string]time.Time{}
	}
	for _, name := range append(slices.Clip(f.Alive), self) {
		v.seen[name] = now
	}
	for _, name := range f.Lost {
		if _, known := v.seen[name]; !known {
			v.seen[name] = now
		}
	}
	for _, name := range stopped {
		if name != self {
			delete(v.seen, name)
		}
	}
	v.alive, v.names = 0, v.names[:0]
	for name, at := range v.seen {
		if now.Sub(at) > memberRetention {
			delete(v.seen, name)
			continue
		}
		if at.Equal(now) && !slices.Contains(f.Lost, name) {
			v.alive++
		}
		v.names = append(v.names, name)
	}
	slices.Sort(v.names)
	v.settled = settled
	v.owners = v.owners[:0]
	for _, name := range f.Owners {
		if settled || name != self {
			v.owners = append(v.owners, ownerHash{name, prefix.NodeHash(name)})
		}
	}
}

// owner returns the daemon that owns an organisation's bucket, empty if none is known.
func (v *fleetView) owner(organisation string) string {
	name, best, hash := "", uint64(0), prefix.NodeHash(organisation)
	for _, o := range v.owners {
		if score := prefix.Score(hash, o.hash); name == "" || score > best {
			name, best = o.name, score
		}
	}
	return name
}

// known returns the number of daemons that have a share.
func (v *fleetView) known() int {
	if !v.settled {
		return max(len(v.names), unsettledFleet)
	}
	return max(len(v.names), 1)
}

// aliveShare returns the part of a limit that belongs to the daemons known to be alive.
func (v *fleetView) aliveShare() float64 { return float64(max(v.alive, 1)) / float64(v.known()) }

// position returns this daemon's place among all, between 0 and 1.
func (v *fleetView) position(self string) float64 {
	if !v.settled {
		return 0.5
	}
	i, _ := slices.BinarySearch(v.names, self)
	return (float64(i) + 0.5) / float64(v.known())
}
