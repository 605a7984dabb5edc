package descriptor

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of an accepted connection. Only an idle one can be reclaimed, and only one that
// was not reclaimed can become active.
const (
	stateIdle int32 = iota
	stateActive
	stateReclaimed
)

// Conn is an accepted connection that a Budget counts.
type Conn struct {
	net.Conn
	budget *Budget
	group  *groupConns
	index  int // in group.conns
	state  atomic.Int32
	once   sync.Once
}

// Read implements net.Conn. Bytes that arrive make the connection active; none are
// delivered once it was reclaimed, so that no request is served whose response would be lost.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.MarkActive() {
		return 0, net.ErrClosed
	}
	return n, err
}

// MarkActive protects the connection from being reclaimed. It returns false if it was.
func (c *Conn) MarkActive() bool {
	c.state.CompareAndSwap(stateIdle, stateActive)
	return c.state.Load() == stateActive
}

// MarkIdle states that all requests on the connection are answered.
func (c *Conn) MarkIdle() { c.state.CompareAndSwap(stateActive, stateIdle) }

// markReclaimed excludes the connection from use. It returns false if it is active or has
// unread input.
func (c *Conn) markReclaimed() bool {
	return c.state.Load() == stateIdle && !hasInput(c.Conn) && c.state.CompareAndSwap(stateIdle, stateReclaimed)
}

// hasInput reports whether bytes have arrived that were not read.
func hasInput(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // closed
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = peekErr == nil && n > 0
	})
	return err == nil && pending
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.budget.remove(c) })
	return err
}

// dialedConn calls release once it is closed.
type dialedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *dialedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// dialedSocket is a dialedConn over a socket.
type dialedSocket struct {
	dialedConn
	socket syscall.Conn
}

// SyscallConn implements syscall.Conn.
func (c *dialedSocket) SyscallConn() (syscall.RawConn, error) { return c.socket.SyscallConn() }

func newDialedConn(conn net.Conn, release func()) net.Conn {
	if socket, ok := conn.(syscall.Conn); ok {
		return &dialedSocket{dialedConn: dialedConn{Conn: conn, release: release}, socket: socket}
	}
	return &dialedConn{Conn: conn, release: release}
}
