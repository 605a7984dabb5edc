package gossip

import "sync"

// Solo is the Board of a daemon without peers. It only remembers what was
// published.
type Solo struct {
	mu    sync.Mutex
	facts map[Kind]map[string]Fact
}

var _ Board = (*Solo)(nil)

// Publish implements Board.
func (s *Solo) Publish(f Fact) {
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

// Subscribe implements Board; there is nobody to hear from.
func (s *Solo) Subscribe(Kind, func(Fact)) {}

// Facts implements Board.
func (s *Solo) Facts(kind Kind) []Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Fact
	for _, f := range s.facts[kind] {
		out = append(out, f)
	}
	return out
}

// Peers implements Board.
func (s *Solo) Peers() []string { return nil }
