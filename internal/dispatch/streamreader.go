package dispatch

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// maxResumeAttempts bounds the consecutive failed resumptions of a stream
	// that has delivered events. maxEarlyResumeAttempts bounds those of a stream
	// that has not, since its request can be retried at another engine.
	maxResumeAttempts      = 6
	maxEarlyResumeAttempts = 2
	// maxIdleTimeout bounds the idle timeout, which doubles with each reconnection.
	maxIdleTimeout = 30 * time.Second
	// maxEventGap is how long a stream may deliver no event although its engine
	// answers probes.
	maxEventGap = 2 * time.Minute
)

// resumeBackoff is the backoff between failed resumptions.
var resumeBackoff = backoff.Policy{Min: 100 * time.Millisecond, Max: 2 * time.Second}

// errEngineRestarted marks the error of a probe that found another incarnation
// of the engine than the one expected.
var errEngineRestarted = errors.New("engine restarted")

// errEngineUnreachable marks the error of a probe that the engine did not
// answer.
var errEngineUnreachable = errors.New("engine unreachable")

// streamReader reads the events of one stream in order and resumes the stream
// over a new connection when one fails. It is not safe for concurrent use.
type streamReader struct {
	dispatcher *Dispatcher
	req        *ModelRequest
	source     StreamSource
	// stream is the current connection, nil when there is none.
	stream upstream.Stream
	// nextIndex is the index of the next expected event.
	nextIndex int
	// idleTimeout is how long the current connection may deliver no event.
	idleTimeout time.Duration
	// lastEventAt is when the last event arrived, or the reader was created.
	lastEventAt time.Time
	// reconnects counts the tries to reconnect since the last event,
	// brokenConnections the connections that broke, rather than timed out.
	reconnects        int
	brokenConnections int
	// timedOut is set when idleTimer closes the current connection.
	timedOut  atomic.Bool
	idleTimer *time.Timer
	// stopContextWatch stops closing the current connection when the context ends.
	stopContextWatch func() bool
}

func newStreamReader(d *Dispatcher, req *ModelRequest, src StreamSource, stream upstream.Stream, next int) *streamReader {
	return &streamReader{dispatcher: d, req: req, source: src, stream: stream, nextIndex: next, idleTimeout: d.cfg.StreamIdleTimeout, lastEventAt: time.Now()}
}

// Next returns the next event, or io.EOF after the last one. Any other error
// means that the stream can't be continued and carries a verdict.
func (r *streamReader) Next(ctx context.Context) (upstream.Event, error) {
	for {
		e, err := r.read(ctx)
		if err == nil {
			r.nextIndex++
			r.idleTimeout = r.dispatcher.cfg.StreamIdleTimeout
			r.lastEventAt = time.Now()
			r.reconnects, r.brokenConnections = 0, 0
			return e, nil
		}
		if errors.Is(err, io.EOF) || ctx.Err() != nil {
			return upstream.Event{}, err
		}
		if err := r.reconnect(ctx, err); err != nil {
			return upstream.Event{}, err
		}
	}
}

// read waits for an event on the current connection, which is closed on the idle
// timeout or when ctx ends.
func (r *streamReader) read(ctx context.Context) (upstream.Event, error) {
	if r.stream == nil {
		return upstream.Event{}, verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "no connection")
	}
	r.startTimeout(ctx)
	e, err := r.stream.Next()
	r.idleTimer.Stop()
	return e, err
}

// startTimeout arranges that the current connection is closed on the idle
// timeout or when ctx ends.
func (r *streamReader) startTimeout(ctx context.Context) {
	if r.idleTimer != nil {
		r.idleTimer.Reset(r.idleTimeout)
		return
	}
	stream := r.stream
	r.timedOut.Store(false)
	r.idleTimer = time.AfterFunc(r.idleTimeout, func() {
		r.timedOut.Store(true)
		stream.Close()
	})
	r.stopContextWatch = context.AfterFunc(ctx, func() { stream.Close() })
}

// reconnect resumes the stream over a new connection. A connection may also be
// idle because the engine is slow, so the idle timeout doubles with each
// reconnection, as long as the engine answers a probe and still has the stream.
func (r *streamReader) reconnect(ctx context.Context, cause error) error {
	limit := maxResumeAttempts
	if r.nextIndex == 0 {
		limit = maxEarlyResumeAttempts
	}
	if r.stream != nil && !r.timedOut.Load() {
		r.brokenConnections++
	}
	r.close()
	r.idleTimeout = min(2*r.idleTimeout, maxIdleTimeout)
	if r.brokenConnections > limit || time.Since(r.lastEventAt) > maxEventGap {
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeStreamLost, "the engine stopped sending events")
	}
	for failures := 0; ; failures++ {
		if err := r.waitBeforeResume(ctx); err != nil {
			return err
		}
		err := r.tryResume(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || failures+1 >= limit || refusalOrNil(err) != nil || errors.Is(err, errEngineRestarted) {
			return err
		}
	}
}

// waitBeforeResume backs off, except before the first reconnection since the
// last event.
func (r *streamReader) waitBeforeResume(ctx context.Context) error {
	r.reconnects++
	if r.reconnects == 1 {
		return ctx.Err()
	}
	return resumeBackoff.Wait(ctx, r.reconnects-2)
}

// tryResume probes the engine and requests the rest of the stream, both over new
// connections.
func (r *streamReader) tryResume(ctx context.Context) error {
	if err := r.dispatcher.probe(ctx, r.source.Engine, r.source.Info.Ref.Incarnation); err != nil {
		return err
	}
	stream, err := r.dispatcher.cfg.Engines.Resume(ctx, r.source.Engine, r.source.Info.Ref, r.nextIndex)
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeStreamLost, "the stream can't be resumed")
	}
	if err := r.checkResumed(stream.Info()); err != nil {
		stream.Close()
		return err
	}
	r.stream = stream
	r.source.Info = stream.Info()
	r.dispatcher.cfg.Log.Emit(eventlog.StreamResumed, eventlog.Fields{Service: r.req.Service.Document.Service, RequestID: r.req.ID, Upstream: r.source.Engine})
	return nil
}

func (r *streamReader) checkResumed(info upstream.StreamInfo) error {
	if info.Ref.StreamID != r.source.Info.Ref.StreamID {
		return mismatchError("engine answered with a different stream id")
	}
	return checkStreamInfo(info, r.req, r.source.Info.Ref.Incarnation)
}

// close closes the current connection; the engine continues the generation.
func (r *streamReader) close() {
	if r.idleTimer != nil {
		r.idleTimer.Stop()
		r.stopContextWatch()
		r.idleTimer, r.stopContextWatch = nil, nil
	}
	if r.stream != nil {
		r.stream.Close() // the error is irrelevant: the connection is not used again
		r.stream = nil
	}
}

// probe checks over a new connection that an engine still runs as the given
// incarnation. Errors are marked with errEngineUnreachable or
// errEngineRestarted.
func (d *Dispatcher) probe(ctx context.Context, address, incarnation string) error {
	state, err := d.cfg.Engines.State(ctx, address)
	if err != nil {
		wrapped := verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "engine unreachable")
		return errors.Mark(wrapped, errEngineUnreachable)
	}
	if state.Incarnation != incarnation {
		restarted := verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "engine restarted")
		return errors.Mark(restarted, errEngineRestarted)
	}
	return nil
}
