package fabric

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
)

// Descriptors emulates the file descriptors of one process: beyond the limit, accepting and
// connecting fail with EMFILE. It is safe for concurrent use.
type Descriptors struct {
	mu    sync.Mutex
	limit int
	open  int
	most  int
}

// NewDescriptors returns Descriptors without a limit.
func NewDescriptors() *Descriptors { return &Descriptors{limit: 1 << 30} }

// SetLimit limits the open descriptors; those open stay open.
func (d *Descriptors) SetLimit(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = n
}

// Most returns the largest number of descriptors that were open at once.
func (d *Descriptors) Most() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.most
}

func (d *Descriptors) take() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open >= d.limit {
		return false
	}
	d.open++
	d.most = max(d.most, d.open)
	return true
}

func (d *Descriptors) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
}

// Listener returns a listener whose connections need descriptors.
func (d *Descriptors) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, descriptors: d}
}

// Dialer returns a dial function whose connections need descriptors.
func (d *Descriptors) Dialer(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !d.take() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", syscall.EMFILE)}
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			d.release()
			return nil, err
		}
		return &countedConn{Conn: conn, descriptors: d}, nil
	}
}

// countedListener keeps a connection in its queue while there is no descriptor for it.
type countedListener struct {
	net.Listener
	descriptors *Descriptors
	queued      net.Conn
}

// Accept implements net.Listener. It may be called by one goroutine at a time.
func (l *countedListener) Accept() (net.Conn, error) {
	if l.queued == nil {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.queued = conn
	}
	if !l.descriptors.take() {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	conn := l.queued
	l.queued = nil
	return &countedConn{Conn: conn, descriptors: l.descriptors}, nil
}

type countedConn struct {
	net.Conn
	descriptors *Descriptors
	once        sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.descriptors.release)
	return err
}
