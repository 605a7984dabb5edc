package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// failOrAbort ends a failed request: with the upstream's own failure or an error response, or
// by aborting the connection when part of a response was already relayed.
func (t *transfer) failOrAbort(err error) {
	if t.responseStarted {
		t.logEvent(eventlog.RequestFailed, "", err)
		t.recordOutcome(ResultTruncated, t.verdict())
		panic(http.ErrAbortHandler) // a clean close would make the truncated response look complete
	}
	if t.failure != nil {
		t.relayFailure(err)
		return
	}
	t.writeError(err)
}

// errorBody is the JSON body of an error response of the daemon itself.
type errorBody struct {
	Error struct {
		Message string       `json:"message"`
		Code    verdict.Code `json:"code"`
		Verdict string       `json:"verdict"`
	} `json:"error"`
}

// writeError sends an error response of the daemon itself.
func (t *transfer) writeError(err error) {
	status, code := t.errorStatus(err)
	if e, ok := verdict.As(err); ok && status == http.StatusServiceUnavailable {
		after := max(e.RetryAfter, minRetryAfter)
		var refused *refusedError
		byScheduler := errors.As(err, &refused)
		switch {
		case byScheduler && refused.heldOff:
			after = t.retryAfterAtLeast(after)
		case byScheduler && refused.paced:
			after = t.capRetryAfter(after)
		default:
			after = t.jitteredRetryAfter(after)
		}
		if after > 0 {
			t.writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
		}
	}
	if e, ok := verdict.As(err); ok && status == http.StatusTooManyRequests {
		after := max(t.capRetryAfter(e.RetryAfter), time.Millisecond) // spread out by the quota's owner
		t.writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	var body errorBody
	v := verdict.Of(err)
	if v == verdict.NotRun { // the last attempt was not; earlier ones may have been
		v = t.verdict()
	}
	body.Error.Message, body.Error.Code, body.Error.Verdict = err.Error(), code, v.String()
	event := eventlog.RequestFailed
	if status < http.StatusInternalServerError || status == http.StatusServiceUnavailable {
		event = eventlog.RequestRefused
	}
	t.logEvent(event, "", errors.Wrapf(err, "status %d", status))
	t.recordOutcome(string(code), t.verdict())
	text, marshalErr := json.Marshal(body)
	if marshalErr != nil { // unreachable: the body has texts only
		text = nil
	}
	t.writer.Header().Set("Content-Type", "application/json")
	t.writer.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	t.writer.WriteHeader(status)
	_, _ = t.writer.Write(append(text, '\n')) // fails only when the caller has disconnected
}

// minRetryAfter is the shortest Retry-After delay of a refusal, before jitter.
const minRetryAfter = 200 * time.Millisecond

// errorStatus maps an error to an HTTP status and code. Status 503 guarantees
// that the request has not run and will not run.
func (t *transfer) errorStatus(err error) (int, verdict.Code) {
	code := verdict.CodeInternal
	if e, ok := verdict.As(err); ok {
		code = e.Code
	}
	switch code {
	case verdict.CodeBadRequest:
		return http.StatusBadRequest, code
	case verdict.CodeNotFound:
		return http.StatusNotFound, code
	case verdict.CodeUnauthorized:
		return http.StatusUnauthorized, code
	case verdict.CodeTooLarge:
		return http.StatusRequestEntityTooLarge, code
	case verdict.CodeRateLimited:
		return http.StatusTooManyRequests, code
	}
	if verdict.Of(err) == verdict.NotRun && t.attemptsRun == 0 {
		return http.StatusServiceUnavailable, code
	}
	if t.deadlinePassed() {
		return http.StatusGatewayTimeout, code
	}
	return http.StatusBadGateway, code
}

// deadlinePassed reports whether the request's deadline has passed.
func (t *transfer) deadlinePassed() bool { return time.Until(t.deadline) <= 0 }
