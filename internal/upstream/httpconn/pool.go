// Package httpconn sends requests to upstreams over its own pool of HTTP/1.1
// connections, because callers need facts that net/http's transport does not
// report: whether a byte of a request can have reached the upstream, whether a
// response belongs to the request, and whether a response is complete.
package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// MaxIdleConnsPerTarget bounds the idle connections that are kept to one upstream.
	MaxIdleConnsPerTarget = 16
	// defaultIdleTimeout is how long an idle connection is kept when the upstream
	// states no timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that an upstream states,
	// to allow for network delay and clock differences.
	idleTimeoutMargin = time.Second
	// maxInlineBodyBytes is the size up to which a body is written before the
	// response is read. Longer bodies are written concurrently, since an upstream
	// may respond before it has read them.
	maxInlineBodyBytes = 4 << 10
	// maxWriteWait is how long the end of a response without a length waits for the rest of the
	// request to be written: an upstream that rejects a body reads on so that its response arrives.
	maxWriteWait = time.Second
	// maxStatus is the greatest status that HTTP has.
	maxStatus = 599
	// maxStrayResponses bounds the skipped responses to other requests.
	maxStrayResponses = 2
	// maxStrayBodyBytes bounds the body of each of them.
	maxStrayBodyBytes = 1 << 20
	// maxStrayChunkedBytes is less, since small chunks take several times their bytes.
	maxStrayChunkedBytes = 8 << 10
	readBufferBytes      = 4 << 10
	// maxDrainBytes bounds the response body that Discard reads to keep the connection.
	maxDrainBytes = 64 << 10
	// maxDrainTime bounds how long Discard waits for that body.
	maxDrainTime = 50 * time.Millisecond
	// maxHeadBytes bounds the response heads read for one request in total, including
	// those of informational responses and of responses to other requests.
	maxHeadBytes = 64 << 10
)

// Target is an upstream. A connection is never used for another ID.
type Target struct {
	ID      string
	Address string
}

// Request is an HTTP request to an upstream.
type Request struct {
	// ID, if not empty, names the request. It is not sent on a connection whose last
	// named request had the same ID: a late response to that one would match this one.
	ID     string
	Method string
	// URI is the request target, encoded as on the wire.
	URI    string
	Host   string
	Header http.Header
	// ReadyHeader, if not nil, replaces Header. It is called when the connection is open;
	// nothing is sent if it returns an error.
	ReadyHeader func() (http.Header, error)
	// OnConnected, if not nil, is called before ReadyHeader with the time at which the
	// connection was opened.
	OnConnected func(openedAt time.Time)
	Body        []byte
	// NewConnection forces a new connection.
	NewConnection bool
	// MaxIdleTime, if not 0, rules out connections that were idle for longer.
	MaxIdleTime time.Duration
	// MatchesResponse reports whether a response belongs to this request; nil accepts every
	// response.
	MatchesResponse func(*http.Response) bool
	// OnWritten, if not nil, is called when the request was written or a write has failed.
	OnWritten func()
}

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	opened atomic.Int64
	// slowUpstreams is nil unless upstreams may read slowly.
	slowUpstreams atomic.Pointer[slowUpstreams]
	mu            sync.Mutex
	idle          map[string][]*conn
}

// NewPool returns a Pool that connects by dial.
func NewPool(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Pool {
	return &Pool{dial: dial, idle: map[string][]*conn{}}
}

// SetSlowUpstreams prepares connections opened from now on for upstreams that read slowly: sent
// bytes may stay unacknowledged for userTimeout (TCP_USER_TIMEOUT), which also bounds how long an
// upstream may read nothing of a body, and the kernel buffers writeBuffer bytes of it, twice that
// on Linux. Requests end with their contexts all the same.
func (p *Pool) SetSlowUpstreams(userTimeout time.Duration, writeBuffer int) {
	p.slowUpstreams.Store(&slowUpstreams{userTimeout, writeBuffer})
}

// OpenedConnections returns how many connections were opened.
func (p *Pool) OpenedConnections() int64 { return p.opened.Load() }

// CloseIdleExcept closes the idle connections to all upstreams but those for which keep
// returns true.
func (p *Pool) CloseIdleExcept(keep func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		if keep(id) {
			continue
		}
		for _, c := range list {
			c.expiry.Stop()
			c.Close()
		}
		delete(p.idle, id)
	}
}

// CloseIdle closes the idle connections to one upstream.
func (p *Pool) CloseIdle(id string) { p.CloseIdleExcept(func(x string) bool { return x != id }) }

// Close closes all idle connections.
func (p *Pool) Close() { p.CloseIdleExcept(func(string) bool { return false }) }

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	target    Target
	source    *source
	reader    *bufio.Reader // reads from source
	openedAt  time.Time
	reused    bool
	lastID    string // of the newest named request
	idleSince time.Time
	expiresAt time.Time
	expiry    *time.Timer // closes the connection at expiresAt; set while it is idle
}

// source is the input of a connection. While a response head is read, the
// number of bytes is limited.
type source struct {
	conn net.Conn
	// headBytes is the number of bytes that may still be read while limited is set.
	headBytes int
	limited   bool
}

// errHeadTooLong is the error of a Read beyond maxHeadBytes.
var errHeadTooLong = errors.Newf("the response heads exceed %d bytes", maxHeadBytes)

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if !s.limited {
		return s.conn.Read(p)
	}
	if s.headBytes == 0 {
		return 0, errHeadTooLong
	}
	n, err := s.conn.Read(p[:min(len(p), s.headBytes)])
	s.headBytes -= n
	return n, err
}

func (p *Pool) takeIdle(t Target, r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.idle[t.ID]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[t.ID] = list
		c.expiry.Stop()
		fresh := now.Before(c.expiresAt) && (r.MaxIdleTime == 0 || now.Sub(c.idleSince) < r.MaxIdleTime)
		sameID := r.ID != "" && r.ID == c.lastID
		if c.target == t && fresh && !sameID && c.reader.Buffered() == 0 && isReusable(c.Conn) {
			return c
		}
		c.Close()
	}
	return nil
}

// putIdle keeps a connection whose response was read completely.
func (p *Pool) putIdle(c *conn, idleTimeout time.Duration) {
	now := time.Now()
	c.idleSince, c.expiresAt, c.reused = now, now.Add(idleTimeout), true
	if c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil || !isReusable(c.Conn) {
		c.Close() // unsolicited bytes, or a closed connection
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.target.ID]) >= MaxIdleConnsPerTarget {
		c.Close()
		return
	}
	c.expiry = time.AfterFunc(idleTimeout, func() { p.closeExpired(c) })
	p.idle[c.target.ID] = append(p.idle[c.target.ID], c)
}

// closeExpired closes a connection that stayed idle for its idle timeout, unless a request
// has taken it since.
func (p *Pool) closeExpired(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.target.ID]
	if i := slices.Index(list, c); i >= 0 && !time.Now().Before(c.expiresAt) {
		p.idle[c.target.ID] = slices.Delete(list, i, i+1)
		c.Close()
	}
}

func (p *Pool) connect(ctx context.Context, r *Request, t Target) (*conn, error) {
	if !r.NewConnection {
		if c := p.takeIdle(t, r); c != nil {
			return c, nil
		}
	}
	raw, err := p.dial(ctx, "tcp", t.Address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeUpstreamFailed, "connect to "+t.ID)
	}
	if o := p.slowUpstreams.Load(); o != nil {
		o.apply(raw)
	}
	p.opened.Add(1)
	in := &source{conn: raw}
	return &conn{Conn: raw, target: t, openedAt: time.Now(), source: in, reader: bufio.NewReaderSize(in, readBufferBytes)}, nil
}

// Response is a response whose body is still to be read.
type Response struct {
	*http.Response
	// Reused reports that the connection had carried a request before.
	Reused bool
	conn   net.Conn
}

// EndsWithConnection reports whether nothing but the end of the connection marks that of
// the response.
func (r *Response) EndsWithConnection() bool { return endsWithConnection(r.Response) }

// Do sends a request and returns its response once the headers have arrived.
// The connection is closed when ctx ends, also while the body is read. The
// error's verdict is NotRun if no byte of the request can have reached the
// upstream, and MayHaveRun otherwise.
func (p *Pool) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeUpstreamFailed, "nothing was sent to "+t.ID)
	}
	c, err := p.connect(ctx, r, t)
	if err != nil {
		return nil, err
	}
	if r.OnConnected != nil {
		r.OnConnected(c.openedAt)
	}
	if r.ReadyHeader != nil {
		ready := *r
		if ready.Header, err = readyHeader(r, c); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeUpstreamFailed, "nothing was sent to "+t.ID)
		}
		r = &ready
	}
	if r.ID != "" {
		c.lastID = r.ID
	}
	x := &exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stopCancelWatch = context.AfterFunc(ctx, func() { c.Close() })
	resp, err := x.run(r)
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "no response from "+t.ID)
	}
	resp.Body = &body{exchange: x, source: resp.Body, idleTimeout: idleTimeoutOf(resp), endsWithConnection: endsWithConnection(resp)}
	return &Response{Response: resp, Reused: c.reused, conn: c}, nil
}

// readyHeader calls ReadyHeader, and closes the connection unless it returns a header.
func readyHeader(r *Request, c *conn) (h http.Header, err error) {
	ready := false
	defer func() {
		if !ready {
			c.Close() // also if it panics
		}
	}()
	h, err = r.ReadyHeader()
	ready = err == nil
	return h, err
}

// exchange is one request on one connection.
type exchange struct {
	pool            *Pool
	conn            *conn
	written         chan error
	writing         bool // the request is still being written
	writeError      error
	stopCancelWatch func() bool
	once            sync.Once
}

func (x *exchange) run(r *Request) (*http.Response, error) {
	if len(r.Body) <= maxInlineBodyBytes {
		if err := x.write(r); err != nil {
			x.writeError = err
			return x.readEarlyResponse(r, err)
		}
		return x.read(r)
	}
	x.writing = true
	go func() { x.written <- x.write(r) }()
	return x.read(r)
}

// readEarlyResponse returns the response that the upstream may have sent before
// it stopped reading the request, or the write error err.
func (x *exchange) readEarlyResponse(r *Request, err error) (*http.Response, error) {
	if resp, readErr := x.read(r); readErr == nil {
		resp.Close = true
		return resp, nil
	}
	return nil, errors.Wrap(err, "write the request")
}

func (x *exchange) write(r *Request) error {
	if r.OnWritten != nil {
		defer r.OnWritten()
	}
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
	requestStub := &http.Request{Method: r.Method}
	in := x.conn.source
	in.headBytes = maxHeadBytes
	for strayResponses := 0; ; {
		in.limited = true
		resp, err := http.ReadResponse(x.conn.reader, requestStub)
		in.limited = false
		if err != nil {
			return nil, errors.Wrap(err, "read the response")
		}
		if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
			return nil, errors.Newf("read the response: HTTP has no status %03d", resp.StatusCode)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.MatchesResponse == nil || r.MatchesResponse(resp) {
			return resp, nil
		}
		if strayResponses++; strayResponses > maxStrayResponses || resp.Close || endsWithConnection(resp) || resp.ContentLength > maxStrayBodyBytes {
			return nil, errors.New("the response belongs to another request")
		}
		if err := skipBody(resp); err != nil {
			return nil, errors.Wrap(err, "skip a response to another request")
		}
	}
}

// skipBody reads the body of a response to another request.
func skipBody(resp *http.Response) error {
	limit := resp.ContentLength
	if limit < 0 {
		limit = maxStrayChunkedBytes
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err == nil && n > limit {
		err = errors.Newf("the body exceeds %d bytes", limit)
	}
	return err
}

// errRequestCut is the error of a response whose end can't be told from that of its connection.
var errRequestCut = errors.Wrap(io.ErrUnexpectedEOF, "the connection failed while the request was written")

// awaitWrite returns nil once the request is written, and the error of a write that failed or
// took longer than maxWriteWait. A reset connection reports its error once only: when a write
// has got it, the reader sees the end of a response that only the end of its connection
// delimits, as if the upstream had ended it in order.
func (x *exchange) awaitWrite() error {
	if !x.writing {
		return x.writeError
	}
	timer := time.NewTimer(maxWriteWait)
	defer timer.Stop()
	select {
	case x.writeError = <-x.written:
		x.writing = false
		return x.writeError
	case <-timer.C:
		return context.DeadlineExceeded
	}
}

// complete ends the exchange after a complete response and keeps the connection
// if it can be reused.
func (x *exchange) complete(idleTimeout time.Duration) {
	x.once.Do(func() {
		reusable := x.stopCancelWatch()
		if x.writing {
			select {
			case err := <-x.written:
				reusable = reusable && err == nil
			default:
				reusable = false // the upstream responded before it read the whole request
			}
		}
		if !reusable || idleTimeout <= 0 {
			x.conn.Close()
			return
		}
		x.pool.putIdle(x.conn, idleTimeout)
	})
}

// abort ends the exchange and closes the connection.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.stopCancelWatch()
		x.conn.Close()
	})
}

// body is a response body. Reading it to the end returns the connection to the
// pool; Close before the end closes the connection.
type body struct {
	exchange    *exchange
	source      io.ReadCloser
	idleTimeout time.Duration
	// endsWithConnection is set if nothing else marks the end of the body.
	endsWithConnection bool
}

// Read implements io.Reader. io.EOF means that the body is complete.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) && b.endsWithConnection && b.exchange.awaitWrite() != nil {
		err = errRequestCut
	}
	if errors.Is(err, io.EOF) {
		b.exchange.complete(b.idleTimeout)
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

// endsWithConnection implements Response.EndsWithConnection.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// idleTimeoutOf returns how long the connection may stay idle after a response,
// 0 or less if it can't be reused.
func idleTimeoutOf(resp *http.Response) time.Duration {
	if resp.Close || endsWithConnection(resp) {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil {
				return time.Duration(s)*time.Second - idleTimeoutMargin
			}
		}
	}
	return defaultIdleTimeout
}

// Discard reads a body of up to maxDrainBytes to its end, so that the connection can be
// reused, and closes the connection if the body is longer or takes longer than
// maxDrainTime. It is called before any part of the body was read.
func (r *Response) Discard() {
	if r.ContentLength >= 0 && r.ContentLength <= maxDrainBytes && r.conn.SetReadDeadline(time.Now().Add(maxDrainTime)) == nil {
		_, _ = io.Copy(io.Discard, r.Body) // a failure closes the connection
	}
	r.Body.Close()
}
