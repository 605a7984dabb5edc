package forward

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// unleasedBytes is what each response may buffer beyond the memory for responses. Usual
	// events and bodies need no more, so that they are relayed while faulty upstreams have
	// filled it.
	unleasedBytes = 16 << 10
	// unleasedBodyBytes is the same for the bodies of requests: short ones are served while
	// long ones have filled the memory.
	unleasedBodyBytes = 4 << 10
)

// errResponseMemory is the error of an event for which there is no memory left.
var errResponseMemory = errors.Newf("a stream event exceeds %d bytes while the memory for responses is used up", unleasedBytes)

// memoryBudget bounds the bytes of responses, or of requests' bodies, that are held at the same
// time.
type memoryBudget struct {
	limit int64 // 0 means no limit
	// unleased is how many bytes each holder may have besides.
	unleased int
	used     atomic.Int64
}

// memoryLease is the part of a memoryBudget that one response or body holds.
type memoryLease struct {
	memory *memoryBudget
	held   int64
}

func (m *memoryBudget) lease() *memoryLease { return &memoryLease{memory: m} }

// resize sets how many bytes are held. It returns false, and changes nothing, if they exceed the
// memory.
func (l *memoryLease) resize(bytes int) bool { return l.set(bytes, l.held) }

// resizeOrRelease is resize, but gives all bytes back if they exceed the memory. Both is one
// step, so that of several holders that grow at the same time one gets what the others give back.
func (l *memoryLease) resizeOrRelease(bytes int) bool { return l.set(bytes, 0) }

// set sets how many bytes are held, or that otherwise are held if these exceed the memory.
func (l *memoryLease) set(bytes int, otherwise int64) bool {
	want := int64(max(0, bytes-l.memory.unleased))
	if want <= l.held {
		return true
	}
	for {
		used, fits := l.memory.used.Load(), true
		next := used + want - l.held
		if l.memory.limit > 0 && next > l.memory.limit {
			next, fits = used+otherwise-l.held, false
		}
		if !l.memory.used.CompareAndSwap(used, next) {
			continue
		}
		l.held = otherwise
		if fits {
			l.held = want
		}
		return fits
	}
}

// shrink gives back what exceeds a number of bytes.
func (l *memoryLease) shrink(bytes int) {
	if want := int64(max(0, bytes-l.memory.unleased)); want < l.held {
		l.memory.used.Add(want - l.held)
		l.held = want
	}
}

// hasRoom reports whether so many more bytes can be held.
func (m *memoryBudget) hasRoom(bytes int64) bool {
	return m.limit == 0 || m.used.Load()+bytes <= m.limit
}

// release gives all bytes back.
func (l *memoryLease) release() {
	if l.held > 0 {
		l.memory.used.Add(-l.held)
		l.held = 0
	}
}

// HeldBytes returns how many bytes of requests' bodies and of responses are held, without those
// that each may have besides the memory for them.
func (f *Forwarder) HeldBytes() (bodies, responses int64) {
	return f.bodyMemory.used.Load(), f.responseMemory.used.Load()
}
