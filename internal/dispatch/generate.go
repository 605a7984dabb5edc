package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/schedule"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Generate serves a model request and returns nil after its last event was
// passed to sink. Errors carry a verdict that covers all attempts.
func (d *Dispatcher) Generate(ctx context.Context, req *ModelRequest, sink Sink) error {
	r := d.runner(req.Service)
	var err error
	for range maxAttempts {
		chosen := d.withVersion(req)
		err = d.generate(ctx, r, chosen, sink)
		if !d.otherVersion(err, req, chosen) {
			return err
		}
	}
	return err
}

func (d *Dispatcher) generate(ctx context.Context, r *schedule.Runner, req *ModelRequest, sink Sink) error {
	t := &transfer{d: d, r: r, req: req, sink: sink, earlier: verdict.NotRun}
	route := routingRequest(req)
	t.fingerprint = fingerprintOf(req, &route)
	defer t.end()
	for range maxAttempts {
		next := route
		next.Attempt, next.Avoid = t.retries, slices.Clone(t.avoid)
		t.spread(ctx)
		if err := t.admit(ctx, &next); err != nil {
			return withEarlier(err, t.earlier)
		}
		winner, err := t.race(ctx, &next)
		if err != nil {
			return withEarlier(err, t.earlier)
		}
		if winner == nil {
			continue
		}
		if again, err := t.relay(ctx, winner); !again {
			t.spread(ctx)
			return withEarlier(err, t.earlier)
		}
	}
	t.spread(ctx)
	return withEarlier(t.last, t.earlier)
}

// end frees what the request holds over its attempts.
func (t *transfer) end() {
	if t.free != nil {
		t.free()
	}
}

func routingRequest(req *ModelRequest) routing.Request {
	levels := make([]string, len(req.Messages))
	for i, m := range req.Messages {
		levels[i] = m.Content
	}
	scope := prefix.Scope{Organisation: req.Organisation.Name, Weights: req.Model.Weights()}
	chain := prefix.New(scope, levels, req.Service.Document.Piece.Bytes)
	return routing.Request{
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
	d    *Dispatcher
	r    *schedule.Runner
	req  *ModelRequest
	sink Sink
	// avoid lists the engines that failed the request.
	avoid []string
	// retries counts the attempts that failed, without those that an engine
	// refused because this daemon's view of it was old.
	retries int
	// earlier is the verdict on all attempts that have ended, last the error
	// of the last one.
	earlier verdict.Verdict
	last    error

	fingerprint Fingerprint
	// free ends the claim of a suspect; nil without one.
	free func()
	// sawDeath says that an engine died under the last attempt.
	sawDeath bool
}

// Resume continues a stream that a caller lost, from the position of its token.
func (d *Dispatcher) Resume(ctx context.Context, req *ModelRequest, p resume.Position, sink Sink) error {
	if p.Ended {
		return nil
	}
	src := Source{Engine: p.Engine, Info: upstream.StreamInfo{
		Ref:          upstream.StreamRef{Incarnation: p.Incarnation, StreamID: p.StreamID},
		Organisation: p.Organisation, Weights: p.Weights, RequestID: p.RequestID,
	}}
	f := newFollower(d, req, src, nil, p.Next)
	err := pump(ctx, f, sink, nil)
	f.close()
	if err == nil {
		return nil
	}
	if ended(ctx, err) {
		d.goBackground(func() { d.abandonStream(src.Engine, src.Info.Ref) })
		return sinkFailed(ctx, err)
	}
	return verdict.Wrap(err, verdict.Ran, verdict.CodeStreamLost, "the stream can't be resumed")
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
