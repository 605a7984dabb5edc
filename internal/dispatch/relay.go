package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// progressReporter counts the relayed events of an attempt and reports them
// periodically to a scheduler that implements routing.ProgressObserver.
type progressReporter struct {
	task       *requestTask
	attempt    *attempt
	events     int
	lastReport time.Time
}

func (p *progressReporter) eventRelayed() {
	p.events++
	now := time.Now()
	if now.Sub(p.lastReport) < routing.ProgressInterval {
		return
	}
	p.lastReport = now
	p.task.runner.Do(func(s routing.Scheduler, now time.Time) {
		if o, ok := s.(routing.ProgressObserver); ok {
			o.Progress(now, p.task.req.ID, p.attempt.action.Endpoint, p.events)
		}
	})
}

// relayEvents passes events to sink until the last one. reporter may be nil.
// Errors of the sink are marked with errSink.
func relayEvents(ctx context.Context, r *streamReader, sink Sink, reporter *progressReporter) error {
	for {
		e, err := r.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := sink.Event(r.source, e); err != nil {
			return markSinkError(err)
		}
		if reporter != nil {
			reporter.eventRelayed()
		}
	}
}

func markSinkError(err error) error { return errors.Mark(err, errSink) }
