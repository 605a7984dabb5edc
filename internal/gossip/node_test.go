package gossip

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// allHaveVersion reports whether every node has the given version of a fact.
func allHaveVersion(nodes []*Node, kind Kind, id string, version uint64) func() bool {
	return func() bool {
		for _, n := range nodes {
			if !hasVersion(n, kind, id, version) {
				return false
			}
		}
		return true
	}
}

// allPeersKnown reports whether every node has all others as peers.
func allPeersKnown(nodes []*Node) func() bool {
	return func() bool {
		for _, n := range nodes {
			if len(n.Peers()) != len(nodes)-1 {
				return false
			}
		}
		return true
	}
}

// A published fact reaches all daemons, and all daemons know one another.
func TestFactReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 7, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		nodes[3].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 4, TTL: time.Minute, Value: []byte("x")})
		eventually(t, time.Second, "document known everywhere", allHaveVersion(nodes, KindDocument, "lamp-bench", 4))
	})
}

// Blackholed connections are closed after the idle timeout and redialled.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 5, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		var old []*conn
		for _, n := range nodes {
			n.mu.Lock()
			for _, c := range n.conns {
				old = append(old, c)
			}
			n.mu.Unlock()
		}
		nw.eachLink((*link).blackhole)
		time.Sleep(DefaultIdleTimeout + 10*time.Millisecond)
		for _, c := range old {
			select {
			case <-c.done:
			default:
				t.Fatalf("the blackholed connection to %s is still open", c.peerName())
			}
		}
		nodes[0].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 9, TTL: time.Minute})
		eventually(t, 5*time.Second, "document known everywhere", allHaveVersion(nodes, KindDocument, "lamp-bench", 9))
	})
}

// Closed connections are redialled, and facts published in the meantime arrive.
func TestCutConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 5, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		nw.eachLink((*link).close)
		nodes[2].Publish(Fact{Kind: KindSuspect, ID: "f00d", TTL: time.Minute, Value: []byte{1}})
		want := nodes[2].Facts(KindSuspect)[0].Version
		eventually(t, 5*time.Second, "suspect known everywhere", allHaveVersion(nodes, KindSuspect, "f00d", want))
	})
}

// After a partition that outlasts the TTL of all facts, its two halves reconnect
// through the seed addresses.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 6, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		half := map[string]bool{testName(0): true, testName(2): true, testName(4): true}
		nw.mu.Lock()
		nw.partitioned = func(a, b string) bool { return half[a] != half[b] }
		nw.mu.Unlock()
		nw.eachLink((*link).close)
		time.Sleep(time.Hour)
		for i, n := range nodes {
			assert.Equal(t, len(n.Peers()), 2, "daemon %d", i)
		}
		nodes[0].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 2, TTL: time.Hour})
		nodes[1].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 3, TTL: time.Hour})
		nw.mu.Lock()
		nw.partitioned = func(string, string) bool { return false }
		nw.mu.Unlock()
		eventually(t, 2*DefaultMaxBackoff, "all peers known again", allPeersKnown(nodes))
		eventually(t, 5*time.Second, "greatest version everywhere", allHaveVersion(nodes, KindDocument, "lamp-bench", 3))
	})
}

// A restarted daemon replaces its previous process at all peers, even if the
// previous process's fact has a greater version.
func TestRestartWithSameName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 4, nil)
		defer func() { closeAll(nodes) }()
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		nodes[3].mu.Lock()
		nodes[3].store.maxExpiredVersion[KindDaemon] = uint64(time.Now().Add(50 * time.Second).UnixMicro())
		nodes[3].mu.Unlock()
		nodes[3].SetDraining(true, false)
		eventually(t, 2*time.Second, "drain known", func() bool { return daemonInfo(t, nodes[0], testName(3)).Draining })
		_ = nodes[3].Close()
		nodes[3] = testNode(t, nw, testName(3), nil)
		eventually(t, 5*time.Second, "new process known", func() bool {
			return daemonInfo(t, nodes[0], testName(3)).Start == nodes[3].startMicros
		})
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
	})
}

// Of two processes with the same name the later one stays known; the earlier one
// learns that it is superseded and stops announcing itself.
func TestDuplicateName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 3, nil)
		time.Sleep(3 * time.Second)
		later := testNode(t, nw, testName(2), func(c *Config) { c.Address, c.Listener = "twin", nw.listen("twin") })
		defer closeAll(append(nodes, later))
		eventually(t, 10*time.Second, "the earlier process is superseded", func() bool { return nodes[2].Stats().Superseded })
		time.Sleep(time.Minute)
		for _, n := range nodes[:2] {
			assert.Equal(t, daemonInfo(t, n, testName(2)).Start, later.startMicros)
		}
		assert.Assert(t, !later.Stats().Superseded)
	})
}

func daemonInfo(t *testing.T, n *Node, name string) DaemonInfo {
	for _, f := range n.Facts(KindDaemon) {
		if f.ID == name {
			info, err := DecodeDaemonInfo(f.Value)
			assert.NilError(t, err)
			return info
		}
	}
	return DaemonInfo{}
}

// A daemon that shuts down cleanly is removed from its peers' lists at once; one
// that crashes is removed when its fact expires.
func TestStoppedAndCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 5, nil)
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		_ = nodes[4].Close()
		nodes = nodes[:4]
		eventually(t, 500*time.Millisecond, "stop known", allPeersKnown(nodes))
		crash(nw, nodes[3])
		nodes = nodes[:3]
		defer closeAll(nodes)
		eventually(t, (refreshesPerTTL+1)*minRefreshInterval, "crash known", allPeersKnown(nodes))
	})
}

// crash disconnects a node before closing it, so that its shutdown is not announced.
func crash(nw *network, n *Node) {
	nw.mu.Lock()
	nw.partitioned = func(a, b string) bool { return a == n.cfg.Name || b == n.cfg.Name }
	nw.mu.Unlock()
	nw.eachLink(func(k *link) {
		if k.from == n.cfg.Name || k.to == n.cfg.Name {
			k.close()
		}
	})
	_ = n.Close()
}

// Daemons without a common key do not connect. During a key rotation, daemons
// with the old key, both keys and the new key still form one fleet.
func TestKeys(t *testing.T) {
	oldKey, newKey := testKey, []byte("fedcba9876543210")
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		keys := [][][]byte{{oldKey}, {newKey, oldKey}, {newKey}, {[]byte("not the fleet's key")}}
		nodes := testFleet(t, nw, len(keys), func(i int, c *Config) { c.Keys = keys[i] })
		defer closeAll(nodes)
		eventually(t, 10*time.Second, "daemons known across the rotation", allPeersKnown(nodes[:3]))
		time.Sleep(time.Minute)
		assert.Equal(t, len(nodes[3].Peers()), 0)
		assert.Assert(t, nodes[3].Stats().Rejected > 0)
		assert.Assert(t, allPeersKnown(nodes[:3])())
	})
}

// Daemons of two protocol versions exchange facts: each pair uses the greatest
// common version, and no daemon sends messages that its peer rejects.
func TestVersionsSideBySide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 6, func(i int, c *Config) { c.MaxVersion = VersionFull + uint8(i%2) })
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		time.Sleep(30 * time.Second)
		assert.Assert(t, allPeersKnown(nodes)())
		for _, n := range nodes {
			assert.Equal(t, n.Stats().Rejected, int64(0))
		}
		nodes[0].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 4, TTL: time.Minute})
		eventually(t, time.Second, "document known everywhere", allHaveVersion(nodes, KindDocument, "lamp-bench", 4))
		nodes[1].mu.Lock()
		defer nodes[1].mu.Unlock()
		for name, c := range nodes[1].conns {
			var i int
			_, err := fmt.Sscanf(name, "daemon-%d", &i)
			assert.NilError(t, err)
			assert.Equal(t, c.session.version, VersionFull+uint8(i%2))
		}
	})
}

// Subscribers receive the facts of peers in version order and one call at a time;
// the daemon's own facts are not delivered.
func TestSubscribe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 3, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		var mu sync.Mutex
		var last uint64
		nodes[0].Subscribe(KindEngine, func(f Fact) {
			assert.Assert(t, mu.TryLock())
			defer mu.Unlock()
			assert.Equal(t, f.Origin, testName(1))
			assert.Assert(t, f.Version > last)
			last = f.Version
			time.Sleep(10 * time.Millisecond)
		})
		nodes[0].Publish(Fact{Kind: KindEngine, ID: "own:1", TTL: time.Minute})
		for range 100 {
			nodes[1].Publish(Fact{Kind: KindEngine, ID: "10.0.0.1:80", TTL: time.Minute})
			time.Sleep(7 * time.Millisecond)
		}
		want := nodes[1].Facts(KindEngine)
		time.Sleep(time.Second)
		var newest uint64
		for _, f := range want {
			if f.ID == "10.0.0.1:80" {
				newest = f.Version
			}
		}
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, last, newest)
	})
}

// Facts expire at every daemon one TTL after the last announcement, including
// daemons that received them late.
func TestFactsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 4, nil)
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		nodes[0].Publish(Fact{Kind: KindEngine, ID: "10.0.0.1:80", Version: 1, TTL: 20 * time.Second})
		time.Sleep(15 * time.Second)
		nodes = append(nodes, testNode(t, nw, "late", nil))
		defer closeAll(nodes)
		eventually(t, 4*time.Second, "known to the late daemon", allHaveVersion(nodes, KindEngine, "10.0.0.1:80", 1))
		time.Sleep(6 * time.Second)
		for _, n := range nodes {
			assert.Equal(t, len(n.Facts(KindEngine)), 0)
			assert.Equal(t, n.Stats().Facts, len(nodes), "expired facts are still stored")
		}
	})
}

// Publishing the same version again extends its expiry at every daemon.
func TestRepeatedVersionRenews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 5, nil)
		defer closeAll(nodes)
		for range 10 {
			nodes[1].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 7, TTL: 20 * time.Second, Value: []byte("v")})
			time.Sleep(10 * time.Second)
		}
		assert.Assert(t, allHaveVersion(nodes, KindDocument, "lamp-bench", 7)())
	})
}

// A peer that connects and sends nothing frees its inbound slot after the
// handshake timeout.
func TestSilentHandshake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		node := testNode(t, nw, testName(0), func(c *Config) { c.MaxInbound, c.Seeds = 1, nil })
		dial := nw.dialer("stranger")
		nc, err := dial(t.Context(), testName(0))
		assert.NilError(t, err)
		defer nc.Close()
		time.Sleep(DefaultHandshakeTimeout + time.Second)
		peer := testNode(t, nw, testName(1), nil)
		defer closeAll([]*Node{node, peer})
		eventually(t, 10*time.Second, "peer known", allPeersKnown([]*Node{node, peer}))
	})
}

// Two daemons that keep publishing the same engine state cause as few versions as
// one, and the fact does not expire.
func TestSameStateFromTwoDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 5, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		versions := map[uint64]bool{}
		for second := range 100 {
			for _, n := range nodes[:2] {
				n.Publish(Fact{Kind: KindEngine, ID: "10.0.0.1:80", TTL: 20 * time.Second, Value: []byte("serving")})
			}
			time.Sleep(time.Second)
			facts := nodes[4].Facts(KindEngine)
			assert.Equal(t, len(facts), 1, "after %d s", second)
			versions[facts[0].Version] = true
		}
		assert.Assert(t, len(versions) <= 12, "%d versions", len(versions))
	})
}

// A daemon's timestamps after receiving a fact are later than the fact's cause,
// even if its own clock is behind.
func TestTimestampsFollowCauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 2, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		ahead := eventlog.Timestamp{Micros: time.Now().Add(30 * time.Second).UnixMicro()}
		nodes[0].clock.Observe(ahead)
		cause := nodes[0].clock.Now()
		nodes[0].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 1, TTL: time.Minute})
		eventually(t, time.Second, "fact known", allHaveVersion(nodes, KindDocument, "lamp-bench", 1))
		assert.Assert(t, cause.Before(nodes[1].clock.Now()))
	})
}
