package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/descriptor"
	"github.com/verbenabend/verbenabend/internal/routetable"
)

const (
	// idleGrace is added to the operators' idle timeout, so that a request sent
	// just in time does not race with the close.
	idleGrace = time.Second
	// shutdownTimeout limits the wait for requests in flight when a server
	// closes.
	shutdownTimeout = 500 * time.Millisecond
)

// defaultLimits replace limits that are 0 in the desired state, and apply
// before one is loaded.
var defaultLimits = routetable.Limits{HeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}

// server is one HTTP listener whose limits can change at run time. Each
// connection keeps the limits in force when it was accepted: there is one
// http.Server per set of limits. Connections with a lower limit for headers are closed.
type server struct {
	listener net.Listener
	handler  http.Handler

	mu       sync.Mutex
	byLimits map[routetable.Limits]*limitedServer
	current  *limitedServer
	closed   bool
}

// limitedServer is an http.Server with the listener that passes connections to
// it.
type limitedServer struct {
	limits   routetable.Limits
	http     *http.Server
	listener *handoffListener
}

// newServer returns a server at an address whose connections form a group of the network's
// descriptors.
func newServer(network Network, address string, group descriptor.Group, handler http.Handler) (*server, error) {
	listener, err := network.Listen(address)
	if err != nil {
		return nil, err
	}
	s := &server{listener: network.Descriptors.Listen(listener, group), handler: refuseReclaimed(handler), byLimits: map[routetable.Limits]*limitedServer{}}
	s.setLimits(routetable.Limits{})
	return s, nil
}

// setLimits sets the limits for connections accepted from now on.
func (s *server) setLimits(l routetable.Limits) {
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
	limited := s.byLimits[l]
	if limited == nil {
		limited = &limitedServer{limits: l, listener: newHandoffListener(s.listener.Addr())}
		limited.http = &http.Server{
			Handler: s.handler, MaxHeaderBytes: l.HeaderBytes, ReadHeaderTimeout: l.HeaderTimeout,
			IdleTimeout: l.IdleTimeout + idleGrace, ConnState: trackConn, ConnContext: withConn,
		}
		s.byLimits[l] = limited
		go func() { _ = limited.http.Serve(limited.listener) }() // returns http.ErrServerClosed
	}
	limited.http.SetKeepAlivesEnabled(true)
	for _, earlier := range s.byLimits {
		if earlier.limits.HeaderBytes < l.HeaderBytes {
			// Its connections would reject headers that are allowed now. Idle ones are
			// closed, others with their next response.
			earlier.http.SetKeepAlivesEnabled(false)
		}
	}
	s.current = limited
}

func orDefault[T comparable](v, other T) T {
	var zero T
	if v == zero {
		return other
	}
	return v
}

// trackConn marks a connection as idle between requests.
func trackConn(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*descriptor.Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.MarkIdle()
	case http.StateActive:
		c.MarkActive() // refuseReclaimed checks the result
	}
}

// connKey is the context key of a request's *descriptor.Conn.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// refuseReclaimed drops requests that were buffered when their connection was reclaimed:
// their responses would be lost.
func refuseReclaimed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*descriptor.Conn); ok && !c.MarkActive() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
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
		limited := s.current
		s.mu.Unlock()
		if !limited.listener.handOff(conn) {
			conn.Close()
		}
	}
}

// stopAccepting closes the listener and idle connections; requests in flight
// continue.
func (s *server) stopAccepting() {
	s.listener.Close()
	for _, limited := range s.markClosed() {
		go func() {
			_ = limited.http.Shutdown(context.Background()) // close ends remaining requests
		}()
	}
}

func (s *server) close() {
	s.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, limited := range s.markClosed() {
		if limited.http.Shutdown(ctx) != nil {
			limited.http.Close()
		}
	}
}

// markClosed makes later calls of setLimits do nothing and returns the servers
// of all limits.
func (s *server) markClosed() []*limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	var out []*limitedServer
	for _, limited := range s.byLimits {
		out = append(out, limited)
	}
	return out
}

// handoffListener is a net.Listener for connections that were accepted
// elsewhere.
type handoffListener struct {
	address   net.Addr
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

func newHandoffListener(address net.Addr) *handoffListener {
	return &handoffListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// handOff passes a connection to Accept. It returns false if the listener is
// closed.
func (l *handoffListener) handOff(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handoffListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *handoffListener) Addr() net.Addr { return l.address }
