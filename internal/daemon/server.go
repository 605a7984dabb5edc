package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/settings"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	readHeaderTimeout     = 10 * time.Second
	idleConnectionTimeout = 2 * time.Minute
	maxHeaderBytes        = 64 << 10
	// pingTimeout is how long a ping on an HTTP/2 connection may stay unanswered
	// before the connection is closed; one is sent after sendPingTimeout without traffic.
	pingTimeout     = 15 * time.Second
	sendPingTimeout = 15 * time.Second
	// maxHTTP2Streams bounds the concurrent requests on one HTTP/2 connection.
	maxHTTP2Streams = 256
)

// server is an HTTP server on one listener, with a limit on open connections.
type server struct {
	listener        net.Listener
	httpServer      *http.Server
	useTLS          bool
	openConnections atomic.Int64
}

func newServer(network Network, address string, handler http.Handler, files *settings.TLS, maxConnections int) (*server, error) {
	listener, err := network.listen(address)
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener, useTLS: files != nil}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.httpServer = &http.Server{
		Handler:           s.limitConnections(handler, int64(maxConnections)),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleConnectionTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout, MaxConcurrentStreams: maxHTTP2Streams},
		ConnState:         s.trackConnection,
	}
	if files != nil {
		certificate := &certificateReloader{files: *files}
		if _, err := certificate.getCertificate(nil); err != nil {
			listener.Close()
			return nil, err
		}
		s.httpServer.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: certificate.getCertificate}
	}
	return s, nil
}

func (s *server) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
	}
}

// limitConnections refuses requests with an overload error, and closes their
// connections, while more than limit connections are open.
func (s *server) limitConnections(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.openConnections.Load() > limit {
			w.Header().Set("Connection", "close")
			rejectConnection(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *server) serve() error {
	var err error
	if s.useTLS {
		err = s.httpServer.ServeTLS(s.listener, "", "")
	} else {
		err = s.httpServer.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// shutdown stops accepting connections, and returns when every request has
// ended or ctx ends.
func (s *server) shutdown(ctx context.Context) {
	_ = s.httpServer.Shutdown(ctx) // close, called next, ends the remaining connections
}

// shutdownTimeout bounds the wait for open connections to become idle before they are closed.
const shutdownTimeout = time.Second

func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.httpServer.Shutdown(ctx) != nil {
		s.httpServer.Close()
	}
	s.listener.Close()
}

// certificateReloader reloads a certificate when its file changes, so that it can
// be replaced without a restart.
type certificateReloader struct {
	files settings.TLS

	mu         sync.Mutex
	modifiedAt time.Time
	current    *tls.Certificate
}

func (c *certificateReloader) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.files.CertificateFile)
	if err != nil && c.current == nil {
		return nil, errors.Wrap(err, "certificate")
	}
	if err != nil || info.ModTime().Equal(c.modifiedAt) {
		return c.current, nil
	}
	pair, err := tls.LoadX509KeyPair(c.files.CertificateFile, c.files.KeyFile)
	switch {
	case err == nil:
		c.current, c.modifiedAt = &pair, info.ModTime()
	case c.current == nil:
		return nil, errors.Wrap(err, "certificate")
	}
	return c.current, nil // while a file is half-written, the previous certificate stays in use
}

func rejectConnection(w http.ResponseWriter) {
	err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many connections")
	err.RetryAfter = time.Second
	entry.WriteError(w, err)
}
