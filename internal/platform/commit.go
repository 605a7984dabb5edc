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

// commitBackoff spaces the tries of one transaction.
var commitBackoff = backoff.Policy{Min: 20 * time.Millisecond, Max: 500 * time.Millisecond}

// CommitResolved applies txn and resolves answers that were lost. It sends the
// same transaction again until the table answers or ctx ends. That is safe
// when each row with a condition is also written: the first application
// changes the versions, so that no other can follow.
//
// applied reads back whether the caller's nonce is in force; it is asked
// after a conflict, which may be the caller's own earlier try, and after a
// lost answer, since reads may still be answered.
//
// The error is ErrConflict when another writer was first; any other error
// with verdict.NotRun means that txn had no effect and never will; with
// verdict.MayHaveRun it may have had, or may still have, its effect.
func CommitResolved(ctx context.Context, t Table, txn Txn, applied func(context.Context) (bool, error)) error {
	unanswered := false
	for try := 0; ; try++ {
		err := commitOnce(ctx, t, txn)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrConflict):
			mine, readErr := applied(ctx)
			if readErr == nil {
				return conflictUnless(mine)
			}
			err, unanswered = readErr, true
		case verdict.Of(err) == verdict.NotRun:
			if !unanswered {
				return err
			}
		default:
			unanswered = true
			if mine, readErr := applied(ctx); readErr == nil && mine {
				return nil
			}
		}
		if commitBackoff.Wait(ctx, try) != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePlatformUnavailable, "the table's answer was lost and could not be read back")
		}
	}
}

func conflictUnless(mine bool) error {
	if mine {
		return nil
	}
	return verdict.Wrap(ErrConflict, verdict.NotRun, verdict.CodeConflict, "another writer was first")
}

func commitOnce(ctx context.Context, t Table, txn Txn) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return t.Commit(ctx, txn)
}

// ObjectDeleter is implemented by object stores that can delete. Without it,
// the store's own retention rules must remove old objects.
type ObjectDeleter interface {
	// Delete removes an object; one that does not exist is no error.
	Delete(ctx context.Context, key string) error
}
