package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// quickSilence makes daemons notice silence soon.
func quickSilence(_ int, c *Config) {
	c.FanOut, c.Heartbeat, c.IdleTimeout = 5, 300*time.Millisecond, time.Second
}

// quickFleet starts daemons that notice silence soon and know one another.
func quickFleet(t *testing.T, nw *network) []*Node {
	nodes := testFleet(t, nw, 5, quickSilence)
	eventually(t, 5*time.Second, "all peers known", acquainted(nodes))
	return nodes
}

// silentTo reports how many of nodes take the daemon for silent.
func silentTo(nodes []*Node, name string) int {
	n := 0
	for _, x := range nodes {
		if x.Silent()[name] {
			n++
		}
	}
	return n
}

// cutOff silences all links of a daemon and lets it make no new ones.
func (nw *network) cutOff(name string) {
	nw.mu.Lock()
	nw.cut = func(a, b string) bool { return a == name || b == name }
	nw.mu.Unlock()
	nw.each(func(k *link) {
		if k.from == name || k.to == name {
			k.silence()
		}
	})
}

// A daemon that falls silent is silent to each of its peers after the idle
// limit, whoever made the connection, while its facts still live.
func TestSilentDaemonIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := quickFleet(t, nw)
		defer closeAll(nodes)
		lost, rest := nodes[4], nodes[:4]
		time.Sleep(2 * time.Second) // all connections are made
		assert.Equal(t, silentTo(rest, lost.cfg.Name), 0)
		nw.cutOff(lost.cfg.Name)
		time.Sleep(1200 * time.Millisecond)
		assert.Equal(t, silentTo(rest, lost.cfg.Name), len(rest))
		for _, n := range rest {
			assert.Equal(t, len(n.Peers()), len(nodes)-1)
		}
		nw.heal()
		eventually(t, 5*time.Second, "nobody is silent", func() bool {
			return silentTo(rest, lost.cfg.Name) == 0 && len(lost.Silent()) == 0
		})
	})
}

// A daemon that crashed is silent as soon as a connection to it fails.
func TestCrashedDaemonIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := quickFleet(t, nw)
		defer closeAll(nodes)
		lost, rest := nodes[4], nodes[:4]
		time.Sleep(2 * time.Second)
		nw.mu.Lock()
		nw.cut = func(a, b string) bool { return a == lost.cfg.Name || b == lost.cfg.Name }
		nw.mu.Unlock()
		nw.each(func(k *link) {
			if k.from == lost.cfg.Name || k.to == lost.cfg.Name {
				k.close()
			}
		})
		// A daemon dials again at a look after the greatest jittered pause.
		within := 2*tickInterval + 3*DefaultMinBackoff/2
		eventually(t, within, "noticed", func() bool { return silentTo(rest, lost.cfg.Name) == len(rest) })
	})
}

// A daemon that one peer can't reach is not silent to it while others pass on
// what it tells.
func TestDaemonHeardThroughOthersIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := quickFleet(t, nw)
		defer closeAll(nodes)
		a, b := nodes[3], nodes[4]
		between := func(x, y string) bool {
			return x == a.cfg.Name && y == b.cfg.Name || x == b.cfg.Name && y == a.cfg.Name
		}
		nw.mu.Lock()
		nw.cut = between
		nw.mu.Unlock()
		nw.each(func(k *link) {
			if between(k.from, k.to) {
				k.silence()
			}
		})
		eventually(t, 2*time.Second, "noticed", func() bool { return a.Silent()[b.cfg.Name] })
		eventually(t, 2*minRefresh, "heard through others", func() bool { return !a.Silent()[b.cfg.Name] })
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			assert.Assert(t, len(a.Peers()) == 4 && a.Facts(KindDaemon)[0].TTL > 0)
		}
		assert.Equal(t, silentTo(nodes[:3], b.cfg.Name), 0)
	})
}

// A neighbour that is no longer chosen is not silent.
func TestConnectionClosedOnPurposeIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		nodes := quickFleet(t, nw)
		defer closeAll(nodes)
		nodes[0].mu.Lock()
		for _, c := range nodes[0].conns {
			c.surplus = true
			c.shut()
		}
		nodes[0].mu.Unlock()
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			for _, n := range nodes {
				assert.Equal(t, len(n.Silent()), 0)
			}
		}
	})
}
