package eventlog

import (
	"sync"
	"time"
)

// sampledLines is how many lines a second of one kind EmitSampled logs.
const sampledLines = 10

// sampler lets so many events pass in each second.
type sampler struct {
	mu      sync.Mutex
	second  int64 // in Unix time
	passed  int
	omitted uint64
}

// take reports whether an event passes, and how many did not since the last
// one that did.
func (s *sampler) take(now time.Time) (omitted uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sec := now.Unix(); sec != s.second {
		s.second, s.passed = sec, 0
	}
	if s.passed >= sampledLines {
		s.omitted++
		return 0, false
	}
	s.passed++
	omitted, s.omitted = s.omitted, 0
	return omitted, true
}
