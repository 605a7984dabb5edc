package forward

import (
	"context"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// PromptPartTracker tracks, over all daemons, the prompt parts that may crash the
// upstreams that begin an answer on them. Parts are given by their keys.
type PromptPartTracker interface {
	// Key returns the key of a part of prompts for a model of a service. Parts of
	// different owners have different keys.
	Key(service, model, owner, id string) string
	// Known reports whether any part is suspected; if not, only UpstreamCrashed and Begun
	// are called.
	Known() bool
	// Suspected returns those of the parts that may crash upstreams.
	Suspected(parts []string) []string
	// Refusing returns those of a prompt's parts because of which it must not run.
	Refusing(parts []string) []string
	// ClaimTrial reports whether one request may run although its prompt must not. If no
	// upstream can have run it, handBack hands the trial back.
	ClaimTrial(ctx context.Context, service string, parts []string) (handBack func(), ok bool)
	// Begun records that a request with the parts began its answer.
	Begun(service string, parts []string)
	// UpstreamCrashed records that a process of an upstream ended before it had
	// begun the answers of requests.
	UpstreamCrashed(service, upstream, process string, requests []RunningRequest)
}

// RunningRequest is a request that an upstream was running when it broke the
// connection.
type RunningRequest struct {
	// Fingerprint is the same for equal requests of one organisation.
	Fingerprint string
	// SharedParts are the keys of the prompt parts that other prompts may share.
	SharedParts []string
	// OwnPart is the ID of the prompt's last part.
	OwnPart      string
	Organisation string
	// Begun is set if a complete event or body of the answer has arrived.
	Begun            bool
	SentAt, BrokenAt time.Time
	// ConnectedAt is when the connection was opened; zero if that is not known.
	ConnectedAt time.Time
}

// crashRetryDelay is the time from a crash to the retry of a request whose prompt may
// be its cause. By then all daemons know of the crash, and a failure of several
// upstreams at once is over.
const crashRetryDelay = 300 * time.Millisecond

// crashCheckTimeout is how long such a request waits for the result of a probe: that of
// one under way and the next, unless the daemon is held up.
const crashCheckTimeout = 2 * probeAttempts * probeTimeout

// suspicionPollInterval is how often such a request looks whether its prompt has been
// cleared meanwhile.
const suspicionPollInterval = 30 * time.Millisecond

// sharedParts returns the keys of the prompt parts that other prompts may share: all
// but the last.
func (t *transfer) sharedParts() []string {
	p := t.metadata.Prompt
	if p == nil || len(p.Parts) < 2 || t.forwarder.PromptParts == nil {
		return nil
	}
	out := make([]string, len(p.Parts)-1)
	for i := range out {
		out[i] = t.forwarder.PromptParts.Key(t.serviceName, p.Model, t.promptPartOwner(), p.Parts[i].ID)
	}
	return out
}

// knownParts returns the shared parts, or nil if no part of any prompt is suspected.
func (t *transfer) knownParts() []string {
	if t.forwarder.PromptParts == nil || !t.forwarder.PromptParts.Known() {
		return nil
	}
	return t.sharedParts()
}

// partQuarantineError returns an error if a part of the prompt is quarantined and this
// request is not its trial.
func (t *transfer) partQuarantineError(ctx context.Context) error {
	parts := t.refusedParts()
	if len(parts) == 0 {
		return nil
	}
	if !t.onTrial && t.attemptsRun == 0 {
		if t.handBackTrial, t.onTrial = t.forwarder.PromptParts.ClaimTrial(ctx, t.serviceName, parts); t.onTrial {
			return nil
		}
	}
	return errPartQuarantined()
}

// endTrial hands the request's trial back if no upstream can have run it.
func (t *transfer) endTrial() {
	if t.onTrial && t.attemptsRun == 0 {
		t.handBackTrial()
	}
}

// refusedParts returns the shared parts if the request must not run because of some of
// them, otherwise nil.
func (t *transfer) refusedParts() []string {
	parts := t.knownParts()
	if len(parts) == 0 || t.onTrial && t.attemptsRun == 0 || len(t.forwarder.PromptParts.Refusing(parts)) == 0 {
		return nil
	}
	return parts
}

func errPartQuarantined() error {
	e := verdict.New(verdict.NotRun, verdict.CodeQuarantined, "a part of the prompt is quarantined: upstreams crashed while running requests with it")
	e.RetryAfter = quarantineRetryAfter
	return e
}

// recordBegin records that the upstream has sent a complete event or body.
func (t *transfer) recordBegin() {
	if t.begun {
		return
	}
	t.begun = true
	if parts := t.sharedParts(); len(parts) > 0 {
		t.forwarder.PromptParts.Begun(t.serviceName, parts)
	}
}

// awaitCrashCheck delays a retry until it is known whether the upstream that broke the
// connection has crashed, or crashCheckTimeout has passed. If it has crashed and the
// prompt is suspected, it waits until the prompt is cleared or crashRetryDelay has passed.
// It returns early when ctx ends.
func (t *transfer) awaitCrashCheck(ctx context.Context) {
	check := t.crashCheck
	t.crashCheck = nil
	if check == nil {
		return
	}
	select {
	case crashed := <-check:
		if !crashed {
			return
		}
	case <-time.After(crashCheckTimeout):
		return
	case <-ctx.Done():
		return
	}
	parts := t.sharedParts()
	for time.Since(t.brokenAt) < crashRetryDelay && len(t.forwarder.PromptParts.Suspected(parts)) > 0 {
		if backoff.Sleep(ctx, suspicionPollInterval) != nil {
			return
		}
	}
}
