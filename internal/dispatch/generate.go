package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Generate serves a model request and returns nil after its last event was
// passed to sink. Errors carry a verdict.
func (d *Dispatcher) Generate(ctx context.Context, req *ModelRequest, sink Sink) error {
	doc := req.Service.Document
	r := d.runner(doc.Service, routing.Settings{HedgePercent: *doc.Budgets.HedgePercent, RetryPercent: *doc.Budgets.RetryPercent})
	t := &transfer{d: d, r: r, req: req, sink: sink, route: routingRequest(req)}
	for t.route.Attempt = 0; t.route.Attempt < maxAttempts; t.route.Attempt++ {
		action, err := d.await(ctx, r, t.route)
		if err != nil {
			return t.worse(err)
		}
		if action.Kind == routing.Refuse {
			refusal := verdict.New(verdict.NotRun, action.Code, refusalText(action.Code))
			refusal.RetryAfter = action.RetryAfter
			return t.worse(refusal)
		}
		again, err := t.attempt(ctx, action)
		if !again {
			return err
		}
		t.last = err
		t.route.Avoid = append(t.route.Avoid, action.Endpoint)
		d.cfg.Log.Emit(eventlog.AttemptFailed, eventlog.Fields{Service: doc.Service, RequestID: req.ID, Upstream: action.Endpoint, Detail: err.Error()})
	}
	return t.worse(verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "every attempt failed"))
}

// await waits for the scheduler's decision.
func (d *Dispatcher) await(ctx context.Context, r *runner, route *routing.Request) (routing.Action, error) {
	ch := r.submit(route)
	defer r.forget(route.ID, ch)
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		return routing.Action{}, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeCanceled, "caller gone")
	}
}

func routingRequest(req *ModelRequest) *routing.Request {
	levels := make([]string, len(req.Messages))
	for i, m := range req.Messages {
		levels[i] = m.Content
	}
	scope := prefix.Scope{Organisation: req.Organisation.Name, Weights: req.Model.Weights()}
	chain := prefix.New(scope, levels, req.Service.Document.Piece.Bytes)
	return &routing.Request{
		ID:           req.ID,
		Organisation: req.Organisation.Name,
		Share:        req.Organisation.Share,
		Class: routing.Class{
			Name: req.Class.Name, Priority: req.Class.Priority,
			Deferrable: req.Class.Deferrable, MaxWait: time.Duration(req.Class.MaxWait),
		},
		Weights:         req.Model.Weights(),
		Chain:           chain,
		PromptTokens:    chain.Bytes / bytesPerToken,
		MaxOutputTokens: req.MaxTokens,
		Deadline:        req.Deadline,
		Repeatable:      true,
	}
}

// transfer is the state of one model request across its attempts.
type transfer struct {
	d     *Dispatcher
	r     *runner
	req   *ModelRequest
	sink  Sink
	route *routing.Request
	// passed is the number of events passed to the sink.
	passed int
	// last is the error of the last failed attempt.
	last error
}

// worse returns err with the verdict of earlier attempts where that says that
// the request may have run.
func (t *transfer) worse(err error) error {
	if t.last == nil || verdict.Of(t.last) == verdict.NotRun {
		return err
	}
	e, ok := verdict.As(err)
	if !ok || e.Verdict != verdict.NotRun {
		return err
	}
	raised := *e
	raised.Verdict = verdict.Of(t.last)
	return &raised
}

// attempt tries one engine. again means that another engine may be tried.
func (t *transfer) attempt(ctx context.Context, a routing.Action) (again bool, err error) {
	req := t.req
	fields := eventlog.Fields{Service: req.Service.Document.Service, RequestID: req.ID, Upstream: a.Endpoint}
	t.d.cfg.Log.Emit(eventlog.AttemptStarted, fields)
	outcome, tokens := routing.Failed, 0
	defer func() {
		t.r.do(func(s routing.Scheduler, now time.Time) { s.Finished(now, req.ID, a.Endpoint, outcome, tokens) })
	}()
	stream, err := t.d.cfg.Engines.Generate(ctx, a.Endpoint, &upstream.Generation{
		RequestID: req.ID, Organisation: req.Organisation.Name, Weights: req.Model.Weights(),
		Incarnation: a.Incarnation, Priority: req.Class.Priority, Messages: req.Messages, MaxTokens: req.MaxTokens,
	})
	if err == nil {
		err = checkInfo(stream.Info(), req, a.Incarnation)
	}
	if err != nil {
		if stream != nil {
			stream.Close()
		}
		if verdict.Of(err) == verdict.NotRun {
			outcome = routing.Rejected
		}
		return t.engineFailed(ctx, a.Endpoint, err)
	}
	src := Source{Engine: a.Endpoint, Info: stream.Info()}
	err = t.relay(ctx, src, stream, 0)
	tokens = t.passed
	switch {
	case err == nil:
		outcome = routing.Completed
		return false, nil
	case ctx.Err() != nil || errors.Is(err, errSink):
		outcome = routing.Canceled
		t.d.cancelStream(a.Endpoint, src.Info.Ref)
		return false, verdict.Wrap(err, verdict.Ran, verdict.CodeCanceled, "caller gone")
	}
	return t.engineFailed(ctx, a.Endpoint, err)
}

// engineFailed decides whether a failed attempt may be followed by another.
func (t *transfer) engineFailed(ctx context.Context, address string, err error) (again bool, _ error) {
	if ctx.Err() != nil {
		return false, verdict.Wrap(err, verdict.Of(err), verdict.CodeCanceled, "caller gone")
	}
	t.d.cfg.EngineDown(address)
	if e, ok := verdict.As(err); ok && e.Code == verdict.CodeBadRequest {
		return false, err
	}
	if t.passed > 0 {
		return false, verdict.Wrap(err, verdict.Ran, verdict.CodeStreamLost, "the stream was lost after its first event")
	}
	return true, err
}

var errSink = errors.New("caller does not read")

// relay passes events on until the last one, resuming the stream by index
// over new connections when one fails or stays silent.
func (t *transfer) relay(ctx context.Context, src Source, stream upstream.Stream, next int) error {
	resumes := 0
	for {
		passed, err := t.pump(ctx, src, stream)
		stream.Close()
		if err == nil || ctx.Err() != nil || errors.Is(err, errSink) {
			return err
		}
		if passed > 0 {
			resumes = 0
		}
		next += passed
		resumes++
		if resumes > maxResumes {
			return err
		}
		resumed, resumeErr := t.d.cfg.Engines.Resume(ctx, src.Engine, src.Info.Ref, next)
		if resumeErr != nil {
			return errors.WithSecondaryError(err, resumeErr)
		}
		if checkErr := checkInfo(resumed.Info(), t.req, src.Info.Ref.Incarnation); checkErr != nil {
			resumed.Close()
			return checkErr
		}
		t.d.cfg.Log.Emit(eventlog.StreamResumed, eventlog.Fields{Service: t.req.Service.Document.Service, RequestID: t.req.ID, Upstream: src.Engine})
		stream = resumed
	}
}

// pump passes events of one connection on and returns how many.
func (t *transfer) pump(ctx context.Context, src Source, stream upstream.Stream) (passed int, err error) {
	idle := time.AfterFunc(t.d.cfg.StreamIdle, func() { stream.Close() })
	defer idle.Stop()
	defer context.AfterFunc(ctx, func() { stream.Close() })()
	for {
		e, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return passed, nil
		}
		if err != nil {
			return passed, err
		}
		idle.Reset(t.d.cfg.StreamIdle)
		if t.passed == 0 {
			t.firstToken(src, e)
		}
		if err := t.sink.Event(src, e); err != nil {
			return passed, errors.Mark(err, errSink)
		}
		passed++
		t.passed++
	}
}

func (t *transfer) firstToken(src Source, e upstream.Event) {
	t.d.cfg.Log.Emit(eventlog.FirstToken, eventlog.Fields{Service: t.req.Service.Document.Service, RequestID: t.req.ID, Upstream: src.Engine})
	t.r.do(func(s routing.Scheduler, now time.Time) {
		s.FirstToken(now, t.req.ID, src.Engine, e.Usage.CachedTokens)
	})
}

// checkInfo makes sure that an answer belongs to the request and was made
// with the weights, organisation and incarnation that it states.
func checkInfo(info upstream.StreamInfo, req *ModelRequest, incarnation string) error {
	switch {
	case info.RequestID != req.ID:
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "answer to another request")
	case info.Organisation != req.Organisation.Name:
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "answer of another organisation")
	case info.Weights != req.Model.Weights():
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "answer made with other weights")
	case incarnation != "" && info.Ref.Incarnation != incarnation:
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "answer of another incarnation")
	}
	return nil
}

// Resume continues a stream that a caller lost, from the position of its token.
func (d *Dispatcher) Resume(ctx context.Context, req *ModelRequest, p resume.Position, sink Sink) error {
	ref := upstream.StreamRef{Incarnation: p.Incarnation, StreamID: p.StreamID}
	stream, err := d.cfg.Engines.Resume(ctx, p.Engine, ref, p.Next)
	if err == nil {
		err = checkInfo(stream.Info(), req, p.Incarnation)
	}
	if err != nil {
		if stream != nil {
			stream.Close()
		}
		return verdict.Wrap(err, verdict.Ran, verdict.CodeStreamLost, "the stream can't be resumed")
	}
	r := d.runner(req.Service.Document.Service, routing.Settings{})
	t := &transfer{d: d, r: r, req: req, sink: sink, passed: p.Next}
	src := Source{Engine: p.Engine, Info: stream.Info()}
	err = t.relay(ctx, src, stream, p.Next)
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil || errors.Is(err, errSink):
		d.cancelStream(p.Engine, ref)
		return verdict.Wrap(err, verdict.Ran, verdict.CodeCanceled, "caller gone")
	}
	return verdict.Wrap(err, verdict.Ran, verdict.CodeStreamLost, "the stream was lost")
}

func refusalText(c verdict.Code) string {
	switch c {
	case verdict.CodeNoUpstream:
		return "no engine serves this model now"
	case verdict.CodeDeadline:
		return "the request can't be served in time"
	case verdict.CodeQuarantined:
		return "the request crashed engines and is quarantined"
	default:
		return "the service is overloaded"
	}
}
