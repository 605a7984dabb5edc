package eventlog

import (
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Timestamp is a reading of a hybrid logical clock: wall time in microseconds
// and a counter that orders events within a microsecond. Readings exchanged
// between daemons keep causal order even when wall clocks differ.
type Timestamp struct {
	Micros  int64  `json:"micros" msgpack:"m"`
	Counter uint32 `json:"counter" msgpack:"c"`
}

// Before reports whether t is ordered before o.
func (t Timestamp) Before(o Timestamp) bool {
	return t.Micros < o.Micros || (t.Micros == o.Micros && t.Counter < o.Counter)
}

// Time returns the wall time.
func (t Timestamp) Time() time.Time { return time.UnixMicro(t.Micros).UTC() }

// String implements fmt.Stringer.
func (t Timestamp) String() string {
	return fmt.Sprintf("%s+%d", t.Time().Format("2006-01-02T15:04:05.000000Z"), t.Counter)
}

// encode is the inverse of decodeTimestamp.
func (t Timestamp) encode() string { return fmt.Sprintf("%d+%d", t.Micros, t.Counter) }

func decodeTimestamp(text string) (t Timestamp, err error) {
	_, err = fmt.Sscanf(text, "%d+%d", &t.Micros, &t.Counter)
	return t, errors.Wrapf(err, "decode clock reading %q", text)
}

// maxClockLead bounds how far a peer's reading may be ahead of the local wall clock.
const maxClockLead = time.Minute

// Clock is a hybrid logical clock, safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns a reading that is after all readings returned or observed before.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := time.Now().UnixMicro()
	if wall > c.last.Micros {
		c.last = Timestamp{Micros: wall}
	} else {
		c.last.Counter++
	}
	return c.last
}

// Observe advances the clock to a reading received from a peer. Readings more
// than maxClockLead ahead are ignored, so that one wrong clock does not advance
// all the others.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Micros > time.Now().Add(maxClockLead).UnixMicro() {
		return
	}
	if c.last.Before(t) {
		c.last = t
	}
}
