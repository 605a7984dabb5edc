package gossip

import "time"

// TimeUntilLoadDue returns how long to wait before publishing load figures, 0 if they
// would be sent now. Figures published before they are due are replaced by the
// next ones without being sent, so a publisher must wait if its figures cover only
// the time since the previous ones.
func (n *Node) TimeUntilLoadDue(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.pendingLoads) > 0 {
		return max(tickInterval, n.nextLoadAt.Sub(now)) // they are sent at the next tick
	}
	return max(0, n.nextLoadAt.Sub(now))
}

// PublishLoads publishes load figures as one batch. They are sent at once if
// they are due, or if urgent is set and they are due within maxUrgentLoadAdvance.
func (n *Node) PublishLoads(facts []Fact, urgent bool) {
	for _, f := range facts {
		n.Publish(f)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if urgent && n.nextLoadAt.Sub(now) <= maxUrgentLoadAdvance {
		n.nextLoadAt = now
	}
	n.flushLoads(now)
}

// LoadsFit reports whether load figures fit into the budget: the last ones could be sent as
// often as Config.MaxLoadInterval demands, and so could those of the last minute.
func (n *Node) LoadsFit(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !now.Before(n.loadsPausedUntil)
}

// loadPause is how long no load figures are sent after some that did not fit, so that daemons
// do not change back and forth between load figures and announcements.
const loadPause = time.Minute

// maxUrgentLoadAdvance is how long before they are due urgent load figures may
// be sent. Where the budget makes the load interval longer, they wait like others.
const maxUrgentLoadAdvance = 200 * time.Millisecond
