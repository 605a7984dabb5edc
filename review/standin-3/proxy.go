package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes connections on to the store. It can cut off one daemon: its open connections are
// reset, and new ones too, until it is let through again.
type proxy struct {
	listener net.Listener
	to       string
	// ownerOf returns the daemon that has opened a connection, by its port; empty if unknown.
	ownerOf func(port int) string

	mu    sync.Mutex
	links map[*link]struct{}
	cut   string // the daemon that is cut off
	// sent counts the bytes that each daemon has sent.
	sent map[string]*atomic.Int64
}

// link is one connection through a proxy.
type link struct {
	owner string
	ends  [2]*net.TCPConn
}

func newProxy(listen, to string, ownerOf func(port int) string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, ownerOf: ownerOf, links: map[*link]struct{}{}, sent: map[string]*atomic.Int64{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.open(in.(*net.TCPConn))
	}
}

func (p *proxy) open(in *net.TCPConn) {
	owner := p.ownerOf(in.RemoteAddr().(*net.TCPAddr).Port)
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(in)
		return
	}
	l := &link{owner: owner, ends: [2]*net.TCPConn{in, out.(*net.TCPConn)}}
	p.mu.Lock()
	if p.cut != "" && p.cut == owner {
		p.mu.Unlock()
		l.reset()
		return
	}
	p.links[l] = struct{}{}
	if p.sent[owner] == nil {
		p.sent[owner] = &atomic.Int64{}
	}
	sent := p.sent[owner]
	p.mu.Unlock()
	go p.pass(l, l.ends[0], l.ends[1], sent)
	go p.pass(l, l.ends[1], l.ends[0], &atomic.Int64{})
}

// pass copies one direction.
func (p *proxy) pass(l *link, from, to net.Conn, count *atomic.Int64) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		count.Add(int64(n))
		if n > 0 {
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

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

func (l *link) reset() {
	reset(l.ends[0])
	reset(l.ends[1])
}

// cutOff resets the connections of a daemon, and its new ones until restore is called.
func (p *proxy) cutOff(daemon string) (connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = daemon
	for l := range p.links {
		if l.owner == daemon {
			connections++
			l.reset()
		}
	}
	return connections
}

func (p *proxy) restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = ""
}

// busiest returns the daemon that sends most within a time, and its share.
func (p *proxy) busiest(within time.Duration) (daemon string, share float64) {
	before := p.counts()
	time.Sleep(within)
	total, most := int64(0), int64(0)
	for name, n := range p.counts() {
		n -= before[name]
		total += n
		if n > most {
			daemon, most = name, n
		}
	}
	return daemon, float64(most) / float64(max(1, total))
}

func (p *proxy) counts() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int64{}
	for name, n := range p.sent {
		out[name] = n.Load()
	}
	return out
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.reset()
	}
}

// daemonOfPort returns the daemon that has opened a connection to the store's address from a port.
func (w *world) daemonOfPort(port int) string {
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	socket := ""
	for _, line := range strings.Split(string(table), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", port)) && strings.HasSuffix(f[2], fmt.Sprintf(":%04X", w.ports["store"])) {
			socket = "socket:[" + f[9] + "]"
		}
	}
	w.mu.Lock()
	daemons := slices.Clone(w.daemons)
	w.mu.Unlock()
	for _, d := range daemons {
		pid := d.pid.Load()
		if socket == "" || pid == 0 {
			continue
		}
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, file := range files {
			if target, err := os.Readlink(file); err == nil && target == socket {
				return d.name
			}
		}
	}
	return ""
}
