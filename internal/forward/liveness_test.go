package forward

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
)

// A silent upstream is down within a second of its silence, its requests are
// given up, and it is back as soon as it takes connections again. A slow one,
// which takes connections, is never down.
func TestSilentUpstreamIsFound(t *testing.T) {
	for _, dark := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var silent atomic.Bool
			silent.Store(dark)
			dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
				if silent.Load() {
					<-ctx.Done()
					return nil, ctx.Err()
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
			request, cancel := context.WithCancel(context.Background())
			_, end := l.begin(&fleet.Registration{ID: "e", Address: "10.0.0.1:80"}, &transfer{}, cancel)
			time.Sleep(time.Second)
			assert.Equal(t, l.Down("e"), dark)
			assert.Equal(t, request.Err() != nil, dark, "a request at a silent upstream is given up")
			end()
			silent.Store(false)
			time.Sleep(time.Second)
			assert.Assert(t, !l.Down("e"))
			if dark {
				assert.Equal(t, changes.Load(), int64(2))
			} else {
				assert.Equal(t, changes.Load(), int64(0))
			}
			stop()
			<-done
			cancel()
		})
	}
}
