package allowance

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// Fleet is what a daemon knows of all daemons, itself included.
type Fleet struct {
	// Owners are the daemons that may own buckets: they respond and stay.
	Owners []string
	// Alive are the daemons that respond, Lost those that are known and do not.
	Alive, Lost []string
	// Stopped are daemons that stopped in order.
	Stopped []string
}

// fleetView derives owners and shares from what is known of the daemons.
type fleetView struct {
	self   string
	owners []ownerHash
	named  []string // of owners
	alive  []string
	// lost holds when daemons responded last that do not any longer.
	lost map[string]time.Time
	at   time.Time
	// known is the number of daemons that have a share, before that of those among them whose
	// names precede this daemon's.
	known, before int
	// settled is set once a daemon without peers is known to have none.
	settled bool
}

type ownerHash struct {
	name string
	hash uint64
}

// update takes the current state of the fleet.
func (v *fleetView) update(now time.Time, f Fleet, settled bool) {
	if v.lost == nil {
		v.lost = map[string]time.Time{}
	}
	if !slices.Equal(f.Alive, v.alive) {
		for _, name := range v.alive {
			v.lost[name] = v.at
		}
		for _, name := range f.Alive {
			delete(v.lost, name)
		}
		v.alive = slices.Clone(f.Alive)
	}
	for _, name := range f.Lost {
		if _, noted := v.lost[name]; !noted {
			v.lost[name] = now
		}
	}
	for _, name := range f.Stopped {
		delete(v.lost, name)
	}
	v.at, v.settled = now, settled
	v.known, v.before = 0, 0
	for _, name := range v.alive {
		v.count(name)
	}
	for name, at := range v.lost {
		if now.Sub(at) <= memberRetention {
			v.count(name)
		} else if !slices.Contains(f.Lost, name) {
			delete(v.lost, name)
		}
	}
	if !slices.Equal(f.Owners, v.named) {
		v.named, v.owners = slices.Clone(f.Owners), v.owners[:0]
		for _, name := range f.Owners {
			v.owners = append(v.owners, ownerHash{name, prefix.NodeHash(name)})
		}
	}
}

func (v *fleetView) count(name string) {
	v.known++
	if name < v.self {
		v.before++
	}
}

// owner returns the daemon that owns an organisation's bucket, empty if none is known.
func (v *fleetView) owner(organisation string) string {
	name, best, hash := "", uint64(0), prefix.NodeHash(organisation)
	for _, o := range v.owners {
		if score := prefix.Score(hash, o.hash); (name == "" || score > best) && (v.settled || o.name != v.self) {
			name, best = o.name, score
		}
	}
	return name
}

// sharing returns the number of daemons that have a share.
func (v *fleetView) sharing() int {
	if !v.settled {
		return max(v.known, unsettledFleet)
	}
	return max(v.known, 1)
}

// aliveShare returns the part of a limit that belongs to the daemons known to be alive.
func (v *fleetView) aliveShare() float64 {
	return float64(max(len(v.alive), 1)) / float64(v.sharing())
}

// position returns this daemon's place among all, between 0 and 1.
func (v *fleetView) position() float64 {
	if !v.settled {
		return 0.5
	}
	return (float64(v.before) + 0.5) / float64(v.sharing())
}
