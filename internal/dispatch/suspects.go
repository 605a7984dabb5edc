package dispatch

import (
	"context"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/suspects"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// fingerprintOf uses the last hash of the prompt's prefix chain, which covers
// the whole prompt and its organisation.
func fingerprintOf(req *ModelRequest, r *routing.Request) suspects.Fingerprint {
	last := r.Chain.Levels[len(r.Chain.Levels)-1]
	return suspects.Fingerprint(req.Service.Document.Service + "/" + req.Organisation.Name + "/" + strconv.FormatUint(last, 16))
}

// SuspectTracker tracks the requests suspected of crashing engines, across all daemons.
type SuspectTracker interface {
	// Status returns the status of a request. It is called for each attempt
	// and must be fast.
	Status(fp suspects.Fingerprint) suspects.Status
	// Claim acquires an exclusive claim on a name across all daemons, waiting
	// while another request holds it. Errors carry verdict.NotRun.
	Claim(ctx context.Context, name string) (release func(), err error)
	// EngineCrashed records that an incarnation of an engine ended while it was running
	// the given requests.
	EngineCrashed(engine, incarnation string, running []suspects.Fingerprint)
	// RequestCompleted records that a suspected request ran to completion.
	RequestCompleted(fp suspects.Fingerprint)
}

const (
	// crashPropagationDelay is how long a request waits after its engine crashed
	// before it is retried or answered; by then the crash has reached all daemons.
	crashPropagationDelay = time.Second
	// unknownStatusTTL is how long a request at an unreachable engine stays
	// listed, to become suspected if the engine turns out to have crashed.
	unknownStatusTTL = time.Minute
	// maxExitProbes bounds the probes of an engine that accepts connections and
	// breaks them, as an exiting process does; exitProbeInterval separates them.
	maxExitProbes     = 10
	exitProbeInterval = 50 * time.Millisecond
	// maxClaimWait bounds how long a suspected request waits for a claim.
	maxClaimWait = 30 * time.Second
)

// noSuspects disables the tracking of suspected requests.
type noSuspects struct{}

func (noSuspects) Status(suspects.Fingerprint) suspects.Status { return suspects.NotSuspected }

func (noSuspects) Claim(context.Context, string) (func(), error) { return func() {}, nil }

func (noSuspects) EngineCrashed(string, string, []suspects.Fingerprint) {}

func (noSuspects) RequestCompleted(suspects.Fingerprint) {}

// admit checks before an attempt whether the request or a part of its prompt is
// suspected of crashing engines. A suspected request waits until no other request with its
// fingerprint runs; t.releaseClaim lets the next one run.
func (t *requestTask) admit(ctx context.Context, route *routing.Request) error {
	status := t.dispatcher.cfg.Suspects.Status(t.fingerprint)
	if status == suspects.Suspected && t.releaseClaim == nil {
		release, err := t.claim(ctx, "request/"+string(t.fingerprint))
		if err != nil {
			return err
		}
		t.releaseClaim = release
		status = t.dispatcher.cfg.Suspects.Status(t.fingerprint) // it may have crashed an engine during the wait
	}
	if status == suspects.Quarantined {
		return verdict.New(verdict.NotRun, verdict.CodeQuarantined, refusalMessage(verdict.CodeQuarantined))
	}
	if err := t.admitParts(ctx); err != nil {
		return err
	}
	route.Isolated = status == suspects.Suspected
	return nil
}

func (t *requestTask) claim(ctx context.Context, name string) (func(), error) {
	ctx, cancel := context.WithTimeout(ctx, maxClaimWait)
	defer cancel()
	return t.dispatcher.cfg.Suspects.Claim(ctx, name)
}

// claimEngine makes a suspected request the only suspected one at its engine.
func (t *requestTask) claimEngine(a *attempt) error {
	if !a.action.Request.Isolated {
		return nil
	}
	release, err := t.claim(a.ctx, "engine/"+a.action.Endpoint)
	if err != nil {
		return err
	}
	a.releaseEngine = release
	return nil
}

// waitForCrashPropagation waits, if the last attempt's engine crashed, until the
// crash has reached the other daemons.
func (t *requestTask) waitForCrashPropagation(ctx context.Context) {
	if t.engineCrashed {
		t.engineCrashed = false
		_ = backoff.Sleep(ctx, crashPropagationDelay)
	}
}

// isProcessGone reports whether the error of a probe proves that the engine's
// process has exited: another incarnation runs, or nothing listens there.
func isProcessGone(err error) bool {
	return errors.Is(err, errEngineRestarted) || errors.Is(err, syscall.ECONNREFUSED)
}

// isConnectionBroken reports whether a probe's connection was accepted and then
// broken, as happens while a process exits, before connections are refused.
func isConnectionBroken(err error) bool {
	return errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF)
}

// reportCrash records the requests that an engine was running when it crashed as
// suspected, and the prompt parts of those whose answers it had not begun.
func (d *Dispatcher) reportCrash(engine, incarnationID string) {
	seen := map[suspects.Fingerprint]bool{}
	var fingerprints []suspects.Fingerprint
	var service string
	var unbegun []suspects.UnbegunRequest
	for t, running := range d.running.takeStarted(incarnation{engine, incarnationID}) {
		if !seen[t.fingerprint] {
			seen[t.fingerprint] = true
			fingerprints = append(fingerprints, t.fingerprint)
		}
		if !running.begun {
			service = t.req.Service.Document.Service // an engine serves one
			unbegun = append(unbegun, t.unbegunRequest(&running))
		}
	}
	if len(fingerprints) > 0 {
		d.cfg.Suspects.EngineCrashed(engine, incarnationID, fingerprints)
	}
	if len(unbegun) > 0 {
		d.cfg.PromptParts.EngineCrashed(service, engine, incarnationID, unbegun)
	}
}

// checkIncarnations looks in a snapshot for engines that have restarted while
// this daemon had requests there, and confirms each restart with a probe.
func (d *Dispatcher) checkIncarnations(s *fleet.Snapshot) {
	for _, running := range d.running.incarnations(time.Now()) {
		u := s.ByAddress[running.engine]
		if u == nil || u.Engine.Incarnation == "" || u.Engine.Incarnation == running.id {
			continue
		}
		d.runInBackground(func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
			defer cancel()
			if isProcessGone(d.probe(ctx, running.engine, running.id)) {
				d.reportCrash(running.engine, running.id)
			}
		})
	}
}
