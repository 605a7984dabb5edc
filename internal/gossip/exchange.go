package gossip

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// handle processes one frame from a peer.
func (n *Node) handle(c *conn, m *message) {
	n.clock.Observe(m.At)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	c.lastReceived = now
	n.observeStamps(c, m)
	switch m.Type {
	case messageFacts:
		n.handleFacts(c, m, now)
	case messageSummary:
		n.handleSummary(c, m)
	case messageDigest:
		n.handleDigest(c, m, now)
	case messageWant:
		n.handleWant(c, m, now)
	case messagePrune:
		n.handlePrune(c, m, now)
	case messageGraft:
		handleGraft(c, m)
	}
}

func (n *Node) handleFacts(c *conn, m *message, now time.Time) {
	prune := map[string]bool{}
	for _, f := range m.Facts {
		n.receiveFact(c, f, prune, now)
	}
	var want []uint64
	for _, t := range m.Touches {
		e, ok := n.store.byHash[t.KeyHash]
		switch {
		case ok && e.valueHash == t.ValueHash:
			f := e.fact
			f.Version, f.TTL = t.Version, t.TTL
			n.receiveFact(c, f, prune, now)
		case !ok || t.Version > e.fact.Version:
			want = append(want, t.KeyHash)
		}
	}
	n.requestFacts(c, want, now)
	if len(prune) > 0 {
		origins := make([]string, 0, len(prune))
		for o := range prune {
			origins = append(origins, o)
		}
		c.queueControl(&message{Type: messagePrune, Origins: origins})
	}
}

// receiveFact stores a peer's fact and relays it. If the fact is a duplicate and
// another connection is the tree parent of its origin, the origin is added to
// prune.
func (n *Node) receiveFact(c *conn, f Fact, prune map[string]bool, now time.Time) {
	k := factKey{f.Kind, f.ID}
	if f.Kind == KindDaemon && f.ID == n.cfg.Name {
		n.receiveOwnDaemonFact(f, now)
		return
	}
	if f.Kind == KindDaemon && f.ID != f.Origin {
		return
	}
	delete(n.requestedUntil, k.hash())
	result := n.store.put(f, now)
	if result == putIgnored {
		if isPeriodic(f.Kind) && n.treeParents[f.Origin] != nil && n.treeParents[f.Origin] != c {
			prune[f.Origin] = true
		}
		return
	}
	if isPeriodic(f.Kind) {
		n.treeParents[f.Origin] = c
	}
	renewed := f.Kind == KindDaemon && n.store.byKey[k].valueUnchanged
	if result == putReplaced && !renewed {
		n.notifySubscribers(f)
	}
	if f.Kind == KindWitness {
		n.receiveWitness(f, now)
	}
	if f.Kind == KindDaemon && !renewed {
		n.membersValid = false
	}
	if mark, isUnresponsive := n.unresponsive[f.ID]; f.Kind == KindDaemon && isUnresponsive && mark.isRevertedBy(f, now) {
		n.markResponsive(f.ID)
	}
	n.relay(k, f.Origin, c, now)
}

// receiveOwnDaemonFact handles a daemon fact with this node's name. One of an
// earlier process is superseded by announcing a newer version; one of a later
// process makes this node superseded.
func (n *Node) receiveOwnDaemonFact(f Fact, now time.Time) {
	info, err := DecodeDaemonInfo(f.Value)
	if err != nil {
		return
	}
	if info.Start > n.startMicros {
		n.handleSuperseded(f, now)
		return
	}
	if n.superseded {
		return
	}
	ownEntry := n.store.byKey[factKey{KindDaemon, n.cfg.Name}]
	if ownEntry == nil || info.Start == n.startMicros || f.Version < ownEntry.fact.Version {
		return
	}
	n.store.maxExpiredVersion[KindDaemon] = max(n.store.maxExpiredVersion[KindDaemon], f.Version)
	n.announce(now)
}

// handleSuperseded stops this node's announcements in favour of a later process
// of the same name, until that process's fact expires.
func (n *Node) handleSuperseded(f Fact, now time.Time) {
	k := factKey{f.Kind, f.ID}
	if ownEntry := n.store.byKey[k]; ownEntry != nil && !n.superseded {
		n.store.remove(ownEntry)
	}
	if n.store.put(f, now) == putReplaced {
		n.relay(k, f.Origin, nil, now)
	}
	if n.superseded {
		return
	}
	n.superseded = true
	n.cfg.Events.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: n.cfg.Name + ": superseded by a later process with the same name; check for daemons with duplicate names"})
}

func (n *Node) notifySubscribers(f Fact) {
	for _, s := range n.subs {
		if s.kind == f.Kind {
			s.add(f)
		}
	}
}

// relay queues a fact on all connections other than except. Periodic facts and
// renewals are not queued where the peer has pruned the origin.
func (n *Node) relay(k factKey, origin string, except *conn, now time.Time) {
	e := n.store.byKey[k]
	prunable := isPeriodic(k.kind) || (e != nil && e.valueUnchanged)
	for _, c := range n.conns {
		if c == except || (prunable && c.isPruned(origin, now)) {
			continue
		}
		c.queueFact(k, now, false)
	}
}

// requestFacts requests facts by key hash. A fact that was requested from any
// peer is not requested again until requestTTL has passed.
func (n *Node) requestFacts(c *conn, keys []uint64, now time.Time) {
	var want []uint64
	for _, k := range keys {
		if until, ok := n.requestedUntil[k]; ok && now.Before(until) {
			continue
		}
		if len(n.requestedUntil) >= maxStoreFacts {
			break
		}
		n.requestedUntil[k] = now.Add(requestTTL)
		want = append(want, k)
	}
	for len(want) > 0 {
		chunk := want[:min(len(want), maxFrameEntries)]
		c.queueControl(&message{Type: messageWant, Want: chunk})
		want = want[len(chunk):]
	}
}

// needsAntiEntropy reports whether facts of the kind are compared in the
// periodic anti-entropy rounds; periodic facts don't need it, as they are renewed.
func needsAntiEntropy(k Kind) bool { return !isPeriodic(k) }

func anyKind(Kind) bool { return true }

// handleSummary replies with the digest of the buckets that differ. A summary
// with a periodic kind covers all kinds, another one only those that need
// anti-entropy. Of a covered kind that it omits, the peer has no facts.
func (n *Node) handleSummary(c *conn, m *message) {
	include := needsAntiEntropy
	for _, s := range m.Summary {
		if isPeriodic(s.Kind) {
			include = anyKind
		}
	}
	buckets := n.store.differingBuckets(m.Summary, include)
	if len(buckets) == 0 {
		return
	}
	reply := &message{Type: messageDigest, Buckets: buckets}
	for _, e := range n.store.inBuckets(buckets) {
		if len(reply.Digest) < maxFrameEntries {
			reply.Digest = append(reply.Digest, digestEntry{KeyHash: e.keyHash, Digest: e.digest()})
		}
	}
	c.queueControl(reply)
}

// handleDigest requests the facts that differ from the peer's digest and sends
// this node's facts in the same buckets. The digest does not tell which version
// is newer, so facts that differ are sent both ways.
func (n *Node) handleDigest(c *conn, m *message, now time.Time) {
	matching := map[uint64]bool{}
	var want []uint64
	for _, d := range m.Digest {
		e, ok := n.store.byHash[d.KeyHash]
		if ok && e.digest() == d.Digest {
			matching[d.KeyHash] = true
			continue
		}
		want = append(want, d.KeyHash)
	}
	for _, e := range n.store.inBuckets(m.Buckets) {
		if !matching[e.keyHash] {
			c.queueFact(factKey{e.fact.Kind, e.fact.ID}, now, true)
		}
	}
	n.requestFacts(c, want, now)
}

func (n *Node) handleWant(c *conn, m *message, now time.Time) {
	for _, key := range m.Want {
		if e, ok := n.store.byHash[key]; ok {
			c.queueFact(factKey{e.fact.Kind, e.fact.ID}, now, true)
		}
	}
}

func (n *Node) handlePrune(c *conn, m *message, now time.Time) {
	for _, o := range m.Origins {
		if o != n.cfg.Name && len(c.prunedUntil) < maxStoreFacts {
			c.prunedUntil[o] = now.Add(pruneTTL)
		}
	}
}

func handleGraft(c *conn, m *message) {
	for _, o := range m.Origins {
		delete(c.prunedUntil, o)
	}
}

// graftStale lifts prunes and requests the facts of daemons whose facts have
// less than half of their TTL left: the tree parent may no longer deliver them.
func (n *Node) graftStale(now time.Time) {
	var origins []string
	var keys []uint64
	minGraftInterval := 2 * refreshInterval(n.daemons(now), n.cfg.BytesPerSecond)
	for k, e := range n.store.byKey {
		if k.kind != KindDaemon || k.id == n.cfg.Name || e.expires.Sub(now) > e.fact.TTL/2 {
			continue
		}
		if now.Sub(n.lastGraft[k.id]) < minGraftInterval || len(origins) >= maxFrameFacts {
			continue
		}
		n.lastGraft[k.id] = now
		origins = append(origins, k.id)
		keys = append(keys, e.keyHash)
	}
	if len(origins) == 0 {
		return
	}
	for _, c := range n.conns {
		c.queueControl(&message{Type: messageGraft, Origins: origins})
		c.queueControl(&message{Type: messageWant, Want: keys})
	}
}
