package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// errSink marks an error of the sink: the caller can't be written to.
var errSink = errors.New("caller can't be written to")

// combineVerdicts returns the verdict that covers two attempts of one request:
// it ran if either ran, and did not run only if neither did.
func combineVerdicts(a, b verdict.Verdict) verdict.Verdict {
	switch {
	case a == verdict.Ran || b == verdict.Ran:
		return verdict.Ran
	case a == verdict.NotRun && b == verdict.NotRun:
		return verdict.NotRun
	default:
		return verdict.MayHaveRun
	}
}

// withPriorVerdict returns err with its verdict combined with that of earlier
// attempts.
func withPriorVerdict(err error, prior verdict.Verdict) error {
	if err == nil {
		return nil
	}
	own := verdict.Of(err)
	combined := combineVerdicts(own, prior)
	if combined == own {
		return err
	}
	e, ok := verdict.As(err)
	if !ok {
		return verdict.Wrap(err, combined, verdict.CodeInternal, "request failed")
	}
	combinedErr := *e
	combinedErr.Verdict = combined
	return &combinedErr
}

// disconnectError returns the error of a request whose sink failed or whose
// caller disconnected. A verdict that the sink's error carries is kept.
func disconnectError(ctx context.Context, err error) error {
	if e, ok := verdict.As(err); ok && ctx.Err() == nil {
		return e
	}
	return canceledError(err, verdict.Ran)
}

// canceledError returns the error of a request whose caller has disconnected.
func canceledError(cause error, v verdict.Verdict) error {
	return verdict.Wrap(cause, v, verdict.CodeCanceled, "caller disconnected")
}

// refusalOrNil returns the engine's refusal in err's chain, or nil.
func refusalOrNil(err error) *upstream.RefusedError {
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}

// isStaleRefusal reports whether an engine refused because the routing decision
// used a stale view of it: it is leaving, has restarted, or has other weights.
func isStaleRefusal(err error) bool {
	refused := refusalOrNil(err)
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

// endedByCaller reports whether a request ended because its caller disconnected
// or could not be written to.
func endedByCaller(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, errSink)
}

// checkStreamInfo checks that a stream belongs to the request and has the
// expected organisation, weights and incarnation. A mismatch leaves open whether
// the request ran.
func checkStreamInfo(info upstream.StreamInfo, req *ModelRequest, incarnation string) error {
	switch {
	case info.RequestID != req.ID:
		return mismatchError("engine answered with a different request id")
	case info.Organisation != req.Organisation.Name:
		return mismatchError("engine answered for a different organisation")
	case info.Weights != req.Model.Weights():
		return mismatchError("engine answered with different weights")
	case info.Ref.Incarnation != incarnation:
		return mismatchError("engine answered as a different incarnation")
	case info.Ref.StreamID == "":
		return mismatchError("engine answered without a stream id")
	}
	return nil
}

func mismatchError(message string) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, message)
}
