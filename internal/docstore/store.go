// Package docstore accepts revisions of service documents and brings them into
// force at every daemon.
//
// A submission puts its body into the object store under a unique key, then
// advances the service's revision and the change counter in one transaction of
// the table, then puts a head object that proves the acceptance. A daemon that
// adopts a document from the table first ensures that its head exists, so that
// every document in force can be found without the table, and a fleet that
// restarts while the table is down serves by the same documents as before.
package docstore

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// submitTimeout bounds one submission.
const submitTimeout = 10 * time.Second

// retryBackoff spaces the retries of object writes and transactions.
var retryBackoff = backoff.Policy{Min: 50 * time.Millisecond, Max: time.Second}

// ConflictError reports that a submission was not based on the revision in force.
type ConflictError struct {
	Service string
	// InForce is the revision in force.
	InForce servicedoc.Revision
	// Base is the revision that the submission was based on.
	Base servicedoc.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the document of %s is at revision %d, not %d; read it, merge and submit again", e.Service, e.InForce, e.Base)
}

// Store submits documents. It is safe for concurrent use.
type Store struct {
	table     platform.Table
	objects   platform.Objects
	catalogue *Catalogue
	publish   func(*servicedoc.Accepted)
	log       *eventlog.Log
}

// NewStore returns a Store that adopts accepted documents into catalogue and
// then passes them to publish, which may be nil.
func NewStore(table platform.Table, objects platform.Objects, catalogue *Catalogue, publish func(*servicedoc.Accepted), log *eventlog.Log) *Store {
	return &Store{table: table, objects: objects, catalogue: catalogue, publish: publish, log: log}
}

// Submit submits a document based on the revision in force, 0 for the first. A
// nil error means that it is accepted: it is in force at this daemon, will be
// at all others that are reachable, and does not revert.
//
// Errors: strictjson.Faults lists the faults of the document; *ConflictError
// gives the revision in force; a verdict.Error with NotRun means that the
// document was not accepted; with MayHaveRun and CodeOutcomeUnknown it may have
// been, and submitting the same body with the same base again tells which.
func (s *Store) Submit(ctx context.Context, body []byte, base servicedoc.Revision) (*servicedoc.Accepted, error) {
	a, err := servicedoc.NewAccepted(base+1, body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	sub := submission{Service: a.Document.Service, Revision: a.Revision, Nonce: rand.Text(), Digest: sha256.Sum256(body)}
	err = s.submit(ctx, sub, body)
	s.emitOutcome(sub, err)
	if err != nil {
		return nil, err
	}
	if s.catalogue.adopt(a) && s.publish != nil {
		s.publish(a)
	}
	return a, nil
}

func (s *Store) submit(ctx context.Context, sub submission, body []byte) error {
	accepted, err := s.findAccepted(ctx, sub)
	if err != nil {
		return err
	}
	if accepted == nil {
		if err := s.putObject(ctx, sub.bodyKey(), body); err != nil {
			return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "the document could not be written to the object store and was not accepted; submit it again later")
		}
		if accepted, err = s.commit(ctx, sub); err != nil {
			return err
		}
	}
	h := head{Format: storedFormat, Submission: *accepted, Body: body}
	if err := s.putObject(ctx, headKey(sub.Service, sub.Revision), mustEncode(&h)); err != nil {
		return outcomeUnknown(sub, err)
	}
	s.deleteOldObjects(ctx, sub)
	return nil
}

// findAccepted returns the accepted submission of the same revision and body, so
// that a submission whose response was lost can be repeated; nil when there is
// none. The error is a *ConflictError when sub is not based on the revision in
// force.
func (s *Store) findAccepted(ctx context.Context, sub submission) (*submission, error) {
	row, _, err := readRevision(ctx, s.table, sub.Service)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "the table could not be read or written; the document was not accepted, submit it again later")
	}
	return checkRevision(row, sub)
}

func checkRevision(row revisionRow, sub submission) (*submission, error) {
	if found, ok := row.find(sub.Revision); ok && found.Digest == sub.Digest {
		return &found, nil
	}
	if inForce := row.inForce().Revision; inForce+1 != sub.Revision {
		return nil, &ConflictError{Service: sub.Service, InForce: inForce, Base: sub.Revision - 1}
	}
	return nil, nil
}

// commit advances the revision and the change counter. It returns the accepted
// submission: sub, or an earlier one of the same revision and body.
func (s *Store) commit(ctx context.Context, sub submission) (*submission, error) {
	for try := 0; ; try++ {
		row, rowVersion, err := readRevision(ctx, s.table, sub.Service)
		if err != nil {
			return nil, notAccepted(err)
		}
		if found, err := checkRevision(row, sub); found != nil || err != nil {
			return found, err
		}
		counter, counterVersion, err := readCounter(ctx, s.table)
		if err != nil {
			return nil, notAccepted(err)
		}
		txn := platform.Txn{
			Conditions: []platform.Condition{{Key: revisionPrefix + sub.Service, Version: rowVersion}, {Key: counterKey, Version: counterVersion}},
			Writes: []platform.Write{
				{Key: revisionPrefix + sub.Service, Value: mustEncode(row.withSubmission(sub))},
				{Key: counterKey, Value: mustEncode(counter.withSubmission(sub))},
			},
		}
		err = platform.CommitResolved(ctx, s.table, txn, func(ctx context.Context) (bool, error) { return s.isAccepted(ctx, sub) })
		switch {
		case err == nil:
			return &sub, nil
		case errors.Is(err, platform.ErrConflict):
			// Another submission, perhaps of another service, committed first: read again.
		case verdict.Of(err) == verdict.NotRun:
			return nil, notAccepted(err)
		default:
			return nil, outcomeUnknown(sub, err)
		}
		if err := retryBackoff.Wait(ctx, try); err != nil {
			return nil, notAccepted(err)
		}
	}
}

// isAccepted reads whether a submission was accepted.
func (s *Store) isAccepted(ctx context.Context, sub submission) (bool, error) {
	row, _, err := readRevision(ctx, s.table, sub.Service)
	if err != nil {
		return false, err
	}
	if found, ok := row.find(sub.Revision); ok {
		return found.Nonce == sub.Nonce, nil
	}
	if row.inForce().Revision >= sub.Revision {
		return false, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the submission is older than the stored history; its outcome is not known")
	}
	return false, nil
}

func notAccepted(err error) error {
	return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "the table could not be read or written; the document was not accepted, submit it again later")
}

func outcomeUnknown(sub submission, err error) error {
	text := fmt.Sprintf("it is unknown whether revision %d of %s was accepted; to find out, submit the same text again, based on revision %d",
		sub.Revision, sub.Service, sub.Revision-1)
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeOutcomeUnknown, text)
}

func (s *Store) putObject(ctx context.Context, key string, body []byte) error {
	return putObject(ctx, s.objects, key, body)
}

// deleteOldObjects deletes the head and bodies of the revision that has left the
// history, if the object store can delete.
func (s *Store) deleteOldObjects(ctx context.Context, sub submission) {
	deleter, ok := s.objects.(platform.ObjectDeleter)
	if !ok || sub.Revision <= historyLength {
		return
	}
	old := sub.Revision - historyLength
	for _, prefix := range []string{headKey(sub.Service, old), submission{Service: sub.Service, Revision: old}.bodyKey()} {
		keys, err := s.objects.List(ctx, prefix)
		if err != nil {
			return
		}
		for _, key := range keys {
			_ = deleter.Delete(ctx, key)
		}
	}
}

func (s *Store) emitOutcome(sub submission, err error) {
	f := eventlog.Fields{Service: sub.Service, Detail: fmt.Sprintf("revision %d submission %s", sub.Revision, sub.Nonce)}
	if err != nil {
		f.Detail += ": " + err.Error()
	}
	s.log.Emit(outcomeEvent(err), f)
}

func outcomeEvent(err error) eventlog.ID {
	if err == nil {
		return eventlog.DocumentAccepted
	}
	if e, ok := verdict.As(err); ok && e.Verdict != verdict.NotRun {
		return eventlog.DocumentUnresolved
	}
	return eventlog.DocumentRejected
}

// readRevision returns a service's row and its version, both zero when the row
// does not exist.
func readRevision(ctx context.Context, t platform.Table, service string) (revisionRow, uint64, error) {
	value, version, err := readRow(ctx, t, revisionPrefix+service)
	if err != nil || version == 0 {
		return revisionRow{}, 0, err
	}
	row, err := decodeRevisionRow(value)
	return row, version, err
}

// readCounter returns the change counter and its row's version, both zero when
// the row does not exist.
func readCounter(ctx context.Context, t platform.Table) (counterRow, uint64, error) {
	value, version, err := readRow(ctx, t, counterKey)
	if err != nil || version == 0 {
		return counterRow{}, 0, err
	}
	counter, err := decodeCounterRow(value)
	return counter, version, err
}

func readRow(ctx context.Context, t platform.Table, key string) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	row, err := t.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	return row.Value, row.Version, err
}

// putObject stores an object, with retries until ctx ends. Each key has only one
// possible content, so that writing it twice is harmless.
func putObject(ctx context.Context, objects platform.Objects, key string, body []byte) error {
	for try := 0; ; try++ {
		err := putOnce(ctx, objects, key, body)
		if err == nil {
			return nil
		}
		if retryBackoff.Wait(ctx, try) != nil {
			return err
		}
	}
}

func putOnce(ctx context.Context, objects platform.Objects, key string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return objects.Put(ctx, key, body)
}
