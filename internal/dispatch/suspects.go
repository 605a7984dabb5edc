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
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Fingerprint identifies a request's organisation, service and prompt.
type Fingerprint string

// fingerprintOf relies on the prompt's chain, which covers all of its text
// under its organisation.
func fingerprintOf(req *ModelRequest, r *routing.Request) Fingerprint {
	last := r.Chain.Levels[len(r.Chain.Levels)-1]
	return Fingerprint(req.Service.Document.Service + "/" + req.Organisation.Name + "/" + strconv.FormatUint(last, 16))
}

// Standing says how a request may run.
type Standing int8

const (
	// Clear requests run as any other.
	Clear Standing = iota
	// Suspect requests ran at an engine that died; they run one at a time, and
	// never beside another suspect.
	Suspect
	// Quarantined requests do not run.
	Quarantined
)

// Suspects knows the requests that may crash engines, over all daemons.
type Suspects interface {
	// Standing is asked for each request and must be fast.
	Standing(fp Fingerprint) Standing
	// Claim waits until no other daemon or request holds the name, and holds
	// it until release is called. Errors carry verdict.NotRun.
	Claim(ctx context.Context, name string) (release func(), err error)
	// Died records that a life of an engine ended while it ran requests.
	Died(engine, incarnation string, running []Fingerprint)
	// Survived records that a suspect ran to its end.
	Survived(fp Fingerprint)
}

const (
	// suspectSpread is how long a request waits after its engine died, before
	// it is tried again or its caller is told: by then all daemons know.
	suspectSpread = time.Second
	// unresolvedLife is how long a request that was at an engine which can't
	// be reached is held ready to become a suspect.
	unresolvedLife = time.Minute
	// maxEndProbes bounds the probes of an engine that breaks each connection
	// as a process does that is ending; endProbePause lies between them.
	maxEndProbes  = 10
	endProbePause = 50 * time.Millisecond
	// claimWait bounds the wait of a suspect for its turn.
	claimWait = 30 * time.Second
)

// noSuspects is used when nothing is configured.
type noSuspects struct{}

func (noSuspects) Standing(Fingerprint) Standing { return Clear }

func (noSuspects) Claim(context.Context, string) (func(), error) { return func() {}, nil }

func (noSuspects) Died(string, string, []Fingerprint) {}

func (noSuspects) Survived(Fingerprint) {}

// admit checks the request's standing before an attempt. A suspect waits
// until it is the only copy of itself; t.free ends that.
func (t *transfer) admit(ctx context.Context, next *routing.Request) error {
	standing := t.d.cfg.Suspects.Standing(t.fingerprint)
	if standing == Suspect && t.free == nil {
		release, err := t.claim(ctx, "request/"+string(t.fingerprint))
		if err != nil {
			return err
		}
		t.free = release
		standing = t.d.cfg.Suspects.Standing(t.fingerprint) // it may have crashed an engine meanwhile
	}
	if standing == Quarantined {
		return verdict.New(verdict.NotRun, verdict.CodeQuarantined, refusalText(verdict.CodeQuarantined))
	}
	next.Alone = standing == Suspect
	return nil
}

func (t *transfer) claim(ctx context.Context, name string) (func(), error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	return t.d.cfg.Suspects.Claim(ctx, name)
}

// claimEngine makes a suspect the only one at its engine.
func (t *transfer) claimEngine(a *attempt) error {
	if !a.action.Request.Alone {
		return nil
	}
	release, err := t.claim(a.ctx, "engine/"+a.action.Endpoint)
	if err != nil {
		return err
	}
	a.free = release
	return nil
}

// spread waits until the other daemons know of the death that the request saw.
func (t *transfer) spread(ctx context.Context) {
	if t.sawDeath {
		t.sawDeath = false
		_ = backoff.Sleep(ctx, suspectSpread)
	}
}

// isDead reports whether the error of a probe proves that the engine's
// process has ended: it runs as another incarnation, or nothing listens there.
func isDead(err error) bool {
	return errors.Is(err, errRestarted) || errors.Is(err, syscall.ECONNREFUSED)
}

// isConnectionBroken reports whether a probe's connection was accepted and then
// broken, which a process does that is ending, before it refuses connections.
func isConnectionBroken(err error) bool {
	return errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF)
}

// died makes suspects of the requests that an engine ran when its life ended.
func (d *Dispatcher) died(engine, id string) {
	seen := map[Fingerprint]bool{}
	var fingerprints []Fingerprint
	for _, t := range d.running.take(incarnation{engine, id}) {
		if !seen[t.fingerprint] {
			seen[t.fingerprint] = true
			fingerprints = append(fingerprints, t.fingerprint)
		}
	}
	if len(fingerprints) > 0 {
		d.cfg.Suspects.Died(engine, id, fingerprints)
	}
}

// checkLives looks for engines that run as another incarnation than the one
// at which this daemon has requests, and confirms it over a new connection.
func (d *Dispatcher) checkLives(s *fleet.Snapshot) {
	for _, life := range d.running.list(time.Now()) {
		u := s.ByAddress[life.engine]
		if u == nil || u.Engine.Incarnation == "" || u.Engine.Incarnation == life.id {
			continue
		}
		d.goBackground(func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
			defer cancel()
			if isDead(d.probe(ctx, life.engine, life.id)) {
				d.died(life.engine, life.id)
			}
		})
	}
}
