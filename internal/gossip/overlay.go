package gossip

import (
	"cmp"
	"slices"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// member is a daemon of the overlay.
type member struct {
	name       string
	dataCentre string
	address    string
}

// chooseNeighbours returns the daemons that self connects to, at most n, best
// first. The first is the successor on a ring over the hashes of all names, which
// is sufficient to keep the overlay connected. The second is in another data
// centre, which varies by daemon and epoch. The rest are chosen by rendezvous
// hashing, which keeps paths short. others must not contain self.
func chooseNeighbours(self member, others []member, n int, epoch uint64) []member {
	if len(others) <= n {
		return others
	}
	chosen := []member{ringSuccessor(self, others)}
	if remote, ok := remoteNeighbour(self, others, epoch); ok && len(chosen) < n && remote != chosen[0] {
		chosen = append(chosen, remote)
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
	position := prefix.NodeHash(self.name)
	// The subtraction wraps around, so the least distance is the successor's.
	return slices.MinFunc(others, func(a, b member) int {
		return cmp.Compare(prefix.NodeHash(a.name)-position, prefix.NodeHash(b.name)-position)
	})
}

// remoteNeighbour returns a daemon in another data centre, false if there is none.
func remoteNeighbour(self member, others []member, epoch uint64) (member, bool) {
	var dataCentres []string
	for _, m := range others {
		if m.dataCentre != self.dataCentre && !slices.Contains(dataCentres, m.dataCentre) {
			dataCentres = append(dataCentres, m.dataCentre)
		}
	}
	if len(dataCentres) == 0 {
		return member{}, false
	}
	slices.Sort(dataCentres)
	key := prefix.Score(prefix.NodeHash(self.name), epoch)
	dataCentre := dataCentres[key%uint64(len(dataCentres))]
	var candidates []member
	for _, m := range others {
		if m.dataCentre == dataCentre {
			candidates = append(candidates, m)
		}
	}
	return byScore(key, candidates)[0], true
}

// byScore returns a copy of list ordered by rendezvous score for key, highest first.
func byScore(key uint64, list []member) []member {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b member) int {
		return cmp.Compare(prefix.Score(key, prefix.NodeHash(b.name)), prefix.Score(key, prefix.NodeHash(a.name)))
	})
	return sorted
}
