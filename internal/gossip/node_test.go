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

// allHold reports whether every node knows version of a fact.
func allHold(nodes []*Node, kind Kind, id string, version uint64) func() bool {
	return func() bool {
		for _, n := range nodes {
			if !holds(n, kind, id, version) {
				return false
			}
		}
		return true
	}
}

// acquainted reports whether every node knows all others.
func acquainted(nodes []*Node) func() bool {
	return func() bool {
		for _, n := range nodes {
			if len(n.Peers()) != len(nodes)-1 {
				return false
			}
		}
		return true
	}
}

// A fact of one daemon reaches all others, and all know one another.
func TestFactReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 7, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
		nodes[3].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 4, TTL: time.Minute, Value: []byte("x")})
		eventually(t, time.Second, "document known everywhere", allHold(nodes, KindDocument, "lamp-bench", 4))
	})
}

// Connections that fall silent are dropped and dialled anew.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 5, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
		var old []*conn
		for _, n := range nodes {
			n.mu.Lock()
			for _, c := range n.conns {
				old = append(old, c)
			}
			n.mu.Unlock()
		}
		nw.each((*link).silence)
		time.Sleep(DefaultIdleTimeout + 10*time.Millisecond)
		for _, c := range old {
			select {
			case <-c.done:
			default:
				t.Fatalf("the silent connection to %s was kept", c.name())
			}
		}
		nodes[0].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 9, TTL: time.Minute})
		eventually(t, 5*time.Second, "document known everywhere", allHold(nodes, KindDocument, "lamp-bench", 9))
	})
}

// Connections that are cut are dialled anew, and what was published meanwhile
// arrives.
func TestCutConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 5, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
		nw.each((*link).close)
		nodes[2].Publish(Fact{Kind: KindSuspect, ID: "f00d", TTL: time.Minute, Value: []byte{1}})
		want := nodes[2].Facts(KindSuspect)[0].Version
		eventually(t, 5*time.Second, "suspect known everywhere", allHold(nodes, KindSuspect, "f00d", want))
	})
}

// Two halves that lost each other for longer than any fact lives find each
// other again through the seeds.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 6, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
		half := map[string]bool{testName(0): true, testName(2): true, testName(4): true}
		nw.mu.Lock()
		nw.cut = func(a, b string) bool { return half[a] != half[b] }
		nw.mu.Unlock()
		nw.each((*link).close)
		time.Sleep(time.Hour)
		for i, n := range nodes {
			assert.Equal(t, len(n.Peers()), 2, "daemon %d", i)
		}
		nodes[0].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 2, TTL: time.Hour})
		nodes[1].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 3, TTL: time.Hour})
		nw.mu.Lock()
		nw.cut = func(string, string) bool { return false }
		nw.mu.Unlock()
		eventually(t, 2*DefaultMaxBackoff, "all peers known again", acquainted(nodes))
		eventually(t, 5*time.Second, "greatest version everywhere", allHold(nodes, KindDocument, "lamp-bench", 3))
	})
}

// A daemon that is replaced by a new process of the same name is known by its
// new start, although the old one's facts had greater versions.
func TestRestartWithSameName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 4, nil)
		defer func() { closeAll(nodes) }()
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
		nodes[3].mu.Lock()
		nodes[3].store.floor[KindDaemon] = uint64(time.Now().Add(50 * time.Second).UnixMicro())
		nodes[3].mu.Unlock()
		nodes[3].SetDraining(true)
		eventually(t, 2*time.Second, "drain known", func() bool { return daemonInfo(t, nodes[0], testName(3)).Draining })
		_ = nodes[3].Close()
		nodes[3] = testNode(t, nw, testName(3), nil)
		eventually(t, 5*time.Second, "new process known", func() bool {
			return daemonInfo(t, nodes[0], testName(3)).Start == nodes[3].start
		})
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
	})
}

// Of two processes with one name the later one stays known; the earlier one
// notices and no longer announces itself.
func TestDuplicateName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 3, nil)
		time.Sleep(3 * time.Second)
		twin := testNode(t, nw, testName(2), func(c *Config) { c.Address, c.Listener = "twin", nw.listen("twin") })
		defer closeAll(append(nodes, twin))
		eventually(t, 10*time.Second, "the earlier process gives way", func() bool { return nodes[2].Stats().Displaced })
		time.Sleep(time.Minute)
		for _, n := range nodes[:2] {
			assert.Equal(t, daemonInfo(t, n, testName(2)).Start, twin.start)
		}
		assert.Assert(t, !twin.Stats().Displaced)
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

// A daemon that stops as planned leaves its peers' lists at once; one that
// crashes does so after the peer timeout.
func TestStoppedAndCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 5, nil)
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
		_ = nodes[4].Close()
		nodes = nodes[:4]
		eventually(t, 500*time.Millisecond, "stop known", acquainted(nodes))
		crash(nw, nodes[3])
		nodes = nodes[:3]
		defer closeAll(nodes)
		eventually(t, (refreshesPerTTL+1)*minRefresh, "crash known", acquainted(nodes))
	})
}

// crash ends a node without a last word.
func crash(nw *network, n *Node) {
	nw.mu.Lock()
	nw.cut = func(a, b string) bool { return a == n.cfg.Name || b == n.cfg.Name }
	nw.mu.Unlock()
	nw.each(func(k *link) {
		if k.from == n.cfg.Name || k.to == n.cfg.Name {
			k.close()
		}
	})
	_ = n.Close()
}

// Daemons with different keys don't talk; while a key is being changed, those
// with the old, both and the new one do as far as they share one.
func TestKeys(t *testing.T) {
	oldKey, newKey := testKey, []byte("fedcba9876543210")
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		keys := [][][]byte{{oldKey}, {newKey, oldKey}, {newKey}, {[]byte("not the fleet's key")}}
		nodes := testFleet(t, nw, len(keys), func(i int, c *Config) { c.Keys = keys[i] })
		defer closeAll(nodes)
		eventually(t, 10*time.Second, "rotation bridged", acquainted(nodes[:3]))
		time.Sleep(time.Minute)
		assert.Equal(t, len(nodes[3].Peers()), 0)
		assert.Assert(t, nodes[3].Stats().Rejected > 0)
		assert.Assert(t, acquainted(nodes[:3])())
	})
}

// Daemons of two protocol versions exchange facts, each pair by the greatest
// common version, and none sends another what its version doesn't have.
func TestVersionsSideBySide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 6, func(i int, c *Config) { c.MaxVersion = VersionFull + uint8(i%2) })
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
		time.Sleep(30 * time.Second)
		assert.Assert(t, acquainted(nodes)())
		for _, n := range nodes {
			assert.Equal(t, n.Stats().Rejected, int64(0))
		}
		nodes[0].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 4, TTL: time.Minute})
		eventually(t, time.Second, "document known everywhere", allHold(nodes, KindDocument, "lamp-bench", 4))
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

// Subscribers get what peers publish, one call at a time and never an older
// version after a newer one; own facts are not delivered.
func TestSubscribe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 3, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
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

// Facts expire everywhere a TTL after the last announcement, also where they
// arrived late.
func TestFactsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := testFleet(t, nw, 4, nil)
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
		nodes[0].Publish(Fact{Kind: KindEngine, ID: "10.0.0.1:80", Version: 1, TTL: 20 * time.Second})
		time.Sleep(15 * time.Second)
		nodes = append(nodes, testNode(t, nw, "late", nil))
		defer closeAll(nodes)
		eventually(t, 4*time.Second, "known to the late daemon", allHold(nodes, KindEngine, "10.0.0.1:80", 1))
		time.Sleep(6 * time.Second)
		for _, n := range nodes {
			assert.Equal(t, len(n.Facts(KindEngine)), 0)
			assert.Equal(t, n.Stats().Facts, len(nodes), "expired facts take memory")
		}
	})
}

// A publisher that repeats a version keeps it alive everywhere.
func TestRepeatedVersionRenews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 5, nil)
		defer closeAll(nodes)
		for range 10 {
			nodes[1].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 7, TTL: 20 * time.Second, Value: []byte("v")})
			time.Sleep(10 * time.Second)
		}
		assert.Assert(t, allHold(nodes, KindDocument, "lamp-bench", 7)())
	})
}

// A peer that connects and sends nothing doesn't hold a place for good.
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
		eventually(t, 10*time.Second, "peer known", acquainted([]*Node{node, peer}))
	})
}

// Two daemons that tell the same of an engine again and again cost what one
// does, and the fact stays alive.
func TestSameStateFromTwoDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 5, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
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

// What a daemon does after hearing a fact has a later time stamp than what led
// to it, although its own clock is behind.
func TestTimestampsFollowCauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 2, nil)
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
		ahead := eventlog.Timestamp{Micros: time.Now().Add(30 * time.Second).UnixMicro()}
		nodes[0].clock.Observe(ahead)
		cause := nodes[0].clock.Now()
		nodes[0].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 1, TTL: time.Minute})
		eventually(t, time.Second, "fact known", allHold(nodes, KindDocument, "lamp-bench", 1))
		assert.Assert(t, cause.Before(nodes[1].clock.Now()))
	})
}
