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

// giveUp answers a request that got no upstream's answer.
func (t *transfer) giveUp(err error) {
	if t.begun {
		t.emit(eventlog.RequestFailed, "", err)
		t.end(ResultCut, t.verdict())
		panic(http.ErrAbortHandler) // the caller must not take the answer for whole
	}
	t.fail(err)
}

// failure is the body of an answer of the daemon's own.
type failure struct {
	Error struct {
		Message string       `json:"message"`
		Code    verdict.Code `json:"code"`
		Verdict string       `json:"verdict"`
	} `json:"error"`
}

// fail writes an answer of the daemon's own.
func (t *transfer) fail(err error) {
	status, code := t.status(err)
	if e, ok := verdict.As(err); ok && status == http.StatusServiceUnavailable {
		after := t.spread(max(e.RetryAfter, minRetryAfter))
		if after > 0 {
			t.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
		}
	}
	var body failure
	body.Error.Message, body.Error.Code, body.Error.Verdict = err.Error(), code, verdict.Of(err).String()
	event := eventlog.RequestFailed
	if status < http.StatusInternalServerError || status == http.StatusServiceUnavailable {
		event = eventlog.RequestRefused
	}
	t.emit(event, "", errors.Wrapf(err, "status %d", status))
	t.end(string(code), t.verdict())
	t.w.Header().Set("Content-Type", "application/json")
	t.w.WriteHeader(status)
	_ = json.NewEncoder(t.w).Encode(body) // a caller that has left needs no answer
}

// minRetryAfter is the least time to come back that a refusal gives.
const minRetryAfter = 200 * time.Millisecond

// status returns the status for a failure. 503 promises that the request has
// not run and never will.
func (t *transfer) status(err error) (int, verdict.Code) {
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
	}
	if verdict.Of(err) == verdict.NotRun && t.ran == 0 {
		return http.StatusServiceUnavailable, code
	}
	if t.late() {
		return http.StatusGatewayTimeout, code
	}
	return http.StatusBadGateway, code
}

// late reports whether the request's time is up.
func (t *transfer) late() bool { return time.Until(t.deadline) <= 0 }
