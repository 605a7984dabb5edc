package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/schedule"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// attemptGroup is the set of concurrent attempts of one request: the first and,
// when the scheduler decides so, a hedged one.
type attemptGroup struct {
	task    *requestTask
	running map[*attempt]struct{}
	// results has buffer space for every attempt, so that sends never block.
	results chan *attempt
}

// raceAttempts asks the scheduler for an engine and returns the attempt that
// delivers its first event first. If it returns neither an attempt nor an error,
// all attempts failed and the request may be submitted again.
func (t *requestTask) raceAttempts(ctx context.Context, route *routing.Request) (*attempt, error) {
	actions := t.runner.Submit(route)
	defer t.runner.Forget(route.ID, actions)
	group := &attemptGroup{task: t, running: map[*attempt]struct{}{}, results: make(chan *attempt, schedule.MaxPendingActions)}
	for {
		select {
		case action := <-actions:
			if action.Kind == routing.Refuse {
				return nil, refusalError(action)
			}
			group.launch(ctx, action)
		case a := <-group.results:
			delete(group.running, a)
			if a.err == nil {
				group.cancelRemaining(true)
				return a, nil
			}
			if ctx.Err() != nil {
				group.cancelRemaining(false)
				return nil, t.discardOnDisconnect(ctx, a)
			}
			if err := t.handleFailure(ctx, a); err != nil || len(group.running) == 0 {
				group.cancelRemaining(true)
				return nil, err
			}
		case <-ctx.Done():
			return nil, group.cancelOnDisconnect(ctx)
		}
	}
}

func refusalError(a routing.Action) error {
	e := verdict.New(verdict.NotRun, a.Code, refusalMessage(a.Code))
	e.RetryAfter = a.RetryAfter
	return e
}

// launch starts an attempt, which is sent to results once its first event has
// arrived or it has failed.
func (g *attemptGroup) launch(ctx context.Context, action routing.Action) {
	a := &attempt{action: action}
	a.ctx, a.cancel = context.WithCancel(ctx)
	g.running[a] = struct{}{}
	if action.Kind == routing.Hedge {
		g.task.dispatcher.cfg.Log.Emit(eventlog.HedgeStarted, g.task.logFields(a))
	}
	g.task.dispatcher.runInBackground(func() {
		g.task.start(a)
		g.results <- a
	})
}

// cancelRemaining cancels the attempts that are still running. superseded means
// that no caller can resume their streams.
func (g *attemptGroup) cancelRemaining(superseded bool) {
	n := len(g.running)
	if n == 0 {
		return
	}
	for a := range g.running {
		a.cancel()
		g.task.reportFinished(a, routing.Canceled, 0)
	}
	g.task.dispatcher.runInBackground(func() {
		for range n {
			g.task.discard(<-g.results, superseded)
		}
	})
}

// cancelOnDisconnect cancels all attempts after the caller has disconnected.
func (g *attemptGroup) cancelOnDisconnect(ctx context.Context) error {
	v := g.task.priorVerdict
	if len(g.running) > 0 {
		v = combineVerdicts(v, verdict.MayHaveRun)
	}
	g.cancelRemaining(false)
	return canceledError(ctx.Err(), v)
}

// discardOnDisconnect discards an attempt that failed because the caller has
// disconnected.
func (t *requestTask) discardOnDisconnect(ctx context.Context, a *attempt) error {
	v := verdict.Of(a.err)
	t.reportFinished(a, routing.Canceled, 0)
	t.dispatcher.runInBackground(func() { t.discard(a, false) })
	return canceledError(ctx.Err(), v)
}

// handleFailure records a failed attempt and reports it to the scheduler. It
// returns an error when the request must not be submitted again.
func (t *requestTask) handleFailure(ctx context.Context, a *attempt) error {
	outcome := t.classifyFailure(ctx, a)
	t.finish(a, outcome, 0)
	switch {
	case isStaleRefusal(a.err):
		t.dispatcher.cfg.OnUpstreamFailure(a.action.Endpoint)
	case !errors.Is(a.err, errPartQuarantined):
		t.failedAttempts++
	}
	if a.reader != nil && !errors.Is(a.err, errEngineRestarted) {
		t.dispatcher.runInBackground(func() { t.dispatcher.cancelStream(a.action.Endpoint, a.reader.source.Info.Ref) })
	}
	t.priorVerdict = combineVerdicts(t.priorVerdict, verdict.Of(a.err))
	t.lastErr = a.err
	fields := t.logFields(a)
	fields.Detail = a.err.Error()
	t.dispatcher.cfg.Log.Emit(eventlog.AttemptFailed, fields)
	if outcome != routing.Canceled {
		t.failedEngines = append(t.failedEngines, a.action.Endpoint)
	}
	if isBadRequest(a.err) || t.dispatcher.applyRefusal(a) {
		return a.err
	}
	return nil
}

// relay passes the winner's events to the sink until the last one. retry means
// that the caller has seen none of them and another attempt may follow.
func (t *requestTask) relay(ctx context.Context, a *attempt) (retry bool, err error) {
	t.reportFirstToken(a)
	reporter := &progressReporter{task: t, attempt: a, lastReport: time.Now()}
	err = t.sink.Event(a.reader.source, a.firstEvent)
	if err == nil {
		reporter.events++
		err = relayEvents(ctx, a.reader, t.sink, reporter)
	} else {
		err = markSinkError(err)
	}
	switch {
	case err == nil:
		t.finish(a, routing.Completed, reporter.events)
		if a.action.Request.Isolated {
			t.dispatcher.cfg.Suspects.RequestCompleted(t.fingerprint)
		}
		return false, nil
	case endedByCaller(ctx, err):
		t.finish(a, routing.Canceled, reporter.events)
		src := a.reader.source
		t.dispatcher.runInBackground(func() { t.dispatcher.abandonStream(src.Engine, src.Info.Ref) })
		return false, disconnectError(ctx, err)
	}
	a.err = verdict.Wrap(err, verdict.Ran, verdict.CodeStreamLost, "the stream was lost after its first event")
	err = t.handleFailure(ctx, a)
	if rewinder, ok := t.sink.(Rewinder); ok && err == nil {
		rewinder.Rewind()
		return true, nil
	}
	return false, a.err
}

func (t *requestTask) reportFirstToken(a *attempt) {
	t.dispatcher.cfg.Log.Emit(eventlog.FirstToken, t.logFields(a))
	t.runner.Do(func(s routing.Scheduler, now time.Time) {
		s.FirstToken(now, t.req.ID, a.action.Endpoint, a.firstEvent.Usage.CachedTokens)
	})
}
