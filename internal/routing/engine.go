package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/admission"
	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/ratelimit"
)

const (
	// loadReportMaxAge is the age up to which an engine's load report is used.
	loadReportMaxAge = 3 * time.Second
	// minEjection is the ejection time after the first failure; it doubles with
	// each further one, up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
)

// engine is the daemon's view of one incarnation of an engine.
type engine struct {
	ep      Endpoint
	hintKey uint64
	// present is false once SetEndpoints has removed the engine.
	present bool
	// reserved is true for engines kept for short prompts.
	reserved bool
	// ownAttempts counts this daemon's attempts at the engine, ownIsolated the
	// isolated ones among them, and ownTokens the prompt tokens to compute for
	// those without a first token.
	ownAttempts int
	ownIsolated int
	ownTokens   float64
	// awaitingFirstToken lists the attempts without a first token, in order of sending.
	awaitingFirstToken []*attempt
	// lastFirstTokenAt is when the latest first token of any attempt arrived.
	lastFirstTokenAt   time.Time
	observedSlowdown   placement.Slowdown
	tokenLatency       placement.TokenLatency
	limit              admission.Limit
	prefillUtilisation prefillUtilisation
	peerLoad           peerTotals
	report             LoadReport
	// announced are the prompts that peers announced, in the order of receipt; drainedAt is
	// when their progress was last predicted.
	announced []announcedPrompt
	drainedAt time.Time
	// relativeTime is the engine's prefill time relative to others, where it is learnt.
	relativeTime relativeTime
	// reportAnnouncedAt is when this daemon or a peer last announced a load report.
	reportAnnouncedAt time.Time
	// ownMemory is the sum of the memory tokens of this daemon's attempts.
	ownMemory float64
	// unsharedLevels are the hashes of prompt levels to share with peers.
	unsharedLevels []uint64
	// tokensByPart is the number of tokens of each part that the engine reports as
	// cached; nil while its cache events are not followed.
	tokensByPart map[uint64]int
	// sharedBefore is true if the last load shared with peers was not empty.
	sharedBefore bool
	// failures counts the failed attempts since the last success.
	failures     int
	ejectedUntil time.Time
	// probing is true while an attempt tests the engine after failures.
	probing bool
	// heldOffUntil is when the engine's hold-off ends.
	heldOffUntil time.Time
	// limiter is this daemon's part of the rate that the engine states; nil without one.
	limiter *ratelimit.Limiter
}

// peerTotals sums the loads that peers shared for an engine.
type peerTotals struct {
	pendingTokens int
	requests      int
	// inferredSlowdown is the greatest slowdown that peers inferred, 0 for none.
	inferredSlowdown float64
	// weightedSlowdown is the sum of the slowdowns that peers measured, each
	// multiplied by the number of running responses it was measured on; responses
	// is the sum of these numbers.
	weightedSlowdown float64
	responses        int
}

func newEngine(ep Endpoint) *engine {
	return &engine{ep: ep, hintKey: placement.EngineKey(ep.ID, ep.Incarnation)}
}

// reportedSlowdownMaxAge is the age up to which a slowdown reported by the engine
// is used; it changes many times a second.
const reportedSlowdownMaxAge = 400 * time.Millisecond

// reportedSlowdown returns the slowdown that the engine reports, 1 if the report is
// too old; ok is false for engines whose reports state none.
func (e *engine) reportedSlowdown(now time.Time) (s float64, ok bool) {
	if e.report.Slowdown == 0 {
		return 1, false
	}
	if now.Sub(e.report.At) > reportedSlowdownMaxAge {
		return 1, true
	}
	return max(1, e.report.Slowdown), true
}

// waitingSlowdown returns the slowdown implied by the wait of the oldest attempts
// without a first token, at least 1.
func (e *engine) waitingSlowdown(now time.Time) float64 {
	worst := 1.0
	for _, a := range e.awaitingFirstToken[:min(len(e.awaitingFirstToken), maxAwaitingChecked)] {
		worst = max(worst, placement.Ratio(now.Sub(a.sentAt)-a.roundTripDelay, a.expectedFirstToken))
	}
	return worst
}

// overrun returns how much longer than predicted the oldest attempt without a first
// token has waited, which is due to work that the daemon did not know of.
func (e *engine) overrun(now time.Time, slowdown float64) time.Duration {
	if len(e.awaitingFirstToken) == 0 {
		return 0
	}
	a := e.awaitingFirstToken[0]
	return max(0, now.Sub(a.sentAt)-a.roundTripDelay-time.Duration(slowdown*float64(a.expectedFirstToken)))
}

// maxAwaitingChecked bounds the attempts that waitingSlowdown looks at.
const maxAwaitingChecked = 2

func (e *engine) add(a *attempt) {
	e.ownAttempts++
	e.ownTokens += a.uncachedTokens
	e.ownMemory += a.memoryTokens
	if a.isolated {
		e.ownIsolated++
	}
	e.awaitingFirstToken = append(e.awaitingFirstToken, a)
}

// markFirstToken removes an attempt from those that await their first token.
func (e *engine) markFirstToken(a *attempt) {
	if a.gotFirstToken {
		return
	}
	a.gotFirstToken = true
	e.ownTokens = max(0, e.ownTokens-a.uncachedTokens)
	for i, b := range e.awaitingFirstToken {
		if b == a {
			e.awaitingFirstToken = append(e.awaitingFirstToken[:i], e.awaitingFirstToken[i+1:]...)
			return
		}
	}
}

func (e *engine) remove(a *attempt) {
	e.markFirstToken(a)
	e.ownAttempts--
	e.ownMemory = max(0, e.ownMemory-a.memoryTokens)
	if a.isolated {
		e.ownIsolated--
	}
	if e.ownAttempts == len(e.awaitingFirstToken) {
		e.tokenLatency.Reset()
	}
}

// recordFailure ejects the engine after a failed attempt.
func (e *engine) recordFailure(now time.Time) {
	ejection := min(minEjection<<min(e.failures, 6), maxEjection)
	e.failures++
	e.ejectedUntil = now.Add(ejection)
	e.probing = false
}

// recordSuccess ends the engine's ejection and resets its failure count.
func (e *engine) recordSuccess() {
	e.failures = 0
	e.ejectedUntil = time.Time{}
	e.probing = false
}
