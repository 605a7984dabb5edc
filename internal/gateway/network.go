package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
)

const (
	// dialTimeout bounds one try to connect; data centres are some milliseconds apart.
	dialTimeout = 300 * time.Millisecond
	// silenceTimeout is how long sent bytes may stay without acknowledgement.
	silenceTimeout = 800 * time.Millisecond
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// callerIdleTimeout is how long callers' connections are kept. It exceeds
	// the limits that operators set, so that no request meets a close.
	callerIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Network is how a daemon listens and connects. A nil function means TCP.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// WithDefaults fills in TCP.
func (n Network) WithDefaults() Network {
	if n.Listen == nil {
		n.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if n.Dial == nil {
		n.Dial = httpconn.Dialer{Timeout: dialTimeout, Silence: silenceTimeout}.DialContext
	}
	return n
}

// server is one HTTP listener.
type server struct {
	listener net.Listener
	http     *http.Server
}

func newServer(network Network, address string, handler http.Handler) (*server, error) {
	listener, err := network.Listen(address)
	if err != nil {
		return nil, err
	}
	return &server{listener: listener, http: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}, nil
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// stopAccepting closes the listener and idle connections; requests run on.
func (s *server) stopAccepting() {
	go func() {
		_ = s.http.Shutdown(context.Background()) // close ends what is left
	}()
}

// shutdownTimeout bounds the wait for requests that still run when a server closes.
const shutdownTimeout = 500 * time.Millisecond

func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// every returns a loop that calls fn at once and then after each interval.
func every(interval time.Duration, fn func()) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			fn()
			if err := backoff.Sleep(ctx, backoff.Around(interval)); err != nil {
				return err
			}
		}
	}
}
