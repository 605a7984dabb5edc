package fleet

import "github.com/verbenabend/verbenabend/internal/prefix"

// WatchersPerEngine is how many daemons probe each engine, so that the loss of
// one leaves one.
const WatchersPerEngine = 2

// Watchers returns the daemons that probe an upstream: the first by rendezvous
// hashing among all that live. Every daemon computes the same ones from the
// same list, and the loss of a daemon moves only its own upstreams.
func Watchers(address string, daemons []string) []string {
	hashes := make([]uint64, len(daemons))
	for i, d := range daemons {
		hashes[i] = prefix.NodeHash(d)
	}
	var out []string
	for _, i := range prefix.TopScores(nil, prefix.NodeHash(address), hashes, WatchersPerEngine) {
		out = append(out, daemons[i])
	}
	return out
}

// Watched returns those of addresses that self probes, given the names of the
// other live daemons.
func Watched(self string, peers, addresses []string) []string {
	own := prefix.NodeHash(self)
	hashes := make([]uint64, len(peers))
	for i, p := range peers {
		hashes[i] = prefix.NodeHash(p)
	}
	var out []string
	for _, address := range addresses {
		if outscored(prefix.NodeHash(address), own, hashes, WatchersPerEngine) < WatchersPerEngine {
			out = append(out, address)
		}
	}
	return out
}

// Among reports whether self is among the first n daemons for a key, by
// rendezvous hashing over self and its live peers.
func Among(self string, peers []string, key string, n int) bool {
	hashes := make([]uint64, len(peers))
	for i, p := range peers {
		hashes[i] = prefix.NodeHash(p)
	}
	return outscored(prefix.NodeHash(key), prefix.NodeHash(self), hashes, n) < n
}

// outscored counts the peers before own for key, up to most.
func outscored(key, own uint64, peers []uint64, most int) int {
	score := prefix.Score(key, own)
	before := 0
	for _, p := range peers {
		if prefix.Score(key, p) > score {
			before++
		}
		if before == most {
			break
		}
	}
	return before
}
