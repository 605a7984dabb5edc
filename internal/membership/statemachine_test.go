package membership

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// drawMembers draws a subset of eight daemons with independent states.
func drawMembers(t *rapid.T, label string) []Member {
	var out []Member
	for i := range 8 {
		if !rapid.Bool().Draw(t, fmt.Sprint(label, i)) {
			continue
		}
		x := member(fmt.Sprint("d", i), rapid.SampledFrom([]string{"home", "near", "far"}).Draw(t, "data centre"))
		x.Draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
		x.Unresponsive = rapid.IntRange(0, 2).Draw(t, "unresponsive") == 0
		out = append(out, x)
	}
	return out
}

// For any sequence of updates from gossip and from the platform's instance list,
// Entries returns exactly the live, responsive daemons that are not leaving, each
// once and nearest first (also the unresponsive ones if all others are
// unresponsive), and PeerAddresses returns every known peer address except the
// daemon's own.
func TestMembersStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := member("d0", "home")
		m := New(self)
		var gossiped, listed []Member
		t.Repeat(map[string]func(*rapid.T){
			"gossip": func(t *rapid.T) {
				gossiped = drawMembers(t, "gossiped ")
				m.SetGossiped(slices.Clone(gossiped))
			},
			"list": func(t *rapid.T) {
				listed = drawMembers(t, "listed ")
				m.SetListed(slices.Clone(listed))
			},
			"change self": func(t *rapid.T) {
				self.Draining = rapid.Bool().Draw(t, "draining")
				self.Isolated = rapid.Bool().Draw(t, "isolated")
				m.UpdateSelf(func(x *Member) { *x = self })
			},
			"": func(t *rapid.T) {
				leaving := func(x Member) bool {
					i := slices.IndexFunc(listed, func(l Member) bool { return l.CallerAddress == x.CallerAddress })
					return x.Draining || x.Isolated || i >= 0 && listed[i].Draining
				}
				var want, peers []string
				others := slices.DeleteFunc(slices.Clone(gossiped), func(x Member) bool { return x.Name == self.Name })
				unresponsive := 0
				for _, x := range others {
					if x.Unresponsive {
						unresponsive++
					}
				}
				for _, x := range append(slices.Clone(others), self) {
					if !leaving(x) && (!x.Unresponsive || unresponsive == len(others)) {
						want = append(want, x.Name)
					}
				}
				for _, x := range slices.Concat(gossiped, listed) {
					if x.PeerAddress != self.PeerAddress {
						peers = append(peers, x.PeerAddress)
					}
				}
				from := rapid.SampledFrom([]string{"home", "near", "far"}).Draw(t, "caller")
				entries := m.Entries(from, delay)
				assert.Assert(t, slices.IsSortedFunc(entries, func(a, b Member) int {
					return int(distance(from, a.DataCentre, delay) - distance(from, b.DataCentre, delay))
				}), "%v", entries)
				var got []string
				for _, x := range entries {
					got = append(got, x.Name)
				}
				slices.Sort(got)
				slices.Sort(want)
				slices.Sort(peers)
				assert.DeepEqual(t, got, want)
				assert.DeepEqual(t, m.PeerAddresses(), slices.Compact(peers))
				assert.Assert(t, slices.Contains(m.Live(), self), "the daemon itself is not among the live ones")
			},
		})
	})
}
