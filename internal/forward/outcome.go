package forward

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Outcome describes a finished request for metrics.
type Outcome struct {
	// Route is empty for requests that matched no route.
	Route string
	Class Class
	// Result is ResultOK, ResultUpstreamError, ResultTruncated,
	// ResultCallerDisconnected or the code of the daemon's own error response.
	Result string
	// Verdict states whether the request ran.
	Verdict verdict.Verdict
	// Duration is measured from the arrival of the request's headers, FirstByte
	// up to the first byte of the upstream's response (0 without one).
	// QueueTime is the time spent waiting for the scheduler.
	Duration, FirstByte, QueueTime time.Duration
}

// Class groups organisations for metric labels; it has few values.
type Class string

// Classes of organisations.
const (
	ClassIsolated Class = "isolated" // does not share cached prompts
	ClassShared   Class = "shared"
	ClassNone     Class = "none" // unknown organisation
)

// Results other than the codes of the daemon's own error responses.
const (
	// ResultOK is an upstream's complete response with a status below 500.
	ResultOK = "ok"
	// ResultUpstreamError is an upstream's complete response with a status of
	// 500 or above.
	ResultUpstreamError = "upstream"
	// ResultTruncated is a response that was cut off after part of it was
	// relayed.
	ResultTruncated          = "cut"
	ResultCallerDisconnected = "caller-gone"
	// ResultSlowReader is a response that was cut off because its caller read it too slowly.
	ResultSlowReader = "caller-slow"
	// ResultPanicked is a request whose handler panicked.
	ResultPanicked = "panic"
)

// recordOutcome reports the outcome of the request; only the first call has an
// effect.
func (t *transfer) recordOutcome(result string, v verdict.Verdict) {
	if t.outcomeRecorded {
		return
	}
	t.outcomeRecorded = true
	if t.originRecorded && t.route.Resumable && result != ResultOK {
		t.forwarder.Origins.MarkBroken(t.stream())
	}
	o := Outcome{Class: ClassNone, Result: result, Verdict: v, Duration: time.Since(t.receivedAt), QueueTime: t.queueTime}
	if t.route != nil {
		o.Route = t.route.Name
	}
	if t.organisation != nil {
		o.Class = ClassShared
		if t.organisation.Isolated {
			o.Class = ClassIsolated
		}
	}
	if !t.firstByteAt.IsZero() {
		o.FirstByte = t.firstByteAt.Sub(t.receivedAt)
	}
	t.forwarder.OnOutcome(o)
}

// verdict returns MayHaveRun if any attempt may have run, otherwise NotRun.
func (t *transfer) verdict() verdict.Verdict {
	if t.attemptsRun > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
