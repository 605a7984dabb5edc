// Package storeclock estimates the time on the clock of the platform's store, which
// is the same for all daemons and outlives them.
package storeclock

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// window is how long a reading is used at least. It bounds the error of clocks that
// run at different rates.
const window = time.Minute

// Clock estimates the store's time. A reading is the store's time when it sent a
// response, so it is never later than the time at its receipt: of all readings, the
// one that gives the latest time is the closest. Between readings the clock advances
// with this machine's clocks that are never set, also while the machine is
// suspended. It is safe for concurrent use.
type Clock struct {
	sinceBoot func() time.Duration
	startedAt time.Time
	bootedFor time.Duration

	// offset is the store's time less this machine's; nil before the first reading.
	offset atomic.Pointer[time.Duration]

	mu sync.Mutex
	// current and previous are the greatest offsets in the current and in the previous
	// window; nil if there is none.
	current, previous *time.Duration
	windowEnd         time.Duration
}

// New returns a Clock without a reading. sinceBoot returns the time since the
// machine booted, including suspended time.
func New(sinceBoot func() time.Duration) *Clock {
	return &Clock{sinceBoot: sinceBoot, startedAt: time.Now(), bootedFor: sinceBoot()}
}

// local returns the time since the Clock was created.
func (c *Clock) local() time.Duration {
	return max(time.Since(c.startedAt), c.sinceBoot()-c.bootedFor)
}

// Observe takes a reading that was just received; 0 is none.
func (c *Clock) Observe(t platform.StoreTime) {
	if t == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	local := c.local()
	if c.current != nil && local >= c.windowEnd {
		c.previous, c.current = c.current, nil
	}
	if c.current == nil {
		c.windowEnd = local + window
	}
	if offset := t.Sub(0) - local; c.current == nil || offset > *c.current {
		c.current = &offset
	}
	greatest := c.current
	if c.previous != nil && *c.previous > *greatest {
		greatest = c.previous
	}
	c.offset.Store(greatest)
}

// Now returns the estimated time; ok is false before the first reading.
func (c *Clock) Now() (now platform.StoreTime, ok bool) {
	offset := c.offset.Load()
	if offset == nil {
		return 0, false
	}
	return platform.StoreTime(0).Add(*offset + c.local()), true
}
