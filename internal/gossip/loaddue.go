package gossip

import "time"

// LoadDue reports whether load figures that are published now are sent soon.
// Between two turns they would only replace one another, so that a publisher
// whose figures build on what was sent before asks first.
func (n *Node) LoadDue(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.loads) == 0 && !now.Before(n.loadAt)
}
