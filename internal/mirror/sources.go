package mirror

import (
	"cmp"
	"slices"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// Node is a daemon that keeps copies of the store's tables.
type Node struct {
	Name       string
	DataCentre string
	// Address is where it serves its copies, host:port.
	Address string
}

// SourcePolicy decides whose copies a daemon follows. It is a pure function of the daemons
// that are known: daemons that know others disagree for a while, which costs reads and does
// no other harm.
type SourcePolicy interface {
	// Sources returns the daemons that self may follow, the preferred one first. There are
	// none if self has to read the store.
	Sources(self Node, others []Node) []Node
}

// RankedSources orders all daemons by rendezvous hashing. The first of all reads the store,
// the first of each data centre follows it, and the others follow that one. A daemon only
// follows those that come before it, so that there is no circle.
type RankedSources struct {
	// MinFleet is the number of daemons from which on they follow each other.
	MinFleet int
	// Local and Global are how many daemons of its data centre and of all a daemon may
	// follow.
	Local, Global int
}

// ReaderDuty is the duty by which daemons are ranked as readers.
const ReaderDuty = "feeds"

var _ SourcePolicy = RankedSources{}

// Sources implements SourcePolicy.
func (p RankedSources) Sources(self Node, others []Node) []Node {
	if 1+len(others) < p.MinFleet {
		return nil
	}
	key := prefix.NodeHash(ReaderDuty)
	own := prefix.Score(key, prefix.NodeHash(self.Name))
	type rankedNode struct {
		Node
		score uint64
	}
	var ranked []rankedNode
	for _, n := range others {
		if score := prefix.Score(key, prefix.NodeHash(n.Name)); score > own {
			ranked = append(ranked, rankedNode{n, score})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedNode) int { return cmp.Compare(b.score, a.score) })
	var before []Node
	for _, n := range ranked {
		before = append(before, n.Node)
	}
	var out []Node
	for _, n := range before {
		if n.DataCentre == self.DataCentre && len(out) < p.Local {
			out = append(out, n)
		}
	}
	for _, n := range before[:min(p.Global, len(before))] {
		if !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}
