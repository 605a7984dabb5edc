// Package wholepath tests callers, daemons and stand-ins of engines and platform
// over in-memory connections in virtual time, while parts of the system fail.
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
	connHealthy connFault = iota
	connRefused
	connCut     // both directions break
	connStalled // stays open without further data
	connFaultCount
)

// plannedConn is a fault after a number of response bytes.
type plannedConn struct {
	fault      connFault
	afterBytes int
}

// network dials servers by address and applies the next fault of the plan to each
// connection to an engine.
type network struct {
	mu      sync.Mutex
	servers map[string]*fabric.Listener
	plan    []plannedConn
}

func (n *network) nextFault() plannedConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.plan) == 0 {
		return plannedConn{}
	}
	p := n.plan[0]
	n.plan = n.plan[1:]
	return p
}

// dial connects to an engine and applies the next fault of the plan.
func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	p := n.nextFault()
	if p.fault == connRefused {
		return nil, syscall.EHOSTUNREACH
	}
	conn, err := n.servers[address].Dial(ctx)
	if err != nil || p.fault == connHealthy {
		return conn, err
	}
	return &faultyConn{Conn: conn, plan: p, closed: make(chan struct{})}, nil
}

// dialHealthy connects to a server without a fault.
func (n *network) dialHealthy(ctx context.Context, _, address string) (net.Conn, error) {
	return n.servers[address].Dial(ctx)
}

// faultyConn breaks or stalls after a number of bytes read.
type faultyConn struct {
	net.Conn
	plan      plannedConn
	bytesRead int
	once      sync.Once
	closed    chan struct{}
}

// Read implements net.Conn.
func (c *faultyConn) Read(b []byte) (int, error) {
	if c.bytesRead >= c.plan.afterBytes {
		if c.plan.fault == connStalled {
			<-c.closed
			return 0, net.ErrClosed
		}
		c.Close()
		return 0, io.ErrUnexpectedEOF
	}
	k, err := c.Conn.Read(b[:min(len(b), c.plan.afterBytes-c.bytesRead)])
	c.bytesRead += k
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
