package gossip

import "time"

// A daemon that hears nothing cannot tell whether there is no news, or whether it is cut off or
// stood still. Received frames prove little: they may have waited in a buffer. So each frame
// carries when it was sent and when the frame was sent that its sender received last, and an echo
// proves that the peer was in contact at the time of the echoed frame, or later.

// stamp is a time on a daemon's own clock, in milliseconds since its start, from 1 on; 0 is none.
type stamp uint64

const (
	// maxStamp bounds the stamps that peers send: 1,000 years.
	maxStamp = 1 << 45
	// contactMemory is how long a peer counts as a recent one after its last echo.
	contactMemory = time.Minute
)

// stamp returns the present time. The clock goes on while the machine is suspended.
func (n *Node) stamp() stamp { return 1 + stamp((n.cfg.SinceBoot() - n.bootedAt).Milliseconds()) }

// observeStamps notes what a frame tells of the contact with its sender. n.mu must be held.
func (n *Node) observeStamps(c *conn, m *message) {
	c.peerStamp = max(c.peerStamp, m.Sent)
	if m.Echo <= n.stamp() && m.Echo > n.confirmed[c.peerName()] {
		n.confirmed[c.peerName()] = m.Echo
	}
}

// Contacts returns how many peers had contact with this daemon at some time within an age, which
// they confirmed, and how many had within contactMemory. In a large fleet these are the neighbours
// in the overlay. Peers that have stopped, and those of older versions, do not count.
func (n *Node) Contacts(age time.Duration) (fresh, recent int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.stamp()
	for name, at := range n.confirmed {
		switch since := time.Duration(now-at) * time.Millisecond; {
		case since > contactMemory || n.hasStopped(name):
			delete(n.confirmed, name)
		case since <= age:
			fresh++
			recent++
		default:
			recent++
		}
	}
	return fresh, recent
}

// hasStopped reports whether a daemon has announced that it stops. n.mu must be held.
func (n *Node) hasStopped(name string) bool {
	e := n.store.byKey[factKey{KindDaemon, name}]
	if e == nil {
		return false
	}
	info, err := DecodeDaemonInfo(e.fact.Value)
	return err == nil && info.Stopped
}
