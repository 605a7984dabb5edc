package dispatch

import (
	"context"
	"time"

	"github.com/verbenabend/verbenabend/internal/upstream"
)

const (
	// abandonGracePeriod is how long a stream is kept after its caller has
	// disconnected, so that the caller can resume it through another entry.
	abandonGracePeriod = 2 * time.Second
	// cancelTimeout bounds the call that cancels a stream at an engine.
	cancelTimeout = 2 * time.Second
)

// runInBackground runs fn in a goroutine that may outlive the request; Close waits for it.
func (d *Dispatcher) runInBackground(fn func()) { d.background.start(fn) }

// cancelStream cancels a stream that no caller can resume.
func (d *Dispatcher) cancelStream(address string, ref upstream.StreamRef) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = d.cfg.Engines.Cancel(ctx, address, ref) // an unreachable engine has lost the stream or will end it on its own
}

// abandonStream cancels the stream of a caller that has disconnected, unless
// the caller resumes it within the grace period.
func (d *Dispatcher) abandonStream(address string, ref upstream.StreamRef) {
	timer := time.NewTimer(abandonGracePeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.closing:
	}
	abandoner, ok := d.cfg.Engines.(upstream.Abandoner)
	if !ok {
		d.cancelStream(address, ref)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = abandoner.Abandon(ctx, address, ref) // a refusal means that the caller has resumed the stream
}
