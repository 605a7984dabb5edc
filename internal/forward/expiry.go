package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLimitCorrection is how much earlier a limit on an upstream's use may become, since
// the dates of versions are corrected, while a request sent before is still left to the
// upstream to reject.
const maxLimitCorrection = 100 * time.Millisecond

// errUpstreamExpired is the cancellation cause of requests without a response at an
// upstream that may not be used any longer.
var errUpstreamExpired = errors.New("the upstream may not be used any longer")

// requestInFlight is a request that was sent to an upstream.
type requestInFlight struct {
	cancel context.CancelCauseFunc
	// deadline is the one that the upstream is told, unless a limit becomes known while
	// the connection opens.
	deadline time.Time
	// answered is set once the first byte of the response has arrived.
	answered bool
}

// cancelExpired cancels the requests that may wait in an upstream's queue when the
// upstream may not be used any longer. One that was told the limit rejects them itself.
func (l *Liveness) cancelExpired(now time.Time) {
	for _, cancel := range l.expiredRequests(now) {
		cancel(errUpstreamExpired)
	}
}

func (l *Liveness) expiredRequests(now time.Time) []context.CancelCauseFunc {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []context.CancelCauseFunc
	for id, h := range l.upstreams {
		if len(h.requests) == 0 {
			continue
		}
		until, limited := l.usableUntil(id)
		if !limited || now.Before(until) {
			continue
		}
		for _, r := range h.requests {
			if !r.answered && r.deadline.Sub(until) > maxLimitCorrection {
				out = append(out, r.cancel)
			}
		}
	}
	return out
}
