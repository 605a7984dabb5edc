// Package httpplatform is the adapter to a platform that offers its table,
// object store and instance list as JSON over HTTP.
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

// Client implements platform.Table and platform.Instances; its Objects method
// gives the object store.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client

	listMu sync.Mutex
	list   taggedList
}

var (
	_ platform.Table   = (*Client)(nil)
	_ platform.Objects = objects{}

	_ platform.ObjectDeleter = objects{}
	_ platform.Instances     = (*Client)(nil)
)

const (
	maxAnswerBytes     = 64 << 20
	maxIdleConnections = 16
	idleTimeout        = 30 * time.Second
)

// Option changes how a Client connects.
type Option func(*http.Transport)

// WithDial connects by dial; nil means TCP.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(t *http.Transport) { t.DialContext = dial }
}

// New returns a client for the platform at base. Each call is bounded by timeout.
func New(base string, timeout time.Duration, options ...Option) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout}
	for _, option := range options {
		option(transport)
	}
	return &Client{base: base, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	var row Row
	if err := c.call(ctx, http.MethodGet, "/table/rows/"+url.PathEscape(key), nil, &row); err != nil {
		return platform.Row{}, err
	}
	return platform.Row(row), nil
}

// List implements platform.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows Rows
	if err := c.call(ctx, http.MethodGet, "/table/rows?"+q.Encode(), nil, &rows); err != nil {
		return nil, err
	}
	out := make([]platform.Row, len(rows.Rows))
	for i, r := range rows.Rows {
		out[i] = platform.Row(r)
	}
	return out, nil
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) error {
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
	return c.call(ctx, http.MethodPost, "/table/transactions", raw, nil)
}

// Objects returns the object store; the table and the store both have a Get.
func (c *Client) Objects() platform.Objects { return objects{c} }

// ListInstances implements platform.Instances. The list is sent again only
// when it has changed, if the platform supports entity tags.
func (c *Client) ListInstances(ctx context.Context) ([]platform.Instance, error) {
	c.listMu.Lock()
	known := c.list
	c.listMu.Unlock()
	header := http.Header{}
	if known.tag != "" {
		header.Set("If-None-Match", known.tag)
	}
	a, err := c.exchange(ctx, http.MethodGet, "/instances", header, nil)
	if err != nil {
		return nil, err
	}
	if a.status == http.StatusNotModified {
		return known.instances, nil
	}
	var list InstanceList
	if err := decodeAnswer(a.status, a.body, &list); err != nil {
		return nil, err
	}
	c.listMu.Lock()
	c.list = taggedList{tag: a.header.Get("ETag"), instances: list.Instances}
	c.listMu.Unlock()
	return list.Instances, nil
}

// taggedList is the newest instance list with its entity tag.
type taggedList struct {
	tag       string
	instances []platform.Instance // must not be changed
}

// answer is what the platform answered.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	a, err := c.exchange(ctx, method, path, nil, body)
	if err != nil {
		return err
	}
	return decodeAnswer(a.status, a.body, into)
}

func (c *Client) exchange(ctx context.Context, method, path string, header http.Header, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, sent := httpverdict.Track(ctx)
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return answer{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "platform request")
	}
	httpverdict.NeverReplay(req)
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, verdict.Wrap(err, sent.Verdict(), verdict.CodePlatformUnavailable, "platform unreachable")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePlatformUnavailable, "platform answer cut off")
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: raw}, nil
}

func decodeAnswer(status int, raw []byte, answer any) error {
	switch {
	case status == http.StatusNotFound:
		return platform.ErrNotFound
	case status == http.StatusConflict:
		return platform.ErrConflict
	case status == http.StatusServiceUnavailable:
		return verdict.New(verdict.NotRun, verdict.CodePlatformUnavailable, "platform unavailable")
	case status >= http.StatusBadRequest:
		return verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable, "platform answered "+http.StatusText(status))
	case answer == nil:
		return nil
	}
	if r, ok := answer.(*json.RawMessage); ok {
		*r = raw
		return nil
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePlatformUnavailable, "malformed platform answer")
	}
	return nil
}
