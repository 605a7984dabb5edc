// Package httpconn sends requests to upstreams over HTTP/1.1 connections that
// it keeps itself, because a caller has to know more than net/http's transport
// tells: whether a byte of a request can have reached the upstream, whether a
// response answers this request, and whether an answer came whole.
package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// maxIdleConns bounds the idle connections kept to one upstream.
	maxIdleConns = 16
	// maxIdleTime is how long a connection is kept when the upstream states nothing.
	maxIdleTime = 20 * time.Second
	// idleMargin is kept to the idle timeout that an upstream states, for the
	// way there and for clocks.
	idleMargin = time.Second
	// inlineBody is the longest body that is written before the response is
	// awaited; longer ones are written beside it, since an upstream may answer
	// before it has read them.
	inlineBody = 4 << 10
	// maxStrayResponses bounds responses to other requests that are skipped.
	maxStrayResponses = 2
	readBuffer        = 4 << 10
	// maxDrainBytes bounds the body of a response that is read to keep its connection.
	maxDrainBytes = 64 << 10
)

// Target is an upstream. Connections of one ID are never used for another.
type Target struct {
	ID      string
	Address string
}

// Request is what is sent.
type Request struct {
	Method string
	// URI is the request target as it stands on the wire.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh forces a new connection.
	Fresh bool
	// MaxIdle, if not 0, allows only connections that were idle for less.
	MaxIdle time.Duration
	// Answers reports whether a response belongs to this request; nil accepts any.
	Answers func(*http.Response) bool
}

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	opened atomic.Int64
	mu     sync.Mutex
	idle   map[string][]*conn
}

// NewPool returns a Pool that connects by dial.
func NewPool(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Pool {
	return &Pool{dial: dial, idle: map[string][]*conn{}}
}

// Opened returns how many connections were opened.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Retain closes the idle connections to upstreams that keep does not name.
func (p *Pool) Retain(keep func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		if keep(id) {
			continue
		}
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, id)
	}
}

// Drop closes the idle connections to one upstream.
func (p *Pool) Drop(id string) { p.Retain(func(x string) bool { return x != id }) }

// Close closes all idle connections.
func (p *Pool) Close() { p.Retain(func(string) bool { return false }) }

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	target  Target
	reader  *bufio.Reader
	used    bool
	idleAt  time.Time
	expires time.Time
}

func (p *Pool) take(t Target, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.idle[t.ID]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[t.ID] = list
		if c.target == t && now.Before(c.expires) && (maxIdle == 0 || now.Sub(c.idleAt) < maxIdle) && c.reader.Buffered() == 0 && quiet(c.Conn) {
			return c
		}
		c.Close()
	}
	return nil
}

// put keeps a connection whose response was read to its end.
func (p *Pool) put(c *conn, keepFor time.Duration) {
	now := time.Now()
	c.idleAt, c.expires, c.used = now, now.Add(keepFor), true
	if c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil || !quiet(c.Conn) {
		c.Close() // bytes that nobody asked for
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.target.ID]) >= maxIdleConns {
		c.Close()
		return
	}
	p.idle[c.target.ID] = append(p.idle[c.target.ID], c)
}

func (p *Pool) connect(ctx context.Context, r *Request, t Target) (*conn, error) {
	if !r.Fresh {
		if c := p.take(t, r.MaxIdle); c != nil {
			return c, nil
		}
	}
	raw, err := p.dial(ctx, "tcp", t.Address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeUpstreamFailed, "connect to "+t.ID)
	}
	p.opened.Add(1)
	return &conn{Conn: raw, target: t, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// Response is an answer whose body is still to be read.
type Response struct {
	*http.Response
	// Reused says that the connection had carried a request before.
	Reused bool
}

// Do sends a request and returns the head of its response. The connection is
// closed as soon as ctx ends, also while the body is read. The error's verdict
// is NotRun when no byte of the request can have reached the upstream.
func (p *Pool) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	c, err := p.connect(ctx, r, t)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	resp, err := x.run(r)
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "no answer from "+t.ID)
	}
	resp.Body = &body{exchange: x, source: resp.Body, keep: keepFor(resp)}
	return &Response{Response: resp, Reused: c.used}, nil
}

// exchange is one request on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	written chan error
	pending bool // the request is still being written
	stop    func() bool
	once    sync.Once
}

func (x *exchange) run(r *Request) (*http.Response, error) {
	if len(r.Body) <= inlineBody {
		if err := x.write(r); err != nil {
			return x.lastWord(r, err)
		}
		return x.read(r)
	}
	x.pending = true
	go func() { x.written <- x.write(r) }()
	return x.read(r)
}

// lastWord looks for a response on a connection that takes no more bytes.
func (x *exchange) lastWord(r *Request, err error) (*http.Response, error) {
	if resp, readErr := x.read(r); readErr == nil {
		resp.Close = true
		return resp, nil
	}
	return nil, errors.Wrap(err, "write the request")
}

func (x *exchange) write(r *Request) error {
	w := bufio.NewWriterSize(x.conn, min(len(r.Body)+1024, 32<<10))
	w.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	w.WriteString("\r\n")
	w.Write(r.Body)
	return w.Flush() // returns the first error of all writes
}

// read returns the first response that belongs to the request.
func (x *exchange) read(r *Request) (*http.Response, error) {
	ask := &http.Request{Method: r.Method}
	for stray := 0; ; {
		resp, err := http.ReadResponse(x.conn.reader, ask)
		if err != nil {
			return nil, errors.Wrap(err, "read the response")
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if r.Answers == nil || r.Answers(resp) {
			return resp, nil
		}
		if stray++; stray > maxStrayResponses || resp.Close || resp.ContentLength < 0 {
			return nil, errors.New("the response belongs to another request")
		}
		if _, err := io.CopyN(io.Discard, resp.Body, resp.ContentLength); err != nil {
			return nil, errors.Wrap(err, "skip a response to another request")
		}
	}
}

// finish ends the exchange after a whole response and keeps the connection if it can be used again.
func (x *exchange) finish(keep time.Duration) {
	x.once.Do(func() {
		stopped := x.stop()
		if x.pending {
			select {
			case err := <-x.written:
				stopped = stopped && err == nil
			default:
				stopped = false // answered before the request was read
			}
		}
		if !stopped || keep <= 0 {
			x.conn.Close()
			return
		}
		x.pool.put(x.conn, keep)
	})
}

// abort closes the connection.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.conn.Close()
	})
}

// body is a response's body. Its end gives the connection back; Close before
// the end closes the connection.
type body struct {
	exchange *exchange
	source   io.ReadCloser
	keep     time.Duration
}

// Read implements io.Reader. io.EOF means that the body is whole.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.exchange.finish(b.keep)
		return n, io.EOF
	}
	if err != nil {
		b.exchange.abort()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.exchange.abort()
	return nil
}

// keepFor returns how long the connection may be kept idle after a response.
func keepFor(resp *http.Response) time.Duration {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil {
				return time.Duration(s)*time.Second - idleMargin
			}
		}
	}
	return maxIdleTime
}

// Discard reads a short body to its end, so that the connection can be used
// again, or closes the connection.
func (r *Response) Discard() {
	if r.ContentLength >= 0 && r.ContentLength <= maxDrainBytes {
		_, _ = io.Copy(io.Discard, r.Body) // a failure closes the connection
	}
	r.Body.Close()
}
