// Package lease gives one daemon at a time the right to do a piece of work,
// under a fencing token that grows with each change of the holder.
//
// The clocks of two machines are never compared. A holder acts until a deadline
// on its own clocks: Duration after it began to send the write that acquired or
// renewed the lease, by its monotonic clock or by the time since boot, which
// advances while the machine is suspended, whichever is sooner. A candidate
// measures on its own monotonic clock how long the row has not changed, from
// when a read of that version returned. A version is read after it was written
// and written after it was sent, so the candidate's time starts later than the
// holder's; it also waits Duration/8 for clock drift. Only then does it write,
// on the condition that the row still has the version that it watched: a late
// renewal makes one of the two writes fail.
//
// A store that returns from an older copy (platform.Eras) may have lost the row of a holder that
// still acts, and issues versions again. A candidate therefore waits, from when its daemon first
// saw the store's era, as it would for a holder that was just granted the lease, unless the row
// was written in that era. A holder goes on if the restored row still is its own and its lease
// had not ended when it read it: then no other was granted one in the older era. Fencing tokens
// have the era in their high bits.
//
// A holder that is paused between checking its deadline and sending an order
// can still send it late. Receivers of orders must refuse an old fencing token;
// where they do not, a new holder also waits the longest time that an order can
// be in flight and reads the receivers' state before it acts.
package lease

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/boottime"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// DefaultDuration is how long a holder may act without a renewal.
	DefaultDuration = 15 * time.Second
	// driftDivisor: a candidate adds 1/driftDivisor of the lease's duration to
	// its wait, for clocks that run at different rates.
	driftDivisor = 8
	// renewDivisor: a holder renews a lease after 1/renewDivisor of its duration,
	// and a candidate reads the row about as often.
	renewDivisor = 3
)

// Settings configures a Keeper.
type Settings struct {
	// Name identifies the lease.
	Name string
	// Holder is the daemon's name. By it, a keeper recognises a lease that it
	// released itself.
	Holder string
	// Duration is how long the holder may act without a renewal; default DefaultDuration.
	Duration time.Duration
	// MaxActionDelay is how long the previous holder's last action may still take effect;
	// a new holder waits for it.
	MaxActionDelay time.Duration
	// MinHandoverPause is the minimum time from the release of a lease to its
	// acquisition by another holder, so that it does not change hands in quick
	// succession. MinTakeoverPause is the same from the end of a lease that was not
	// released.
	MinHandoverPause, MinTakeoverPause time.Duration
	// ExclusiveHolder is set if no two processes of the same Holder can run at a time. A
	// lease that an earlier process held has then ended with it.
	ExclusiveHolder bool
	// Patience returns how long this candidate leaves a free lease to others; nil is 0.
	Patience func() time.Duration
	// SinceBoot returns the time since the machine booted, including suspended
	// time; default is the system's clock.
	SinceBoot func() time.Duration
}

// Keeper acquires, renews and releases one lease.
type Keeper struct {
	table    platform.Table
	eras     *platform.Eras
	settings Settings
	log      *eventlog.Log
}

// NewKeeper returns a Keeper.
func NewKeeper(table platform.Table, s Settings, log *eventlog.Log) *Keeper {
	if s.Duration == 0 {
		s.Duration = DefaultDuration
	}
	if s.SinceBoot == nil {
		s.SinceBoot = boottime.Now
	}
	if s.Patience == nil {
		s.Patience = func() time.Duration { return 0 }
	}
	return &Keeper{table: table, eras: platform.ErasOf(table), settings: s, log: log}
}

// Lease is a lease that this daemon acquired. It is safe for concurrent use.
type Lease struct {
	// Fence is the fencing token.
	Fence    uint64
	deadline atomic.Pointer[timePoint]
	now      func() timePoint
	cancel   context.CancelFunc
}

// Valid reports whether the holder may act now. Call it right before each
// action.
func (h *Lease) Valid() bool { return !h.deadline.Load().reached(h.now()) }

// Deadline returns when the lease ends by the monotonic clock unless it is
// renewed, and the zero time once it is lost or released.
func (h *Lease) Deadline() time.Time { return h.deadline.Load().monotonic }

// extend moves the deadline. It reports false when the lease was invalidated.
func (h *Lease) extend(deadline timePoint) bool {
	old := h.deadline.Load()
	return !old.monotonic.IsZero() && h.deadline.CompareAndSwap(old, &deadline)
}

// invalidate ends the lease at once.
func (h *Lease) invalidate() {
	h.deadline.Store(&timePoint{})
	h.cancel()
}

// Run tries to acquire the lease and calls work whenever this daemon holds it,
// until ctx ends. The context passed to work ends when the lease does; the
// lease is released when work returns.
func (k *Keeper) Run(ctx context.Context, work func(context.Context, *Lease)) error {
	for {
		current, err := k.acquire(ctx)
		if err != nil {
			return err
		}
		k.hold(ctx, current, work)
		if err := backoff.Sleep(ctx, k.pollInterval()); err != nil {
			return err
		}
	}
}

func (k *Keeper) now() timePoint { return timePoint{time.Now(), k.settings.SinceBoot()} }

func (k *Keeper) rowKey() string { return rowPrefix + k.settings.Name }

func (k *Keeper) pollInterval() time.Duration {
	return backoff.Jitter(k.settings.Duration / renewDivisor)
}

// grant is a write of the row that acquires or renews the lease.
type grant struct {
	record record
	sentAt timePoint
	// at is the position of the row; zero if it is not known.
	at platform.Position
}

// acquire waits until the lease is free and acquires it. It returns only ctx's
// error.
func (k *Keeper) acquire(ctx context.Context) (grant, error) {
	var watched platform.Row
	var watchedSince time.Time
	for {
		row, old, err := k.read(ctx)
		pause := k.pollInterval()
		if err == nil {
			if row.Version != watched.Version || row.Era != watched.Era || watchedSince.IsZero() {
				watched, watchedSince = row, time.Now()
			}
			remaining := max(k.requiredWait(old, row.Era)-time.Since(watchedSince), k.requiredEraWait(old, row.Era))
			if remaining <= 0 {
				if g, ok := k.claim(ctx, row, old); ok {
					return g, nil
				}
			} else {
				pause = min(pause, remaining)
			}
		}
		if err := backoff.Sleep(ctx, pause); err != nil {
			return grant{}, err
		}
	}
}

// requiredWait returns how long the row must not have changed in an era before a candidate
// may write it. A record of an older era says nothing of a release: a write that was held up may
// have replaced a later holder's record.
func (k *Keeper) requiredWait(old record, era uint64) time.Duration {
	own := old.Holder == k.settings.Holder
	switch {
	case old.Fence == 0:
		return k.settings.Patience()
	case old.Era != era:
		return k.fullWait(old.leaseDuration())
	case own && (old.Released || k.settings.ExclusiveHolder):
		return k.settings.MaxActionDelay
	case old.Released:
		return max(k.settings.MaxActionDelay, k.settings.MinHandoverPause, k.settings.Patience())
	default:
		return k.fullWait(old.leaseDuration())
	}
}

// fullWait returns how long after it was granted a lease of a duration, and what its holder did
// under it, has ended.
func (k *Keeper) fullWait(duration time.Duration) time.Duration {
	return duration + duration/driftDivisor + max(k.settings.MaxActionDelay, k.settings.MinTakeoverPause)
}

// requiredEraWait returns how much longer a holder may act whose row the store may have lost when
// it entered an era.
func (k *Keeper) requiredEraWait(old record, era uint64) time.Duration {
	current, since := k.eras.Current()
	if era == 0 || old.Era == era {
		return 0
	}
	if current != era {
		return k.settings.Duration // read again
	}
	return k.fullWait(max(k.settings.Duration, old.leaseDuration())) - time.Since(since)
}

// eraBits is the number of low bits of a fencing token that hold no era. Tokens are JSON numbers,
// so below 2^53: 1,024 eras, and at 1,200 writes a second the store takes 232 years to issue as
// many versions as the low bits hold.
const eraBits = 43

// nextFence returns the fencing token of a claim on a row. In an era it follows from the row's
// version, on which the claim is conditional: no other claim in the era succeeds on the same one,
// whatever became of the rows that were lost.
func nextFence(row platform.Row, old record) uint64 {
	if row.Era == 0 {
		return old.Fence + 1
	}
	return max(old.Fence, row.Era<<eraBits+row.Version) + 1
}

// LastHolder returns who held the lease last; empty if nobody ever did.
func (k *Keeper) LastHolder(ctx context.Context) (string, error) {
	_, r, err := k.read(ctx)
	return r.Holder, err
}

func (k *Keeper) claim(ctx context.Context, row platform.Row, old record) (grant, bool) {
	next := record{Fence: nextFence(row, old), Era: row.Era, Holder: k.settings.Holder, Nonce: rand.Text(), Millis: k.settings.Duration.Milliseconds()}
	g := grant{record: next, sentAt: k.now()}
	if err := k.write(ctx, &g, platform.Position{Era: row.Era, Version: row.Version}); err != nil {
		return grant{}, false
	}
	return g, true
}

// write commits a grant on the condition that the row is at a position, and sets that of the
// grant. It stops trying when the grant would have expired.
func (k *Keeper) write(ctx context.Context, g *grant, at platform.Position) error {
	ctx, cancel := context.WithDeadline(ctx, g.sentAt.monotonic.Add(g.record.leaseDuration()))
	defer cancel()
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: k.rowKey(), Version: at.Version}},
		Writes:     []platform.Write{{Key: k.rowKey(), Value: encodeRecord(g.record)}},
		Era:        at.Era,
	}
	var err error
	g.at, err = platform.CommitVersion(ctx, k.table, txn, func(ctx context.Context) (bool, error) {
		row, found, err := k.read(ctx)
		return found.Nonce == g.record.Nonce && row.Era == at.Era, err
	})
	return err
}

// read returns the row and its record; a row that does not exist has version 0
// and fence 0, and the era.
func (k *Keeper) read(ctx context.Context) (platform.Row, record, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	row, err := k.table.Get(ctx, k.rowKey())
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Row{Era: row.Era}, record{}, nil
	}
	if err != nil {
		return platform.Row{}, record{}, err
	}
	rec, err := decodeRecord(row.Value)
	return row, rec, err
}

// hold runs work and renews the lease meanwhile, then releases the lease.
func (k *Keeper) hold(ctx context.Context, g grant, work func(context.Context, *Lease)) {
	workCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	held := &Lease{Fence: g.record.Fence, now: k.now, cancel: cancel}
	deadline := g.sentAt.add(k.settings.Duration)
	held.deadline.Store(&deadline)
	k.emit(eventlog.LeaseAcquired, held)

	renewed := make(chan grant, 1)
	go func() { renewed <- k.renewLoop(workCtx, held, g) }()
	if held.Valid() {
		work(workCtx, held)
	}
	held.invalidate()
	lastGrant := <-renewed
	k.emit(eventlog.LeaseLost, held)
	k.release(ctx, lastGrant)
}

// renewLoop renews the lease until ctx ends or the lease is lost, invalidates it
// and returns the last grant.
func (k *Keeper) renewLoop(ctx context.Context, held *Lease, g grant) grant {
	defer held.invalidate()
	for {
		if sleepUntil(ctx, g.sentAt.monotonic.Add(k.settings.Duration/renewDivisor)) != nil {
			return g
		}
		next, err := k.renewWithRetry(ctx, held, g)
		if err != nil {
			return g
		}
		g = next
		if !held.extend(g.sentAt.add(k.settings.Duration)) {
			return g
		}
	}
}

// renewWithRetry retries a renewal until the lease's deadline. It gives up at
// once when another holder has the lease.
func (k *Keeper) renewWithRetry(ctx context.Context, held *Lease, g grant) (grant, error) {
	ctx, cancel := context.WithDeadline(ctx, held.Deadline())
	defer cancel()
	for try := 0; ; try++ {
		next, err := k.renew(ctx, held, g)
		if err == nil {
			return next, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return grant{}, err
		}
		if err := renewalBackoff.Wait(ctx, try); err != nil {
			return grant{}, err
		}
	}
}

// renewalBackoff spaces the retries of a renewal.
var renewalBackoff = backoff.Policy{Min: 100 * time.Millisecond, Max: time.Second}

func (k *Keeper) renew(ctx context.Context, held *Lease, g grant) (grant, error) {
	if era, _ := k.eras.Current(); g.at.Version != 0 && g.at.Era == era {
		next, err := k.renewAt(ctx, g, g.at)
		if err == nil || !errors.IsAny(err, platform.ErrConflict, platform.ErrEraChanged) {
			return next, err
		}
	}
	row, found, err := k.read(ctx)
	if err != nil {
		return grant{}, err
	}
	if found.Fence != g.record.Fence || found.Released {
		return grant{}, verdict.Wrap(platform.ErrConflict, verdict.NotRun, verdict.CodeConflict, "the lease was acquired by another holder or released")
	}
	if row.Era != g.record.Era && !held.Valid() {
		return grant{}, verdict.Wrap(platform.ErrConflict, verdict.NotRun, verdict.CodeConflict, "the lease ended before the store was restored")
	}
	g.record.Era = row.Era
	return k.renewAt(ctx, g, platform.Position{Era: row.Era, Version: row.Version})
}

// renewAt renews the lease if the row is at a position.
func (k *Keeper) renewAt(ctx context.Context, g grant, at platform.Position) (grant, error) {
	next := grant{record: g.record, sentAt: k.now()}
	next.record.Nonce = rand.Text()
	if err := k.write(ctx, &next, at); err != nil {
		return grant{}, err
	}
	return next, nil
}

// release marks the lease as released, so that candidates need not wait for its
// end. It is best effort.
func (k *Keeper) release(ctx context.Context, g grant) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platform.CallTimeout)
	defer cancel()
	row, found, err := k.read(ctx)
	if err != nil || found.Fence != g.record.Fence || found.Released {
		return
	}
	if found.Era != row.Era {
		return // the rows of later holders may be lost
	}
	found.Released, found.Nonce = true, rand.Text()
	_ = k.table.Commit(ctx, platform.Txn{
		Era:        row.Era,
		Conditions: []platform.Condition{{Key: k.rowKey(), Version: row.Version}},
		Writes:     []platform.Write{{Key: k.rowKey(), Value: encodeRecord(found)}},
	})
}

func (k *Keeper) emit(id eventlog.ID, h *Lease) {
	k.log.Emit(id, eventlog.Fields{Detail: fmt.Sprintf("%s fence %d", k.settings.Name, h.Fence)})
}

func sleepUntil(ctx context.Context, t time.Time) error {
	return backoff.Sleep(ctx, time.Until(t))
}
