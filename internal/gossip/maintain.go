package gossip

import (
	"time"
)

// maintain looks after facts and connections until the Node is closed.
func (n *Node) maintain() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		n.tick()
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) tick() {
	var discovered []string
	if n.cfg.Discover != nil {
		discovered = n.cfg.Discover()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return
	}
	now := time.Now()
	n.expire(now)
	if !now.Before(n.refreshAt) {
		n.announce(now)
	}
	n.releaseLoads(now)
	n.graftStale(now)
	n.compare(now)
	n.connect(discovered, now)
}

func (n *Node) expire(now time.Time) {
	for _, f := range n.store.expire(now) {
		if f.Kind == KindDaemon {
			n.membersKnown = false
			delete(n.via, f.Origin)
			delete(n.grafted, f.Origin)
			delete(n.silent, f.ID)
		}
	}
	if own := n.store.byKey[factKey{KindDaemon, n.cfg.Name}]; own == nil && n.displaced {
		n.displaced = false
		n.announce(now)
	}
	for k, until := range n.wanted {
		if now.After(until) {
			delete(n.wanted, k)
		}
	}
}

// releaseLoads sends the own load figures when their turn has come.
func (n *Node) releaseLoads(now time.Time) {
	if len(n.loads) == 0 || now.Before(n.loadAt) {
		return
	}
	size := 0
	for k := range n.loads {
		if e, ok := n.store.byKey[k]; ok {
			size += factBytes + len(k.id) + len(e.fact.Origin) + len(e.fact.Value)
		}
	}
	interval, useful := LoadInterval(n.daemons(now), size, n.cfg.BytesPerSecond, n.cfg.LoadInterval)
	if useful {
		n.loadAt = now.Add(interval)
	} else {
		n.loadAt = now.Add(maxLoadInterval)
	}
	for k := range n.loads {
		if useful {
			n.relay(k, n.cfg.Name, nil, now)
		} else {
			n.droppedLoad.Add(1)
		}
	}
	clear(n.loads)
}

// compare sends the summary of lasting facts where it is due.
func (n *Node) compare(now time.Time) {
	for _, c := range n.conns {
		if !c.outbound || now.Before(c.summaryAt) {
			continue
		}
		c.summaryAt = now.Add(jitter(n.cfg.SummaryInterval))
		c.send(&message{Type: messageSummary, Summary: n.store.summary(lasting)})
	}
}
