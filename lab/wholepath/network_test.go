// Package wholepath runs callers, a daemon's handler and stand-in engines over
// in-memory connections in virtual time, while connections and engines fail.
package wholepath

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/verbenabend/verbenabend/internal/testseed"
	"github.com/verbenabend/verbenabend/lab/fabric"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// connFault is what happens to one connection to an engine.
type connFault int

const (
	connGood connFault = iota
	connRefused
	connCut    // both directions break
	connSilent // stays open without another byte
	connFaults
)

// plannedConn is a fault after a number of bytes of answers.
type plannedConn struct {
	fault connFault
	after int
}

// network connects to servers by address, and gives each connection to an
// engine the next fault of the plan.
type network struct {
	mu      sync.Mutex
	servers map[string]*fabric.Listener
	plan    []plannedConn
}

func (n *network) next() plannedConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.plan) == 0 {
		return plannedConn{}
	}
	p := n.plan[0]
	n.plan = n.plan[1:]
	return p
}

// dial connects to an engine.
func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	p := n.next()
	if p.fault == connRefused {
		return nil, syscall.EHOSTUNREACH
	}
	conn, err := n.servers[address].Dial(ctx)
	if err != nil || p.fault == connGood {
		return conn, err
	}
	return &faultyConn{Conn: conn, plan: p, closed: make(chan struct{})}, nil
}

// dialGood connects to the daemon.
func (n *network) dialGood(ctx context.Context, _, address string) (net.Conn, error) {
	return n.servers[address].Dial(ctx)
}

// faultyConn breaks or falls silent after a number of bytes read.
type faultyConn struct {
	net.Conn
	plan   plannedConn
	read   int
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn.
func (c *faultyConn) Read(b []byte) (int, error) {
	if c.read >= c.plan.after {
		if c.plan.fault == connSilent {
			<-c.closed
			return 0, net.ErrClosed
		}
		c.Close()
		return 0, io.ErrUnexpectedEOF
	}
	k, err := c.Conn.Read(b[:min(len(b), c.plan.after-c.read)])
	c.read += k
	return k, err
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// serve runs a handler at an address; the returned function stops it.
func (n *network) serve(address string, h http.Handler) (stop func()) {
	l := fabric.NewListener()
	n.servers[address] = l
	server := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	return func() {
		server.Close()
		<-done
	}
}
