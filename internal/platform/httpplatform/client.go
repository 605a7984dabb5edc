// Package httpplatform is the client of a platform that serves its table, object
// store and instance list as JSON over HTTP.
package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/httpverdict"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Client implements platform.Table and platform.Instances; Objects returns its
// object store. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	pace    platform.Pace
	eras    platform.Eras

	cacheMu         sync.Mutex
	cachedInstances cachedList
}

var (
	_ platform.EraTable = (*Client)(nil)
	_ platform.Objects  = objects{}

	_ platform.ObjectDeleter = objects{}
	_ platform.Instances     = (*Client)(nil)
)

const (
	maxResponseBytes          = 64 << 20
	maxIdleConnectionsPerHost = 16
	idleConnectionTimeout     = 30 * time.Second
)

// Option configures the transport of a Client.
type Option func(*http.Transport)

// WithDial makes the client connect with dial; nil selects TCP.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(t *http.Transport) { t.DialContext = dial }
}

// New returns a client for the platform at the URL base. Each call is bounded by
// timeout.
func New(base string, timeout time.Duration, options ...Option) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnectionsPerHost, IdleConnTimeout: idleConnectionTimeout}
	for _, option := range options {
		option(transport)
	}
	return &Client{base: base, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Eras implements platform.EraTable.
func (c *Client) Eras() *platform.Eras { return &c.eras }

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	var row Row
	era, err := c.call(ctx, http.MethodGet, "/table/rows/"+url.PathEscape(key), nil, &row)
	if err != nil {
		return platform.Row{Era: era}, err
	}
	return platform.Row{Key: row.Key, Value: row.Value, Version: row.Version, Era: era}, nil
}

// List implements platform.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows Rows
	era, err := c.call(ctx, http.MethodGet, "/table/rows?"+q.Encode(), nil, &rows)
	if err != nil {
		return nil, err
	}
	out := make([]platform.Row, len(rows.Rows))
	for i, r := range rows.Rows {
		out[i] = platform.Row{Key: r.Key, Value: r.Value, Version: r.Version, Era: era}
	}
	return out, nil
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) error {
	if err := c.eras.CheckConditions(txn.Era); err != nil {
		return err
	}
	body := Transaction{}
	for _, x := range txn.Conditions {
		body.Conditions = append(body.Conditions, Condition(x))
	}
	for _, x := range txn.Writes {
		body.Writes = append(body.Writes, Write(x))
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode transaction")
	}
	era, err := c.call(ctx, http.MethodPost, "/table/transactions", raw, nil)
	if err != nil {
		return err
	}
	return platform.CheckCommitted(txn.Era, era)
}

// Objects returns the object store. It is a separate type because the table and
// the store both have Get and List.
func (c *Client) Objects() platform.Objects { return objects{c} }

// ListInstances implements platform.Instances. With a platform that supports
// entity tags, an unchanged list is not sent again.
func (c *Client) ListInstances(ctx context.Context) ([]platform.Instance, error) {
	c.cacheMu.Lock()
	cached := c.cachedInstances
	c.cacheMu.Unlock()
	header := http.Header{}
	if cached.etag != "" {
		header.Set("If-None-Match", cached.etag)
	}
	resp, err := c.exchange(ctx, http.MethodGet, "/instances", header, nil)
	if err != nil {
		return nil, err
	}
	if resp.status == http.StatusNotModified {
		return cached.instances, nil
	}
	var list InstanceList
	if err := decodeResponse(resp.status, resp.body, &list); err != nil {
		return nil, err
	}
	c.cacheMu.Lock()
	c.cachedInstances = cachedList{etag: resp.header.Get("ETag"), instances: list.Instances}
	c.cacheMu.Unlock()
	return list.Instances, nil
}

// cachedList is the last instance list with its entity tag.
type cachedList struct {
	etag      string
	instances []platform.Instance // must not be changed
}

// response is a complete HTTP response of the platform.
type response struct {
	status int
	header http.Header
	body   []byte
}

// call returns the era of the table that the response states.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) (era uint64, err error) {
	resp, err := c.exchange(ctx, method, path, nil, body)
	if err != nil {
		return 0, err
	}
	stated, parseErr := strconv.ParseUint(resp.header.Get(EraHeader), 10, 64)
	if era, err = c.eras.Accept(stated, parseErr == nil); err != nil {
		return 0, err
	}
	return era, decodeResponse(resp.status, resp.body, into)
}

// exchange makes one call at the daemon's pace.
func (c *Client) exchange(ctx context.Context, method, path string, header http.Header, body []byte) (response, error) {
	if err := c.pace.Wait(ctx); err != nil {
		return response{}, verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "the call was not made at the pace after an outage")
	}
	resp, err := c.send(ctx, method, path, header, body)
	if err != nil && !errors.Is(err, context.Canceled) || resp.status >= http.StatusInternalServerError {
		c.pace.RecordFailure()
	}
	return resp, err
}

func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, sent := httpverdict.TrackSend(ctx)
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return response{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "build platform request")
	}
	httpverdict.DisableTransportRetry(req)
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, verdict.Wrap(err, sent.Verdict(), verdict.CodePlatformUnavailable, "platform unreachable")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePlatformUnavailable, "platform response is incomplete")
	}
	return response{status: resp.StatusCode, header: resp.Header, body: raw}, nil
}

func decodeResponse(status int, raw []byte, into any) error {
	switch {
	case status == http.StatusNotFound:
		return platform.ErrNotFound
	case status == http.StatusConflict:
		return platform.ErrConflict
	case status == http.StatusServiceUnavailable:
		return verdict.New(verdict.NotRun, verdict.CodePlatformUnavailable, "platform is unavailable")
	case status >= http.StatusBadRequest:
		return verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable, "platform responded with status "+http.StatusText(status))
	case into == nil:
		return nil
	}
	if r, ok := into.(*json.RawMessage); ok {
		*r = raw
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePlatformUnavailable, "decode platform response")
	}
	return nil
}
