// Package once runs calls to plain services at most once per idempotency key.
// A record is written to the platform's table before a call is sent. A call
// whose record has no outcome is never run again.
//
// A record goes through these states:
//
//	(none) ──► claimed ──► answered   the reply is stored and replayed
//	              │  ├───► ran        the call ran, its reply was not stored
//	              │  └───► unknown    the call may or may not have run
//	              └──► released ──► claimed   the call did not run
//
// Only the attempt whose nonce a record carries moves it out of claimed. The
// row of a released record is kept until it expires, so that the condition of a
// delayed write by an earlier attempt fails.
package once

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// Retention is how long a key is remembered. A call repeated with the same
	// key after this may run a second time.
	Retention = 24 * time.Hour
	// claimTimeout bounds how long a call waits for the table before it is
	// refused.
	claimTimeout = 4 * time.Second
	// outcomeTimeout bounds how long a finished call waits for its outcome to be
	// written before the caller is answered regardless.
	outcomeTimeout = 2 * time.Second
	// maxOutcomeWait bounds how long a repeated call waits for the outcome of a
	// running attempt.
	maxOutcomeWait = 10 * time.Second
	// maxInlineReplyBytes bounds the body of a reply stored in the row; larger
	// replies go to the object store.
	maxInlineReplyBytes = 8 << 10
	// unavailableRetryAfter is the retry delay, before jitter, suggested to
	// callers while the table is unavailable.
	unavailableRetryAfter = 4 * time.Second
)

// outcomePollBackoff is the backoff between reads while a repeated call waits.
var outcomePollBackoff = backoff.Policy{Min: 50 * time.Millisecond, Max: time.Second}

// Records manages at-most-once records. It is safe for concurrent use. Run must
// be running for outcomes to be recorded after an outage of the table.
type Records struct {
	table   platform.Table
	objects platform.Objects
	log     *eventlog.Log
	pending *outcomeQueue
	recent  recentRecords
	eras    *platform.Eras
	// settledEra is the newest era in which all records are known to be written again.
	settledEra atomic.Uint64
}

// New returns Records over the platform's table and object store.
func New(table platform.Table, objects platform.Objects, log *eventlog.Log) *Records {
	return &Records{table: table, objects: objects, log: log, pending: newOutcomeQueue(), recent: recentRecords{byRow: map[string]recentRecord{}}, eras: platform.ErasOf(table)}
}

// Do runs a call at most once for its key and returns the reply, and whether
// it was replayed from an earlier run. run is called at most once, and only
// after the key has been claimed. Its error determines the recorded outcome:
// after verdict.NotRun the key may be claimed again, after verdict.Ran or
// verdict.MayHaveRun the call never runs again.
//
// A verdict covers this attempt and the earlier ones found in the record. While
// the table is unavailable, NotRun covers this attempt only.
//
// Errors that do not come from run are of type *verdict.Error: NotRun with the
// code idempotency_key_reused, platform_unavailable or canceled; Ran with
// outcome_unknown if the call ran and its reply was not stored, or with
// platform_unavailable if the stored reply can't be read; MayHaveRun with
// outcome_unknown if the outcome of an earlier attempt is unknown, or with
// platform_unavailable if its record can't be read.
func (r *Records) Do(ctx context.Context, key Key, fingerprint Fingerprint, run func(context.Context) (*upstream.Reply, error)) (reply *upstream.Reply, replayed bool, err error) {
	claim := record{State: claimed, Nonce: rand.Text(), Fingerprint: fingerprint, ClaimedAt: time.Now().UnixMicro()}
	found, err := r.claim(ctx, key, claim)
	if err != nil {
		return nil, false, err
	}
	if found != nil {
		reply, err = r.replay(ctx, key, *found)
		return reply, err == nil, err
	}
	r.emit(eventlog.OnceClaimed, key, claim.Nonce)
	if ctx.Err() != nil {
		r.recordOutcome(ctx, key, released, claim, nil)
		return nil, false, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeCanceled, "the caller disconnected before the call was sent")
	}
	reply, err = run(ctx)
	r.recordOutcome(ctx, key, outcomeState(err), claim, reply)
	return reply, false, err
}

func outcomeState(err error) state {
	if err == nil {
		return answered
	}
	switch verdict.Of(err) {
	case verdict.NotRun:
		return released
	case verdict.Ran:
		return ran
	default:
		return unknown
	}
}

// claim writes the claim to the table and returns nil, or returns the record of
// an earlier attempt that holds the key.
func (r *Records) claim(ctx context.Context, key Key, claim record) (*record, error) {
	waitUntil := time.Now().Add(maxOutcomeWait)
	at := platform.Position{}
	for try := 0; ; try++ {
		if err := r.unsettled(); err != nil {
			return nil, err
		}
		err := r.write(ctx, key, at, claim)
		if err == nil {
			if err := r.unsettled(); err != nil { // the answer told of the era
				r.pending.add(pendingOutcome{key: key, state: released, claim: claim})
				return nil, err
			}
			return nil, nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return nil, r.handleClaimFailure(ctx, key, claim, err)
		}
		found, foundAt, err := r.awaitOutcome(ctx, key, claim, waitUntil)
		if err != nil {
			return nil, err
		}
		if found != nil && found.State != released {
			return found, nil
		}
		at = foundAt
		if err := outcomePollBackoff.Wait(ctx, try); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeCanceled, "the caller disconnected before the call was sent")
		}
	}
}

// write commits a record of this attempt if its row is still at the given position.
func (r *Records) write(ctx context.Context, key Key, at platform.Position, rec record) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row := key.rowKey()
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: row, Version: at.Version}},
		Writes:     []platform.Write{{Key: row, Value: encodeRecord(rec)}},
		Era:        at.Era,
	}
	err := platform.CommitResolved(ctx, r.table, txn, func(ctx context.Context) (bool, error) {
		found, _, err := r.read(ctx, key)
		if err != nil {
			return false, err
		}
		return found != nil && found.Nonce == rec.Nonce && found.State == rec.State, nil
	})
	if err == nil {
		r.recent.add(key, rec, time.Now())
	}
	return err
}

// handleClaimFailure returns the error of a call that could not be claimed. The
// call did not run, but its claim may have reached the table or still reach it,
// so its release is queued.
func (r *Records) handleClaimFailure(ctx context.Context, key Key, claim record, cause error) error {
	if verdict.Of(cause) != verdict.NotRun {
		r.pending.add(pendingOutcome{key: key, state: released, claim: claim})
	}
	if ctx.Err() != nil {
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeCanceled, "the caller disconnected before the call was sent")
	}
	return r.unavailableError(verdict.NotRun, cause)
}

func (r *Records) unavailableError(v verdict.Verdict, cause error) error {
	e := verdict.Wrap(cause, v, verdict.CodePlatformUnavailable, "the table of at-most-once records is unavailable")
	e.RetryAfter = backoff.Jitter(unavailableRetryAfter)
	return e
}

// awaitOutcome reads the record and, while another attempt is running, waits for
// its outcome until the given time. It returns nil and version 0 if there is no
// record.
func (r *Records) awaitOutcome(ctx context.Context, key Key, claim record, until time.Time) (*record, platform.Position, error) {
	for try := 0; ; try++ {
		found, at, err := r.read(ctx, key)
		if err != nil {
			// The conflict proves that another attempt has claimed the key.
			return nil, at, r.unavailableError(verdict.MayHaveRun, err)
		}
		if found == nil {
			return nil, at, nil
		}
		if found.Fingerprint != claim.Fingerprint {
			return nil, at, verdict.New(verdict.NotRun, verdict.CodeIdempotencyKeyReused, "the idempotency key was already used for a different call")
		}
		if found.State != claimed {
			return found, at, nil
		}
		if time.Now().After(until) || outcomePollBackoff.Wait(ctx, try) != nil {
			return found, at, nil
		}
	}
}

// read returns the record and the position of its row, or nil if there is none.
func (r *Records) read(ctx context.Context, key Key) (*record, platform.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	row, err := r.table.Get(ctx, key.rowKey())
	at := platform.Position{Era: row.Era, Version: row.Version}
	if errors.Is(err, platform.ErrNotFound) {
		return nil, at, nil
	}
	if err != nil {
		return nil, at, err
	}
	rec, err := decodeRecord(row.Value)
	if err != nil {
		return nil, at, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the at-most-once record can't be decoded")
	}
	return &rec, at, nil
}

// replay returns the recorded outcome of an earlier attempt.
func (r *Records) replay(ctx context.Context, key Key, found record) (*upstream.Reply, error) {
	switch found.State {
	case answered:
		stored, err := r.loadReply(ctx, found)
		if err != nil {
			return nil, verdict.Wrap(err, verdict.Ran, verdict.CodePlatformUnavailable, "the call has already run; its reply can't be read now")
		}
		r.emit(eventlog.OnceReplayed, key, found.Nonce)
		return stored.toUpstream(), nil
	case ran:
		return nil, verdict.New(verdict.Ran, verdict.CodeOutcomeUnknown, "the call has already run; its reply was not stored")
	default:
		r.emit(eventlog.OnceOutcomeUnknown, key, found.Nonce)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the outcome of an earlier attempt with this key is unknown; the call was not run again")
	}
}

func (r *Records) loadReply(ctx context.Context, found record) (*reply, error) {
	if found.Reply != nil {
		return found.Reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	body, err := r.objects.Get(ctx, found.Object)
	if err != nil {
		return nil, err
	}
	return decodeReply(body)
}

func (r *Records) emit(id eventlog.ID, key Key, nonce string) {
	r.log.Emit(id, eventlog.Fields{Service: key.Service, Detail: "attempt " + nonce})
}
