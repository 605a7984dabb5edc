package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func member(name, dc string) Member {
	return Member{Name: name, DataCentre: dc, CallerAddress: name + ":1", PeerAddress: name + ":3"}
}

func delay(from, to string) time.Duration {
	return map[string]time.Duration{"near": time.Millisecond, "far": 9 * time.Millisecond}[to]
}

func TestEntriesAreNearestFirstAndRotateTies(t *testing.T) {
	m := New(member("a", "home"))
	m.SetGossiped([]Member{member("a", "home"), member("d", "far"), member("b", "home"), member("c", "near")})
	first := map[string]int{}
	for range 40 {
		entries := m.Entries("home", delay)
		assert.Equal(t, len(entries), 4)
		first[entries[0].Name]++
		assert.Equal(t, entries[2].Name, "c")
		assert.Equal(t, entries[3].Name, "d")
	}
	assert.Equal(t, first["a"], 20)
	assert.Equal(t, first["b"], 20)
}

func TestEntriesOmitLeavingDaemons(t *testing.T) {
	m := New(member("a", "home"))
	draining, listed := member("b", "home"), member("c", "home")
	draining.Draining = true
	m.SetGossiped([]Member{draining, listed})
	listed.Draining = true // according to the platform's instance list
	m.SetListed([]Member{listed, member("e", "home")})
	entries := m.Entries("home", delay)
	assert.Equal(t, len(entries), 1, "only a is live and not leaving")
	m.UpdateSelf(func(self *Member) { self.Isolated = true })
	assert.Equal(t, len(m.Entries("home", delay)), 0)
	assert.DeepEqual(t, m.PeerAddresses(), []string{"b:3", "c:3", "e:3"})
}
