package wholepath

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// fabric is an in-memory network between named processes. A cut breaks the
// connections that it concerns and refuses new ones.
type fabric struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     map[*link]bool
	cut       func(from, address string) bool
}

// link is the dialling end of a connection.
type link struct {
	net.Conn
	fabric        *fabric
	from, address string
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.fabric.mu.Lock()
	delete(l.fabric.links, l)
	l.fabric.mu.Unlock()
	return l.Conn.Close()
}

func newFabric() *fabric {
	return &fabric{listeners: map[string]*listener{}, links: map[*link]bool{}, cut: nothingCut}
}

func nothingCut(string, string) bool { return false }

func (f *fabric) listen(address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := newListener()
	f.listeners[address] = l
	return l, nil
}

// dialer returns the dial function of a process.
func (f *fabric) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		f.mu.Lock()
		l, cut := f.listeners[address], f.cut(from, address)
		f.mu.Unlock()
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
		k := &link{Conn: conn, fabric: f, from: from, address: address}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.links[k] = true
		return k, nil
	}
}

// setCut replaces the cut in force.
func (f *fabric) setCut(cut func(from, address string) bool) {
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
