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

// Responses that took long to arrive do not put the estimate back.
func TestClosestReadingCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(func() time.Duration { return 0 })
		_, ok := c.Now()
		assert.Assert(t, !ok)
		c.Observe(0)
		_, ok = c.Now()
		assert.Assert(t, !ok)
		c.Observe(5000)
		time.Sleep(time.Second)
		assert.Equal(t, now(t, c), platform.StoreTime(6000))
		c.Observe(5400)
		assert.Equal(t, now(t, c), platform.StoreTime(6000))
		c.Observe(6030)
		assert.Equal(t, now(t, c), platform.StoreTime(6030))
	})
}

// After a suspension, in which the steady clock stands still, the estimate is right
// without a new reading.
func TestClockAdvancesDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, suspended := time.Now(), time.Duration(0)
		c := New(func() time.Duration { return time.Since(start) + suspended })
		c.Observe(1000)
		time.Sleep(2 * time.Second)
		suspended = 7 * time.Second
		assert.Equal(t, now(t, c), platform.StoreTime(10000))
	})
}

// A machine whose clock runs fast does not run ahead of the store for ever.
func TestFastClockIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(func() time.Duration { return 0 })
		const drift = 1e-3 // of the store's clock, which is slow
		start := time.Now()
		for time.Since(start) < 24*time.Hour {
			time.Sleep(10 * time.Second)
			storeTime := platform.StoreTime(0).Add(time.Second + time.Duration(float64(time.Since(start))*(1-drift)))
			c.Observe(storeTime)
			ahead := now(t, c).Sub(storeTime)
			assert.Assert(t, ahead >= 0 && ahead <= time.Duration(3*drift*float64(window)), "%s ahead", ahead)
		}
	})
}
