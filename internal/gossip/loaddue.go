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

// PublishLoads publishes load figures together and sends them at once, if their
// turn has come or if they are news that peers decide by.
func (n *Node) PublishLoads(facts []Fact, news bool) {
	for _, f := range facts {
		n.Publish(f)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if news && n.loadAt.Sub(now) <= newsAhead {
		n.loadAt = now
	}
	n.releaseLoads(now)
}

// newsAhead is how long before their turn load figures may be sent: where the
// budget makes the turns longer, news waits as all figures do.
const newsAhead = 200 * time.Millisecond
