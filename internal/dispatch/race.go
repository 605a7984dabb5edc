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

// race is the attempts of one request that run beside each other: the first
// copy and, when the scheduler says so, a second one.
type race struct {
	t       *transfer
	running map[*attempt]struct{}
	// results has room for every attempt.
	results chan *attempt
}

// race asks the scheduler for an engine and returns the attempt whose first
// event came first. Without a winner and without an error, all attempts
// failed, and another race may be tried.
func (t *transfer) race(ctx context.Context, route *routing.Request) (*attempt, error) {
	actions := t.r.Submit(route)
	defer t.r.Forget(route.ID, actions)
	c := &race{t: t, running: map[*attempt]struct{}{}, results: make(chan *attempt, schedule.ActionBuffer)}
	for {
		select {
		case action := <-actions:
			if action.Kind == routing.Refuse {
				return nil, refusal(action)
			}
			c.launch(ctx, action)
		case a := <-c.results:
			delete(c.running, a)
			if a.err == nil {
				c.drop(true)
				return a, nil
			}
			if ctx.Err() != nil {
				c.drop(false)
				return nil, t.left(ctx, a)
			}
			if err := t.failed(ctx, a); err != nil || len(c.running) == 0 {
				c.drop(true)
				return nil, err
			}
		case <-ctx.Done():
			return nil, c.leave(ctx)
		}
	}
}

func refusal(a routing.Action) error {
	e := verdict.New(verdict.NotRun, a.Code, refusalText(a.Code))
	e.RetryAfter = a.RetryAfter
	return e
}

// launch starts an attempt, which goes to results when its first event has
// come or it has failed.
func (c *race) launch(ctx context.Context, action routing.Action) {
	a := &attempt{action: action}
	a.ctx, a.cancel = context.WithCancel(ctx)
	c.running[a] = struct{}{}
	if action.Kind == routing.Hedge {
		c.t.d.cfg.Log.Emit(eventlog.HedgeStarted, c.t.fields(a))
	}
	c.t.d.goBackground(func() {
		c.t.begin(a)
		c.results <- a
	})
}

// drop cancels the attempts that still run. lost says that another copy won,
// so that nobody comes back for their streams.
func (c *race) drop(lost bool) {
	n := len(c.running)
	if n == 0 {
		return
	}
	for a := range c.running {
		a.cancel()
		c.t.finish(a, routing.Canceled, 0)
	}
	c.t.d.goBackground(func() {
		for range n {
			c.t.release(<-c.results, lost)
		}
	})
}

// leave ends the race of a caller that has gone.
func (c *race) leave(ctx context.Context) error {
	v := c.t.earlier
	if len(c.running) > 0 {
		v = worst(v, verdict.MayHaveRun)
	}
	c.drop(false)
	return callerGone(ctx.Err(), v)
}

// left ends an attempt that failed because its caller has gone.
func (t *transfer) left(ctx context.Context, a *attempt) error {
	v := verdict.Of(a.err)
	t.finish(a, routing.Canceled, 0)
	t.d.goBackground(func() { t.release(a, false) })
	return callerGone(ctx.Err(), v)
}

// failed accounts for an attempt that failed before an event was passed on.
// It returns an error when no other attempt may follow.
func (t *transfer) failed(ctx context.Context, a *attempt) error {
	outcome := t.blame(ctx, a)
	t.over(a, outcome, 0)
	if isStale(a.err) {
		t.d.cfg.EngineDown(a.action.Endpoint)
	} else {
		t.retries++
	}
	if a.follower != nil && !errors.Is(a.err, errRestarted) {
		t.d.goBackground(func() { t.d.cancelStream(a.action.Endpoint, a.follower.src.Info.Ref) })
	}
	t.earlier = worst(t.earlier, verdict.Of(a.err))
	t.last = a.err
	fields := t.fields(a)
	fields.Detail = a.err.Error()
	t.d.cfg.Log.Emit(eventlog.AttemptFailed, fields)
	if outcome != routing.Canceled {
		t.avoid = append(t.avoid, a.action.Endpoint)
	}
	if isBadRequest(a.err) || t.d.heed(a) {
		return a.err
	}
	return nil
}

// relay passes the winner's events on until the last one. again means that the
// caller has seen none of them and another attempt may follow.
func (t *transfer) relay(ctx context.Context, a *attempt) (again bool, err error) {
	t.firstToken(a)
	passed := &progress{t: t, a: a, at: time.Now()}
	err = t.sink.Event(a.follower.src, a.first)
	if err == nil {
		passed.events++
		err = pump(ctx, a.follower, t.sink, passed)
	} else {
		err = sinkError(err)
	}
	switch {
	case err == nil:
		t.over(a, routing.Completed, passed.events)
		if a.action.Request.Alone {
			t.d.cfg.Suspects.Survived(t.fingerprint)
		}
		return false, nil
	case ended(ctx, err):
		t.over(a, routing.Canceled, passed.events)
		src := a.follower.src
		t.d.goBackground(func() { t.d.abandonStream(src.Engine, src.Info.Ref) })
		return false, sinkFailed(ctx, err)
	}
	a.err = verdict.Wrap(err, verdict.Ran, verdict.CodeStreamLost, "the stream was lost after its first event")
	err = t.failed(ctx, a)
	if rewinder, ok := t.sink.(Rewinder); ok && err == nil {
		rewinder.Rewind()
		return true, nil
	}
	return false, a.err
}

func (t *transfer) firstToken(a *attempt) {
	t.d.cfg.Log.Emit(eventlog.FirstToken, t.fields(a))
	t.r.Do(func(s routing.Scheduler, now time.Time) {
		s.FirstToken(now, t.req.ID, a.action.Endpoint, a.first.Usage.CachedTokens)
	})
}
