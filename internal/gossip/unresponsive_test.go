package gossip

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// shortTimeouts shortens the heartbeat interval and the idle timeout.
func shortTimeouts(_ int, c *Config) {
	c.FanOut, c.Heartbeat, c.IdleTimeout = 5, 300*time.Millisecond, time.Second
}

// shortTimeoutFleet starts five daemons with shortTimeouts and waits until all
// know one another.
func shortTimeoutFleet(t *testing.T, nw *network) []*Node {
	nodes := testFleet(t, nw, 5, shortTimeouts)
	eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
	return nodes
}

// countUnresponsive returns the number of nodes that consider the daemon
// unresponsive.
func countUnresponsive(nodes []*Node, name string) int {
	count := 0
	for _, n := range nodes {
		if n.Unresponsive()[name] {
			count++
		}
	}
	return count
}

// isolate blackholes all links of a daemon and prevents new ones.
func (nw *network) isolate(name string) {
	nw.mu.Lock()
	nw.partitioned = func(a, b string) bool { return a == name || b == name }
	nw.mu.Unlock()
	nw.eachLink(func(k *link) {
		if k.from == name || k.to == name {
			k.blackhole()
		}
	})
}

// An isolated daemon is unresponsive to each of its peers after the idle timeout,
// whichever side dialled the connection, and before its facts expire.
func TestSilentDaemonIsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := shortTimeoutFleet(t, nw)
		defer closeAll(nodes)
		target, rest := nodes[4], nodes[:4]
		time.Sleep(2 * time.Second) // until all connections are open
		assert.Equal(t, countUnresponsive(rest, target.cfg.Name), 0)
		nw.isolate(target.cfg.Name)
		time.Sleep(1200 * time.Millisecond)
		assert.Equal(t, countUnresponsive(rest, target.cfg.Name), len(rest))
		for _, n := range rest {
			assert.Equal(t, len(n.Peers()), len(nodes)-1)
		}
		nw.heal()
		eventually(t, 5*time.Second, "all daemons responsive", func() bool {
			return countUnresponsive(rest, target.cfg.Name) == 0 && len(target.Unresponsive()) == 0
		})
	})
}

// A crashed daemon is unresponsive as soon as dialling it fails.
func TestCrashedDaemonIsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := shortTimeoutFleet(t, nw)
		defer closeAll(nodes)
		target, rest := nodes[4], nodes[:4]
		time.Sleep(2 * time.Second)
		nw.mu.Lock()
		nw.partitioned = func(a, b string) bool { return a == target.cfg.Name || b == target.cfg.Name }
		nw.mu.Unlock()
		nw.eachLink(func(k *link) {
			if k.from == target.cfg.Name || k.to == target.cfg.Name {
				k.close()
			}
		})
		// A daemon redials at the tick after the longest jittered backoff.
		within := 2*tickInterval + 3*DefaultMinBackoff/2
		eventually(t, within, "daemon unresponsive", func() bool { return countUnresponsive(rest, target.cfg.Name) == len(rest) })
	})
}

// Guards against crashed daemons that become responsive again when a fact that
// they published before the crash arrives late through another daemon.
func TestCrashedDaemonStaysUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := shortTimeoutFleet(t, nw)
		defer closeAll(nodes)
		target, rest := nodes[4], nodes[:4]
		time.Sleep(2 * time.Second)
		late := lastOwnFact(target)
		late.Version++ // published before the crash, received by no daemon yet
		crash(nw, target)
		eventually(t, time.Second, "daemon unresponsive", func() bool { return countUnresponsive(rest, target.cfg.Name) == len(rest) })
		for i, n := range rest {
			receiveFrom(n, rest[(i+1)%len(rest)], late)
			assert.Assert(t, hasVersion(n, KindDaemon, target.cfg.Name, late.Version))
		}
		for range 20 {
			assert.Equal(t, countUnresponsive(rest, target.cfg.Name), len(rest))
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// lastOwnFact returns the newest fact that a daemon published about itself.
func lastOwnFact(n *Node) Fact {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.byKey[factKey{KindDaemon, n.cfg.Name}].fact
}

// receiveFrom lets n receive a fact on its connection to peer.
func receiveFrom(n, peer *Node, f Fact) {
	n.mu.Lock()
	c := n.conns[peer.cfg.Name]
	n.mu.Unlock()
	n.handle(c, &message{Type: messageFacts, Facts: []Fact{f}})
}

// separate blackholes the links between two daemons and prevents new ones.
func (nw *network) separate(a, b string) {
	between := func(x, y string) bool { return x == a && y == b || x == b && y == a }
	nw.mu.Lock()
	nw.partitioned = between
	nw.mu.Unlock()
	nw.eachLink(func(k *link) {
		if between(k.from, k.to) {
			k.blackhole()
		}
	})
}

// A daemon that one peer can't reach becomes responsive again when its facts
// arrive through other daemons.
func TestIndirectlyReachableDaemonIsResponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := shortTimeoutFleet(t, nw)
		defer closeAll(nodes)
		a, b := nodes[3], nodes[4]
		nw.separate(a.cfg.Name, b.cfg.Name)
		eventually(t, 2*time.Second, "daemon unresponsive", func() bool { return a.Unresponsive()[b.cfg.Name] })
		eventually(t, 2*minRefreshInterval, "fact received through other daemons", func() bool { return !a.Unresponsive()[b.cfg.Name] })
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			assert.Assert(t, len(a.Peers()) == 4 && a.Facts(KindDaemon)[0].TTL > 0)
		}
		assert.Equal(t, countUnresponsive(nodes[:3], b.cfg.Name), 0)
	})
}

// The other daemons' clocks follow a peer's clock that is ahead by less than a
// minute, so a daemon that the peer can't reach becomes responsive as soon as usual.
func TestIndirectlyReachableDaemonIsResponsiveToClockAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := shortTimeoutFleet(t, nw)
		defer closeAll(nodes)
		a, b := nodes[3], nodes[4]
		a.clock.Observe(eventlog.Timestamp{Micros: time.Now().Add(30 * time.Second).UnixMicro()})
		nw.separate(a.cfg.Name, b.cfg.Name)
		eventually(t, 2*time.Second, "daemon unresponsive", func() bool { return a.Unresponsive()[b.cfg.Name] })
		eventually(t, 2*minRefreshInterval, "fact received through other daemons", func() bool { return !a.Unresponsive()[b.cfg.Name] })
	})
}

// A peer's clock that is ahead by more, which the others do not follow, keeps the
// daemon unresponsive only until the facts published before the mark have expired.
func TestWrongClockDoesNotKeepDaemonUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := shortTimeoutFleet(t, nw)
		defer closeAll(nodes)
		a, b := nodes[3], nodes[4]
		nw.separate(a.cfg.Name, b.cfg.Name)
		eventually(t, 2*time.Second, "daemon unresponsive", func() bool { return a.Unresponsive()[b.cfg.Name] })
		mark := advanceMark(a, b.cfg.Name, time.Hour)
		time.Sleep(daemonTTL(len(nodes), DefaultBytesPerSecond) - 100*time.Millisecond)
		assert.Equal(t, markOf(a, b.cfg.Name), mark)
		// A redial that fails may mark the daemon again.
		eventually(t, 2*minRefreshInterval, "mark reverted", func() bool { return markOf(a, b.cfg.Name) != mark })
	})
}

// advanceMark changes a mark to the one that a clock ahead by lead would have
// made, and returns it.
func advanceMark(n *Node, name string, lead time.Duration) unresponsiveMark {
	n.mu.Lock()
	defer n.mu.Unlock()
	mark := n.unresponsive[name]
	mark.clockVersion += uint64(lead.Microseconds())
	n.unresponsive[name] = mark
	return mark
}

func markOf(n *Node, name string) unresponsiveMark {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unresponsive[name]
}

// A daemon whose connection was closed by choice is not unresponsive.
func TestExpectedCloseIsNotUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := shortTimeoutFleet(t, nw)
		defer closeAll(nodes)
		nodes[0].mu.Lock()
		for _, c := range nodes[0].conns {
			c.expectedClose = true
			c.close()
		}
		nodes[0].mu.Unlock()
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			for _, n := range nodes {
				assert.Equal(t, len(n.Unresponsive()), 0)
			}
		}
	})
}

// Guards against daemons that take their facts for known to all while they are cut off
// from some, and against calls to the store in a fleet that misses nobody.
func TestMayMissPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := shortTimeoutFleet(t, nw)
		defer closeAll(nodes)
		missing := func(nodes []*Node) (count int) {
			for _, n := range nodes {
				if n.MayMissPeers() {
					count++
				}
			}
			return count
		}
		time.Sleep(2 * time.Second) // until all connections are open
		assert.Equal(t, missing(nodes), 0)
		assert.NilError(t, nodes[3].Close())
		stopped, target, rest := nodes[3], nodes[4], nodes[:3]
		nodes = append(slices.Clone(rest), target)
		time.Sleep(time.Minute)
		assert.Equal(t, missing(nodes), 0, "%s has announced that it stops", stopped.cfg.Name)
		nw.isolate(target.cfg.Name)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, missing(nodes), len(nodes))
		time.Sleep(lostPeerTTL / 2)
		assert.Equal(t, missing(nodes), len(nodes), "the isolated daemon has expired")
		time.Sleep(lostPeerTTL)
		assert.Equal(t, missing(rest), 0)
		assert.Assert(t, target.MayMissPeers(), "a daemon without a connection")
	})
}

// Guards against calls to the store by a daemon that has no peers.
func TestSingleDaemonMissesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 1, func(_ int, c *Config) { c.Seeds = []string{c.Address} })
		defer closeAll(nodes)
		time.Sleep(time.Minute)
		assert.Assert(t, !nodes[0].MayMissPeers())
	})
}

// Guards against a lost daemon whose last fact reached only one other in time: those that heard
// of that fact took the word of all that had lost it for old, and listed it for seconds more.
func TestLastFactDoesNotHideLoss(t *testing.T) {
	const daemons, toldIn = 20, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, daemons, func(_ int, c *Config) {
			c.BytesPerSecond, c.FanOut, c.Heartbeat, c.IdleTimeout = 32<<10, 7, 300*time.Millisecond, time.Second
		})
		defer func() { closeAll(nodes) }()
		eventually(t, 20*time.Second, "all peers known", allPeersKnown(nodes))
		time.Sleep(20 * time.Second)
		lost := nodes[daemons-1]
		name := lost.cfg.Name
		defer lost.Close()
		nodes = nodes[:daemons-1]
		version := func(n *Node) uint64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			if e := n.store.byKey[factKey{KindDaemon, name}]; e != nil {
				return e.fact.Version
			}
			return 0
		}
		// The neighbour passes the facts on to daemons that have no connection to the lost one.
		var neighbour *Node
		for _, n := range nodes {
			n.mu.Lock()
			parent := n.treeParents[name]
			distant := n.conns[name] == nil && parent != nil
			n.mu.Unlock()
			if i := slices.IndexFunc(nodes, func(x *Node) bool { return distant && x.cfg.Name == parent.peerName() }); i >= 0 {
				nodes[i].mu.Lock()
				if nodes[i].conns[name] != nil {
					neighbour = nodes[i]
				}
				nodes[i].mu.Unlock()
			}
		}
		assert.Assert(t, neighbour != nil)
		before := version(neighbour)
		nw.eachLink(func(k *link) { // all others hear nothing any more
			if (k.from == name || k.to == name) && k.from != neighbour.cfg.Name && k.to != neighbour.cfg.Name {
				k.blackhole()
			}
		})
		eventually(t, 5*time.Second, "the next fact", func() bool { return version(neighbour) > before })
		nw.isolate(name)
		eventually(t, toldIn, "loss known", func() bool {
			for _, n := range nodes {
				if slices.Contains(n.Peers(), name) && !n.Unresponsive()[name] {
					return false
				}
			}
			return true
		})
	})
}
