package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// HeaderVerdict is the header with the verdict of a refused or failed request.
const HeaderVerdict = "Verbenabend-Verdict"

// statusClientClosedRequest stands for callers that disconnected, as in nginx;
// no caller receives it.
const statusClientClosedRequest = 499

// ErrorBody is the response body of a refused or failed request.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure to a caller.
type ErrorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
	// RetryAfterMS is the delay before a retry, in milliseconds; 0 when not known.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

func errorBody(err error) (ErrorBody, *verdict.Error) {
	e, ok := verdict.As(err)
	if !ok {
		e = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "internal error")
	}
	return ErrorBody{ErrorDetail{
		Message:      e.Message,
		Type:         errorType(e.Code),
		Code:         e.Code,
		Verdict:      e.Verdict.String(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}, e
}

// WriteError writes err as an HTTP error response with its verdict. An error
// without a verdict is reported as an internal error that may have run.
func WriteError(w http.ResponseWriter, err error) {
	body, e := errorBody(err)
	setWriteDeadline(w, 0)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderVerdict, body.Error.Verdict)
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(statusOf(e.Code))
	_ = json.NewEncoder(w).Encode(body)
}

func errorType(c verdict.Code) string {
	switch c {
	case verdict.CodeBadRequest, verdict.CodeTooLarge, verdict.CodeNotFound, verdict.CodeIdempotencyKeyRequired, verdict.CodeIdempotencyKeyReused:
		return "invalid_request_error"
	case verdict.CodeUnauthorized:
		return "authentication_error"
	case verdict.CodeOverloaded, verdict.CodeDeadlineUnreachable:
		return "overloaded_error"
	default:
		return "api_error"
	}
}

func statusOf(c verdict.Code) int {
	switch c {
	case verdict.CodeBadRequest, verdict.CodeIdempotencyKeyRequired:
		return http.StatusBadRequest
	case verdict.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.CodeUnauthorized:
		return http.StatusUnauthorized
	case verdict.CodeNotFound:
		return http.StatusNotFound
	case verdict.CodeConflict:
		return http.StatusConflict
	case verdict.CodeIdempotencyKeyReused, verdict.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case verdict.CodeOverloaded, verdict.CodeDeadlineUnreachable, verdict.CodeNoUpstream, verdict.CodeDraining, verdict.CodePlatformUnavailable:
		return http.StatusServiceUnavailable
	case verdict.CodeUpstreamFailed, verdict.CodeStreamLost, verdict.CodeOutcomeUnknown:
		return http.StatusBadGateway
	case verdict.CodeCanceled:
		return statusClientClosedRequest
	default:
		return http.StatusInternalServerError
	}
}
