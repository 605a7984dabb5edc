package gossip

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

const (
	// rejectedLogInterval bounds how often rejected peers are logged.
	rejectedLogInterval = time.Second
)

func sortMembers(list []member) []member {
	slices.SortFunc(list, func(a, b member) int { return cmp.Compare(a.name, b.name) })
	return list
}

// accept takes connections of peers until the listener is closed.
func (n *Node) accept() {
	for {
		nc, err := n.cfg.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) || n.ctx.Err() != nil {
			return
		}
		if err != nil {
			n.pause(n.cfg.MinBackoff)
			continue
		}
		if !n.admit() {
			_ = nc.Close()
			continue
		}
		n.spawn(func() {
			defer n.release()
			n.serve(nc, false, "")
		})
	}
}

func (n *Node) pause(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

func (n *Node) admit() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing || n.inbound >= n.cfg.MaxInbound {
		return false
	}
	n.inbound++
	return true
}

func (n *Node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inbound--
}

// serve runs one connection from its handshake to its end and reports
// whether it was of use.
func (n *Node) serve(nc net.Conn, outbound bool, address string) bool {
	defer nc.Close()
	stop := context.AfterFunc(n.ctx, func() { _ = nc.Close() })
	defer stop()
	_ = nc.SetDeadline(time.Now().Add(n.cfg.HandshakeTimeout))
	r := bufio.NewReader(nc)
	own := hello{Min: minVersion, Max: n.cfg.MaxVersion, Name: n.cfg.Name, DataCentre: n.cfg.DataCentre, Start: n.start}
	s, err := shake(r, nc, outbound, own, n.cfg.Keys)
	if err != nil {
		n.reject(nc, err)
		return false
	}
	_ = nc.SetDeadline(time.Time{})
	c := newConn(n, nc, r, s, outbound)
	if !n.register(c, address) {
		n.explain(c)
		return true
	}
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		c.write()
	}()
	err = c.read()
	c.shut()
	<-writer
	n.unregister(c, err)
	return true
}

// reject logs a peer that failed the handshake or broke the protocol.
func (n *Node) reject(nc net.Conn, err error) {
	n.rejected.Add(1)
	n.mu.Lock()
	now := time.Now()
	quiet := n.closing || now.Sub(n.rejectedAt) < rejectedLogInterval
	if !quiet {
		n.rejectedAt = now
	}
	n.mu.Unlock()
	if !quiet {
		n.cfg.Events.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: nc.RemoteAddr().String() + ": " + err.Error()})
	}
}

// register adds a connection unless a better one to the same peer exists.
func (n *Node) register(c *conn, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address != "" {
		n.aliases[address] = c.name()
		n.dials[address].pending = false
	}
	if n.closing {
		return false
	}
	if c.name() == n.cfg.Name {
		return false
	}
	old := n.conns[c.name()]
	if old != nil {
		if !n.better(c, old) {
			return false
		}
		old.surplus = true
		old.shut()
	}
	n.conns[c.name()] = c
	n.heardFrom(c.name())
	n.cfg.Events.Emit(eventlog.PeerConnected, eventlog.Fields{Detail: c.name()})
	if c.outbound {
		c.send(&message{Type: messageSummary, Summary: n.fullSummary()})
	}
	return true
}

// explain tells a peer that was turned away which process has its name, so
// that an earlier process of that name gives way.
func (n *Node) explain(c *conn) {
	n.mu.Lock()
	e := n.store.byKey[factKey{KindDaemon, c.name()}]
	m := &message{Type: messageFacts, At: n.clock.Now()}
	if e != nil {
		m.Facts = []Fact{e.remaining(time.Now())}
	}
	n.mu.Unlock()
	if e != nil {
		_ = c.writeFrame(m.encode())
	}
}

// fullSummary covers all kinds and always names KindDaemon.
func (n *Node) fullSummary() []kindSummary { return n.store.summary(everyKind) }

// better decides between two connections to the same peer name alike at both
// ends: a later process wins over an earlier one, a new connection over a
// silent one or one of the same direction, and else the one that was dialled
// by the lesser name.
func (n *Node) better(c, old *conn) bool {
	if c.session.peer.Start != old.session.peer.Start {
		return c.session.peer.Start > old.session.peer.Start
	}
	if time.Since(old.lastHeard) > 2*n.cfg.Heartbeat || c.outbound == old.outbound {
		return true
	}
	return c.outbound == (n.cfg.Name < c.name())
}

func (n *Node) unregister(c *conn, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost := n.conns[c.name()] == c
	if lost {
		delete(n.conns, c.name())
	}
	for origin, via := range n.via {
		if via == c {
			delete(n.via, origin)
		}
	}
	if n.closing {
		return
	}
	if errors.IsAny(err, errMalformed, errUnauthentic) {
		n.rejected.Add(1)
		n.cfg.Events.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: c.name() + ": " + err.Error()})
	}
	if lost && isSilence(err) {
		n.fellSilent(c.name())
	}
	if lost && !c.surplus {
		n.cfg.Events.Emit(eventlog.PeerLost, eventlog.Fields{Detail: c.name() + ": " + err.Error()})
	}
}
