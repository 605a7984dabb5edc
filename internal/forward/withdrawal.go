package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/routetable"
)

const (
	// maxLimitCorrection is how much earlier a limit on an upstream's use may become, since
	// the dates of versions are corrected, while a request sent before is still left to the
	// upstream to reject.
	maxLimitCorrection = 100 * time.Millisecond
	// isolationSettleTime is how long a request may still begin when an organisation became
	// isolated: an upstream that reads its prompt already begins the response by then.
	isolationSettleTime = 300 * time.Millisecond
	// isolationSpread is the time over which requests are withdrawn after it, so that they do
	// not all arrive at upstreams again at once.
	isolationSpread = 300 * time.Millisecond
)

// Cancellation causes of requests without a response that their upstream may not begin any longer.
var (
	// errUpstreamExpired means that the upstream may not be used any longer.
	errUpstreamExpired = errors.New("the upstream may not be used any longer")
	// errNewlyIsolated means that an organisation became isolated with which the request shares
	// cached prompts by its cache scope.
	errNewlyIsolated = errors.New("an organisation was isolated since the request was sent")
)

// Causes of withdrawals for metrics.
const (
	WithdrawnForWeights   = "weights"
	WithdrawnForIsolation = "isolation"
)

// requestInFlight is a request that was sent to an upstream.
type requestInFlight struct {
	cancel context.CancelCauseFunc
	// deadline is the one that the upstream is told, unless a limit becomes known while
	// the connection opens.
	deadline time.Time
	// answered is set once the first byte of the response has arrived.
	answered bool
	// sharedUnder is the desired state that chose the request's cache scope; nil if the request
	// shares its cache with no other organisation.
	sharedUnder *routetable.Table
	// withdrawAt is when it is withdrawn because of an isolation; zero if it is not.
	withdrawAt time.Time
}

// withdrawal is a request to cancel and why.
type withdrawal struct {
	cancel context.CancelCauseFunc
	cause  error
}

// recordScope records the desired state that chose the cache scope of a request that is about to
// be sent; nil if the request shares its cache with no other organisation.
func (l *Liveness) recordScope(id string, t *transfer, sharedUnder *routetable.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.upstreams[id]; h != nil && h.requests[t] != nil {
		h.requests[t].sharedUnder = sharedUnder
	}
}

// withdraw cancels the requests that may wait in an upstream's queue and that it may not begin any
// longer: requests follow what is in force when they begin, not only when they are sent.
func (l *Liveness) withdraw(now time.Time) {
	for _, w := range l.withdrawals(now) {
		w.cancel(w.cause)
	}
}

func (l *Liveness) withdrawals(now time.Time) []withdrawal {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []withdrawal
	newlyIsolating := map[*routetable.Table]bool{}
	table := l.table()
	for id, h := range l.upstreams {
		if len(h.requests) == 0 {
			continue
		}
		until, limited := l.usableUntil(id)
		for _, r := range h.requests {
			switch {
			case r.answered:
			case limited && r.isExpired(until, now):
				out = append(out, withdrawal{r.cancel, errUpstreamExpired})
			case r.isCrossedBy(table, newlyIsolating, now):
				out = append(out, withdrawal{r.cancel, errNewlyIsolated})
			}
		}
	}
	return out
}

// isExpired reports whether the upstream may not begin the request since a time. One that was told
// the limit rejects the request itself.
func (r *requestInFlight) isExpired(until, now time.Time) bool {
	return !now.Before(until) && r.deadline.Sub(until) > maxLimitCorrection
}

// isCrossedBy reports whether the request has to be withdrawn because the desired state isolates
// an organisation that the one of the request's scope did not. newlyIsolating caches that by the
// latter.
func (r *requestInFlight) isCrossedBy(table *routetable.Table, newlyIsolating map[*routetable.Table]bool, now time.Time) bool {
	if r.sharedUnder == nil || table == nil {
		return false
	}
	crossed, known := newlyIsolating[r.sharedUnder]
	if !known {
		crossed = r.sharedUnder != table && table.NewlyIsolates(r.sharedUnder)
		newlyIsolating[r.sharedUnder] = crossed
	}
	switch {
	case !crossed:
		r.withdrawAt = time.Time{}
		return false
	case r.withdrawAt.IsZero():
		r.withdrawAt = now.Add(isolationSettleTime + rand.N(isolationSpread))
	}
	return !now.Before(r.withdrawAt)
}
