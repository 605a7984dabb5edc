package dispatch

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/suspects"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// PartTracker tracks, across all daemons, the prompt parts that may crash the engines
// that begin an answer on them. Parts are given by their keys, see suspects.PartKey.
type PartTracker interface {
	// Refusing returns those of a prompt's parts because of which it must not run. It is
	// called for each attempt and must be fast.
	Refusing(parts []string) []string
	// ClaimTrial reports whether one request may run although its prompt must not. If no
	// engine can have run it, handBack hands the trial back.
	ClaimTrial(ctx context.Context, service string, parts []string) (handBack func(), ok bool)
	// Begun records that a request with the parts began its answer.
	Begun(service string, parts []string)
	// EngineCrashed records that an incarnation of an engine ended before it had begun
	// the answers of requests.
	EngineCrashed(service, engine, incarnation string, requests []suspects.UnbegunRequest)
}

var _ PartTracker = (*suspects.Parts)(nil)

// noParts disables the tracking of prompt parts.
type noParts struct{}

func (noParts) Refusing([]string) []string { return nil }

func (noParts) ClaimTrial(context.Context, string, []string) (func(), bool) { return nil, false }

func (noParts) Begun(string, []string) {}

func (noParts) EngineCrashed(string, string, string, []suspects.UnbegunRequest) {}

// quarantineRetryAfter is the retry delay suggested to the caller of a request that is
// refused because of a part of its prompt.
const quarantineRetryAfter = time.Minute

// promptParts returns the keys of the prompt's messages, each once. The last is one of
// them: callers may send the same text after different messages. Like caches,
// suspicion is not shared between organisations or versions of weights.
func promptParts(req *ModelRequest) []string {
	organisation := req.Organisation.Name
	out := make([]string, len(req.Messages))
	for i, m := range req.Messages {
		text := strconv.FormatUint(prefix.PartKey(organisation, m.Content), 16)
		out[i] = suspects.PartKey(req.Service.Document.Service, req.Model.Weights(), organisation, text)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// errPartQuarantined marks the error of a request with a quarantined part.
var errPartQuarantined = errors.New("prompt part quarantined")

func partQuarantinedError() error {
	e := verdict.New(verdict.NotRun, verdict.CodeQuarantined, "a part of the prompt is quarantined: engines crashed while running requests with it")
	e.RetryAfter = quarantineRetryAfter
	return errors.Mark(e, errPartQuarantined)
}

// partsRefused reports whether the request must not run because of parts of its prompt.
func (t *requestTask) partsRefused() bool {
	return len(t.dispatcher.cfg.PromptParts.Refusing(t.promptParts)) > 0
}

// admitParts returns an error if a part of the prompt is quarantined and this request
// is not its trial. Only a request that has not run can become one.
func (t *requestTask) admitParts(ctx context.Context) error {
	if !t.partsRefused() || t.trial.available() {
		return nil
	}
	if t.priorVerdict == verdict.NotRun && !t.trial.claimed() {
		if handBack, ok := t.dispatcher.cfg.PromptParts.ClaimTrial(ctx, t.req.Service.Document.Service, t.promptParts); ok {
			t.trial.begin(handBack)
			return nil
		}
	}
	return partQuarantinedError()
}

// admitAttempt checks a second time, right before an attempt is sent: a part may have
// been quarantined while the request waited. Of a trial's attempts one is sent at a time
// until one may have run.
func (t *requestTask) admitAttempt(a *attempt) error {
	a.onTrial = t.trial.acquire()
	if !a.onTrial && t.partsRefused() {
		return partQuarantinedError()
	}
	return nil
}

// recordBegin records that the engine began the answer of an attempt.
func (t *requestTask) recordBegin(a *attempt) {
	t.dispatcher.running.markBegun(t, a.action)
	t.dispatcher.cfg.PromptParts.Begun(t.req.Service.Document.Service, t.promptParts)
}

// unbegunRequest describes the request, whose engine crashed before it began the answer.
func (t *requestTask) unbegunRequest(running *runningRequest) suspects.UnbegunRequest {
	brokenAt := running.brokenAt
	if brokenAt.IsZero() {
		brokenAt = time.Now()
	}
	return suspects.UnbegunRequest{ID: string(t.fingerprint), Parts: t.promptParts, Organisation: t.req.Organisation.Name, SentAt: running.sentAt, BrokenAt: brokenAt}
}

// partTrial is the state of a request that runs in spite of a quarantined part. Its
// zero value is that of a request that doesn't. It is safe for concurrent use, since
// attempts may outlive their request.
type partTrial struct {
	mu sync.Mutex
	// handBack is nil without a trial.
	handBack func()
	// sending is set while an attempt is sent, mayHaveRun once one may have run, ended
	// once the request has ended.
	sending, mayHaveRun, ended bool
}

// begin makes the request a trial. handBack is called if no attempt can have run.
func (r *partTrial) begin(handBack func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handBack = handBack
}

// claimed reports whether the request is or was a trial.
func (r *partTrial) claimed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.handBack != nil
}

// available reports whether an attempt may be sent as the trial.
func (r *partTrial) available() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.availableLocked()
}

func (r *partTrial) availableLocked() bool {
	return r.handBack != nil && !r.sending && !r.mayHaveRun && !r.ended
}

// acquire reports whether an attempt may be sent as the trial, and keeps others from it
// until release.
func (r *partTrial) acquire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	available := r.availableLocked()
	r.sending = r.sending || available
	return available
}

// release records whether the attempt that acquired the trial may have run.
func (r *partTrial) release(mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sending, r.mayHaveRun = false, mayHaveRun
	r.handBackIfUnrun()
}

// end records that the request has ended.
func (r *partTrial) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.handBackIfUnrun()
}

// handBackIfUnrun hands the trial back once the request has ended and no attempt can
// have run. r.mu must be held.
func (r *partTrial) handBackIfUnrun() {
	if r.handBack != nil && r.ended && !r.sending && !r.mayHaveRun {
		r.handBack()
	}
}
