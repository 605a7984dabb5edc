package gateway

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/suspects"
)

// deathSpacing is the least time between two ends of upstreams that speak against
// one request: a failing service often loses several upstreams at once, under
// requests that many callers send.
const deathSpacing = 300 * time.Millisecond

// suspectBook offers the product's book of suspected requests to the forwarder.
type suspectBook struct{ *suspects.Book }

var _ forward.Suspects = suspectBook{}

// Quarantined implements forward.Suspects.
func (b suspectBook) Quarantined(request string) bool {
	return b.Standing(dispatch.Fingerprint(request)) == dispatch.Quarantined
}

// Died implements forward.Suspects.
func (b suspectBook) Died(upstream, incarnation string, requests []string) {
	running := make([]dispatch.Fingerprint, len(requests))
	for i, r := range requests {
		running[i] = dispatch.Fingerprint(r)
	}
	b.Book.Died(upstream, incarnation, running)
}

// Survived implements forward.Suspects.
func (b suspectBook) Survived(request string) { b.Book.Survived(dispatch.Fingerprint(request)) }
