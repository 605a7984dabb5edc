package gossip

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const testDelay = 5 * time.Millisecond

// network is an in-memory network of listeners by address.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     []*link
	// partitioned reports whether two addresses can't connect to each other.
	partitioned func(a, b string) bool
}

type listener struct {
	net  *network
	addr string
	ch   chan net.Conn
	done chan struct{}
	once sync.Once
}

// link is one connection. A blackholed link drops what is written to it; corrupt,
// if set, changes the next write.
type link struct {
	from, to   string
	mu         sync.Mutex
	blackholed bool
	corrupt    func([]byte) []byte
	ends       [2]net.Conn
}

type linkEnd struct {
	net.Conn
	link *link
}

func (e linkEnd) Write(b []byte) (int, error) {
	time.Sleep(testDelay)
	e.link.mu.Lock()
	blackholed, corrupt := e.link.blackholed, e.link.corrupt
	e.link.corrupt = nil
	e.link.mu.Unlock()
	if blackholed {
		return len(b), nil
	}
	if corrupt != nil {
		_, err := e.Conn.Write(corrupt(bytes.Clone(b)))
		return len(b), err
	}
	return e.Conn.Write(b)
}

// Close implements net.Conn. On a blackholed link the other end stays open.
func (e linkEnd) Close() error {
	e.link.mu.Lock()
	blackholed := e.link.blackholed
	e.link.mu.Unlock()
	if blackholed {
		return e.SetDeadline(time.Unix(1, 0)) // unblocks this end's calls
	}
	return e.Conn.Close()
}

// corruptNextWrite applies f to the next write.
func (k *link) corruptNextWrite(f func([]byte) []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.corrupt = f
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, partitioned: func(string, string) bool { return false }}
}

func (nw *network) listen(addr string) net.Listener {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	l := &listener{net: nw, addr: addr, ch: make(chan net.Conn), done: make(chan struct{})}
	nw.listeners[addr] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ch:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		if l.net.listeners[l.addr] == l {
			delete(l.net.listeners, l.addr)
		}
		l.net.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (nw *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		time.Sleep(testDelay)
		nw.mu.Lock()
		l := nw.listeners[to]
		partitioned := nw.partitioned(from, to)
		nw.mu.Unlock()
		if l == nil || partitioned {
			return nil, errors.New("connection refused")
		}
		a, b := net.Pipe()
		k := &link{from: from, to: to, ends: [2]net.Conn{a, b}}
		select {
		case l.ch <- linkEnd{b, k}:
		case <-l.done:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		nw.mu.Lock()
		nw.links = append(nw.links, k)
		nw.mu.Unlock()
		return linkEnd{a, k}, nil
	}
}

// eachLink calls f for all links, including closed ones.
func (nw *network) eachLink(f func(*link)) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for _, k := range nw.links {
		f(k)
	}
}

func (k *link) blackhole() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.blackholed = true
}

func (k *link) close() {
	for _, e := range k.ends {
		_ = e.Close()
	}
}

// heal removes all partitions.
func (nw *network) heal() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.partitioned = func(string, string) bool { return false }
}

var testKey = []byte("0123456789abcdef")

func testName(i int) string { return fmt.Sprintf("daemon-%03d", i) }

// testNode starts a node with the first two daemons as its seeds.
func testNode(t assert.TestingT, nw *network, name string, change func(*Config)) *Node {
	cfg := Config{
		Name: name, Address: name, Keys: [][]byte{testKey}, Listener: nw.listen(name), Dial: nw.dialer(name),
		Seeds: []string{testName(0), testName(1)},
	}
	if change != nil {
		change(&cfg)
	}
	n, err := New(cfg)
	assert.NilError(t, err)
	n.Start()
	return n
}

func testFleet(t assert.TestingT, nw *network, size int, change func(int, *Config)) []*Node {
	var nodes []*Node
	for i := range size {
		nodes = append(nodes, testNode(t, nw, testName(i), func(c *Config) {
			c.DataCentre = fmt.Sprintf("dc-%d", i%3)
			if change != nil {
				change(i, c)
			}
		}))
	}
	return nodes
}

func closeAll(nodes []*Node) {
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(func() { _ = n.Close() })
	}
	wg.Wait()
}

// eventually waits until ok returns true, and fails after within. It must run in
// a synctest bubble.
func eventually(t assert.TestingT, within time.Duration, what string, ok func() bool) {
	deadline := time.Now().Add(within)
	for !ok() {
		assert.Assert(t, time.Now().Before(deadline), "not within %v: %s", within, what)
		time.Sleep(50 * time.Millisecond)
	}
}

// hasVersion reports whether n has the given version of a fact.
func hasVersion(n *Node, kind Kind, id string, version uint64) bool {
	for _, f := range n.Facts(kind) {
		if f.ID == id {
			return f.Version == version
		}
	}
	return false
}
