// Package fabric is an in-memory network between named processes, for whole
// systems in virtual time.
package fabric

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Fabric connects processes. A cut breaks the connections that it concerns and
// refuses new ones; silence loses what is sent on them, and new ones hang. It
// is safe for concurrent use.
type Fabric struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	links     map[*link]bool
	cut       func(from, address string) bool
	silent    func(from, address string) bool
}

// link is the dialling end of a connection.
type link struct {
	end
	fabric        *Fabric
	from, address string
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.fabric.mu.Lock()
	delete(l.fabric.links, l)
	l.fabric.mu.Unlock()
	return l.end.Close()
}

// end is one end of a connection. Once the connection is silent, what is
// written is lost, and the other end does not learn that this one is closed.
type end struct {
	net.Conn
	silent *atomic.Bool
}

// Write implements net.Conn.
func (e end) Write(b []byte) (int, error) {
	if e.silent.Load() {
		return len(b), nil
	}
	return e.Conn.Write(b)
}

// Close implements net.Conn.
func (e end) Close() error {
	if e.silent.Load() {
		return e.SetDeadline(time.Unix(1, 0)) // ends this end's calls
	}
	return e.Conn.Close()
}

// New returns a Fabric without listeners.
func New() *Fabric {
	return &Fabric{listeners: map[string]*Listener{}, links: map[*link]bool{}, cut: NothingCut, silent: NothingCut}
}

// NothingCut is the cut of a whole network.
func NothingCut(string, string) bool { return false }

// Listen accepts connections at an address.
func (f *Fabric) Listen(address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := NewListener()
	f.listeners[address] = l
	return l, nil
}

// Dialer returns the dial function of a process.
func (f *Fabric) Dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		f.mu.Lock()
		l, cut, silent := f.listeners[address], f.cut(from, address), f.silent(from, address)
		f.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if cut {
			return nil, syscall.EHOSTUNREACH
		}
		if l == nil {
			return nil, syscall.ECONNREFUSED
		}
		conn, err := l.dial(ctx)
		if err != nil {
			return nil, err
		}
		k := &link{end: conn, fabric: f, from: from, address: address}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.links[k] = true
		return k, nil
	}
}

// SetCut replaces the cut in force.
func (f *Fabric) SetCut(cut func(from, address string) bool) {
	f.mu.Lock()
	f.cut = cut
	var broken []*link
	for k := range f.links {
		if cut(k.from, k.address) {
			broken = append(broken, k)
		}
	}
	f.mu.Unlock()
	for _, k := range broken {
		k.Close()
	}
}

// SetSilent replaces the silence in force. Connections that fell silent stay so.
func (f *Fabric) SetSilent(silent func(from, address string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
	for k := range f.links {
		if silent(k.from, k.address) {
			k.silent.Store(true)
		}
	}
}

// Listener accepts in-memory connections.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewListener returns an open Listener.
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

// Dial connects to the listener.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	conn, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

func (l *Listener) dial(ctx context.Context) (end, error) {
	client, server := net.Pipe()
	silent := &atomic.Bool{}
	select {
	case l.conns <- end{server, silent}:
		return end{client, silent}, nil
	case <-l.closed:
		return end{}, syscall.ECONNREFUSED
	case <-ctx.Done():
		return end{}, ctx.Err()
	}
}
