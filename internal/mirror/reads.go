package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/platform"
)

// A call that is not answered in time stays open beside the next one: it may be slow, a second call
// does not make it faster, and its answer tells that the store was in order, however late it comes.

const (
	// lateAnswerLimit is how long a call stays open beyond the time in which it is awaited.
	lateAnswerLimit = 5 * time.Second
	// maxOpenReads bounds the open calls of one table. The oldest is given up for the next.
	maxOpenReads = 3
	// answerTimeDecay is the part of the usual answer time that is kept with each faster answer.
	answerTimeDecay = 0.75
	// answerTimeFade is how much shorter the usual answer time gets for each time without a call.
	answerTimeFade = 0.1
)

const (
	// standInPatience is how long a daemon that stands in for its sources waits for an answer before
	// it makes another call. The calls of many would make a slow store slower.
	standInPatience = 2 * callTimeout
	// standInRetryInterval is the maximum interval between a call of such a daemon that failed and
	// the next one; jitter shortens it.
	standInRetryInterval = 2 * time.Second
)

// errUnanswered reports a call that is not answered yet.
var errUnanswered = errors.New("no answer of the store yet")

// openRead is a call of the store that is not answered. Its fields are protected by Mirror.mu.
type openRead struct {
	start  time.Time
	sentAt time.Duration // as Clock.Local
	// due is when the answer is late.
	due time.Time
	// late is set once nobody waits for the answer, answered once it is there, and withdrawn if it is
	// not wanted any more.
	late, answered, withdrawn bool

	cancel context.CancelFunc
	done   chan struct{}
	err    error // set before done is closed
}

// startRead calls the store. An answer is due once a long poll has waited for as long as it may.
// apply is called with the answer.
func (m *Mirror) startRead(ctx context.Context, wait time.Duration, call func(ctx context.Context) (platform.Changes, error), apply func(c platform.Changes, took time.Duration)) *openRead {
	callCtx, cancel := context.WithTimeout(ctx, wait+lateAnswerLimit)
	r := &openRead{start: time.Now(), sentAt: m.local(), due: time.Now().Add(wait), cancel: cancel, done: make(chan struct{})}
	m.mu.Lock()
	if len(m.open) >= maxOpenReads {
		m.open[0].cancel()
	}
	m.open = append(m.open, r)
	m.mu.Unlock()
	m.calls.Go(func() {
		defer close(r.done)
		defer cancel()
		changes, err := call(callCtx)
		isCanceled := callCtx.Err() != nil
		m.mu.Lock()
		m.open = slices.DeleteFunc(m.open, func(other *openRead) bool { return other == r })
		late, withdrawn := r.late, r.withdrawn
		r.err, r.answered = err, err == nil
		m.mu.Unlock()
		switch {
		case err == nil:
			m.endRead(r, changes, late, apply)
		case ctx.Err() != nil || withdrawn || isStoresError(err):
		case isCanceled:
			m.observeFailure(m.storeTimeOf(r.sentAt))
		default:
			m.observeFailure(m.storeNow())
		}
	})
	return r
}

// endRead applies an answer.
func (m *Mirror) endRead(r *openRead, changes platform.Changes, late bool, apply func(platform.Changes, time.Duration)) {
	took, answerTime := time.Since(r.start), time.Since(r.due)
	if changes.ReadAt != 0 {
		answerTime = max(answerTime, m.storeNow().Sub(changes.ReadAt))
	}
	m.mu.Lock()
	m.answerTime, m.answerTimeAt = max(0, answerTime, share(m.answerTime, answerTimeDecay)), time.Now()
	m.mu.Unlock()
	if changes.ReadAt != 0 || !late {
		m.observeAnswer(m.storeTimeOf(r.sentAt), m.readTime(changes.ReadAt))
	}
	if late {
		took = 0 // nothing tells when the store began to wait for changes
	}
	apply(changes, took)
	if m.isComplete() {
		m.confirmRead(changes.ReadAt, r.sentAt)
	}
	if late {
		select {
		case m.answeredLate <- struct{}{}:
		default:
		}
	}
}

// await waits for the answer of a call, at most for a time or until interrupt is closed. The error is
// errUnanswered if there is none. The call then stays open, unless it was interrupted: its connection is
// held to be dead.
func (m *Mirror) await(ctx context.Context, r *openRead, patience time.Duration, interrupt <-chan struct{}) error {
	timer := time.NewTimer(max(patience, time.Nanosecond))
	defer timer.Stop()
	interrupted := false
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-interrupt:
		interrupted = true
	}
	m.mu.Lock()
	answered := r.answered
	r.late, r.withdrawn = !answered, interrupted && !answered
	m.mu.Unlock()
	if interrupted {
		r.cancel()
	}
	if answered { // and is being applied
		<-r.done
		return r.err
	}
	return errUnanswered
}

// usualAnswerTime returns how long answers of the store took lately, or take.
func (m *Mirror) usualAnswerTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	usual := m.answerTime - share(time.Since(m.answerTimeAt), answerTimeFade)
	for _, r := range m.open {
		usual = max(usual, time.Since(r.due))
	}
	return max(0, usual)
}

// patience returns how long to wait for an answer before another call is made: least, or longer while
// answers are slow.
func (m *Mirror) patience(least time.Duration) time.Duration {
	return min(max(least, 4*m.usualAnswerTime()), max(least, callTimeout))
}

// followStore reads the table or its changes from the store once.
func (m *Mirror) followStore(ctx context.Context) error {
	isStandIn := m.isStandIn()
	m.mu.Lock()
	// The sources of a stand-in compare their copies.
	at, reading, synced, compare := m.at, m.storeOK, m.synced, m.mustCompare() && !isStandIn
	// After a gap the history is read first: what it tells of removals needs no comparison.
	catchUp := m.mayHaveMissedOutage(m.storeNow()) || m.unaccounted != nil
	m.mu.Unlock()
	if !synced || m.wholeNext || compare && !catchUp {
		return m.readWholeTable(ctx)
	}
	wait, patience := m.settings.MaxWait, callTimeout
	switch {
	case catchUp || m.storeFailing:
		wait = 0
	case m.follower != nil && !reading:
		wait = 0 // followers wait for the proof that this daemon reads the store
	case m.isAgeLimited():
		wait, patience = m.pollWait(), m.patience(share(m.settings.MaxAge, pollPatience))
	}
	if isStandIn {
		patience = standInPatience
	}
	select {
	case <-m.answeredLate: // before this call
	default:
	}
	err := m.readHistory(ctx, at, wait, patience)
	if errors.Is(err, errUnanswered) {
		// The connection may be dead.
		err = m.readUnanswered(ctx, at)
	}
	switch {
	case errors.Is(err, platform.ErrHistoryLost):
		m.mu.Lock()
		m.historyLost = true
		m.mu.Unlock()
		return m.readWholeTable(ctx)
	case errors.IsAny(err, platform.ErrRestored, platform.ErrOldEra):
		return m.readRestored(ctx, at.Era)
	}
	return err
}

// readHistory reads the changes after a position, for which it waits at the store.
func (m *Mirror) readHistory(ctx context.Context, at platform.Position, wait, patience time.Duration) error {
	interrupted, interrupt := context.WithCancel(ctx)
	defer interrupt()
	m.setInterrupt(interrupt)
	defer m.setInterrupt(nil)
	r := m.startRead(ctx, wait, func(ctx context.Context) (platform.Changes, error) {
		return m.store.ReadChanges(ctx, m.settings.Table, at, wait)
	}, func(c platform.Changes, took time.Duration) {
		m.askPeersAboutOutage(ctx)
		m.apply(c, took)
	})
	err := m.await(ctx, r, wait+patience, interrupted.Done())
	if err == nil {
		m.setFailing(nil)
	}
	return err
}

// readUnanswered reads the table, or its changes after a position, after a poll without an answer. Newer
// copies of peers are awaited meanwhile, because the store may leave this daemon alone without answers.
func (m *Mirror) readUnanswered(ctx context.Context, at platform.Position) error {
	peersCtx, cancel := context.WithCancel(ctx)
	var peers sync.WaitGroup
	defer peers.Wait()
	defer cancel()
	if !m.isStandIn() { // sources' frames come by themselves
		peers.Go(func() {
			// The wait outlasts the read: a copy that is not newer costs no transfer. If the
			// store fails too, Run logs it and asks peers again.
			_ = m.readPeers(peersCtx, 2*callTimeout)
		})
	}
	if m.rowsExpire() {
		// Only the history tells whether rows were removed.
		return m.readHistory(ctx, at, 0, callTimeout)
	}
	return m.readWholeTable(ctx)
}

func (m *Mirror) setInterrupt(interrupt context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interrupt = interrupt
}

const (
	// Daemons that all learn at once that the store was restored read its tables after a random
	// part of a spread that grows with their number: 330 daemons read four tables within
	// maxRestoredSpread, 3,300 a second of the 6,000 that the store serves.
	restoredSpreadPerDaemon = 2 * time.Millisecond
	maxRestoredSpread       = 400 * time.Millisecond
)

// readRestored reads the whole table of a store that is in a newer era than the copy, unless
// a followed daemon's copy comes first.
func (m *Mirror) readRestored(ctx context.Context, era uint64) error {
	if m.follower != nil {
		spread := min(time.Duration(len(m.follower.settings.Others()))*restoredSpreadPerDaemon, maxRestoredSpread)
		if err := backoff.Sleep(ctx, rand.N(spread+1)); err != nil {
			return err
		}
	}
	if m.copyPosition(false).Era > era {
		return nil
	}
	return m.readWholeTable(ctx)
}

func (m *Mirror) readWholeTable(ctx context.Context) error {
	r := m.startRead(ctx, 0, func(ctx context.Context) (platform.Changes, error) {
		return m.store.ReadTable(ctx, m.settings.Table)
	}, func(c platform.Changes, took time.Duration) {
		m.askPeersAboutOutage(ctx)
		m.apply(c, took)
	})
	if err := m.await(ctx, r, callTimeout, nil); err != nil {
		return err
	}
	m.setFailing(nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wholeNext = m.inReappearanceWindow()
	return nil
}

// awaitOthers waits, after a call that failed or is not answered, before the next one: for peers'
// copies, or a late answer. It reports whether there was either.
func (m *Mirror) awaitOthers(ctx context.Context, try int) (answered bool, err error) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var late atomic.Bool
	var watch sync.WaitGroup
	watch.Go(func() {
		select {
		case <-m.answeredLate:
			late.Store(true)
			cancel()
		case <-waitCtx.Done():
		}
	})
	if m.isStandIn() {
		_ = backoff.Sleep(waitCtx, backoff.Jitter(standInRetryInterval)) // the context's error, see below
	} else if answered = m.followPeers(waitCtx) == nil; !late.Load() {
		if answered {
			try = 0
		}
		_ = retryBackoff.Wait(waitCtx, try) // likewise
	}
	cancel()
	watch.Wait()
	if late.Load() && ctx.Err() == nil {
		m.recordRead(nil)
		m.settings.OnStoreRead(nil)
		m.setFailing(nil)
		answered = true
	}
	return answered, ctx.Err()
}

// readInterval returns how long to wait after an answer of the store before the next read.
func (m *Mirror) readInterval() time.Duration {
	isStandIn := m.isStandIn()
	m.mu.Lock()
	catchUp := m.mustCompare() && !isStandIn || m.unaccounted != nil
	m.mu.Unlock()
	if catchUp {
		return catchUpInterval
	}
	interval := m.settings.MinInterval
	if m.wholeNext {
		interval = max(interval, reappearancePollInterval)
	}
	if m.follower != nil && m.follower.isSole() {
		interval = max(interval, m.settings.SoleMinInterval)
	}
	if m.isAgeLimited() {
		interval = min(interval, m.pollWait())
	}
	return interval
}

// isStoresError reports whether an error is an answer of a store in order.
func isStoresError(err error) bool {
	return errors.IsAny(err, platform.ErrHistoryLost, platform.ErrRestored, platform.ErrOldEra)
}
