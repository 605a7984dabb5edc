package gossip

import "sync"

// LocalBus implements gossip for a daemon without peers: it stores the published
// facts in memory and never expires them. The zero value is ready for use.
type LocalBus struct {
	mu    sync.Mutex
	facts map[Kind]map[string]Fact
}

var _ Bus = (*LocalBus)(nil)

// Publish stores f in place of an earlier fact of its Kind and ID.
func (s *LocalBus) Publish(f Fact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.facts == nil {
		s.facts = map[Kind]map[string]Fact{}
	}
	if s.facts[f.Kind] == nil {
		s.facts[f.Kind] = map[string]Fact{}
	}
	s.facts[f.Kind][f.ID] = f
}

// Subscribe does nothing, as there are no peers.
func (s *LocalBus) Subscribe(Kind, func(Fact)) {}

// Facts returns the published facts of kind.
func (s *LocalBus) Facts(kind Kind) []Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Fact
	for _, f := range s.facts[kind] {
		out = append(out, f)
	}
	return out
}

// Peers returns nil.
func (s *LocalBus) Peers() []string { return nil }
