// Package storeclock estimates the time on the clock of the platform's store, which
// is the same for all daemons and outlives them.
package storeclock

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// MaxError is how far ahead of the store's clock an estimate, and times that were taken
// from one, may be. A greater difference shows that the store's clock went back.
const MaxError = time.Second

// window is how long a reading is used at least. It bounds the error of clocks that
// run at different rates.
const window = time.Minute

// maxDrift bounds how much a machine's clock gains on the store's, in parts of the time that
// passes. An estimate that is found to be further ahead of all readings goes on at almost its
// own rate: either all responses are late by more than before, or the store's clock went back
// by less than they take, which one that takes less will show.
const maxDrift = 2e-3

// Clock estimates the store's time. A reading is the store's time when it sent a
// response, so it is never later than the time at its receipt: of all readings, the
// one that gives the latest time is the closest. Between readings the clock advances
// with this machine's clocks that are never set, also while the machine is
// suspended.
//
// When the store's clock goes back, the Clock goes on as before, so that differences of
// its times remain right. FromStore and ToStore convert times on the store's clock that
// others state or are told. It is safe for concurrent use.
type Clock struct {
	sinceBoot func() time.Duration
	startedAt time.Time
	bootedFor time.Duration
	onSetBack func(by time.Duration)

	// offset is this Clock's time less local; nil before the first reading.
	offset atomic.Pointer[time.Duration]
	// correction is this Clock's time less the store's, in milliseconds.
	correction atomic.Int64

	mu sync.Mutex
	// direct is set after a reading from the store itself, lastSentAt when the latest request
	// was sent that brought one.
	direct     bool
	lastSentAt time.Duration
	// setBackAt is when the store's clock was last found to have gone back.
	setBackAt time.Duration
	// current and previous are the greatest offsets in the current and in the previous
	// window; nil if there is none.
	current, previous *time.Duration
	windowEnd         time.Duration
	// addedAt is when the last reading was added.
	addedAt time.Duration
}

// New returns a Clock without a reading. sinceBoot returns the time since the
// machine booted, including suspended time. onSetBack is called when the store's clock
// went back.
func New(sinceBoot func() time.Duration, onSetBack func(by time.Duration)) *Clock {
	return &Clock{sinceBoot: sinceBoot, startedAt: time.Now(), bootedFor: sinceBoot(), onSetBack: onSetBack}
}

// Local returns the time since the Clock was created.
func (c *Clock) Local() time.Duration {
	return max(time.Since(c.startedAt), c.sinceBoot()-c.bootedFor)
}

// Observe takes a reading from a response of the store that was just received, to a
// request that was sent at a time of Local. It returns the reading as a time of this
// Clock. 0 is no reading.
func (c *Clock) Observe(t platform.StoreTime, sentAt time.Duration) platform.StoreTime {
	if t == 0 {
		return 0
	}
	read, setBackBy := c.observe(t, sentAt)
	if setBackBy > 0 {
		c.onSetBack(setBackBy)
	}
	return read
}

// ObserveLate is Observe for a response that came long after it was due. It dates the response, but is
// no reading: how much of the delay was before the store read its clock is unknown. It returns 0 if the
// store's clock went back meanwhile.
func (c *Clock) ObserveLate(t platform.StoreTime, sentAt time.Duration) platform.StoreTime {
	now, ok := c.Now()
	if t == 0 || !ok {
		return c.Observe(t, sentAt)
	}
	read := min(c.FromStore(t), now)
	if read < now.Add(sentAt-c.Local()-MaxError) {
		return 0
	}
	return read
}

func (c *Clock) observe(t platform.StoreTime, sentAt time.Duration) (read platform.StoreTime, setBackBy time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct, c.lastSentAt = true, max(c.lastSentAt, sentAt)
	local := c.Local()
	read = c.FromStore(t)
	offset := c.offset.Load()
	if offset == nil {
		c.add(read, local)
		return read, 0
	}
	now := platform.StoreTime(0).Add(*offset + local)
	if sentAt < c.setBackAt {
		// The response may have been sent before the clock went back.
		return min(read, now), 0
	}
	if earliest := now.Add(sentAt - local - MaxError); read < earliest {
		setBackBy = now.Sub(read)
		c.correction.Add(setBackBy.Milliseconds())
		c.setBackAt = local
		c.current, c.previous = nil, nil
		read = now
	}
	c.add(read, local)
	return read, setBackBy
}

// ObserveRelayed takes a reading that a peer took. It counts as long as there is none
// from the store itself, since the store's clock may have gone back meanwhile.
func (c *Clock) ObserveRelayed(t platform.StoreTime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t != 0 && !c.direct {
		c.add(t, c.Local())
	}
}

// ReadSince reports whether the store told its time in response to a request that was sent
// after a time of Local.
func (c *Clock) ReadSince(t time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.direct && c.lastSentAt > t
}

// add takes a reading as a time of this Clock. c.mu must be held.
func (c *Clock) add(read platform.StoreTime, local time.Duration) {
	if c.current != nil && local >= c.windowEnd {
		c.previous, c.current = c.current, nil
	}
	if c.current == nil {
		c.windowEnd = local + window
	}
	if offset := read.Sub(0) - local; c.current == nil || offset > *c.current {
		c.current = &offset
	}
	greatest := c.current
	if c.previous != nil && *c.previous > *greatest {
		greatest = c.previous
	}
	if old := c.offset.Load(); old != nil {
		slowest := *old - time.Duration(maxDrift*float64(local-c.addedAt))
		greatest = new(max(*greatest, slowest))
	}
	c.addedAt = local
	c.offset.Store(greatest)
}

// FromStore returns a time on the store's clock as a time of this Clock.
func (c *Clock) FromStore(t platform.StoreTime) platform.StoreTime {
	return t + platform.StoreTime(c.correction.Load())
}

// ToStore is the inverse of FromStore.
func (c *Clock) ToStore(t platform.StoreTime) platform.StoreTime {
	return t - platform.StoreTime(c.correction.Load())
}

// Now returns the present time; ok is false before the first reading.
func (c *Clock) Now() (now platform.StoreTime, ok bool) {
	offset := c.offset.Load()
	if offset == nil {
		return 0, false
	}
	return platform.StoreTime(0).Add(*offset + c.Local()), true
}
