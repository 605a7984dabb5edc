// Package httpplatform is the adapter to a platform that offers its table,
// object store and instance list as JSON over HTTP.
package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
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

// New returns a client for the platform at base. Each call is bounded by timeout.
func New(base string, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout}
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

// ListInstances implements platform.Instances.
func (c *Client) ListInstances(ctx context.Context) ([]platform.Instance, error) {
	var list InstanceList
	err := c.call(ctx, http.MethodGet, "/instances", nil, &list)
	return list.Instances, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, sent := httpverdict.Track(ctx)
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "platform request")
	}
	httpverdict.NeverReplay(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return verdict.Wrap(err, sent.Verdict(), verdict.CodePlatformUnavailable, "platform unreachable")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePlatformUnavailable, "platform answer cut off")
	}
	return decodeAnswer(resp.StatusCode, raw, answer)
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
