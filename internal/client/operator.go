// Package client is a client of the HTTP APIs for operators and callers.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/httpverdict"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	callTimeout      = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// Operator calls the operator API of one daemon.
type Operator struct {
	// URL is the base URL, such as "http://10.0.0.1:7002".
	URL string
	// Key is the operators' bearer key.
	Key string
	// HTTP defaults to http.DefaultClient.
	HTTP *http.Client
}

// RejectedError reports that a submitted document was rejected.
type RejectedError struct{ entry.Rejection }

// Error implements error.
func (e *RejectedError) Error() string { return e.Rejection.Error.Message }

// Submit submits a document that replaces revision base, 0 for the first. The
// error is a *RejectedError when the document was rejected; for other errors
// verdict.Of tells whether it may have been accepted.
func (o *Operator) Submit(ctx context.Context, service string, body []byte, base servicedoc.Revision) (*entry.Accepted, error) {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(base), 10))}}
	status, raw, err := o.call(ctx, http.MethodPut, "/v1/documents/"+url.PathEscape(service), header, body)
	if err != nil {
		return nil, err
	}
	if status == http.StatusOK {
		var a entry.Accepted
		return &a, decode(raw, &a)
	}
	var r entry.Rejection
	if err := decode(raw, &r); err != nil {
		return nil, err
	}
	if status == http.StatusServiceUnavailable {
		return nil, verdict.New(verdict.Parse(r.Error.Verdict), r.Error.Code, r.Error.Message)
	}
	return nil, &RejectedError{r}
}

// Show returns a service's document in force.
func (o *Operator) Show(ctx context.Context, service string) (*entry.Accepted, error) {
	var a entry.Accepted
	return &a, o.get(ctx, "/v1/documents/"+url.PathEscape(service), &a)
}

// Status returns the daemon's view of the system.
func (o *Operator) Status(ctx context.Context) (*entry.Status, error) {
	var s entry.Status
	return &s, o.get(ctx, "/v1/status", &s)
}

// Timeline returns the events that the daemon keeps; a non-zero since excludes older ones.
func (o *Operator) Timeline(ctx context.Context, since time.Time) (*entry.Timeline, error) {
	path := "/v1/timeline"
	if !since.IsZero() {
		path += "?since=" + url.QueryEscape(since.UTC().Format(time.RFC3339Nano))
	}
	var t entry.Timeline
	return &t, o.get(ctx, path, &t)
}

func (o *Operator) get(ctx context.Context, path string, out any) error {
	status, raw, err := o.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return decodeError(raw)
	}
	return decode(raw, out)
}

func (o *Operator) call(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, sendState := httpverdict.TrackSend(ctx)
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(o.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "invalid daemon URL")
	}
	httpverdict.DisableTransportRetry(req)
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+o.Key)
	resp, err := httpClient(o.HTTP).Do(req)
	if err != nil {
		return 0, nil, verdict.Wrap(err, sendState.Verdict(), verdict.CodeUpstreamFailed, "the daemon is unreachable")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "connection lost while reading the daemon's response")
	}
	return resp.StatusCode, raw, nil
}

func httpClient(c *http.Client) *http.Client {
	if c == nil {
		return http.DefaultClient
	}
	return c
}

func decode(raw []byte, v any) error {
	if err := json.Unmarshal(raw, v); err != nil {
		return errors.Wrap(err, "malformed response")
	}
	return nil
}

// decodeError decodes the body of an error response into a verdict.Error.
func decodeError(raw []byte) error {
	var body entry.ErrorBody
	if err := decode(raw, &body); err != nil {
		return err
	}
	e := verdict.New(verdict.Parse(body.Error.Verdict), body.Error.Code, body.Error.Message)
	e.RetryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	return e
}

// Failure is an error encoded for output.
type Failure struct {
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
	Message string       `json:"message"`
}

// NewFailure returns the code, verdict and message of err.
func NewFailure(err error) Failure {
	f := Failure{Verdict: verdict.Of(err).String(), Message: err.Error()}
	if e, ok := verdict.As(err); ok {
		f.Code = e.Code
	}
	return f
}
