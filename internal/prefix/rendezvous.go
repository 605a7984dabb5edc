package prefix

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

// TopScores fills dst with the indexes of the nodes with the greatest scores
// for key, best first, and returns the filled part. It does not allocate when
// dst has room for n indexes.
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
