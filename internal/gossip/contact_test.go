package gossip

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	contactHeartbeat = 300 * time.Millisecond
	// contactAge is the age that the tests ask for: two heartbeats, and time for the way.
	contactAge = time.Second
)

// gate holds or drops what one daemon receives and sends, on all its connections.
type gate struct {
	mu sync.Mutex
	// received holds back what arrives, as for a process that stands still, sent what it writes.
	received, sent bool
	// lost drops what it writes.
	lost    bool
	changed chan struct{}
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

func (g *gate) set(change func(g *gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
	close(g.changed)
	g.changed = make(chan struct{})
}

// pass waits while held returns true.
func (g *gate) pass(held func() bool) {
	for {
		g.mu.Lock()
		wait, changed := held(), g.changed
		g.mu.Unlock()
		if !wait {
			return
		}
		<-changed
	}
}

// gatedConn is a connection of the daemon behind a gate. What arrives is buffered, as in a kernel.
type gatedConn struct {
	net.Conn
	gate   *gate
	mu     sync.Mutex
	buffer bytes.Buffer
	err    error
	filled chan struct{}
}

func newGatedConn(conn net.Conn, g *gate) *gatedConn {
	c := &gatedConn{Conn: conn, gate: g, filled: make(chan struct{}, 1)}
	go func() {
		b := make([]byte, 64<<10)
		for {
			n, err := conn.Read(b)
			c.mu.Lock()
			c.buffer.Write(b[:n])
			c.err = err
			c.mu.Unlock()
			select {
			case c.filled <- struct{}{}:
			default:
			}
			if err != nil {
				return
			}
		}
	}()
	return c
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	for {
		c.gate.pass(func() bool { return c.gate.received })
		c.mu.Lock()
		n, _ := c.buffer.Read(b)
		err := c.err
		c.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		if err != nil {
			return 0, err
		}
		<-c.filled
	}
}

// SetReadDeadline leaves the deadline of the reads into the buffer alone: the tests' cuts are shorter.
func (c *gatedConn) SetReadDeadline(time.Time) error { return nil }

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.gate.pass(func() bool { return c.gate.sent })
	c.gate.mu.Lock()
	lost := c.gate.lost
	c.gate.mu.Unlock()
	if lost {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// gatedListener gates accepted connections.
type gatedListener struct {
	net.Listener
	gate *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newGatedConn(conn, l.gate), nil
}

// runGated runs a test with a daemon behind a gate and others in contact with it. suspended is added
// to its time since boot.
func runGated(t *testing.T, size int, test func(n *Node, g *gate, suspended *time.Duration, others []*Node)) {
	synctest.Test(t, func(t *testing.T) {
		g, start := newGate(), time.Now()
		var suspended time.Duration
		nodes := testFleet(t, newNetwork(), size, func(i int, c *Config) {
			c.FanOut, c.Heartbeat, c.IdleTimeout = size, contactHeartbeat, time.Minute
			if i > 0 {
				return
			}
			dial := c.Dial
			c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dial(ctx, address)
				if err != nil {
					return nil, err
				}
				return newGatedConn(conn, g), nil
			}
			c.Listener = gatedListener{c.Listener, g}
			c.SinceBoot = func() time.Duration { return time.Since(start) + suspended }
		})
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all are in contact", func() bool { return fresh(nodes[0]) == size-1 })
		test(nodes[0], g, &suspended, nodes[1:])
		g.set(func(g *gate) { g.received, g.sent, g.lost = false, false, false })
	})
}

func fresh(n *Node) int {
	fresh, _ := n.Contacts(contactAge)
	return fresh
}

const standstill = 3 * time.Second

// Guards against a daemon that believes in a contact that it no longer has: after a standstill, also
// while it reads what arrived during that, and when frames pass one way only.
func TestContactNeedsARecentEcho(t *testing.T) {
	const size = 7
	for name, c := range map[string]struct {
		lose func(g *gate)
		// proved is what the frames prove that arrived meanwhile: the others went on answering
		// if only what they sent was held up.
		proved int
	}{
		"nothing passes":       {func(g *gate) { g.received, g.sent = true, true }, 0},
		"nothing is received":  {func(g *gate) { g.received = true }, size - 1},
		"nothing is delivered": {func(g *gate) { g.lost = true }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runGated(t, size, func(n *Node, g *gate, _ *time.Duration, _ []*Node) {
				for range 3 { // several in a row
					g.set(c.lose)
					time.Sleep(contactAge + 2*testDelay)
					assert.Equal(t, fresh(n), 0, "after %s", contactAge)
					time.Sleep(standstill - contactAge)
					g.set(func(g *gate) { g.received = false })
					synctest.Wait() // all that arrived meanwhile is read
					assert.Equal(t, fresh(n), c.proved, "by frames from the time without contact")
					if g.lost {
						g.set(func(g *gate) { g.lost = false })
						return // the others reject frames that follow lost ones
					}
					g.set(func(g *gate) { g.sent = false })
					time.Sleep(2*contactHeartbeat + 4*testDelay)
					assert.Equal(t, fresh(n), size-1, "with contact again")
				}
			})
		})
	}
}

// Guards against a machine that was suspended, so that its steady clock stood still, and believes in
// the contact from before.
func TestSuspendedDaemonHasNoContact(t *testing.T) {
	runGated(t, 3, func(n *Node, g *gate, suspended *time.Duration, _ []*Node) {
		g.set(func(g *gate) { g.received, g.sent = true, true })
		*suspended = standstill
		assert.Equal(t, fresh(n), 0)
		g.set(func(g *gate) { g.received, g.sent = false, false })
		time.Sleep(2*contactHeartbeat + 4*testDelay)
		assert.Equal(t, fresh(n), 2)
	})
}

// In contact, each echo is younger than contactAge at any time. Daemons that were lost stay recent for
// a while, those that stop do not.
func TestContactsStayFresh(t *testing.T) {
	runGated(t, 7, func(n *Node, _ *gate, _ *time.Duration, others []*Node) {
		for range 1000 {
			assert.Equal(t, fresh(n), 6)
			time.Sleep(17 * time.Millisecond)
		}
		assert.NilError(t, others[5].Close())
		time.Sleep(contactAge + contactHeartbeat)
		fresh, recent := n.Contacts(contactAge)
		assert.Assert(t, fresh == 5 && recent == 5, "%d of %d", fresh, recent)
	})
}

// Daemons of an older protocol version confirm nothing, and gossip with them goes on.
func TestOlderVersionConfirmsNoContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 3, func(i int, c *Config) {
			if i == 2 {
				c.MaxVersion = VersionTouch
			}
			c.Heartbeat = contactHeartbeat
		})
		defer closeAll(nodes)
		time.Sleep(5 * time.Second)
		nodes[2].Publish(Fact{Kind: KindDocument, ID: "d", Version: 1, TTL: time.Hour})
		eventually(t, 5*time.Second, "the fact is everywhere", func() bool { return hasVersion(nodes[0], KindDocument, "d", 1) })
		fresh, recent := nodes[0].Contacts(contactAge)
		assert.Assert(t, fresh == 1 && recent == 1, "%d of %d", fresh, recent)
	})
}
