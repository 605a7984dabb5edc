package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/schedule"
	"github.com/verbenabend/verbenabend/internal/suspects"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Generate serves a model request and returns nil once its last event has been
// passed to sink. Errors carry a verdict that covers all attempts.
func (d *Dispatcher) Generate(ctx context.Context, req *ModelRequest, sink Sink) error {
	r := d.ensureRunner(req.Service)
	var err error
	for range maxAttempts {
		chosen := d.selectVersion(req)
		err = d.generate(ctx, r, chosen, sink)
		if !d.versionChanged(err, req, chosen) {
			return err
		}
	}
	return err
}

func (d *Dispatcher) generate(ctx context.Context, r *schedule.Runner, req *ModelRequest, sink Sink) error {
	task := &requestTask{dispatcher: d, runner: r, req: req, sink: sink, priorVerdict: verdict.NotRun}
	route := routingRequest(req)
	task.fingerprint, task.promptParts = fingerprintOf(req, &route), promptParts(req)
	defer task.releaseRequestClaim()
	defer task.trial.end()
	for range maxAttempts {
		attemptRoute := route
		attemptRoute.PreviousAttempts, attemptRoute.ExcludedEndpoints = task.failedAttempts, slices.Clone(task.failedEngines)
		task.waitForCrashPropagation(ctx)
		if err := task.admit(ctx, &attemptRoute); err != nil {
			return withPriorVerdict(err, task.priorVerdict)
		}
		winner, err := task.raceAttempts(ctx, &attemptRoute)
		if err != nil {
			return withPriorVerdict(err, task.priorVerdict)
		}
		if winner == nil {
			continue
		}
		if retry, err := task.relay(ctx, winner); !retry {
			task.waitForCrashPropagation(ctx)
			return withPriorVerdict(err, task.priorVerdict)
		}
	}
	task.waitForCrashPropagation(ctx)
	return withPriorVerdict(task.lastErr, task.priorVerdict)
}

// releaseRequestClaim releases the claim that a suspected request holds across
// its attempts.
func (t *requestTask) releaseRequestClaim() {
	if t.releaseClaim != nil {
		t.releaseClaim()
	}
}

func routingRequest(req *ModelRequest) routing.Request {
	levels := make([]string, len(req.Messages))
	for i, m := range req.Messages {
		levels[i] = m.Content
	}
	scope := prefix.Scope{Organisation: req.Organisation.Name, Weights: req.Model.Weights()}
	chain := prefix.New(scope, levels, req.Service.Document.CacheBlock.Bytes)
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

// requestTask is the state of one model request across its attempts.
type requestTask struct {
	dispatcher *Dispatcher
	runner     *schedule.Runner
	req        *ModelRequest
	sink       Sink
	// failedEngines lists the engines to avoid, because an attempt failed there.
	failedEngines []string
	// failedAttempts counts failed attempts, except those that an engine refused
	// because this daemon's view of it was stale and those that were not sent.
	failedAttempts int
	// priorVerdict covers all attempts that have failed; lastErr is the error of
	// the last one.
	priorVerdict verdict.Verdict
	lastErr      error

	fingerprint suspects.Fingerprint
	// releaseClaim releases the claim of a suspected request; nil without one.
	releaseClaim func()
	// promptParts are the keys of the prompt's parts.
	promptParts []string
	trial       partTrial
	// engineCrashed is set when the engine of the last attempt crashed.
	engineCrashed bool
}

// Resume continues a stream whose connection the caller lost, from the position
// in its resume token. Errors carry a verdict.
func (d *Dispatcher) Resume(ctx context.Context, req *ModelRequest, p resume.Position, sink Sink) error {
	if p.Ended {
		return nil
	}
	src := StreamSource{Engine: p.Engine, Info: upstream.StreamInfo{
		Ref:          upstream.StreamRef{Incarnation: p.Incarnation, StreamID: p.StreamID},
		Organisation: p.Organisation, Weights: p.Weights, RequestID: p.RequestID,
	}}
	reader := newStreamReader(d, req, src, nil, p.NextIndex)
	err := relayEvents(ctx, reader, sink, nil)
	reader.close()
	if err == nil {
		return nil
	}
	if endedByCaller(ctx, err) {
		d.runInBackground(func() { d.abandonStream(src.Engine, src.Info.Ref) })
		return disconnectError(ctx, err)
	}
	return verdict.Wrap(err, verdict.Ran, verdict.CodeStreamLost, "the stream can't be resumed")
}

func refusalMessage(c verdict.Code) string {
	switch c {
	case verdict.CodeNoUpstream:
		return "no engine serves this model now"
	case verdict.CodeDeadlineUnreachable:
		return "the request can't be served before its deadline"
	case verdict.CodeQuarantined:
		return "the request crashed engines and is quarantined"
	default:
		return "the service is overloaded"
	}
}
