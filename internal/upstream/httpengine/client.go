// Package httpengine implements upstream.Engines for model engines that support
// the common chat completion API with server-sent events, plus headers for
// scoping and endpoints for state, cache events, streams and orders.
package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/httpverdict"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	dialTimeout        = 2 * time.Second
	headerTimeout      = 5 * time.Second
	controlTimeout     = 2 * time.Second
	failureBodyTimeout = 2 * time.Second // for the body of a refused or failed stream
	orderTimeout       = 10 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdleConnections = 64
	maxControlBytes    = 16 << 20
	// maxHeadBytes bounds the heads of one response, those of informational responses
	// before it included.
	maxHeadBytes = 64 << 10
)

// Client implements upstream.Engines.
type Client struct {
	streamClient *http.Client
	// singleUseClient never reuses a connection, so that an unresponsive one can't
	// delay a probe or a resumption.
	singleUseClient *http.Client
}

var (
	_ upstream.Engines   = (*Client)(nil)
	_ upstream.Abandoner = (*Client)(nil)
)

// New returns a client that connects by dial; nil means TCP.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	streams := &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  headerTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
	singleUse := &http.Transport{DialContext: dial, DisableKeepAlives: true, ResponseHeaderTimeout: headerTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{
		streamClient:    &http.Client{Transport: streams, CheckRedirect: noRedirect},
		singleUseClient: &http.Client{Transport: singleUse, CheckRedirect: noRedirect},
	}
}

// noRedirect stops net/http from following a redirect to another address.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.streamClient.CloseIdleConnections() }

// Generate implements upstream.Engines.
func (c *Client) Generate(ctx context.Context, address string, g *upstream.GenerateRequest) (upstream.Stream, error) {
	model := g.Weights
	raw, err := json.Marshal(ChatRequest{Model: model, Messages: g.Messages, MaxTokens: g.MaxTokens, Stream: true})
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode request")
	}
	ctx, sent := httpverdict.TrackSend(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(raw))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "engine request")
	}
	httpverdict.DisableTransportRetry(req)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, g.RequestID)
	req.Header.Set(HeaderOrganisation, g.Organisation)
	req.Header.Set(HeaderWeights, g.Weights)
	req.Header.Set(HeaderIncarnation, g.Incarnation)
	req.Header.Set(HeaderPriority, strconv.Itoa(g.Priority))
	stream, err := openStream(c.streamClient, req, sent, expectedHeader{HeaderRequestID, g.RequestID}, 0)
	if err != nil && ctx.Err() == nil && refusalCause(err) == nil {
		// The other idle connections may be closed or unresponsive too.
		c.streamClient.CloseIdleConnections()
	}
	return stream, err
}

func refusalCause(err error) *upstream.RefusedError {
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}

// Resume implements upstream.Engines. It always opens a new connection.
func (c *Client) Resume(ctx context.Context, address string, ref upstream.StreamRef, next int) (upstream.Stream, error) {
	ctx, sent := httpverdict.TrackSend(ctx)
	u := "http://" + address + "/v1/streams/" + url.PathEscape(ref.StreamID) + "?from=" + strconv.Itoa(next)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "engine request")
	}
	req.Header.Set(HeaderIncarnation, ref.Incarnation)
	return openStream(c.singleUseClient, req, sent, expectedHeader{HeaderStreamID, ref.StreamID}, next)
}

// Cancel implements upstream.Engines.
func (c *Client) Cancel(ctx context.Context, address string, ref upstream.StreamRef) error {
	header := http.Header{HeaderIncarnation: {ref.Incarnation}}
	return c.controlCall(ctx, controlTimeout, http.MethodDelete, address, "/v1/streams/"+url.PathEscape(ref.StreamID), header, nil, nil)
}

// Abandon implements upstream.Abandoner.
func (c *Client) Abandon(ctx context.Context, address string, ref upstream.StreamRef) error {
	header := http.Header{HeaderIncarnation: {ref.Incarnation}, HeaderUnread: {"1"}}
	return c.controlCall(ctx, controlTimeout, http.MethodDelete, address, "/v1/streams/"+url.PathEscape(ref.StreamID), header, nil, nil)
}

// State implements upstream.Engines.
func (c *Client) State(ctx context.Context, address string) (upstream.EngineState, error) {
	var s State
	err := c.controlCall(ctx, controlTimeout, http.MethodGet, address, "/state", nil, nil, &s)
	return upstream.EngineState(s), err
}

// Events implements upstream.Engines.
func (c *Client) Events(ctx context.Context, address string, after uint64) ([]upstream.CacheEvent, error) {
	var list CacheEvents
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	if err := c.controlCall(ctx, controlTimeout, http.MethodGet, address, path, nil, nil, &list); err != nil {
		return nil, err
	}
	out := make([]upstream.CacheEvent, len(list.Events))
	for i, e := range list.Events {
		out[i] = upstream.CacheEvent(e)
	}
	return out, nil
}

// Order implements upstream.Engines.
func (c *Client) Order(ctx context.Context, address string, o upstream.Order) error {
	return c.controlCall(ctx, orderTimeout, http.MethodPost, address, "/orders", nil, o, nil)
}

func (c *Client) controlCall(ctx context.Context, timeout time.Duration, method, address, path string, header http.Header, body, response any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, sent := httpverdict.TrackSend(ctx)
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode request")
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "engine request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.singleUseClient.Do(req)
	if err != nil {
		return verdict.Wrap(err, sent.Verdict(), verdict.CodeUpstreamFailed, "engine unreachable")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "engine response interrupted")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return refusalError(resp.StatusCode, raw)
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(raw, response); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "malformed engine response")
	}
	return nil
}

// refusalError converts an error response to an error. Responses 409, 410, 429
// and 503 with a reason code, and 400 with any code, mean that the engine did no
// work; after any other response the request may have run.
func refusalError(status int, raw []byte) error {
	var r Refusal
	parsed := json.Unmarshal(raw, &r) == nil && r.Code != ""
	refusalStatuses := []int{http.StatusConflict, http.StatusGone, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	if parsed && slices.Contains(refusalStatuses, status) {
		cause := &upstream.RefusedError{Reason: upstream.RefusalReason(r.Code), Incarnation: r.Incarnation, Weights: r.Weights}
		return verdict.Wrap(cause, verdict.NotRun, verdict.CodeUpstreamFailed, "engine refused the request")
	}
	if parsed && status == http.StatusBadRequest {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "engine rejected the request: "+r.Message)
	}
	return failureError(status)
}

func failureError(status int) error {
	cause := errors.Newf("status %d", status)
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "engine failed")
}
