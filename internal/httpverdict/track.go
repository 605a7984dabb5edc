// Package httpverdict determines whether a failed HTTP request may have reached
// the server.
package httpverdict

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// SendState records whether a connection was obtained for a request, so that part of
// the request may have been sent.
type SendState struct{ gotConn atomic.Bool }

// Verdict returns NotRun if no connection was obtained for the request, and
// MayHaveRun otherwise.
func (s *SendState) Verdict() verdict.Verdict {
	if s.gotConn.Load() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// TrackSend returns a context for sending one request, and a value that reports
// afterwards whether the request may have reached the server.
func TrackSend(ctx context.Context) (context.Context, *SendState) {
	state := &SendState{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { state.gotConn.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), state
}

// DisableTransportRetry keeps net/http from resending req on its own when a reused
// connection fails. The transport resends a request whose method is safe, or
// that carries an Idempotency-Key header, if its body can be read again; that
// rule does not ensure that a request runs at most once. A request without a
// body is not changed.
func DisableTransportRetry(req *http.Request) {
	if req.Body == nil || req.Body == http.NoBody {
		return
	}
	req.GetBody = nil
	req.Body = struct{ io.ReadCloser }{req.Body}
}
