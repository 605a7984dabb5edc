// Package once makes calls of plain services run at most once. A record is
// put into the platform's table before a call leaves; whoever finds a record
// without an outcome never runs the call again.
//
// A record goes through these states:
//
//	(none) ──► claimed ──► answered   the reply is kept and given again
//	              │  ├───► ran        the call ran, its reply was not kept
//	              │  └───► unknown    nobody knows whether the call ran
//	              └──► released ──► claimed   the call certainly did not run
//
// Only the attempt whose nonce a record carries moves it out of claimed. A
// released record stays as a row until it expires, so that a delayed write of
// an earlier attempt finds its condition broken.
package once

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// Retention is how long a key is remembered. A caller that repeats a call
	// with the same key later than this may run it a second time.
	Retention = 24 * time.Hour
	// claimTimeout bounds how long a call waits for the table before it is refused.
	claimTimeout = 4 * time.Second
	// settleTimeout bounds how long a finished call waits for the table to
	// take its outcome, before the caller is answered all the same.
	settleTimeout = 2 * time.Second
	// outcomeWait bounds how long a repeated call waits for the outcome of the
	// attempt that is running.
	outcomeWait = 10 * time.Second
	// maxInlineBytes bounds a reply kept in the row; larger ones go to the object store.
	maxInlineBytes = 8 << 10
	// refusedRetryAfter is the pause, before jitter, suggested to callers while the table is down.
	refusedRetryAfter = 4 * time.Second
)

// outcomePoll spaces the reads while a repeated call waits.
var outcomePoll = backoff.Policy{Min: 50 * time.Millisecond, Max: time.Second}

// Records keeps at-most-once records. It is safe for concurrent use. Run must
// be running for outcomes to be recorded after an outage.
type Records struct {
	table   platform.Table
	objects platform.Objects
	log     *eventlog.Log
	pending *settlements
}

// New returns Records over the platform's table and object store.
func New(table platform.Table, objects platform.Objects, log *eventlog.Log) *Records {
	return &Records{table: table, objects: objects, log: log, pending: newSettlements()}
}

// Do runs a call at most once for its key and returns the reply, and whether
// it was replayed from an earlier run. run is called at most once, only after
// the record was claimed. The record is settled by run's error: with
// verdict.NotRun the key may be claimed again, with verdict.Ran or
// verdict.MayHaveRun the call never runs again.
//
// A verdict speaks of this attempt and of what the record tells of earlier
// ones; while the table is down, NotRun speaks of this attempt alone.
//
// Errors that do not come from run carry a verdict.Error: NotRun with
// CodeIdempotencyMismatch, CodePlatformUnavailable or CodeCanceled; Ran with
// CodeOutcomeUnknown when the call ran and its reply was not kept; MayHaveRun
// with CodeOutcomeUnknown when an earlier attempt has no known outcome.
func (r *Records) Do(ctx context.Context, key Key, fp Fingerprint, run func(context.Context) (*upstream.Reply, error)) (reply *upstream.Reply, replayed bool, err error) {
	mine := record{State: claimed, Nonce: rand.Text(), Fingerprint: fp, ClaimedAt: time.Now().UnixMicro()}
	found, err := r.claim(ctx, key, mine)
	if err != nil {
		return nil, false, err
	}
	if found != nil {
		reply, err = r.replay(ctx, key, *found)
		return reply, err == nil, err
	}
	r.emit(eventlog.OnceClaimed, key, mine.Nonce)
	if ctx.Err() != nil {
		r.settle(ctx, key, released, mine, nil)
		return nil, false, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeCanceled, "the caller left before the call was sent")
	}
	reply, err = run(ctx)
	r.settle(ctx, key, settledState(err), mine, reply)
	return reply, false, err
}

func settledState(err error) state {
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

// claim puts mine into the table. It returns nil when it did, or the settled
// record of an earlier attempt.
func (r *Records) claim(ctx context.Context, key Key, mine record) (*record, error) {
	waitUntil := time.Now().Add(outcomeWait)
	version := uint64(0)
	for try := 0; ; try++ {
		err := r.write(ctx, key, version, mine)
		if err == nil {
			return nil, nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return nil, r.refuseClaim(ctx, key, mine, err)
		}
		found, foundVersion, err := r.awaitOutcome(ctx, key, mine, waitUntil)
		if err != nil {
			return nil, err
		}
		if found != nil && found.State != released {
			return found, nil
		}
		version = foundVersion
		if err := outcomePoll.Wait(ctx, try); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeCanceled, "the caller left before the call was sent")
		}
	}
}

// write commits a record of this attempt over the given version of its row.
func (r *Records) write(ctx context.Context, key Key, version uint64, rec record) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row := key.row()
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: row, Version: version}},
		Writes:     []platform.Write{{Key: row, Value: encodeRecord(rec)}},
	}
	return platform.CommitResolved(ctx, r.table, txn, func(ctx context.Context) (bool, error) {
		found, _, err := r.read(ctx, key)
		if err != nil {
			return false, err
		}
		return found != nil && found.Nonce == rec.Nonce && found.State == rec.State, nil
	})
}

// refuseClaim turns a failed claim into a refusal. The call was not run, but
// its claim may be in the table or still arrive there; it is released later.
func (r *Records) refuseClaim(ctx context.Context, key Key, mine record, cause error) error {
	if verdict.Of(cause) != verdict.NotRun {
		r.pending.add(settlement{key: key, state: released, claim: mine})
	}
	if ctx.Err() != nil {
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeCanceled, "the caller left before the call was sent")
	}
	return r.unavailable(verdict.NotRun, cause)
}

func (r *Records) unavailable(v verdict.Verdict, cause error) error {
	e := verdict.Wrap(cause, v, verdict.CodePlatformUnavailable, "the table of at-most-once calls does not answer")
	e.RetryAfter = backoff.Jitter(refusedRetryAfter)
	return e
}

// awaitOutcome reads the record and, while another attempt runs, waits for
// its outcome. It returns nil and version 0 when there is no record.
func (r *Records) awaitOutcome(ctx context.Context, key Key, mine record, until time.Time) (*record, uint64, error) {
	for try := 0; ; try++ {
		found, version, err := r.read(ctx, key)
		if err != nil {
			// The conflict proved that another attempt has the key.
			return nil, 0, r.unavailable(verdict.MayHaveRun, err)
		}
		if found == nil {
			return nil, 0, nil
		}
		if found.Fingerprint != mine.Fingerprint {
			return nil, 0, verdict.New(verdict.NotRun, verdict.CodeIdempotencyMismatch, "the idempotency key was used before with another call")
		}
		if found.State != claimed {
			return found, version, nil
		}
		if time.Now().After(until) || outcomePoll.Wait(ctx, try) != nil {
			return found, version, nil
		}
	}
}

// read returns the record and the version of its row, nil when there is none.
func (r *Records) read(ctx context.Context, key Key) (*record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	row, err := r.table.Get(ctx, key.row())
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	rec, err := decodeRecord(row.Value)
	if err != nil {
		return nil, 0, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the at-most-once record is unreadable")
	}
	return &rec, row.Version, nil
}

// replay gives the outcome of an earlier attempt.
func (r *Records) replay(ctx context.Context, key Key, found record) (*upstream.Reply, error) {
	switch found.State {
	case answered:
		kept, err := r.keptReply(ctx, found)
		if err != nil {
			return nil, verdict.Wrap(err, verdict.Ran, verdict.CodePlatformUnavailable, "the call ran before; its reply can't be read now")
		}
		r.emit(eventlog.OnceReplayed, key, found.Nonce)
		return kept.upstream(), nil
	case ran:
		return nil, verdict.New(verdict.Ran, verdict.CodeOutcomeUnknown, "the call ran before; its reply was not kept")
	default:
		r.emit(eventlog.OnceUnknown, key, found.Nonce)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "an earlier attempt with this key has no known outcome; the call was not run again")
	}
}

func (r *Records) keptReply(ctx context.Context, found record) (*reply, error) {
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
