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
	readHeaderTimeout = 10 * time.Second
	keepAliveTimeout  = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// pingTimeout is when a silent HTTP/2 connection of a caller is given up.
	pingTimeout     = 15 * time.Second
	sendPingTimeout = 15 * time.Second
	// http2Streams bounds concurrent requests on one HTTP/2 connection.
	http2Streams = 256
)

// server is one HTTP listener with a bound on concurrent connections.
type server struct {
	listener net.Listener
	http     *http.Server
	tls      bool
	open     atomic.Int64
}

func newServer(network Network, address string, handler http.Handler, files *settings.TLS, maxConnections int) (*server, error) {
	listener, err := network.listen(address)
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener, tls: files != nil}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler:           s.limited(handler, int64(maxConnections)),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout, MaxConcurrentStreams: http2Streams},
		ConnState:         s.count,
	}
	if files != nil {
		certificate := &certificateFile{files: *files}
		if _, err := certificate.get(nil); err != nil {
			listener.Close()
			return nil, err
		}
		s.http.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: certificate.get}
	}
	return s, nil
}

func (s *server) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// limited refuses requests on connections beyond the bound, and closes them.
func (s *server) limited(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.open.Load() > limit {
			w.Header().Set("Connection", "close")
			refuseConnection(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *server) serve() error {
	var err error
	if s.tls {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// shutdown stops accepting connections and returns when every request has
// ended, or when ctx ends.
func (s *server) shutdown(ctx context.Context) {
	_ = s.http.Shutdown(ctx) // close follows and ends what is left
}

// shutdownTimeout bounds the wait for connections that are between requests.
const shutdownTimeout = time.Second

func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
	s.listener.Close()
}

// certificateFile reads a certificate again when its file changes, so that it
// can be replaced without a restart.
type certificateFile struct {
	files settings.TLS

	mu      sync.Mutex
	changed time.Time
	current *tls.Certificate
}

func (c *certificateFile) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.files.CertificateFile)
	if err != nil && c.current == nil {
		return nil, errors.Wrap(err, "certificate")
	}
	if err != nil || info.ModTime().Equal(c.changed) {
		return c.current, nil
	}
	pair, err := tls.LoadX509KeyPair(c.files.CertificateFile, c.files.KeyFile)
	switch {
	case err == nil:
		c.current, c.changed = &pair, info.ModTime()
	case c.current == nil:
		return nil, errors.Wrap(err, "certificate")
	}
	return c.current, nil // a half-written file leaves the old certificate in use
}

func refuseConnection(w http.ResponseWriter) {
	err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many connections")
	err.RetryAfter = time.Second
	entry.WriteError(w, err)
}
