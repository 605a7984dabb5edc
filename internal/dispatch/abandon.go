package dispatch

import (
	"context"
	"time"

	"github.com/verbenabend/verbenabend/internal/upstream"
)

const (
	// abandonGrace is how long a stream whose caller left goes on, so that the
	// caller may resume it through another entry.
	abandonGrace = 2 * time.Second
	// cancelTimeout bounds the call that cancels a stream at an engine.
	cancelTimeout = 2 * time.Second
)

// goBackground runs fn beyond the request that needs it; Close waits for it.
func (d *Dispatcher) goBackground(fn func()) { d.background.start(fn) }

// cancelStream ends a stream that nobody can ask for.
func (d *Dispatcher) cancelStream(address string, ref upstream.StreamRef) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = d.cfg.Engines.Cancel(ctx, address, ref) // an engine that can't be reached has lost the stream or ends it by itself
}

// abandonStream ends a stream whose caller left, unless the caller resumes it
// within the grace period.
func (d *Dispatcher) abandonStream(address string, ref upstream.StreamRef) {
	timer := time.NewTimer(abandonGrace)
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
	_ = abandoner.Abandon(ctx, address, ref) // a refusal means that the caller came back
}
