package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// CallTimeout bounds one call to the table or the object store where the
// caller's context leaves more time.
const CallTimeout = 2 * time.Second

// commitRetryBackoff spaces the retries of one transaction.
var commitRetryBackoff = backoff.Policy{Min: 20 * time.Millisecond, Max: 500 * time.Millisecond}

// CommitResolved commits txn and resolves lost responses: it retries the same
// transaction until the table responds or ctx ends. That is safe when each row
// with a condition is also written: the first commit changes the versions, so
// that no second one can succeed.
//
// isApplied reads whether the row has the caller's nonce. It is called after a
// conflict, which an earlier try of the same transaction may have caused, and
// after a lost response, since reads may still work.
//
// ErrEraChanged is not retried: the conditions mean nothing in a newer era.
//
// The error is ErrConflict when another writer committed first; any other error
// with verdict.NotRun means that txn had no effect and never will; with
// verdict.MayHaveRun it may have had, or may still have, its effect.
func CommitResolved(ctx context.Context, t Table, txn Txn, isApplied func(context.Context) (bool, error)) error {
	outcomeUnknown := false
	for try := 0; ; try++ {
		err := commitOnce(ctx, t, txn)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrEraChanged):
			if outcomeUnknown {
				err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePlatformUnavailable, "the response of the table was lost before the store was restored")
			}
			return err
		case errors.Is(err, ErrConflict):
			committed, readErr := isApplied(ctx)
			if readErr == nil {
				return resolveConflict(committed)
			}
			err, outcomeUnknown = readErr, true
		case verdict.Of(err) == verdict.NotRun:
			if !outcomeUnknown {
				return err
			}
		default:
			outcomeUnknown = true
			if committed, readErr := isApplied(ctx); readErr == nil && committed {
				return nil
			}
		}
		if commitRetryBackoff.Wait(ctx, try) != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePlatformUnavailable, "the response of the table was lost and the outcome could not be read")
		}
	}
}

func resolveConflict(committed bool) error {
	if committed {
		return nil
	}
	return verdict.Wrap(ErrConflict, verdict.NotRun, verdict.CodeConflict, "another writer committed first")
}

func commitOnce(ctx context.Context, t Table, txn Txn) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return t.Commit(ctx, txn)
}

// ObjectDeleter is implemented by object stores that can delete. For others, the
// store's own retention rules must remove old objects.
type ObjectDeleter interface {
	// Delete deletes an object. It returns nil when the object does not exist.
	Delete(ctx context.Context, key string) error
}

// CommitVersion is CommitResolved that also returns the version of the rows written; it is zero
// if it is not known.
func CommitVersion(ctx context.Context, t Table, txn Txn, isApplied func(context.Context) (bool, error)) (Position, error) {
	recorder := &versionRecorder{Table: t}
	if err := CommitResolved(ctx, recorder, txn, isApplied); err != nil {
		return Position{}, err
	}
	return recorder.written, nil
}

// versionRecorder records the version of the last transaction.
type versionRecorder struct {
	Table
	written Position
}

// Commit implements Table.
func (r *versionRecorder) Commit(ctx context.Context, txn Txn) (err error) {
	r.written = Position{}
	table, ok := r.Table.(VersionedTable)
	if !ok {
		return r.Table.Commit(ctx, txn)
	}
	written, err := table.CommitVersion(ctx, txn)
	if err == nil {
		r.written = written
	}
	return err
}
