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
	// rejectedLogInterval is the minimum interval between logs of rejected peers.
	rejectedLogInterval = time.Second
)

func sortMembers(list []member) []member {
	slices.SortFunc(list, func(a, b member) int { return cmp.Compare(a.name, b.name) })
	return list
}

// accept accepts connections until the listener is closed.
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
		if !n.acquireInbound() {
			_ = nc.Close()
			continue
		}
		n.spawn(func() {
			defer n.releaseInbound()
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

// acquireInbound reserves one of MaxInbound connections; it returns false if none
// is free or the node is closing.
func (n *Node) acquireInbound() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing || n.inboundCount >= n.cfg.MaxInbound {
		return false
	}
	n.inboundCount++
	return true
}

func (n *Node) releaseInbound() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inboundCount--
}

// serve runs one connection from its handshake to its end and reports whether
// the handshake succeeded. address is the dialled address, empty if inbound.
func (n *Node) serve(nc net.Conn, outbound bool, address string) bool {
	defer nc.Close()
	stop := context.AfterFunc(n.ctx, func() { _ = nc.Close() })
	defer stop()
	_ = nc.SetDeadline(time.Now().Add(n.cfg.HandshakeTimeout))
	r := bufio.NewReader(nc)
	own := hello{Min: minProtocolVersion, Max: n.cfg.MaxVersion, Name: n.cfg.Name, DataCentre: n.cfg.DataCentre, Start: n.startMicros}
	s, err := handshake(r, nc, outbound, own, n.cfg.Keys)
	if err != nil {
		n.reject(nc, err)
		return false
	}
	_ = nc.SetDeadline(time.Time{})
	c := newConn(n, nc, r, s, outbound)
	if !n.register(c, address) {
		n.sendCurrentDaemonFact(c)
		return true
	}
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		c.writeLoop()
	}()
	err = c.readLoop()
	c.close()
	<-writer
	n.unregister(c, err)
	return true
}

// reject counts and logs a peer that failed the handshake.
func (n *Node) reject(nc net.Conn, err error) {
	n.rejected.Add(1)
	n.mu.Lock()
	now := time.Now()
	suppressLog := n.closing || now.Sub(n.lastRejectionLog) < rejectedLogInterval
	if !suppressLog {
		n.lastRejectionLog = now
	}
	n.mu.Unlock()
	if !suppressLog {
		n.cfg.Events.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: nc.RemoteAddr().String() + ": " + err.Error()})
	}
}

// register adds a connection and returns true, unless the node is closing, the
// peer has this node's name, or an existing connection to the peer is kept.
func (n *Node) register(c *conn, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address != "" {
		n.nameByAddress[address] = c.peerName()
		n.dialStates[address].handshaking = false
	}
	if n.closing {
		return false
	}
	if c.peerName() == n.cfg.Name {
		return false
	}
	old := n.conns[c.peerName()]
	if old != nil {
		if !n.preferNew(c, old) {
			return false
		}
		old.expectedClose = true
		old.close()
	}
	n.conns[c.peerName()] = c
	n.markResponsive(c.peerName())
	n.cfg.Events.Emit(eventlog.PeerConnected, eventlog.Fields{Detail: c.peerName()})
	if c.outbound {
		c.queueControl(&message{Type: messageSummary, Summary: n.fullSummary()})
	}
	return true
}

// sendCurrentDaemonFact sends a peer whose connection was not registered the known
// fact of its name, so that an earlier process of that name stops announcing itself.
func (n *Node) sendCurrentDaemonFact(c *conn) {
	n.mu.Lock()
	e := n.store.byKey[factKey{KindDaemon, c.peerName()}]
	m := &message{Type: messageFacts, At: n.clock.Now()}
	if e != nil {
		m.Facts = []Fact{e.withRemainingTTL(time.Now())}
	}
	n.mu.Unlock()
	if e != nil {
		_ = c.writeFrame(m.encode(c.session.version))
	}
}

// fullSummary covers all kinds. It always contains KindDaemon, because Start
// stores the node's own fact.
func (n *Node) fullSummary() []kindSummary { return n.store.summary(anyKind) }

// preferNew reports whether c replaces old, an existing connection to the same
// peer name; both ends must decide alike. A later process replaces an earlier
// one. A new connection replaces one that is idle for longer than two heartbeats
// or has the same direction. Otherwise the one dialled by the lesser name is kept.
func (n *Node) preferNew(c, old *conn) bool {
	if c.session.peer.Start != old.session.peer.Start {
		return c.session.peer.Start > old.session.peer.Start
	}
	if time.Since(old.lastReceived) > 2*n.cfg.Heartbeat || c.outbound == old.outbound {
		return true
	}
	return c.outbound == (n.cfg.Name < c.peerName())
}

// unregister removes a closed connection and logs why it was closed.
func (n *Node) unregister(c *conn, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.conns[c.peerName()] == c
	if current {
		delete(n.conns, c.peerName())
	}
	for origin, parent := range n.treeParents {
		if parent == c {
			delete(n.treeParents, origin)
		}
	}
	if n.closing {
		return
	}
	if errors.IsAny(err, errMalformed, errFrameAuthentication) {
		n.rejected.Add(1)
		n.cfg.Events.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: c.peerName() + ": " + err.Error()})
	}
	if current && isTimeout(err) {
		n.markUnresponsive(c.peerName())
	}
	if current && !c.expectedClose {
		n.cfg.Events.Emit(eventlog.PeerLost, eventlog.Fields{Detail: c.peerName() + ": " + err.Error()})
	}
}
