package fleet

import "github.com/verbenabend/verbenabend/internal/prefix"

// WatchersPerUpstream is how many daemons probe each upstream: when one of them
// fails, another still does.
const WatchersPerUpstream = 2

// Watchers returns the daemons that probe an upstream: the top ones by rendezvous
// hashing among the live daemons. Every daemon computes the same result from
// the same list, and the loss of a daemon reassigns only its own upstreams.
func Watchers(address string, daemons []string) []string {
	hashes := make([]uint64, len(daemons))
	for i, d := range daemons {
		hashes[i] = prefix.NodeHash(d)
	}
	var out []string
	for _, i := range prefix.TopScores(nil, prefix.NodeHash(address), hashes, WatchersPerUpstream) {
		out = append(out, daemons[i])
	}
	return out
}

// WatchedBy returns the addresses that the daemon self probes. peers are the
// names of the other live daemons.
func WatchedBy(self string, peers, addresses []string) []string {
	own := prefix.NodeHash(self)
	hashes := make([]uint64, len(peers))
	for i, p := range peers {
		hashes[i] = prefix.NodeHash(p)
	}
	var out []string
	for _, address := range addresses {
		if countOutranking(prefix.NodeHash(address), own, hashes, WatchersPerUpstream) < WatchersPerUpstream {
			out = append(out, address)
		}
	}
	return out
}

// IsAmongTop reports whether self is one of the top n daemons for a key, by
// rendezvous hashing over self and its live peers.
func IsAmongTop(self string, peers []string, key string, n int) bool {
	hashes := make([]uint64, len(peers))
	for i, p := range peers {
		hashes[i] = prefix.NodeHash(p)
	}
	return countOutranking(prefix.NodeHash(key), prefix.NodeHash(self), hashes, n) < n
}

// countOutranking counts the peers that rank higher than own for key, up to limit.
func countOutranking(key, own uint64, peers []uint64, limit int) int {
	score := prefix.Score(key, own)
	outranking := 0
	for _, p := range peers {
		if prefix.Score(key, p) > score {
			outranking++
		}
		if outranking == limit {
			break
		}
	}
	return outranking
}
