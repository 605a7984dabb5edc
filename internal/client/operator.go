// Package client calls the system as operators and callers do.
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
	callTimeout    = 15 * time.Second
	maxAnswerBytes = 64 << 20
)

// Operator calls one daemon's operator listener.
type Operator struct {
	// URL is the base URL, such as "http://10.0.0.1:7002".
	URL string
	// Key is the operators' key.
	Key  string
	HTTP *http.Client
}

// RejectedError is a plain no to a submitted document.
type RejectedError struct{ entry.Rejection }

// Error implements error.
func (e *RejectedError) Error() string { return e.Rejection.Error.Message }

// Submit submits a document based on the revision in force. Errors:
// *RejectedError for a plain no; otherwise a verdict.Error.
func (o *Operator) Submit(ctx context.Context, service string, body []byte, based servicedoc.Revision) (*entry.Accepted, error) {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(based), 10))}}
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

// Timeline returns the daemon's events after since.
func (o *Operator) Timeline(ctx context.Context, since time.Time) (*entry.Timeline, error) {
	path := "/v1/timeline"
	if !since.IsZero() {
		path += "?since=" + url.QueryEscape(since.UTC().Format(time.RFC3339Nano))
	}
	var t entry.Timeline
	return &t, o.get(ctx, path, &t)
}

func (o *Operator) get(ctx context.Context, path string, answer any) error {
	status, raw, err := o.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return decodeError(raw)
	}
	return decode(raw, answer)
}

func (o *Operator) call(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, sent := httpverdict.Track(ctx)
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(o.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "address of the daemon")
	}
	httpverdict.NeverReplay(req)
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+o.Key)
	resp, err := httpClient(o.HTTP).Do(req)
	if err != nil {
		return 0, nil, verdict.Wrap(err, sent.Verdict(), verdict.CodeUpstreamFailed, "the daemon can't be reached")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the daemon's answer was cut off")
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
		return errors.Wrap(err, "malformed answer")
	}
	return nil
}

// decodeError turns the body of a refusal or failure into a verdict.Error.
func decodeError(raw []byte) error {
	var body entry.ErrorBody
	if err := decode(raw, &body); err != nil {
		return err
	}
	e := verdict.New(verdict.Parse(body.Error.Verdict), body.Error.Code, body.Error.Message)
	e.RetryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	return e
}

// Failure is a failure in a form to print.
type Failure struct {
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
	Message string       `json:"message"`
}

// Describe returns what err says.
func Describe(err error) Failure {
	f := Failure{Verdict: verdict.Of(err).String(), Message: err.Error()}
	if e, ok := verdict.As(err); ok {
		f.Code = e.Code
	}
	return f
}
