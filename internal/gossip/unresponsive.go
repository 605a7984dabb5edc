package gossip

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// unresponsiveMark tells which facts of an unresponsive daemon show that it is alive.
// Other daemons still relay facts that it published before it crashed.
type unresponsiveMark struct {
	// knownVersion is the version of the daemon's fact when it was marked.
	knownVersion uint64
	// presentVersion is about the version that a fact of the daemon's would have, by its own
	// clock, if it had been published when the daemon was marked.
	presentVersion uint64
	// clockVersion is the version of a fact published when the daemon was marked.
	clockVersion uint64
	// relayedUntil is when all facts that were published before the mark have
	// expired. It bounds how long a wrong wall clock keeps the mark.
	relayedUntil time.Time
}

// isRevertedBy reports whether the daemon published f after it was marked.
func (m unresponsiveMark) isRevertedBy(f Fact, now time.Time) bool {
	return f.Version > m.knownVersion && (f.Version >= m.clockVersion || now.After(m.relayedUntil))
}

// Unresponsive returns the names of the unresponsive daemons, a subset of Peers: a
// connection timed out or could not be opened, and no fact that the daemon
// published since has arrived, neither directly nor through others.
func (n *Node) Unresponsive() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]bool, len(n.unresponsive))
	for name := range n.unresponsive {
		out[name] = true
	}
	return out
}

// lostPeerTTL is how long a daemon that has not announced that it stops is missed once its
// fact has expired: it may be cut off.
const lostPeerTTL = time.Hour

// MayMissPeers reports whether facts that this daemon publishes may not reach all others:
// another daemon is unresponsive or was lost within lostPeerTTL, or this one has peers or
// seeds and no connection.
func (n *Node) MayMissPeers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.unresponsive) > 0 || len(n.lostPeers) > 0 {
		return true
	}
	members := n.members(time.Now())
	return len(n.conns) == 0 && len(members)+len(n.unknownAddresses(members, nil)) > 0
}

// IsAlone reports whether this daemon has no connection to another one.
func (n *Node) IsAlone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns) == 0
}

// markUnresponsive marks a daemon as unresponsive and notifies subscribers of a
// change. n.mu must be held.
func (n *Node) markUnresponsive(name string) {
	if n.store.byKey[factKey{KindDaemon, name}] != nil {
		n.unwitnessed[name] = time.Now()
	}
	n.mark(name)
}

// mark is markUnresponsive without telling other daemons.
func (n *Node) mark(name string) {
	e := n.store.byKey[factKey{KindDaemon, name}]
	if e == nil || n.closing || name == n.cfg.Name {
		return
	}
	if _, alreadyMarked := n.unresponsive[name]; alreadyMarked {
		return
	}
	now := time.Now()
	n.unresponsive[name] = unresponsiveMark{
		knownVersion:   e.fact.Version,
		presentVersion: e.fact.Version + uint64(max(0, e.age(now).Microseconds())),
		clockVersion:   uint64(n.clock.Now().Micros),
		relayedUntil:   now.Add(daemonTTL(n.daemons(now), n.cfg.BytesPerSecond)),
	}
	n.notifySubscribers(e.fact)
}

// markResponsive reverts markUnresponsive. n.mu must be held.
func (n *Node) markResponsive(name string) {
	if _, isUnresponsive := n.unresponsive[name]; !isUnresponsive {
		return
	}
	delete(n.unresponsive, name)
	if e := n.store.byKey[factKey{KindDaemon, name}]; e != nil {
		n.notifySubscribers(e.fact)
	}
}

// markUnreachable marks the daemon at an address that could not be dialled as
// unresponsive, unless it has a connection. n.mu must be held.
func (n *Node) markUnreachable(address string) {
	for _, m := range n.members(time.Now()) {
		if m.address == address && n.conns[m.name] == nil {
			n.markUnresponsive(m.name)
		}
	}
}

// isTimeout reports whether a connection ended by a read or write timeout, not
// because the peer closed it.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
