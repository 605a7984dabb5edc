// Package lease lets one daemon at a time do a piece of work, under a fencing
// number that grows with each change of the holder.
//
// No clocks of two machines are compared. A holder acts until a deadline on its
// own clocks: Duration after it began to send the write that gave it the lease or
// renewed it, by its monotonic clock or by that since boot, which goes on while
// the machine is suspended, whichever is sooner. A candidate measures on its own monotonic clock how
// long the row has not changed, from when a read of that version returned. A
// version is read after it was written and written after it was sent, so the
// candidate's count starts later than the holder's; it also waits Duration/8
// for clocks that run at different speeds. Only then does it write, on the
// condition that the row still has the version that it watched: a renewal
// that arrives late makes one of the two writes fail.
//
// A holder that is paused between looking at its deadline and sending an
// order can still send it late. Whoever takes orders must refuse an old
// fencing number; where it does not, a new holder also waits Settle, the
// longest time that an order can be under way, and reads back what it finds.
package lease

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// DefaultDuration is how long a holder may act without a renewal.
	DefaultDuration = 15 * time.Second
	// driftShare is the part of a lease that a candidate waits longer.
	driftShare = 8
	// renewShare is the part of a lease after which it is renewed.
	renewShare = 3
)

// Settings configures a Keeper.
type Settings struct {
	// Name identifies the lease.
	Name string
	// Holder is the daemon's name, for people.
	Holder string
	// Duration is how long the holder may act without a renewal; default DefaultDuration.
	Duration time.Duration
	// Settle is how long the previous holder's last action may still take effect.
	Settle time.Duration
	// TurnPause is how long a lease that another holder released is left
	// alone, so that holders do not take turns in quick succession.
	TurnPause time.Duration
	// SinceBoot returns the time since the machine started, suspensions
	// included; default is the system's clock.
	SinceBoot func() time.Duration
}

// Keeper competes for one lease.
type Keeper struct {
	table    platform.Table
	settings Settings
	log      *eventlog.Log
}

// NewKeeper returns a Keeper.
func NewKeeper(table platform.Table, s Settings, log *eventlog.Log) *Keeper {
	if s.Duration == 0 {
		s.Duration = DefaultDuration
	}
	if s.SinceBoot == nil {
		s.SinceBoot = sinceBoot
	}
	return &Keeper{table: table, settings: s, log: log}
}

// Held is a lease as its holder sees it.
type Held struct {
	// Fence is the fencing number.
	Fence    uint64
	deadline atomic.Pointer[moment]
	now      func() moment
	cancel   context.CancelFunc
}

// Valid reports whether the holder may act now. Ask it before each action,
// after anything that takes time.
func (h *Held) Valid() bool { return !h.deadline.Load().passed(h.now()) }

// Deadline returns until when, on the steady clock, the holder may act unless the
// lease is renewed.
func (h *Held) Deadline() time.Time { return h.deadline.Load().steady }

// extend moves the deadline; it reports false when the lease has ended.
func (h *Held) extend(deadline moment) bool {
	old := h.deadline.Load()
	return !old.steady.IsZero() && h.deadline.CompareAndSwap(old, &deadline)
}

// end makes the lease invalid at once.
func (h *Held) end() {
	h.deadline.Store(&moment{})
	h.cancel()
}

// Run competes for the lease and calls work whenever this daemon holds it,
// until ctx ends. The context given to work ends when the lease does.
func (k *Keeper) Run(ctx context.Context, work func(context.Context, *Held)) error {
	for {
		current, err := k.acquire(ctx)
		if err != nil {
			return err
		}
		k.hold(ctx, current, work)
		if err := backoff.Sleep(ctx, k.pollPause()); err != nil {
			return err
		}
	}
}

func (k *Keeper) now() moment { return moment{time.Now(), k.settings.SinceBoot()} }

func (k *Keeper) row() string { return rowPrefix + k.settings.Name }

func (k *Keeper) pollPause() time.Duration { return backoff.Jitter(k.settings.Duration / renewShare) }

// grant is a write of the row that gave or renewed the lease.
type grant struct {
	term   term
	sentAt moment
}

// acquire waits until the row is free and takes it. It returns ctx's error only.
func (k *Keeper) acquire(ctx context.Context) (grant, error) {
	var watched platform.Row
	var since time.Time
	for {
		row, old, err := k.read(ctx)
		if err == nil {
			if row.Version != watched.Version || since.IsZero() {
				watched, since = row, time.Now()
			}
			if time.Since(since) >= k.waitFor(old) {
				if g, ok := k.take(ctx, row.Version, old); ok {
					return g, nil
				}
			}
		}
		if err := backoff.Sleep(ctx, k.pollPause()); err != nil {
			return grant{}, err
		}
	}
}

// waitFor returns how long a row must not have changed before it may be taken.
func (k *Keeper) waitFor(old term) time.Duration {
	switch {
	case old.Fence == 0:
		return 0
	case old.Released && old.Holder == k.settings.Holder:
		return k.settings.Settle
	case old.Released:
		return max(k.settings.Settle, k.settings.TurnPause)
	default:
		return old.duration() + old.duration()/driftShare + k.settings.Settle
	}
}

func (k *Keeper) take(ctx context.Context, version uint64, old term) (grant, bool) {
	next := term{Fence: old.Fence + 1, Holder: k.settings.Holder, Nonce: rand.Text(), Millis: k.settings.Duration.Milliseconds()}
	g := grant{term: next, sentAt: k.now()}
	if err := k.write(ctx, g, version); err != nil {
		return grant{}, false
	}
	return g, true
}

// write commits a grant over a version of the row. It does not go on longer
// than the grant would last.
func (k *Keeper) write(ctx context.Context, g grant, version uint64) error {
	ctx, cancel := context.WithDeadline(ctx, g.sentAt.steady.Add(g.term.duration()))
	defer cancel()
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: k.row(), Version: version}},
		Writes:     []platform.Write{{Key: k.row(), Value: encodeTerm(g.term)}},
	}
	return platform.CommitResolved(ctx, k.table, txn, func(ctx context.Context) (bool, error) {
		_, found, err := k.read(ctx)
		return found.Nonce == g.term.Nonce, err
	})
}

// read returns the row and its term; a row that does not exist has version 0
// and fence 0.
func (k *Keeper) read(ctx context.Context) (platform.Row, term, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	row, err := k.table.Get(ctx, k.row())
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Row{}, term{}, nil
	}
	if err != nil {
		return platform.Row{}, term{}, err
	}
	t, err := decodeTerm(row.Value)
	return row, t, err
}

// hold runs work until it returns or the lease ends, and renews meanwhile.
func (k *Keeper) hold(ctx context.Context, g grant, work func(context.Context, *Held)) {
	workCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	held := &Held{Fence: g.term.Fence, now: k.now, cancel: cancel}
	deadline := g.sentAt.add(k.settings.Duration)
	held.deadline.Store(&deadline)
	k.emit(eventlog.LeaseAcquired, held)

	renewed := make(chan grant, 1)
	go func() { renewed <- k.renewLoop(workCtx, held, g) }()
	if held.Valid() {
		work(workCtx, held)
	}
	held.end()
	last := <-renewed
	k.emit(eventlog.LeaseLost, held)
	k.release(ctx, last)
}

// renewLoop renews the lease until ctx ends or it is lost, and ends it then.
// It returns the last grant.
func (k *Keeper) renewLoop(ctx context.Context, held *Held, g grant) grant {
	defer held.end()
	for {
		if sleepUntil(ctx, g.sentAt.steady.Add(k.settings.Duration/renewShare)) != nil {
			return g
		}
		next, err := k.renewUntil(ctx, held, g)
		if err != nil {
			return g
		}
		g = next
		if !held.extend(g.sentAt.add(k.settings.Duration)) {
			return g
		}
	}
}

// renewUntil tries to renew until the lease's deadline.
func (k *Keeper) renewUntil(ctx context.Context, held *Held, g grant) (grant, error) {
	ctx, cancel := context.WithDeadline(ctx, held.Deadline())
	defer cancel()
	for try := 0; ; try++ {
		next, err := k.renew(ctx, g)
		if err == nil {
			return next, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return grant{}, err
		}
		if err := renewBackoff.Wait(ctx, try); err != nil {
			return grant{}, err
		}
	}
}

// renewBackoff spaces the tries to renew.
var renewBackoff = backoff.Policy{Min: 100 * time.Millisecond, Max: time.Second}

func (k *Keeper) renew(ctx context.Context, g grant) (grant, error) {
	row, found, err := k.read(ctx)
	if err != nil {
		return grant{}, err
	}
	if found.Fence != g.term.Fence || found.Released {
		return grant{}, verdict.Wrap(platform.ErrConflict, verdict.NotRun, verdict.CodeConflict, "the lease has another holder")
	}
	next := grant{term: g.term, sentAt: k.now()}
	next.term.Nonce = rand.Text()
	if err := k.write(ctx, next, row.Version); err != nil {
		return grant{}, err
	}
	return next, nil
}

// release tells candidates that they need not wait the lease out. It is only
// an offer: without it they wait.
func (k *Keeper) release(ctx context.Context, g grant) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platform.CallTimeout)
	defer cancel()
	row, found, err := k.read(ctx)
	if err != nil || found.Fence != g.term.Fence || found.Released {
		return
	}
	found.Released, found.Nonce = true, rand.Text()
	_ = k.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: k.row(), Version: row.Version}},
		Writes:     []platform.Write{{Key: k.row(), Value: encodeTerm(found)}},
	})
}

func (k *Keeper) emit(id eventlog.ID, h *Held) {
	k.log.Emit(id, eventlog.Fields{Detail: fmt.Sprintf("%s fence %d", k.settings.Name, h.Fence)})
}

func sleepUntil(ctx context.Context, t time.Time) error {
	return backoff.Sleep(ctx, time.Until(t))
}
