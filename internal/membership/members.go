// Package membership is the aggregate of the system's own daemons: which of
// them callers may be sent to, and which of them share the engines.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Member is one daemon.
type Member struct {
	Name          string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
	// Draining daemons finish what they have, or are not ready yet, and are
	// not named to callers.
	Draining bool
	// Isolated daemons reach neither the platform nor a peer.
	Isolated bool
	// Silent daemons don't answer this one and were not heard from since.
	Silent bool
}

// Members holds what is known of all daemons. It is safe for concurrent use.
type Members struct {
	mu       sync.Mutex
	self     Member
	heard    []Member          // without self, ordered by name
	listed   map[string]Member // by caller address
	rotation int
}

// New returns Members that know only self.
func New(self Member) *Members {
	return &Members{self: self, listed: map[string]Member{}}
}

// UpdateSelf changes what is said of this daemon.
func (m *Members) UpdateSelf(change func(*Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.self)
}

// Self returns what is said of this daemon.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// SetHeard replaces the daemons heard from lately.
func (m *Members) SetHeard(heard []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = slices.DeleteFunc(heard, func(x Member) bool { return x.Name == m.self.Name })
	slices.SortFunc(m.heard, byName)
}

// SetListed replaces the daemons on the platform's list; Draining tells those
// that the list says are leaving.
func (m *Members) SetListed(list []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = map[string]Member{}
	for _, x := range list {
		m.listed[x.CallerAddress] = x
	}
}

// Live returns the daemons heard from, this one included, ordered by name.
func (m *Members) Live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live()
}

func (m *Members) live() []Member {
	out := append([]Member{m.self}, m.heard...)
	slices.SortFunc(out, byName)
	return out
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// Entries returns the daemons that a caller in dataCentre should use, nearest
// first. Ties are rotated from call to call, so that callers spread. Daemons
// that drain, that are leaving, that are isolated or that were not heard from
// are left out, and so are silent ones, unless all others are silent: then this
// daemon is the one that is cut off.
func (m *Members) Entries(dataCentre string, delay func(from, to string) time.Duration) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotation++
	cutOff := !slices.ContainsFunc(m.heard, func(x Member) bool { return !x.Silent })
	out := slices.DeleteFunc(m.live(), func(x Member) bool {
		return x.Draining || x.Isolated || x.Silent && !cutOff || m.listed[x.CallerAddress].Draining
	})
	near := func(x Member) time.Duration { return distance(dataCentre, x.DataCentre, delay) }
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(near(a), near(b)) })
	for start := 0; start < len(out); {
		end := start + 1
		for end < len(out) && near(out[end]) == near(out[start]) {
			end++
		}
		rotate(out[start:end], m.rotation)
		start = end
	}
	return out
}

// rotate moves the first n members, modulo the number of members, to the end.
func rotate(members []Member, n int) {
	n %= len(members)
	copy(members, slices.Concat(members[n:], members[:n]))
}

// PeerAddresses returns the peer addresses of all daemons listed or heard from.
func (m *Members) PeerAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	set := map[string]bool{}
	for _, x := range m.listed {
		set[x.PeerAddress] = true
	}
	for _, x := range m.heard {
		set[x.PeerAddress] = true
	}
	delete(set, m.self.PeerAddress)
	delete(set, "")
	return slices.Sorted(maps.Keys(set))
}

func distance(from, to string, delay func(from, to string) time.Duration) time.Duration {
	if from == "" || from == to {
		return 0
	}
	return delay(from, to)
}
