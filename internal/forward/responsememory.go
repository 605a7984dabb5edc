package forward

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// unleasedBytes is what each response may buffer beyond the memory for responses. Usual events
// and bodies need no more, so that they are relayed while faulty upstreams have filled it.
const unleasedBytes = 16 << 10

// errResponseMemory is the error of an event for which there is no memory left.
var errResponseMemory = errors.Newf("a stream event exceeds %d bytes while the memory for responses is used up", unleasedBytes)

// responseMemory bounds the bytes of responses that are buffered at the same time.
type responseMemory struct {
	limit int64 // 0 means no limit
	used  atomic.Int64
}

// memoryLease is the part of a responseMemory that one response holds.
type memoryLease struct {
	memory *responseMemory
	held   int64
}

func (m *responseMemory) lease() *memoryLease { return &memoryLease{memory: m} }

// resize sets how many bytes the response buffers. It returns false, and changes nothing, if
// they exceed the memory.
func (l *memoryLease) resize(bytes int) bool {
	want := int64(max(0, bytes-unleasedBytes))
	if want <= l.held {
		return true
	}
	if used := l.memory.used.Add(want - l.held); l.memory.limit > 0 && used > l.memory.limit {
		l.memory.used.Add(l.held - want)
		return false
	}
	l.held = want
	return true
}

// release gives all bytes back.
func (l *memoryLease) release() {
	if l.held > 0 {
		l.memory.used.Add(-l.held)
		l.held = 0
	}
}
