package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/routetable"
)

const (
	// idleSlack is how much longer than operators allow an idle connection is
	// kept, so that a request sent within that time does not meet a close.
	idleSlack = time.Second
	// shutdownTimeout bounds the wait for requests that still run when a server closes.
	shutdownTimeout = 500 * time.Millisecond
)

// defaultLimits hold until operators state others; 0 in a desired state means these.
var defaultLimits = routetable.Limits{HeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}

// server is one HTTP listener. Each connection is served under the limits that
// are in force when it is made, by the http.Server of these limits.
type server struct {
	listener net.Listener
	handler  http.Handler
	// maxConns bounds open connections; 0 means no bound.
	maxConns int64
	open     atomic.Int64

	mu       sync.Mutex
	byLimits map[routetable.Limits]*limitedServer
	current  *limitedServer
	closed   bool
}

// limitedServer is an http.Server and the connections handed to it.
type limitedServer struct {
	http *http.Server
	feed *feed
}

func newServer(network Network, address string, handler http.Handler) (*server, error) {
	listener, err := network.Listen(address)
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener, handler: handler, byLimits: map[routetable.Limits]*limitedServer{}}
	s.limit(routetable.Limits{})
	return s, nil
}

// limit puts limits in force for connections that are made from now on.
func (s *server) limit(l routetable.Limits) {
	l = routetable.Limits{
		HeaderBytes:   orDefault(l.HeaderBytes, defaultLimits.HeaderBytes),
		HeaderTimeout: orDefault(l.HeaderTimeout, defaultLimits.HeaderTimeout),
		IdleTimeout:   orDefault(l.IdleTimeout, defaultLimits.IdleTimeout),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	x := s.byLimits[l]
	if x == nil {
		x = &limitedServer{feed: newFeed(s.listener.Addr())}
		x.http = &http.Server{
			Handler: s.handler, MaxHeaderBytes: l.HeaderBytes, ReadHeaderTimeout: l.HeaderTimeout,
			IdleTimeout: l.IdleTimeout + idleSlack, ConnState: s.count,
		}
		s.byLimits[l] = x
		go func() { _ = x.http.Serve(x.feed) }() // ends with http.ErrServerClosed
	}
	s.current = x
}

func orDefault[T comparable](v, other T) T {
	var zero T
	if v == zero {
		return other
	}
	return v
}

func (s *server) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// serve accepts connections until the listener is closed.
func (s *server) serve() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s.mu.Lock()
		x := s.current
		s.mu.Unlock()
		if s.maxConns > 0 && s.open.Load() >= s.maxConns || !x.feed.offer(conn) {
			conn.Close()
		}
	}
}

// stopAccepting closes the listener and idle connections; requests run on.
func (s *server) stopAccepting() {
	s.listener.Close()
	for _, x := range s.all() {
		go func() {
			_ = x.http.Shutdown(context.Background()) // close ends what is left
		}()
	}
}

func (s *server) close() {
	s.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, x := range s.all() {
		if x.http.Shutdown(ctx) != nil {
			x.http.Close()
		}
	}
}

// all returns the servers of all limits; none is added after that.
func (s *server) all() []*limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	var out []*limitedServer
	for _, x := range s.byLimits {
		out = append(out, x)
	}
	return out
}

// feed is a net.Listener whose connections were accepted elsewhere.
type feed struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func newFeed(address net.Addr) *feed {
	return &feed{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// offer hands a connection over. It returns false when the feed is closed.
func (f *feed) offer(conn net.Conn) bool {
	select {
	case f.conns <- conn:
		return true
	case <-f.done:
		return false
	}
}

// Accept implements net.Listener.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case conn := <-f.conns:
		return conn, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *feed) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// Addr implements net.Listener.
func (f *feed) Addr() net.Addr { return f.address }
