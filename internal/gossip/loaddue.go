package gossip

import "time"

// LoadDue returns how long it is until load figures that are published are sent
// soon, 0 when they are now. Between two turns they would only replace one
// another, so that a publisher whose figures build on what was sent before waits.
func (n *Node) LoadDue(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.loads) > 0 {
		return max(tickInterval, n.loadAt.Sub(now)) // they leave at the next look
	}
	return max(0, n.loadAt.Sub(now))
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
