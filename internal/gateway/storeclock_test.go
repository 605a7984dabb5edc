package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/mirror"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/rollout"
	"github.com/verbenabend/verbenabend/internal/storeclock"
)

// restartingFeed is a platform.Feed with one row that changes with version. The store's
// clock is offset ahead of the time since start.
type restartingFeed struct {
	start   time.Time
	offset  atomic.Int64
	version atomic.Uint64
	failing atomic.Bool
}

func (f *restartingFeed) ReadTable(context.Context, string) (platform.Changes, error) {
	if f.failing.Load() {
		return platform.Changes{}, errors.New("the store is away")
	}
	version := f.version.Load()
	return platform.Changes{
		Rows: []platform.Change{{Key: "a", Version: version}}, Version: version, Whole: true,
		ReadAt: platform.StoreTime(0).Add(time.Since(f.start) + time.Duration(f.offset.Load())),
	}, nil
}

func (f *restartingFeed) ReadChanges(ctx context.Context, table string, _ platform.Position, _ time.Duration) (platform.Changes, error) {
	time.Sleep(10 * time.Millisecond)
	return f.ReadTable(ctx, table)
}

// Guards against changes that count as new although they were made long before they were
// read, since the store's clock began anew meanwhile.
func TestChangesReadAfterRestartOfStoreClockAreNotNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &restartingFeed{start: time.Now()}
		store.offset.Store(int64(time.Hour))
		store.version.Store(1)
		away := &restartingFeed{}
		away.failing.Store(true)
		var setBackBy atomic.Int64
		clock := storeclock.New(func() time.Duration { return 0 }, func(by time.Duration) { setBackBy.Add(int64(by)) })
		var last atomic.Pointer[mirror.Read]
		m := mirror.New(mirror.Settings{Table: "t", MaxWait: time.Second, OnChange: func(_ map[string]platform.Change, read mirror.Read) { last.Store(&read) }}, clockedFeed{store, clock}, away, eventlog.Discard())
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		time.Sleep(5 * time.Second)
		awayAt, ok := clock.Now()
		assert.Assert(t, ok)
		store.failing.Store(true)
		store.version.Store(2)
		time.Sleep(10 * time.Second)
		store.offset.Store(int64(-15 * time.Second))
		store.failing.Store(false)
		time.Sleep(3 * time.Second)
		read := last.Load()
		assert.Equal(t, read.Version, uint64(2))
		assert.Assert(t, read.After > 0 && read.After <= awayAt, "after %d, away since %d", read.After, awayAt)
		assert.Assert(t, read.At.Sub(read.After) >= 10*time.Second)
		assert.Assert(t, time.Duration(setBackBy.Load()) > time.Hour)
		stop()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}

// A record whose time is unknown keeps it until a daemon knows one; 0 would be the start
// of the store's clock.
func TestNextRecordKeepsUnknownTime(t *testing.T) {
	d := &Daemon{storeClock: storeclock.New(func() time.Duration { return 0 }, func(time.Duration) {})}
	old := &rollout.GoalRecord{AsOf: rollout.UnknownTime}
	assert.Equal(t, d.nextGoalRecord(old, 0).AsOf, rollout.UnknownTime)
	assert.Equal(t, d.nextGoalRecord(old, 5000).AsOf, platform.StoreTime(5000))
}

// Guards against a date that is much too early for good, because a peer's fact told it on
// the store's new clock and this daemon read that clock only after clockCheckDelay.
func TestDateOnUnreadStoreClockIsNotKept(t *testing.T) {
	const readAfter = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		clock := storeclock.New(func() time.Duration { return 0 }, func(time.Duration) {})
		clock.Observe(100_000, clock.Local())
		const requestedAt = platform.StoreTime(40_000) // now, on the new clock
		receivedAt := clock.Local()
		time.Sleep(clockCheckDelay)
		now, _ := clock.Now()
		var h rollout.GoalHistory
		h.AdoptGoal(6, 1000)
		h.AdoptUndatedGoal(7)
		h.RecordSight(7, dateOfFact(clock.FromStore(requestedAt), clockCheckDelay, now, clock.ReadSince(receivedAt)))
		time.Sleep(readAfter - clockCheckDelay)
		clock.Observe(requestedAt.Add(readAfter), clock.Local())
		now, _ = clock.Now()
		h.RecordSight(7, dateOfFact(clock.FromStore(requestedAt), readAfter, now, clock.ReadSince(receivedAt)))
		since, _, _ := h.SupersededSince(6)
		assert.Assert(t, now.Sub(since) <= readAfter+storeclock.MaxError, "superseded for %s", now.Sub(since))
	})
}
