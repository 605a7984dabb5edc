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
	// maxResumes bounds consecutive failed resumptions of a stream of which
	// events were passed on; maxEarlyResumes those of a stream without any,
	// which may begin again at another engine.
	maxResumes      = 6
	maxEarlyResumes = 2
	// maxIdle bounds the growing limit on the time without a byte.
	maxIdle = 30 * time.Second
	// maxStall is how long a stream may be without an event though its engine
	// answers.
	maxStall = 2 * time.Minute
)

// resumeBackoff spaces failed resumptions.
var resumeBackoff = backoff.Policy{Min: 100 * time.Millisecond, Max: 2 * time.Second}

// errRestarted marks an error of an engine that runs as another incarnation
// than the one that began the stream.
var errRestarted = errors.New("engine restarted")

// errUnreachable marks an error of an engine that did not answer a probe over
// a new connection.
var errUnreachable = errors.New("engine unreachable")

// follower reads the events of one stream in order, over as many connections
// as it takes. It is used by one goroutine.
type follower struct {
	d   *Dispatcher
	req *ModelRequest
	src Source
	// stream is the present connection, nil when there is none.
	stream upstream.Stream
	// next is the index of the event that is due.
	next int
	// idle is how long the present connection may be without an event.
	idle time.Duration
	// eventAt is when the last event came.
	eventAt time.Time
	// fruitless counts connections in a row that brought no event, cuts those
	// of them that broke before they were silent for long.
	fruitless int
	cuts      int
	wasSilent atomic.Bool
	silence   *time.Timer
	// stop ends the watch that closes the present connection with the context.
	stop func() bool
}

func newFollower(d *Dispatcher, req *ModelRequest, src Source, stream upstream.Stream, next int) *follower {
	return &follower{d: d, req: req, src: src, stream: stream, next: next, idle: d.cfg.StreamIdle, eventAt: time.Now()}
}

// Next returns the next event, io.EOF after the last one. Other errors mean
// that the stream can't be continued; they carry a verdict.
func (f *follower) Next(ctx context.Context) (upstream.Event, error) {
	for {
		e, err := f.read(ctx)
		if err == nil {
			f.next++
			f.idle = f.d.cfg.StreamIdle
			f.eventAt = time.Now()
			f.fruitless, f.cuts = 0, 0
			return e, nil
		}
		if errors.Is(err, io.EOF) || ctx.Err() != nil {
			return upstream.Event{}, err
		}
		if err := f.reconnect(ctx, err); err != nil {
			return upstream.Event{}, err
		}
	}
}

// read waits for an event on the present connection, which is closed when it
// stays silent or ctx ends.
func (f *follower) read(ctx context.Context) (upstream.Event, error) {
	if f.stream == nil {
		return upstream.Event{}, verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "no connection")
	}
	f.watch(ctx)
	e, err := f.stream.Next()
	f.silence.Stop()
	return e, err
}

// watch starts what closes the present connection.
func (f *follower) watch(ctx context.Context) {
	if f.silence != nil {
		f.silence.Reset(f.idle)
		return
	}
	stream := f.stream
	f.wasSilent.Store(false)
	f.silence = time.AfterFunc(f.idle, func() {
		f.wasSilent.Store(true)
		stream.Close()
	})
	f.stop = context.AfterFunc(ctx, func() { stream.Close() })
}

// reconnect resumes the stream over a new connection. A connection that fell
// silent may also be a slow engine, so each silence makes the next limit
// longer, as long as the engine answers a probe and knows the stream.
func (f *follower) reconnect(ctx context.Context, cause error) error {
	tries := maxResumes
	if f.next == 0 {
		tries = maxEarlyResumes
	}
	if f.stream != nil && !f.wasSilent.Load() {
		f.cuts++
	}
	f.close()
	f.idle = min(2*f.idle, maxIdle)
	if f.cuts > tries || time.Since(f.eventAt) > maxStall {
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeStreamLost, "the engine sends no more events")
	}
	for try := 0; ; try++ {
		if err := f.pause(ctx); err != nil {
			return err
		}
		err := f.resumeOnce(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || try+1 >= tries || refusedBy(err) != nil || errors.Is(err, errRestarted) {
			return err
		}
	}
}

// pause waits before all but the first connection in a row without an event.
func (f *follower) pause(ctx context.Context) error {
	f.fruitless++
	if f.fruitless == 1 {
		return ctx.Err()
	}
	return resumeBackoff.Wait(ctx, f.fruitless-2)
}

// resumeOnce probes the engine and asks it for the rest of the stream, both
// over new connections.
func (f *follower) resumeOnce(ctx context.Context) error {
	if err := f.d.probe(ctx, f.src.Engine, f.src.Info.Ref.Incarnation); err != nil {
		return err
	}
	stream, err := f.d.cfg.Engines.Resume(ctx, f.src.Engine, f.src.Info.Ref, f.next)
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeStreamLost, "the stream can't be resumed")
	}
	if err := f.checkResumed(stream.Info()); err != nil {
		stream.Close()
		return err
	}
	f.stream = stream
	f.src.Info = stream.Info()
	f.d.cfg.Log.Emit(eventlog.StreamResumed, eventlog.Fields{Service: f.req.Service.Document.Service, RequestID: f.req.ID, Upstream: f.src.Engine})
	return nil
}

func (f *follower) checkResumed(info upstream.StreamInfo) error {
	if info.Ref.StreamID != f.src.Info.Ref.StreamID {
		return wrongAnswer("answer of another stream")
	}
	return checkInfo(info, f.req, f.src.Info.Ref.Incarnation)
}

// close releases the present connection; the engine goes on.
func (f *follower) close() {
	if f.silence != nil {
		f.silence.Stop()
		f.stop()
		f.silence, f.stop = nil, nil
	}
	if f.stream != nil {
		f.stream.Close() // an error tells nothing: the connection is given up
		f.stream = nil
	}
}

// probe asks an engine over a new connection whether it still runs as the
// given incarnation. Errors are marked with errUnreachable or errRestarted.
func (d *Dispatcher) probe(ctx context.Context, address, incarnation string) error {
	state, err := d.cfg.Engines.State(ctx, address)
	if err != nil {
		wrapped := verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "engine unreachable")
		return errors.Mark(wrapped, errUnreachable)
	}
	if state.Incarnation != incarnation {
		restarted := verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "engine restarted")
		return errors.Mark(restarted, errRestarted)
	}
	return nil
}
