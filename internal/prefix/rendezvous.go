package prefix

import (
	"cmp"
	"slices"
)

// Score returns the weight of node for key in rendezvous hashing: among any
// set of nodes, the homes of a key are those with the greatest scores.
// node is a hash of the node's name, as NodeHash gives it.
func Score(key, node uint64) uint64 {
	x := key ^ (node * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Scored is a node's index and its score for some key.
type Scored struct {
	Index int
	Score uint64
}

// Top moves the n greatest scores to the front of nodes, in descending order,
// and returns them. Work is linear in the nodes plus n log n; it does not allocate.
func Top(nodes []Scored, n int) []Scored {
	n = min(n, len(nodes))
	lo, hi := 0, len(nodes)
	for hi-lo > 1 && n > lo && n < hi {
		mid := partition(nodes[lo:hi]) + lo
		if mid < n {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	slices.SortFunc(nodes[:n], func(a, b Scored) int { return cmp.Compare(b.Score, a.Score) })
	return nodes[:n]
}

// partition orders nodes around a pivot, greater scores first, and returns
// the pivot's place.
func partition(nodes []Scored) int {
	last := len(nodes) - 1
	mid := last / 2
	nodes[mid], nodes[last] = nodes[last], nodes[mid]
	pivot := nodes[last].Score
	at := 0
	for i := range last {
		if nodes[i].Score > pivot {
			nodes[i], nodes[at] = nodes[at], nodes[i]
			at++
		}
	}
	nodes[at], nodes[last] = nodes[last], nodes[at]
	return at
}

// TopScores fills dst with the indexes of the nodes with the greatest scores
// for key, best first, and returns the filled part. It suits small n; it does
// not allocate when dst has room for n indexes.
func TopScores(dst []int, key uint64, nodes []uint64, n int) []int {
	dst = dst[:0]
	for i, node := range nodes {
		s := Score(key, node)
		at := len(dst)
		for at > 0 && Score(key, nodes[dst[at-1]]) < s {
			at--
		}
		if at >= n {
			continue
		}
		if len(dst) < n {
			dst = append(dst, 0)
		}
		copy(dst[at+1:], dst[at:])
		dst[at] = i
	}
	return dst
}
