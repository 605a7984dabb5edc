package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// attempt is one request at one engine.
type attempt struct {
	action routing.Action
	// ctx ends when the caller leaves, another copy wins, or the attempt is over.
	ctx    context.Context
	cancel context.CancelFunc

	// The rest is set by begin. free ends the claim of a suspect's engine.
	free     func()
	follower *follower
	first    upstream.Event
	err      error
	// unresolved says that the engine can't be reached, so that nobody knows
	// whether it died.
	unresolved bool
}

// begin sends the request and waits for its first event. The opening of the
// stream goes on when the attempt is cancelled: only an engine that has named
// the stream can be told to end it.
func (t *transfer) begin(a *attempt) {
	if a.err = t.claimEngine(a); a.err != nil {
		return
	}
	t.d.running.add(t, a.action)
	stream, err := t.open(a)
	if err == nil || verdict.Of(err) != verdict.NotRun {
		t.d.running.opened(t, a.action)
	}
	if err != nil {
		a.err = err
		return
	}
	src := Source{Engine: a.action.Endpoint, Info: stream.Info()}
	a.follower = newFollower(t.d, t.req, src, stream, 0)
	a.first, a.err = a.follower.Next(a.ctx)
}

func (t *transfer) open(a *attempt) (upstream.Stream, error) {
	req := t.req
	t.d.cfg.Log.Emit(eventlog.AttemptStarted, t.fields(a))
	if a.ctx.Err() != nil {
		return nil, callerGone(a.ctx.Err(), verdict.NotRun)
	}
	stream, err := t.d.cfg.Engines.Generate(context.WithoutCancel(a.ctx), a.action.Endpoint, &upstream.Generation{
		RequestID: req.ID, Organisation: req.Organisation.Name, Weights: req.Model.Weights(),
		Incarnation: a.action.Incarnation, Priority: req.Class.Priority, Messages: req.Messages, MaxTokens: req.MaxTokens,
	})
	if err != nil {
		return nil, err
	}
	if err := checkInfo(stream.Info(), req, a.action.Incarnation); err != nil {
		stream.Close()
		return nil, err
	}
	return stream, nil
}

func (t *transfer) fields(a *attempt) eventlog.Fields {
	return eventlog.Fields{Service: t.req.Service.Document.Service, RequestID: t.req.ID, Upstream: a.action.Endpoint}
}

// release gives up an attempt that was cancelled while it began. The stream
// is ended at once when another copy won, else after the grace period for the
// caller's return.
func (t *transfer) release(a *attempt, lost bool) {
	defer t.settle(a)
	if a.follower == nil {
		return
	}
	a.follower.close()
	if lost {
		t.d.cancelStream(a.action.Endpoint, a.follower.src.Info.Ref)
		return
	}
	t.d.abandonStream(a.action.Endpoint, a.follower.src.Info.Ref)
}

// over ends an attempt whose outcome is known.
func (t *transfer) over(a *attempt, outcome routing.Outcome, tokens int) {
	a.cancel()
	if a.follower != nil {
		a.follower.close()
	}
	t.settle(a)
	t.finish(a, outcome, tokens)
}

// settle ends what an attempt holds of its engine.
func (t *transfer) settle(a *attempt) {
	if !a.unresolved {
		t.d.running.remove(t, a.action)
	}
	if a.free != nil {
		a.free()
	}
}

// finish reports the end of an attempt to the scheduler.
func (t *transfer) finish(a *attempt, outcome routing.Outcome, tokens int) {
	t.r.Do(func(s routing.Scheduler, now time.Time) {
		s.Finished(now, t.req.ID, a.action.Endpoint, outcome, tokens)
	})
}

// blame finds out why an attempt failed, and returns its outcome. An engine
// that answers a probe over a new connection is not blamed for a connection.
func (t *transfer) blame(ctx context.Context, a *attempt) routing.Outcome {
	if refusedBy(a.err) != nil || a.follower == nil && a.action.Request.Alone && a.free == nil || isBadRequest(a.err) {
		return routing.Rejected
	}
	err := a.err
	if !errors.Is(err, errUnreachable) && !errors.Is(err, errRestarted) {
		err = t.d.probe(ctx, a.action.Endpoint, a.action.Incarnation)
	}
	for try := 1; err != nil && isConnectionBroken(err) && try < maxEndProbes; try++ {
		if backoff.Sleep(ctx, endProbePause) != nil {
			break
		}
		err = t.d.probe(ctx, a.action.Endpoint, a.action.Incarnation)
	}
	if err == nil {
		return routing.Canceled
	}
	if isDead(err) {
		t.d.died(a.action.Endpoint, a.action.Incarnation)
		t.sawDeath = true
	} else {
		a.unresolved = true
		t.d.running.hold(t, a.action, time.Now().Add(unresolvedLife))
	}
	t.d.cfg.EngineDown(a.action.Endpoint)
	return routing.Failed
}

func isBadRequest(err error) bool {
	e, ok := verdict.As(err)
	return ok && e.Code == verdict.CodeBadRequest
}
