// Package membership tracks the fleet's daemons: which of them callers may use,
// and which of them share the engines.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Member is a daemon of the fleet.
type Member struct {
	Name          string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
	// Draining daemons finish their running requests, or are not ready yet, and
	// are not offered to callers.
	Draining bool
	// Starting daemons are draining only because they have not been ready yet.
	Starting bool
	// Isolated daemons can reach neither the platform nor any peer.
	Isolated bool
	// Unresponsive daemons do not respond to this daemon, and no fact that they
	// published since has arrived.
	Unresponsive bool
}

// Members holds the known daemons. It is safe for concurrent use.
type Members struct {
	mu       sync.Mutex
	self     Member
	gossiped []Member          // without self, ordered by name
	listed   map[string]Member // by caller address
	rotation int
}

// New returns a Members that holds only self, this daemon.
func New(self Member) *Members {
	return &Members{self: self, listed: map[string]Member{}}
}

// UpdateSelf changes this daemon's entry. change must not call m's methods.
func (m *Members) UpdateSelf(change func(*Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.self)
}

// Self returns this daemon's entry.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// SetGossiped replaces the live daemons known from gossip. It takes ownership of
// members; this daemon is removed from them.
func (m *Members) SetGossiped(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gossiped = slices.DeleteFunc(members, func(x Member) bool { return x.Name == m.self.Name })
	slices.SortFunc(m.gossiped, byName)
}

// SetListed replaces the daemons on the platform's instance list. Draining is set
// for those that the list reports as leaving.
func (m *Members) SetListed(list []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = map[string]Member{}
	for _, x := range list {
		m.listed[x.CallerAddress] = x
	}
}

// Live returns the live daemons known from gossip and this one, ordered by name.
func (m *Members) Live() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live()
}

func (m *Members) live() []Member {
	out := append([]Member{m.self}, m.gossiped...)
	slices.SortFunc(out, byName)
	return out
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// Entries returns the daemons that a caller in dataCentre should use, nearest
// first. Daemons at equal distance are rotated from call to call to spread the
// callers. Daemons that are draining, leaving, isolated or not live are left out.
// So are unresponsive ones, unless all others are unresponsive: then this daemon
// is assumed to be the one that is disconnected.
func (m *Members) Entries(dataCentre string, delay func(from, to string) time.Duration) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotation++
	allUnresponsive := !slices.ContainsFunc(m.gossiped, func(x Member) bool { return !x.Unresponsive })
	out := slices.DeleteFunc(m.live(), func(x Member) bool {
		return x.Draining || x.Isolated || x.Unresponsive && !allUnresponsive || m.listed[x.CallerAddress].Draining
	})
	delayTo := func(x Member) time.Duration { return distance(dataCentre, x.DataCentre, delay) }
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(delayTo(a), delayTo(b)) })
	for start := 0; start < len(out); {
		end := start + 1
		for end < len(out) && delayTo(out[end]) == delayTo(out[start]) {
			end++
		}
		rotate(out[start:end], m.rotation)
		start = end
	}
	return out
}

// rotate moves the first n (modulo their number) members to the end.
func rotate(members []Member, n int) {
	n %= len(members)
	copy(members, slices.Concat(members[n:], members[:n]))
}

// PeerAddresses returns the peer addresses of the other daemons known from gossip
// or the platform's instance list, sorted.
func (m *Members) PeerAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	set := map[string]bool{}
	for _, x := range m.listed {
		set[x.PeerAddress] = true
	}
	for _, x := range m.gossiped {
		set[x.PeerAddress] = true
	}
	delete(set, m.self.PeerAddress)
	delete(set, "")
	return slices.Sorted(maps.Keys(set))
}

// distance returns the delay between two data centres, 0 if from is unknown.
func distance(from, to string, delay func(from, to string) time.Duration) time.Duration {
	if from == "" || from == to {
		return 0
	}
	return delay(from, to)
}
