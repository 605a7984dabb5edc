package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// giveUp answers a request that got no upstream's answer.
func (t *transfer) giveUp(err error) {
	if t.begun {
		t.emit(eventlog.RequestFailed, "", err)
		panic(http.ErrAbortHandler) // the caller must not take the answer for whole
	}
	t.f.fail(t.w, t, err)
}

// failure is the body of an answer of the daemon's own.
type failure struct {
	Error struct {
		Message string       `json:"message"`
		Code    verdict.Code `json:"code"`
		Verdict string       `json:"verdict"`
	} `json:"error"`
}

// fail writes an answer of the daemon's own. t is nil for requests that were
// not accepted.
func (f *Forwarder) fail(w http.ResponseWriter, t *transfer, err error) {
	status, code := statusOf(t, err)
	if e, ok := verdict.As(err); ok && status == http.StatusServiceUnavailable {
		after := e.RetryAfter
		if t != nil {
			after = t.spread(max(after, minRetryAfter))
		}
		if after > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
		}
	}
	var body failure
	body.Error.Message, body.Error.Code, body.Error.Verdict = err.Error(), code, verdict.Of(err).String()
	if t != nil {
		event := eventlog.RequestFailed
		if status == http.StatusServiceUnavailable {
			event = eventlog.RequestRefused
		}
		t.emit(event, "", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has left needs no answer
}

// minRetryAfter is the least time to come back that a refusal gives.
const minRetryAfter = 200 * time.Millisecond

// statusOf returns the status for a failure. 503 promises that the request
// has not run and never will.
func statusOf(t *transfer, err error) (int, verdict.Code) {
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
	if verdict.Of(err) == verdict.NotRun && (t == nil || t.ran == 0) {
		return http.StatusServiceUnavailable, code
	}
	if t != nil && t.late() {
		return http.StatusGatewayTimeout, code
	}
	return http.StatusBadGateway, code
}

// late reports whether the request's time is up.
func (t *transfer) late() bool { return time.Until(t.deadline) <= 0 }
