package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// progress counts the events of an attempt that were passed on, and tells a
// scheduler that wants to know.
type progress struct {
	t      *transfer
	a      *attempt
	events int
	at     time.Time
}

func (p *progress) passed() {
	p.events++
	now := time.Now()
	if now.Sub(p.at) < routing.ProgressInterval {
		return
	}
	p.at = now
	p.t.r.Do(func(s routing.Scheduler, now time.Time) {
		if o, ok := s.(routing.ProgressObserver); ok {
			o.Progress(now, p.t.req.ID, p.a.action.Endpoint, p.events)
		}
	})
}

// pump passes events on until the last one. counted may be nil.
func pump(ctx context.Context, f *follower, sink Sink, counted *progress) error {
	for {
		e, err := f.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := sink.Event(f.src, e); err != nil {
			return sinkError(err)
		}
		if counted != nil {
			counted.passed()
		}
	}
}

func sinkError(err error) error { return errors.Mark(err, errSink) }
