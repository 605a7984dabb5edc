package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to an address. Open ones can be made silent: they stay open, and
// nothing is passed on any longer, while new ones work.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one connection through a proxy.
type link struct {
	silent atomic.Bool
	ends   [2]net.Conn
}

func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, links: map[*link]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.(*net.TCPConn).SetLinger(0)
			in.Close()
			continue
		}
		l := &link{ends: [2]net.Conn{in, out}}
		p.mu.Lock()
		p.links[l] = struct{}{}
		p.mu.Unlock()
		go p.pass(l, in, out)
		go p.pass(l, out, in)
	}
}

// pass copies one direction. What arrives on a silent connection is dropped.
func (p *proxy) pass(l *link, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.silent.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	l.ends[0].Close()
	l.ends[1].Close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// silence makes all open connections silent for good and returns how many there are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent.Store(true)
	}
	return len(p.links)
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.ends[0].Close()
		l.ends[1].Close()
	}
}
