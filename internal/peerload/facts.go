package peerload

import (
	"strings"
	"time"

	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// Facts returns what a daemon tells its peers: one fact for each service, which
// is to be believed for life.
func Facts(daemon string, loads map[string][]routing.PeerLoad, life time.Duration) []gossip.Fact {
	out := make([]gossip.Fact, 0, len(loads))
	for service, l := range loads {
		out = append(out, gossip.Fact{Kind: gossip.KindLoad, ID: daemon + "/" + service, TTL: life, Value: Encode(l)})
	}
	return out
}

// Origin returns whose figures a fact of Facts holds, and of which service.
func Origin(f gossip.Fact) (daemon, service string, ok bool) { return strings.Cut(f.ID, "/") }
