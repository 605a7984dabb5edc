package gateway

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/suspects"
)

// minCrashInterval is the minimum interval between two crashes that count
// against one request: a failing service often loses several upstreams at once,
// while they run requests that many callers send.
const minCrashInterval = 300 * time.Millisecond

// suspectTracker adapts the daemons' shared record of suspected requests to the
// forwarder.
type suspectTracker struct{ *suspects.Registry }

var _ forward.SuspectTracker = suspectTracker{}

// Quarantined reports whether too many upstreams crashed while running a
// request.
func (t suspectTracker) Quarantined(request string) bool {
	return t.Status(suspects.Fingerprint(request)) == suspects.Quarantined
}

// UpstreamCrashed records a crash for each request that was running.
func (t suspectTracker) UpstreamCrashed(upstream, incarnation string, at time.Time, requests []string) {
	running := make([]suspects.Fingerprint, len(requests))
	for i, r := range requests {
		running[i] = suspects.Fingerprint(r)
	}
	t.Registry.EngineCrashedAt(upstream, incarnation, at, running)
}

// RequestCompleted records that a request ran to completion.
func (t suspectTracker) RequestCompleted(request string) {
	t.Registry.RequestCompleted(suspects.Fingerprint(request))
}
