package eventlog

import (
	"sync"
	"time"
)

// maxSampledLinesPerSecond bounds the lines of one kind that EmitSampled logs.
const maxSampledLinesPerSecond = 10

// sampler allows maxSampledLinesPerSecond events per second of wall time.
type sampler struct {
	mu             sync.Mutex
	unixSecond     int64
	passedInSecond int
	omitted        uint64
}

// allow reports whether an event may be logged; omitted is the number of events
// refused since the last allowed one.
func (s *sampler) allow(now time.Time) (omitted uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sec := now.Unix(); sec != s.unixSecond {
		s.unixSecond, s.passedInSecond = sec, 0
	}
	if s.passedInSecond >= maxSampledLinesPerSecond {
		s.omitted++
		return 0, false
	}
	s.passedInSecond++
	omitted, s.omitted = s.omitted, 0
	return omitted, true
}
