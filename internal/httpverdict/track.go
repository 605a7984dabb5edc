// Package httpverdict tells whether an HTTP request that failed may have
// reached the server.
package httpverdict

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Sent records whether any part of a request was handed to a connection.
type Sent struct{ begun atomic.Bool }

// Verdict is NotRun as long as no connection was obtained for the request.
func (s *Sent) Verdict() verdict.Verdict {
	if s.begun.Load() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// Track returns a context under which one request is sent and a Sent that
// tells afterwards whether it may have left.
func Track(ctx context.Context) (context.Context, *Sent) {
	s := &Sent{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { s.begun.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), s
}

// NeverReplay keeps net/http from sending req a second time by itself when a
// reused connection fails. The transport replays a request whose method is
// safe, or which carries an Idempotency-Key header, if its body can be read
// again; a request that must not run twice can't rely on that judgement.
func NeverReplay(req *http.Request) {
	if req.Body == nil || req.Body == http.NoBody {
		return
	}
	req.GetBody = nil
	req.Body = struct{ io.ReadCloser }{req.Body}
}
