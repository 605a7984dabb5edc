package gossip

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Silent returns the daemons that this one lost touch with, a subset of Peers:
// a connection fell silent or could not be made, and no newer word of the
// daemon has come since, by whatever way.
func (n *Node) Silent() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]bool, len(n.silent))
	for name := range n.silent {
		out[name] = true
	}
	return out
}

// fellSilent notes that a daemon does not answer. The Node is locked.
func (n *Node) fellSilent(name string) {
	e := n.store.byKey[factKey{KindDaemon, name}]
	if e == nil || n.closing || name == n.cfg.Name {
		return
	}
	if _, known := n.silent[name]; !known {
		n.silent[name] = e.fact.Version
		n.deliver(e.fact)
	}
}

// heardFrom notes a sign of life of a daemon. The Node is locked.
func (n *Node) heardFrom(name string) {
	if _, silent := n.silent[name]; !silent {
		return
	}
	delete(n.silent, name)
	if e := n.store.byKey[factKey{KindDaemon, name}]; e != nil {
		n.deliver(e.fact)
	}
}

// unreachable notes that no connection could be made to an address. The Node
// is locked.
func (n *Node) unreachable(address string) {
	for _, m := range n.members(time.Now()) {
		if m.address == address && n.conns[m.name] == nil {
			n.fellSilent(m.name)
		}
	}
}

// isSilence reports whether a connection ended because nothing came or went,
// and not because the peer closed it.
func isSilence(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
