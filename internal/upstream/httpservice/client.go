// Package httpservice implements upstream.Services for plain HTTP services.
package httpservice

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/httpverdict"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	dialTimeout   = 2 * time.Second
	checkTimeout  = 2 * time.Second
	maxReplyBytes = 32 << 20
	// maxWriteWait is how long the end of a response without a length waits for the rest of the
	// call to be written.
	maxWriteWait = time.Second
	// maxHeadBytes bounds the heads of one response, those of informational responses
	// before it included.
	maxHeadBytes = 64 << 10
)

// Headers of calls to services and of their responses.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderOrganisation   = "X-Organisation"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNotRun is set by a service that refused a call before running it;
	// its value is the call's X-Request-Id.
	HeaderNotRun = "X-Not-Run"
)

// Client implements upstream.Services. Each call uses a new connection, because
// net/http automatically retries requests on reused ones.
type Client struct{ http *http.Client }

var _ upstream.Services = (*Client)(nil)

// New returns a client that connects by dial; nil means TCP.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// Do implements upstream.Services.
func (c *Client) Do(ctx context.Context, address string, call *upstream.Call) (*upstream.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	ctx, sent := httpverdict.TrackSend(ctx)
	ctx, written := trackWrite(ctx)
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "the call is not a valid HTTP request")
	}
	httpverdict.DisableTransportRetry(req)
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderOrganisation, call.Organisation)
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, verdict.Wrap(err, sent.Verdict(), verdict.CodeUpstreamFailed, "upstream unreachable")
	}
	defer resp.Body.Close()
	reply, err := readReply(resp, call.RequestID)
	if err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !wasWritten(ctx, written) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the connection failed while the call was written")
	}
	return reply, err
}

// trackWrite returns a context for sending one request, and a channel that receives the result
// of writing it.
func trackWrite(ctx context.Context) (context.Context, <-chan error) {
	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		select {
		case written <- i.Err:
		default:
		}
	}}
	return httptrace.WithClientTrace(ctx, trace), written
}

// wasWritten reports whether the request was written without an error, within maxWriteWait. A
// reset connection reports its error once only: when a write has got it, a response that only
// the end of its connection delimits seems to end in order.
func wasWritten(ctx context.Context, written <-chan error) bool {
	ctx, cancel := context.WithTimeout(ctx, maxWriteWait)
	defer cancel()
	select {
	case err := <-written:
		return err == nil
	case <-ctx.Done():
		return false
	}
}

// Check implements upstream.Services. Any HTTP response, whatever its status,
// means that the upstream is up.
func (c *Client) Check(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	return resp.Body.Close()
}

// maxStatus is the greatest status that HTTP has.
const maxStatus = 599

func readReply(resp *http.Response, requestID string) (*upstream.Reply, error) {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the response has the status "+strconv.Itoa(resp.StatusCode)+", which HTTP does not have or which ends no request")
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == requestID {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "upstream refused the call")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "upstream response interrupted")
	}
	if len(body) > maxReplyBytes {
		return nil, verdict.New(verdict.Ran, verdict.CodeTooLarge, "upstream response exceeds the size limit")
	}
	return &upstream.Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
