// Package fabric provides an in-memory network between named processes, for tests of
// whole systems in virtual time.
package fabric

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Fabric connects processes and injects network faults between them. A partition
// closes the affected connections and refuses new ones. A blackhole drops what is
// sent on the affected connections and lets new ones hang. Fabric is safe for
// concurrent use.
type Fabric struct {
	mu          sync.Mutex
	listeners   map[string]*Listener
	conns       map[*dialedConn]bool
	partitioned func(from, address string) bool
	blackholed  func(from, address string) bool
}

// dialedConn is the dialling end of a connection, which runs from a process to an
// address.
type dialedConn struct {
	connEnd
	fabric        *Fabric
	from, address string
}

// Close implements net.Conn.
func (c *dialedConn) Close() error {
	c.fabric.mu.Lock()
	delete(c.fabric.conns, c)
	c.fabric.mu.Unlock()
	return c.connEnd.Close()
}

// connEnd is one end of a connection. Once the connection is blackholed, writes are
// dropped and the other end does not notice that this one is closed.
type connEnd struct {
	net.Conn
	blackholed *atomic.Bool
	reset      *atomic.Bool
}

// Read implements net.Conn.
func (e connEnd) Read(b []byte) (int, error) {
	n, err := e.Conn.Read(b)
	if errors.Is(err, io.EOF) && e.reset.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// SetLinger is like that of *net.TCPConn: after SetLinger(0), Close resets the connection.
func (e connEnd) SetLinger(sec int) error {
	e.reset.Store(sec == 0)
	return nil
}

// Write implements net.Conn.
func (e connEnd) Write(b []byte) (int, error) {
	if e.blackholed.Load() {
		return len(b), nil
	}
	return e.Conn.Write(b)
}

// Close implements net.Conn.
func (e connEnd) Close() error {
	if e.blackholed.Load() {
		return e.SetDeadline(time.Unix(1, 0)) // unblocks this end's reads and writes
	}
	return e.Conn.Close()
}

// New returns a Fabric without listeners.
func New() *Fabric {
	return &Fabric{listeners: map[string]*Listener{}, conns: map[*dialedConn]bool{}, partitioned: NoConnections, blackholed: NoConnections}
}

// NoConnections matches no connection: it clears a partition or a blackhole.
func NoConnections(string, string) bool { return false }

// Listen returns a listener at an address and replaces an earlier one there. The
// error is always nil.
func (f *Fabric) Listen(address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := NewListener()
	f.listeners[address] = l
	return l, nil
}

// Dialer returns the dial function of the process from. It ignores the network. It
// fails with EHOSTUNREACH if the address is partitioned off, with ECONNREFUSED if
// nobody listens there, and with the context's error if the address is blackholed
// or the context ends.
func (f *Fabric) Dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		f.mu.Lock()
		l, partitioned, blackholed := f.listeners[address], f.partitioned(from, address), f.blackholed(from, address)
		f.mu.Unlock()
		if blackholed {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if partitioned {
			return nil, syscall.EHOSTUNREACH
		}
		if l == nil {
			return nil, syscall.ECONNREFUSED
		}
		conn, err := l.dial(ctx)
		if err != nil {
			return nil, err
		}
		c := &dialedConn{connEnd: conn, fabric: f, from: from, address: address}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.conns[c] = true
		return c, nil
	}
}

// SetPartition replaces the partition and closes the connections that it affects.
func (f *Fabric) SetPartition(partitioned func(from, address string) bool) {
	f.mu.Lock()
	f.partitioned = partitioned
	var broken []*dialedConn
	for c := range f.conns {
		if partitioned(c.from, c.address) {
			broken = append(broken, c)
		}
	}
	f.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

// SetBlackhole replaces the blackhole. Connections affected by an earlier one remain
// blackholed.
func (f *Fabric) SetBlackhole(blackholed func(from, address string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blackholed = blackholed
	for c := range f.conns {
		if blackholed(c.from, c.address) {
			c.blackholed.Store(true)
		}
	}
}

// Listener accepts in-memory connections.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewListener returns an open Listener outside a Fabric.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial connects to the listener. It returns ECONNREFUSED once the listener is closed.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	conn, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

func (l *Listener) dial(ctx context.Context) (connEnd, error) {
	client, server := net.Pipe()
	blackholed, reset := &atomic.Bool{}, &atomic.Bool{}
	select {
	case l.conns <- connEnd{server, blackholed, reset}:
		return connEnd{client, blackholed, reset}, nil
	case <-l.closed:
		return connEnd{}, syscall.ECONNREFUSED
	case <-ctx.Done():
		return connEnd{}, ctx.Err()
	}
}
