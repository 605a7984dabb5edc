package forward

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
)

// A silent upstream is down within a second of its silence, its requests are
// given up, and it is back as soon as it takes connections again. A slow one,
// which takes connections, or refuses them, is never down.
func TestSilentUpstreamIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		fail func(ctx context.Context) error // nil connects
		dark bool
	}{
		"silent": {dark: true, fail: func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }},
		// A dialer's own timer may end a try just before the context's does.
		"silent, found by the dialer": {dark: true, fail: func(ctx context.Context) error {
			deadline, _ := ctx.Deadline()
			time.Sleep(time.Until(deadline) - time.Nanosecond)
			return &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
		}},
		"refuses":  {fail: func(context.Context) error { return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED} }},
		"connects": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dark := c.dark
				var healed atomic.Bool
				dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
					if c.fail != nil && !healed.Load() {
						return nil, c.fail(ctx)
					}
					client, server := net.Pipe()
					server.Close()
					return client, nil
				}
				var changes atomic.Int64
				l := NewLiveness(dial, func(string, bool) { changes.Add(1) }, eventlog.Discard())
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan error)
				go func() { done <- l.Run(ctx) }()
				request, cancel := context.WithCancelCause(context.Background())
				_, end := l.begin(&fleet.Registration{ID: "e", Address: "10.0.0.1:80"}, &transfer{}, cancel)
				time.Sleep(time.Second)
				assert.Equal(t, l.Down("e"), dark)
				assert.Equal(t, errors.Is(context.Cause(request), errSilent), dark, "a request at a silent upstream is given up")
				end()
				healed.Store(true)
				time.Sleep(time.Second)
				assert.Assert(t, !l.Down("e"))
				if dark {
					assert.Equal(t, changes.Load(), int64(2))
				} else {
					assert.Equal(t, changes.Load(), int64(0))
				}
				stop()
				<-done
				cancel(nil)
			})
		})
	}
}
