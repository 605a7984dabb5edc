package gossip

import (
	"fmt"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// maintain calls tick every tickInterval until the Node is closed.
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

// tick expires, renews and sends due facts, and maintains connections.
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
	n.expireWitnesses(now)
	if !now.Before(n.nextAnnounceAt) {
		n.announce(now)
	}
	n.publishWitnessed(now)
	n.flushLoads(now)
	n.graftStale(now)
	n.sendSummaries(now)
	n.maintainConnections(discovered, now)
}

func (n *Node) expire(now time.Time) {
	expiredPeers := 0
	for _, f := range n.store.expire(now) {
		if f.Kind == KindDaemon {
			if f.ID != n.cfg.Name {
				expiredPeers++
			}
			n.membersValid = false
			delete(n.treeParents, f.Origin)
			delete(n.lastGraft, f.Origin)
			delete(n.unresponsive, f.ID)
			if info, err := DecodeDaemonInfo(f.Value); err == nil && !info.Stopped {
				n.lostPeers[f.ID] = now
			}
		}
	}
	for name, at := range n.lostPeers {
		if now.Sub(at) >= lostPeerTTL || n.store.byKey[factKey{KindDaemon, name}] != nil {
			delete(n.lostPeers, name)
		}
	}
	if expiredPeers > 0 {
		n.cfg.Events.Emit(eventlog.PeersExpired, eventlog.Fields{Detail: fmt.Sprintf("%d expired, %d left", expiredPeers, len(n.members(now)))})
	}
	if own := n.store.byKey[factKey{KindDaemon, n.cfg.Name}]; own == nil && n.superseded {
		n.superseded = false
		n.announce(now)
	}
	for k, until := range n.requestedUntil {
		if now.After(until) {
			delete(n.requestedUntil, k)
		}
	}
}

// flushLoads sends this daemon's pending load figures if they are due, or drops
// them if the budget does not allow sending them often enough.
func (n *Node) flushLoads(now time.Time) {
	if len(n.pendingLoads) == 0 || now.Before(n.nextLoadAt) {
		return
	}
	size := 0
	for k := range n.pendingLoads {
		if e, ok := n.store.byKey[k]; ok {
			size += factOverheadBytes + len(k.id) + len(e.fact.Origin) + len(e.fact.Value)
		}
	}
	interval, feasible := LoadInterval(n.daemons(now), size, n.cfg.BytesPerSecond, n.cfg.MinLoadInterval)
	if longest := n.cfg.MaxLoadInterval; longest > 0 {
		if interval > longest {
			n.loadsPausedUntil = now.Add(loadPause)
		}
		feasible = !now.Before(n.loadsPausedUntil)
	}
	if feasible {
		n.nextLoadAt = now.Add(interval)
	} else {
		n.nextLoadAt = now.Add(maxLoadAge)
	}
	for k := range n.pendingLoads {
		if feasible {
			n.relay(k, n.cfg.Name, nil, now)
		} else {
			n.droppedLoads.Add(1)
		}
	}
	clear(n.pendingLoads)
}

// sendSummaries starts anti-entropy on the outbound connections where it is due.
func (n *Node) sendSummaries(now time.Time) {
	for _, c := range n.conns {
		if !c.outbound || now.Before(c.summaryAt) {
			continue
		}
		c.summaryAt = now.Add(jitter(n.cfg.SummaryInterval))
		c.queueControl(&message{Type: messageSummary, Summary: n.store.summary(needsAntiEntropy)})
	}
}
