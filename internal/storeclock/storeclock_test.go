package storeclock

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// now returns the estimate, which must exist.
func now(t *testing.T, c *Clock) platform.StoreTime {
	t.Helper()
	n, ok := c.Now()
	assert.Assert(t, ok)
	return n
}

// noBootClock is the clock of a system that has none that advances while suspended.
func noBootClock() time.Duration { return 0 }

// neverSetBack fails the test if the store's clock is found to have gone back.
func neverSetBack(t *testing.T) func(time.Duration) {
	return func(by time.Duration) { t.Errorf("the store's clock went back by %s", by) }
}

// Responses that took long to arrive do not put the estimate back.
func TestClosestReadingCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(noBootClock, neverSetBack(t))
		_, ok := c.Now()
		assert.Assert(t, !ok)
		c.Observe(0, c.Local())
		_, ok = c.Now()
		assert.Assert(t, !ok)
		c.Observe(5000, c.Local())
		time.Sleep(time.Second)
		assert.Equal(t, now(t, c), platform.StoreTime(6000))
		c.Observe(5400, c.Local())
		assert.Equal(t, now(t, c), platform.StoreTime(6000))
		c.Observe(6030, c.Local())
		assert.Equal(t, now(t, c), platform.StoreTime(6030))
	})
}

// After a suspension, in which the steady clock stands still, the estimate is right
// without a new reading.
func TestClockAdvancesDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, suspended := time.Now(), time.Duration(0)
		c := New(func() time.Duration { return time.Since(start) + suspended }, neverSetBack(t))
		c.Observe(1000, c.Local())
		time.Sleep(2 * time.Second)
		suspended = 7 * time.Second
		assert.Equal(t, now(t, c), platform.StoreTime(10000))
	})
}

// Guards against an estimate that is ahead for good because a late response was the first to show that the
// store's clock went back.
func TestLateResponsesAreNoReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var setBack time.Duration
		c := New(noBootClock, func(by time.Duration) { setBack = by })
		c.Observe(100_000, c.Local())
		time.Sleep(10 * time.Second)
		sentAt := c.Local()
		time.Sleep(4 * time.Second)
		assert.Equal(t, c.ObserveLate(111_000, sentAt), platform.StoreTime(111_000))
		assert.Equal(t, c.ObserveLate(51_000, sentAt), platform.StoreTime(0), "read 1 s after it was sent, on the new clock")
		assert.Equal(t, now(t, c), platform.StoreTime(114_000))
		c.Observe(54_000, c.Local())
		assert.Equal(t, setBack, time.Minute)
		assert.Equal(t, now(t, c), platform.StoreTime(114_000))
	})
}

// A machine whose clock runs fast does not run ahead of the store for ever.
func TestFastClockIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(noBootClock, neverSetBack(t))
		const drift = 1e-3 // of the store's clock, which is slow
		start := time.Now()
		for time.Since(start) < 24*time.Hour {
			time.Sleep(10 * time.Second)
			storeTime := platform.StoreTime(0).Add(time.Second + time.Duration(float64(time.Since(start))*(1-drift)))
			c.Observe(storeTime, c.Local())
			ahead := now(t, c).Sub(storeTime)
			assert.Assert(t, ahead >= 0 && ahead <= time.Duration(3*drift*float64(window)), "%s ahead", ahead)
		}
	})
}

// Guards against ages that change because the store's clock went back.
func TestClockGoesOnWhenStoreClockGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var setBackBy []time.Duration
		c := New(noBootClock, func(by time.Duration) { setBackBy = append(setBackBy, by) })
		c.Observe(100_000, c.Local())
		longPoll, lost := c.Local(), c.Local()
		for range 3 {
			time.Sleep(time.Second)
			c.Observe(now(t, c), c.Local())
		}
		const restarted = platform.StoreTime(7) // the store's clock, of which 103 s are expected
		assert.Equal(t, c.Observe(restarted, c.Local()), platform.StoreTime(103_000))
		assert.DeepEqual(t, setBackBy, []time.Duration{102_993 * time.Millisecond})
		assert.Equal(t, c.FromStore(restarted), platform.StoreTime(103_000))
		assert.Equal(t, c.ToStore(103_000), restarted)
		time.Sleep(time.Second)
		assert.Equal(t, now(t, c), platform.StoreTime(104_000))

		assert.Equal(t, c.Observe(102_999, longPoll), platform.StoreTime(104_000), "a response of before the restart")
		assert.Equal(t, c.Observe(restarted.Add(500*time.Millisecond), lost), platform.StoreTime(103_500))
		assert.Equal(t, now(t, c), platform.StoreTime(104_000))
		assert.Equal(t, c.Observe(restarted.Add(time.Second), c.Local()), platform.StoreTime(104_000))
		assert.Equal(t, c.Observe(1, c.Local()), platform.StoreTime(104_000), "once more")
		assert.Equal(t, len(setBackBy), 2)
	})
}

// A response that the store sent long before it arrived, such as that to a long poll, does
// not show that the clock went back.
func TestLateResponseIsNoSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(noBootClock, neverSetBack(t))
		c.Observe(5000, c.Local())
		sentAt := c.Local()
		time.Sleep(20 * time.Second)
		assert.Equal(t, c.Observe(5001, sentAt), platform.StoreTime(5001))
		assert.Equal(t, now(t, c), platform.StoreTime(25_000))
		assert.Equal(t, c.Observe(now(t, c).Add(-MaxError), c.Local()), platform.StoreTime(24_000), "an error of estimates")
		assert.Equal(t, c.FromStore(24_000), platform.StoreTime(24_000))
	})
}

// Only a response to a request that was sent afterwards shows that the store's clock did not
// go back.
func TestReadSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(noBootClock, neverSetBack(t))
		c.ObserveRelayed(5000)
		assert.Assert(t, !c.ReadSince(c.Local()), "a peer's reading")
		sentAt := c.Local()
		time.Sleep(time.Second)
		received := c.Local()
		c.Observe(6000, sentAt)
		assert.Assert(t, !c.ReadSince(received), "sent before")
		time.Sleep(time.Nanosecond)
		c.Observe(6000, c.Local())
		assert.Assert(t, c.ReadSince(received))
	})
}

// Guards against peers' readings of a clock that went back since.
func TestRelayedReadingCountsUntilStoreIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		setBack := false
		c := New(noBootClock, func(time.Duration) { setBack = true })
		c.ObserveRelayed(0)
		_, ok := c.Now()
		assert.Assert(t, !ok)
		c.ObserveRelayed(60_000)
		assert.Equal(t, now(t, c), platform.StoreTime(60_000))
		assert.Equal(t, c.Observe(4000, c.Local()), platform.StoreTime(60_000))
		assert.Assert(t, setBack)
		c.ObserveRelayed(200_000)
		assert.Equal(t, now(t, c), platform.StoreTime(60_000))
	})
}

// Guards against a clock that steps back, which makes ages too small, because the store's
// clock went back by less than each call took.
func TestClockDoesNotStepBack(t *testing.T) {
	const (
		poll    = 8 * time.Second
		setBack = 5 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		c := New(func() time.Duration { return 0 }, func(time.Duration) {})
		start := time.Now()
		origin := platform.StoreTime(1_000_000)
		c.Observe(origin, c.Local())
		for range 30 {
			before, _ := c.Now()
			sentAt := c.Local()
			time.Sleep(poll)
			c.Observe(origin.Add(time.Since(start)-setBack), sentAt)
			now, _ := c.Now()
			assert.Assert(t, now.Sub(before) >= poll-MaxError, "after %s: %s in %s", time.Since(start), now.Sub(before), poll)
		}
	})
}
