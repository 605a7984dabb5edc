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
	// maxPending bounds the settlements that wait for the table to return;
	// beyond it the oldest is dropped, and its key stays claimed.
	maxPending = 4096
	// maxPendingBytes bounds the replies they hold.
	maxPendingBytes = 16 << 20
	// settlePause is the pause, before jitter, between two settlements; it
	// spreads the writes of all daemons after an outage.
	settlePause = 2 * time.Second
	// laterTimeout bounds a settlement that no caller waits for: a read, an
	// object and a write, each within its own bound, so that a table that is
	// slow but answers in time takes it.
	laterTimeout = 2*platform.CallTimeout + claimTimeout
)

// settleBackoff spaces the tries while the table is down.
var settleBackoff = backoff.Policy{Min: 500 * time.Millisecond, Max: 30 * time.Second}

// settlement is the outcome of an attempt that is to be recorded.
type settlement struct {
	key   Key
	state state
	claim record
	reply *upstream.Reply
}

func (s settlement) size() int {
	if s.reply == nil {
		return 0
	}
	return len(s.reply.Body)
}

// settle records the outcome of this attempt, at once or, when the table does
// not answer in time, later in Run.
func (r *Records) settle(ctx context.Context, key Key, st state, claim record, reply *upstream.Reply) {
	s := settlement{key: key, state: st, claim: claim, reply: reply}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if !r.record(ctx, s) {
		r.pending.add(s)
	}
}

// record writes a settlement over the claim it belongs to. It reports false
// when it must be tried again.
func (r *Records) record(ctx context.Context, s settlement) bool {
	found, version, err := r.read(ctx, s.key)
	if err != nil {
		return false
	}
	if found == nil && s.state != released {
		return true // the record expired
	}
	if found != nil && (found.Nonce != s.claim.Nonce || found.State != claimed) {
		return true // settled already, or the key is another attempt's
	}
	next, err := r.settled(ctx, s)
	if err != nil {
		return false
	}
	// Without a row, the claim may still arrive: a released row breaks its condition.
	err = r.write(ctx, s.key, version, next)
	return err == nil || errors.Is(err, platform.ErrConflict) && found != nil
}

// settled returns the record of an outcome, after its reply was stored.
func (r *Records) settled(ctx context.Context, s settlement) (record, error) {
	next := s.claim
	next.State = s.state
	if s.state != answered {
		return next, nil
	}
	kept := newReply(s.reply)
	if s.size() <= maxInlineBytes {
		next.Reply = kept
		return next, nil
	}
	object := objectPrefix + s.key.row()[len(rowPrefix):] + "/" + s.claim.Nonce
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	if err := r.objects.Put(ctx, object, mustEncode(kept)); err != nil {
		return record{}, verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "keep the reply")
	}
	next.Object = object
	return next, nil
}

// settlements is a bounded queue, oldest first.
type settlements struct {
	mu    sync.Mutex
	queue []settlement
	bytes int
	ready chan struct{}
}

func newSettlements() *settlements { return &settlements{ready: make(chan struct{}, 1)} }

func (q *settlements) add(s settlement) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue = append(q.queue, s)
	q.bytes += s.size()
	for len(q.queue) > maxPending || q.bytes > maxPendingBytes {
		q.bytes -= q.queue[0].size()
		q.queue = q.queue[1:]
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *settlements) take() (settlement, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) == 0 {
		return settlement{}, false
	}
	s := q.queue[0]
	q.queue = q.queue[1:]
	q.bytes -= s.size()
	return s, true
}

// Pending returns how many outcomes wait for the table.
func (r *Records) Pending() int {
	r.pending.mu.Lock()
	defer r.pending.mu.Unlock()
	return len(r.pending.queue)
}

// Run records outcomes that the table did not take at once, and deletes
// expired records, until ctx ends.
func (r *Records) Run(ctx context.Context) error {
	var sweeper sync.WaitGroup
	defer sweeper.Wait()
	sweeper.Go(func() { r.sweep(ctx) })
	try := 0
	for {
		s, ok := r.pending.take()
		if !ok {
			select {
			case <-r.pending.ready:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		pause := backoff.Jitter(settlePause)
		if r.recordBounded(ctx, s) {
			try = 0
		} else {
			r.pending.add(s)
			pause = settleBackoff.Delay(try)
			try++
		}
		if err := backoff.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

func (r *Records) recordBounded(ctx context.Context, s settlement) bool {
	ctx, cancel := context.WithTimeout(ctx, laterTimeout)
	defer cancel()
	return r.record(ctx, s)
}
