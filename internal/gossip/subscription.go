package gossip

import "sync"

// subscription delivers facts of one kind, one call at a time. A fact that is
// superseded before its delivery is skipped, so a slow subscriber's queue is
// bounded by the number of facts.
type subscription struct {
	kind Kind
	fn   func(Fact)
	wake chan struct{}

	mu      sync.Mutex
	pending map[string]Fact
}

func newSubscription(kind Kind, fn func(Fact)) *subscription {
	return &subscription{kind: kind, fn: fn, wake: make(chan struct{}, 1), pending: map[string]Fact{}}
}

func (s *subscription) add(f Fact) {
	s.mu.Lock()
	s.pending[f.ID] = f
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *subscription) deliver(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-s.wake:
		}
		s.mu.Lock()
		batch := s.pending
		s.pending = map[string]Fact{}
		s.mu.Unlock()
		for _, f := range batch {
			s.fn(f)
		}
	}
}
