package forward

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Outcome is how a request ended, for metrics.
type Outcome struct {
	// Route is empty for requests that no route takes.
	Route string
	Class Class
	// Result is ResultOK, ResultUpstream, ResultCut, ResultCallerGone, or the
	// code of the daemon's own answer.
	Result string
	// Verdict says whether the request has run.
	Verdict verdict.Verdict
	// Duration is from the request's head to the end, FirstByte to the first
	// byte of the answer's upstream, 0 without one; Queued is the time that the
	// request waited for an upstream to be chosen.
	Duration, FirstByte, Queued time.Duration
}

// Class is a kind of organisation, of which there are few.
type Class string

// Classes.
const (
	ClassIsolated Class = "isolated" // shares no cached prompt
	ClassShared   Class = "shared"
	ClassNone     Class = "none" // no organisation is known
)

// Results that are no code of an answer of the daemon's own.
const (
	// ResultOK is an upstream's answer with a status below 500, passed on whole.
	ResultOK = "ok"
	// ResultUpstream is an upstream's own failure, passed on whole.
	ResultUpstream = "upstream"
	// ResultCut is an answer that ended early at the caller.
	ResultCut        = "cut"
	ResultCallerGone = "caller-gone"
)

// end records how the request ended; the first call counts.
func (t *transfer) end(result string, v verdict.Verdict) {
	if t.ended {
		return
	}
	t.ended = true
	o := Outcome{Class: ClassNone, Result: result, Verdict: v, Duration: time.Since(t.received), Queued: t.queued}
	if t.route != nil {
		o.Route = t.route.Name
	}
	if t.organisation != nil {
		o.Class = ClassShared
		if t.organisation.Isolated {
			o.Class = ClassIsolated
		}
	}
	if !t.firstByte.IsZero() {
		o.FirstByte = t.firstByte.Sub(t.received)
	}
	t.f.Ended(o)
}

// verdict says whether an attempt may have run.
func (t *transfer) verdict() verdict.Verdict {
	if t.ran > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
