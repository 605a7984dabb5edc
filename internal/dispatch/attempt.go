package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/descriptor"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// attempt is one try of a request at one engine.
type attempt struct {
	action routing.Action
	// ctx ends when the caller disconnects, another attempt wins, or this one
	// has finished.
	ctx    context.Context
	cancel context.CancelFunc

	// releaseEngine, reader, firstEvent and err are set by start. releaseEngine
	// releases the engine claim of a suspected request; nil without a claim.
	releaseEngine func()
	reader        *streamReader
	firstEvent    upstream.Event
	err           error
	// engineStatusUnknown is set when the engine is unreachable and may or may not
	// have crashed.
	engineStatusUnknown bool
	// onTrial is set if the attempt was sent in spite of a quarantined prompt part.
	onTrial bool
}

// start sends the request and waits for its first event. Opening the stream
// continues after the attempt is cancelled, because a stream can be cancelled
// at the engine only once its id is known.
func (t *requestTask) start(a *attempt) {
	if a.err = t.claimEngine(a); a.err != nil {
		return
	}
	if a.err = t.admitAttempt(a); a.err != nil {
		return
	}
	t.dispatcher.running.add(t, a.action, time.Now())
	stream, err := t.openStream(a)
	mayHaveRun := err == nil || verdict.Of(err) != verdict.NotRun
	if mayHaveRun {
		t.dispatcher.running.markStarted(t, a.action)
	}
	if a.onTrial {
		t.trial.release(mayHaveRun)
	}
	if err != nil {
		a.err = err
		t.dispatcher.running.markBroken(t, a.action, time.Now())
		return
	}
	src := StreamSource{Engine: a.action.Endpoint, Info: stream.Info()}
	a.reader = newStreamReader(t.dispatcher, t.req, src, stream, 0)
	a.firstEvent, a.err = a.reader.Next(a.ctx)
	if a.err != nil {
		t.dispatcher.running.markBroken(t, a.action, time.Now())
		return
	}
	t.recordBegin(a)
}

func (t *requestTask) openStream(a *attempt) (upstream.Stream, error) {
	req := t.req
	t.dispatcher.cfg.Log.Emit(eventlog.AttemptStarted, t.logFields(a))
	if a.ctx.Err() != nil {
		return nil, canceledError(a.ctx.Err(), verdict.NotRun)
	}
	stream, err := t.dispatcher.cfg.Engines.Generate(context.WithoutCancel(a.ctx), a.action.Endpoint, &upstream.GenerateRequest{
		RequestID: req.ID, Organisation: req.Organisation.Name, Weights: req.Model.Weights(),
		Incarnation: a.action.Incarnation, Priority: req.Class.Priority, Messages: req.Messages, MaxTokens: req.MaxTokens,
	})
	if err != nil {
		return nil, err
	}
	if err := checkStreamInfo(stream.Info(), req, a.action.Incarnation); err != nil {
		stream.Close()
		return nil, err
	}
	return stream, nil
}

func (t *requestTask) logFields(a *attempt) eventlog.Fields {
	return eventlog.Fields{Service: t.req.Service.Document.Service, RequestID: t.req.ID, Upstream: a.action.Endpoint}
}

// discard cleans up an attempt that was cancelled before its first event was
// relayed. A superseded attempt's stream is cancelled at once, any other after
// the grace period in which the caller may resume it.
func (t *requestTask) discard(a *attempt, superseded bool) {
	defer t.releaseResources(a)
	if a.reader == nil {
		return
	}
	a.reader.close()
	if superseded {
		t.dispatcher.cancelStream(a.action.Endpoint, a.reader.source.Info.Ref)
		return
	}
	t.dispatcher.abandonStream(a.action.Endpoint, a.reader.source.Info.Ref)
}

// finish closes an attempt and reports its outcome to the scheduler.
func (t *requestTask) finish(a *attempt, outcome routing.Outcome, tokens int) {
	a.cancel()
	if a.reader != nil {
		a.reader.close()
	}
	t.releaseResources(a)
	t.reportFinished(a, outcome, tokens)
}

// releaseResources removes the attempt from the running requests and releases
// its claim on the engine. While the engine's status is unknown the request
// stays listed, so that a crash found later is still attributed to it.
func (t *requestTask) releaseResources(a *attempt) {
	if !a.engineStatusUnknown {
		t.dispatcher.running.remove(t, a.action)
	}
	if a.releaseEngine != nil {
		a.releaseEngine()
	}
}

// reportFinished reports the end of an attempt to the scheduler.
func (t *requestTask) reportFinished(a *attempt, outcome routing.Outcome, tokens int) {
	t.runner.Do(func(s routing.Scheduler, now time.Time) {
		s.Finished(now, t.req.ID, a.action.Endpoint, outcome, tokens)
	})
}

// classifyFailure determines why an attempt failed and returns its outcome. An
// attempt that the engine refused, or that could not claim its engine, counts as
// rejected. A broken connection does not count as a failure of the engine if the
// engine answers a probe over a new connection.
func (t *requestTask) classifyFailure(ctx context.Context, a *attempt) routing.Outcome {
	if errors.Is(a.err, errPartQuarantined) {
		return routing.Canceled // it was not sent
	}
	if refusalOrNil(a.err) != nil || a.reader == nil && a.action.Request.Isolated && a.releaseEngine == nil || isBadRequest(a.err) {
		return routing.Rejected
	}
	err := a.err
	if !errors.Is(err, errEngineUnreachable) && !errors.Is(err, errEngineRestarted) {
		err = t.dispatcher.probe(ctx, a.action.Endpoint, a.action.Incarnation)
	}
	for probes := 1; err != nil && isConnectionBroken(err) && probes < maxExitProbes; probes++ {
		if backoff.Sleep(ctx, exitProbeInterval) != nil {
			break
		}
		err = t.dispatcher.probe(ctx, a.action.Endpoint, a.action.Incarnation)
	}
	if err == nil || descriptor.IsShortage(err) {
		return routing.Canceled
	}
	if isProcessGone(err) {
		t.dispatcher.reportCrash(a.action.Endpoint, a.action.Incarnation)
		t.engineCrashed = true
	} else {
		a.engineStatusUnknown = true
		t.dispatcher.running.retainUntil(t, a.action, time.Now().Add(unknownStatusTTL))
	}
	t.dispatcher.cfg.OnUpstreamFailure(a.action.Endpoint)
	return routing.Failed
}

func isBadRequest(err error) bool {
	e, ok := verdict.As(err)
	return ok && e.Code == verdict.CodeBadRequest
}
