// Package verdict defines errors that tell whether a failed request may have run
// at an upstream. Retries, at-most-once calls and the errors reported to callers
// depend on it.
package verdict

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request may have been executed by an upstream.
// The zero value is MayHaveRun, so that an error without a verdict is never
// treated as proof that nothing ran.
type Verdict int8

const (
	// MayHaveRun means that it is unknown whether an upstream executed the request.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream executed any part of the request.
	NotRun
	// Ran means that an upstream executed the request.
	Ran
)

// String returns the form used on the wire and in logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse converts the wire form into a Verdict; unknown text is MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Code is the machine-readable reason of a failure.
type Code string

// Codes returned to callers and operators.
const (
	CodeBadRequest             Code = "bad_request"
	CodeTooLarge               Code = "too_large"
	CodeUnauthorized           Code = "unauthorized"
	CodeNotFound               Code = "not_found"
	CodeConflict               Code = "conflict"
	CodeIdempotencyKeyRequired Code = "idempotency_key_required"
	CodeIdempotencyKeyReused   Code = "idempotency_key_reused"
	CodeOverloaded             Code = "overloaded"
	CodeRateLimited            Code = "rate_limited"
	CodeDeadlineUnreachable    Code = "deadline_unreachable"
	CodeNoUpstream             Code = "no_upstream"
	CodeQuarantined            Code = "quarantined"
	CodeDraining               Code = "draining"
	CodePlatformUnavailable    Code = "platform_unavailable"
	CodeUpstreamFailed         Code = "upstream_failed"
	CodeStreamLost             Code = "stream_lost"
	CodeOutcomeUnknown         Code = "outcome_unknown"
	CodeCanceled               Code = "canceled"
	CodeInternal               Code = "internal"
)

// Error is a failure that carries a verdict.
type Error struct {
	Verdict    Verdict
	Code       Code
	Message    string
	RetryAfter time.Duration // suggested delay before a retry; zero if unknown
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Message
	}
	return e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an Error without a cause.
func New(v Verdict, code Code, message string) *Error {
	return &Error{Verdict: v, Code: code, Message: message}
}

// Wrap returns an Error caused by err.
func Wrap(err error, v Verdict, code Code, message string) *Error {
	return &Error{Verdict: v, Code: code, Message: message, Cause: err}
}

// Of returns the verdict of the outermost Error in err's chain, or MayHaveRun if
// there is none.
func Of(err error) Verdict {
	if e, ok := As(err); ok {
		return e.Verdict
	}
	return MayHaveRun
}

// As returns the outermost Error in err's chain.
func As(err error) (*Error, bool) {
	var e *Error
	if errors.As(err, &e) {
		return e, true
	}
	return nil, false
}
