package gossip

import (
	"cmp"
	"slices"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// member is a daemon that may be connected to.
type member struct {
	name       string
	dataCentre string
	address    string
}

// chooseNeighbours returns the daemons that self connects to, at most n, best
// first. The first is the next on a ring over the hashes of all names, which
// alone keeps the overlay connected; the second is in another data centre, a
// different one for each daemon and epoch; the rest are spread by rendezvous
// hashing, which keeps paths short. others must not contain self.
func chooseNeighbours(self member, others []member, n int, epoch uint64) []member {
	if len(others) <= n {
		return others
	}
	chosen := []member{ringSuccessor(self, others)}
	if far, ok := farNeighbour(self, others, epoch); ok && len(chosen) < n && far != chosen[0] {
		chosen = append(chosen, far)
	}
	key := prefix.Score(prefix.NodeHash(self.name), epoch+1)
	for _, m := range byScore(key, others) {
		if len(chosen) >= n {
			break
		}
		if !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

func ringSuccessor(self member, others []member) member {
	at := prefix.NodeHash(self.name)
	// The distance wraps around, so the least one is the next on the ring.
	return slices.MinFunc(others, func(a, b member) int {
		return cmp.Compare(prefix.NodeHash(a.name)-at, prefix.NodeHash(b.name)-at)
	})
}

func farNeighbour(self member, others []member, epoch uint64) (member, bool) {
	var centres []string
	for _, m := range others {
		if m.dataCentre != self.dataCentre && !slices.Contains(centres, m.dataCentre) {
			centres = append(centres, m.dataCentre)
		}
	}
	if len(centres) == 0 {
		return member{}, false
	}
	slices.Sort(centres)
	key := prefix.Score(prefix.NodeHash(self.name), epoch)
	centre := centres[key%uint64(len(centres))]
	var there []member
	for _, m := range others {
		if m.dataCentre == centre {
			there = append(there, m)
		}
	}
	return byScore(key, there)[0], true
}

// byScore returns list ordered by rendezvous score for key, best first.
func byScore(key uint64, list []member) []member {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b member) int {
		return cmp.Compare(prefix.Score(key, prefix.NodeHash(b.name)), prefix.Score(key, prefix.NodeHash(a.name)))
	})
	return sorted
}
