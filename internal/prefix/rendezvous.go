package prefix

import (
	"cmp"
	"slices"
)

// Score returns the weight of node for key in rendezvous hashing: among any set of
// nodes, the homes of a key are those with the highest scores. node is a hash
// returned by NodeHash.
func Score(key, node uint64) uint64 {
	x := key ^ (node * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Scored is a node's index and its score for a key.
type Scored struct {
	Index int
	Score uint64
}

// SelectTop moves the n highest scores to the front of nodes, in descending order,
// and returns them. It takes linear time on average plus n log n to sort, and does
// not allocate.
func SelectTop(nodes []Scored, n int) []Scored {
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

// partition partitions nodes around a pivot, higher scores first, and returns the
// pivot's index.
func partition(nodes []Scored) int {
	last := len(nodes) - 1
	mid := last / 2
	nodes[mid], nodes[last] = nodes[last], nodes[mid]
	pivot := nodes[last].Score
	boundary := 0
	for i := range last {
		if nodes[i].Score > pivot {
			nodes[i], nodes[boundary] = nodes[boundary], nodes[i]
			boundary++
		}
	}
	nodes[boundary], nodes[last] = nodes[last], nodes[boundary]
	return boundary
}

// TopScores fills dst with the indexes of the n nodes with the highest scores for
// key, highest first, and returns the filled part. It is meant for small n, and
// does not allocate if dst has capacity for n indexes.
func TopScores(dst []int, key uint64, nodes []uint64, n int) []int {
	dst = dst[:0]
	for i, node := range nodes {
		s := Score(key, node)
		rank := len(dst)
		for rank > 0 && Score(key, nodes[dst[rank-1]]) < s {
			rank--
		}
		if rank >= n {
			continue
		}
		if len(dst) < n {
			dst = append(dst, 0)
		}
		copy(dst[rank+1:], dst[rank:])
		dst[rank] = i
	}
	return dst
}
