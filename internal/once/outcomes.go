package once

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// maxPendingOutcomes bounds the outcomes queued while the table is
	// unavailable; beyond it the oldest is dropped and its key stays claimed.
	maxPendingOutcomes = 4096
	// maxPendingReplyBytes bounds the reply bodies in the queue.
	maxPendingReplyBytes = 16 << 20
	// recordInterval is the pause, before jitter, between two queued outcomes; it
	// spreads the writes of all daemons after an outage.
	recordInterval = 2 * time.Second
	// backgroundRecordTimeout bounds the recording of a queued outcome. It is the
	// sum of the timeouts of its read, object write and row write, so that
	// recording succeeds on a slow table whose calls stay within their timeouts.
	backgroundRecordTimeout = 2*platform.CallTimeout + claimTimeout
)

// recordBackoff is the backoff between tries while the table is unavailable.
var recordBackoff = backoff.Policy{Min: 500 * time.Millisecond, Max: 30 * time.Second}

// pendingOutcome is an attempt's outcome that has yet to be recorded.
type pendingOutcome struct {
	key   Key
	state state
	claim record
	reply *upstream.Reply
}

func (o pendingOutcome) replyBytes() int {
	if o.reply == nil {
		return 0
	}
	return len(o.reply.Body)
}

// recordOutcome records the outcome of this attempt at once or, if the table does
// not answer in time, queues it for Run.
func (r *Records) recordOutcome(ctx context.Context, key Key, outcome state, claim record, reply *upstream.Reply) {
	o := pendingOutcome{key: key, state: outcome, claim: claim, reply: reply}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	if !r.tryRecord(ctx, o) {
		r.pending.add(o)
	}
}

// tryRecord replaces a claim's record by its outcome. It reports false if it must
// be tried again.
func (r *Records) tryRecord(ctx context.Context, o pendingOutcome) bool {
	found, at, err := r.read(ctx, o.key)
	if err != nil {
		return false
	}
	if found == nil && o.state != released && !(at.Era != 0 && r.recent.holds(o.key, time.Now())) {
		return true // the record has expired; a recent one was lost with an older era
	}
	if found != nil && (found.Nonce != o.claim.Nonce || found.State != claimed) {
		// Already recorded, or another attempt has claimed the key. While the era settles that one
		// is released.
		return found.Nonce == o.claim.Nonce || o.state == released || !r.isSettling()
	}
	next, err := r.outcomeRecord(ctx, o)
	if err != nil {
		return false
	}
	// If there is no row, the claim may still arrive; a released row makes its
	// condition fail.
	err = r.write(ctx, o.key, at, next)
	return err == nil || errors.Is(err, platform.ErrConflict) && found != nil
}

// outcomeRecord returns the record of an outcome. It first stores a large reply
// in the object store.
func (r *Records) outcomeRecord(ctx context.Context, o pendingOutcome) (record, error) {
	next := o.claim
	next.State = o.state
	if o.state != answered {
		return next, nil
	}
	stored := newReply(o.reply)
	if o.replyBytes() <= maxInlineReplyBytes {
		next.Reply = stored
		return next, nil
	}
	object := objectPrefix + o.key.rowKey()[len(rowPrefix):] + "/" + o.claim.Nonce
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	if err := r.objects.Put(ctx, object, mustEncode(stored)); err != nil {
		return record{}, verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "store the reply")
	}
	next.Object = object
	return next, nil
}

// outcomeQueue is a bounded FIFO queue of outcomes.
type outcomeQueue struct {
	mu         sync.Mutex
	queue      []pendingOutcome
	replyBytes int
	nonEmpty   chan struct{}
}

func newOutcomeQueue() *outcomeQueue { return &outcomeQueue{nonEmpty: make(chan struct{}, 1)} }

func (q *outcomeQueue) add(o pendingOutcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue = append(q.queue, o)
	q.replyBytes += o.replyBytes()
	for len(q.queue) > maxPendingOutcomes || q.replyBytes > maxPendingReplyBytes {
		q.replyBytes -= q.queue[0].replyBytes()
		q.queue = q.queue[1:]
	}
	select {
	case q.nonEmpty <- struct{}{}:
	default:
	}
}

func (q *outcomeQueue) take() (pendingOutcome, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) == 0 {
		return pendingOutcome{}, false
	}
	o := q.queue[0]
	q.queue = q.queue[1:]
	q.replyBytes -= o.replyBytes()
	return o, true
}

// PendingOutcomes returns the number of outcomes waiting to be recorded.
func (r *Records) PendingOutcomes() int {
	r.pending.mu.Lock()
	defer r.pending.mu.Unlock()
	return len(r.pending.queue)
}

// Run records queued outcomes and deletes expired records until ctx ends. It
// returns the context's error.
func (r *Records) Run(ctx context.Context) error {
	var sweeper sync.WaitGroup
	defer sweeper.Wait()
	sweeper.Go(func() { r.sweep(ctx) })
	sweeper.Go(func() { r.settleEras(ctx) })
	try := 0
	for {
		o, ok := r.pending.take()
		if !ok {
			select {
			case <-r.pending.nonEmpty:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		pause := backoff.Jitter(recordInterval)
		if r.tryRecordWithTimeout(ctx, o) {
			try = 0
		} else {
			r.pending.add(o)
			pause = recordBackoff.Delay(try)
			try++
		}
		if err := backoff.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

func (r *Records) tryRecordWithTimeout(ctx context.Context, o pendingOutcome) bool {
	ctx, cancel := context.WithTimeout(ctx, backgroundRecordTimeout)
	defer cancel()
	return r.tryRecord(ctx, o)
}
