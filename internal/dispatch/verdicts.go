package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// errSink marks an error of the sink: the caller does not read.
var errSink = errors.New("caller does not read")

// worst returns the verdict on two attempts of one request: it ran if either
// ran, and did not run only if neither did.
func worst(a, b verdict.Verdict) verdict.Verdict {
	switch {
	case a == verdict.Ran || b == verdict.Ran:
		return verdict.Ran
	case a == verdict.NotRun && b == verdict.NotRun:
		return verdict.NotRun
	default:
		return verdict.MayHaveRun
	}
}

// withEarlier returns err with a verdict that covers earlier attempts too.
func withEarlier(err error, earlier verdict.Verdict) error {
	if err == nil {
		return nil
	}
	own := verdict.Of(err)
	combined := worst(own, earlier)
	if combined == own {
		return err
	}
	e, ok := verdict.As(err)
	if !ok {
		return verdict.Wrap(err, combined, verdict.CodeInternal, "request failed")
	}
	raised := *e
	raised.Verdict = combined
	return &raised
}

// sinkFailed is the error of a request whose events the sink did not take or
// whose caller has left. A sink's own verdict stands.
func sinkFailed(ctx context.Context, err error) error {
	if e, ok := verdict.As(err); ok && ctx.Err() == nil {
		return e
	}
	return callerGone(err, verdict.Ran)
}

// callerGone is the error of a request whose caller has left.
func callerGone(cause error, v verdict.Verdict) error {
	return verdict.Wrap(cause, v, verdict.CodeCanceled, "caller gone")
}

// refusedBy returns the refusal that caused err, nil when there is none.
func refusedBy(err error) *upstream.RefusedError {
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}

// isStale reports whether an engine refused because the decision relied on an
// old view of it: it leaves, it restarted, or it has other weights.
func isStale(err error) bool {
	refused := refusedBy(err)
	if refused == nil {
		return false
	}
	switch refused.Reason {
	case upstream.RefusedLeaving, upstream.RefusedIncarnation, upstream.RefusedWeights:
		return true
	default:
		return false
	}
}

// ended reports whether a request ended because of its caller.
func ended(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, errSink)
}

// checkInfo makes sure that an answer belongs to the request and was made
// with the weights, organisation and incarnation that it states. Whatever
// answered, the request may have run.
func checkInfo(info upstream.StreamInfo, req *ModelRequest, incarnation string) error {
	switch {
	case info.RequestID != req.ID:
		return wrongAnswer("answer to another request")
	case info.Organisation != req.Organisation.Name:
		return wrongAnswer("answer of another organisation")
	case info.Weights != req.Model.Weights():
		return wrongAnswer("answer made with other weights")
	case info.Ref.Incarnation != incarnation:
		return wrongAnswer("answer of another incarnation")
	case info.Ref.StreamID == "":
		return wrongAnswer("answer without a stream id")
	}
	return nil
}

func wrongAnswer(message string) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, message)
}
