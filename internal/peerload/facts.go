package peerload

import (
	"strings"
	"time"

	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// Facts returns the facts that publish a daemon's loads, one per service, each
// valid for ttl.
func Facts(daemon string, loads map[string][]routing.PeerLoad, ttl time.Duration) []gossip.Fact {
	out := make([]gossip.Fact, 0, len(loads))
	for service, l := range loads {
		out = append(out, gossip.Fact{Kind: gossip.KindLoad, ID: daemon + "/" + service, TTL: ttl, Value: Encode(l)})
	}
	return out
}

// ParseFactID returns the daemon and the service in the ID of a load fact, and false
// if the ID has another form.
func ParseFactID(f gossip.Fact) (daemon, service string, ok bool) { return strings.Cut(f.ID, "/") }
