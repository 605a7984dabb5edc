package gossip

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// handle applies one frame of a peer.
func (n *Node) handle(c *conn, m *message) {
	n.clock.Observe(m.At)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	c.lastHeard = now
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
		n.receive(c, f, prune, now)
	}
	var want []uint64
	for _, t := range m.Touches {
		e, ok := n.store.byHash[t.Key]
		switch {
		case ok && e.value == t.Value:
			f := e.fact
			f.Version, f.TTL = t.Version, t.TTL
			n.receive(c, f, prune, now)
		case !ok || t.Version > e.fact.Version:
			want = append(want, t.Key)
		}
	}
	n.ask(c, want, now)
	if len(prune) > 0 {
		origins := make([]string, 0, len(prune))
		for o := range prune {
			origins = append(origins, o)
		}
		c.send(&message{Type: messagePrune, Origins: origins})
	}
}

// receive stores a peer's fact and passes it on. Origins of which c delivers
// duplicates only are added to prune.
func (n *Node) receive(c *conn, f Fact, prune map[string]bool, now time.Time) {
	k := factKey{f.Kind, f.ID}
	if f.Kind == KindDaemon && f.ID == n.cfg.Name {
		n.receiveOwn(f, now)
		return
	}
	if f.Kind == KindDaemon && f.ID != f.Origin {
		return
	}
	delete(n.wanted, k.hash())
	result := n.store.put(f, now)
	if result == putIgnored {
		if routine(f.Kind) && n.via[f.Origin] != nil && n.via[f.Origin] != c {
			prune[f.Origin] = true
		}
		return
	}
	if routine(f.Kind) {
		n.via[f.Origin] = c
	}
	renewed := f.Kind == KindDaemon && n.store.byKey[k].touched
	if result == putReplaced && !renewed {
		n.deliver(f)
	}
	if f.Kind == KindDaemon && !renewed {
		n.membersKnown = false
	}
	if last, silent := n.silent[f.ID]; f.Kind == KindDaemon && silent && f.Version > last {
		n.heardFrom(f.ID)
	}
	n.relay(k, f.Origin, c, now)
}

// receiveOwn answers what peers still hold of an earlier process of the same
// name by a newer version, and gives way to a later process.
func (n *Node) receiveOwn(f Fact, now time.Time) {
	info, err := DecodeDaemonInfo(f.Value)
	if err != nil {
		return
	}
	if info.Start > n.start {
		n.displace(f, now)
		return
	}
	if n.displaced {
		return
	}
	own := n.store.byKey[factKey{KindDaemon, n.cfg.Name}]
	if own == nil || info.Start == n.start || f.Version < own.fact.Version {
		return
	}
	n.store.floor[KindDaemon] = max(n.store.floor[KindDaemon], f.Version)
	n.announce(now)
}

// displace makes way for a later process of the same name, for as long as
// that one announces itself.
func (n *Node) displace(f Fact, now time.Time) {
	k := factKey{f.Kind, f.ID}
	if own := n.store.byKey[k]; own != nil && !n.displaced {
		n.store.drop(own)
	}
	if n.store.put(f, now) == putReplaced {
		n.relay(k, f.Origin, nil, now)
	}
	if n.displaced {
		return
	}
	n.displaced = true
	n.cfg.Events.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: n.cfg.Name + ": a later process has this name"})
}

func (n *Node) deliver(f Fact) {
	for _, s := range n.subs {
		if s.kind == f.Kind {
			s.add(f)
		}
	}
}

// relay queues a fact on all connections but from. Routine facts and renewals
// are left out where the peer gets them another way.
func (n *Node) relay(k factKey, origin string, from *conn, now time.Time) {
	e := n.store.byKey[k]
	spare := routine(k.kind) || (e != nil && e.touched)
	for _, c := range n.conns {
		if c == from || (spare && c.prunes(origin, now)) {
			continue
		}
		c.queue(k, now, false)
	}
}

// ask requests facts by the hash of their key, each from one peer at a time.
func (n *Node) ask(c *conn, keys []uint64, now time.Time) {
	var want []uint64
	for _, k := range keys {
		if until, ok := n.wanted[k]; ok && now.Before(until) {
			continue
		}
		if len(n.wanted) >= maxStoreFacts {
			break
		}
		n.wanted[k] = now.Add(wantLife)
		want = append(want, k)
	}
	for len(want) > 0 {
		part := want[:min(len(want), maxFrameEntries)]
		c.send(&message{Type: messageWant, Want: part})
		want = want[len(part):]
	}
}

// lasting reports whether facts of the kind are compared periodically;
// routine ones renew themselves.
func lasting(k Kind) bool { return !routine(k) }

func everyKind(Kind) bool { return true }

// handleSummary answers with the digest of the buckets that differ. A kind
// that the peer left out of its summary is compared only if the peer is to
// hold it, which it tells by naming at least one routine kind.
func (n *Node) handleSummary(c *conn, m *message) {
	include := lasting
	for _, s := range m.Summary {
		if routine(s.Kind) {
			include = everyKind
		}
	}
	buckets := n.store.differing(m.Summary, include)
	if len(buckets) == 0 {
		return
	}
	reply := &message{Type: messageDigest, Buckets: buckets}
	for _, e := range n.store.inBuckets(buckets) {
		if len(reply.Digest) < maxFrameEntries {
			reply.Digest = append(reply.Digest, digestEntry{Key: e.key, Hash: e.digest()})
		}
	}
	c.send(reply)
}

// handleDigest asks for what the peer holds otherwise and sends what it lacks.
// Which of two versions is newer shows when both have been sent.
func (n *Node) handleDigest(c *conn, m *message, now time.Time) {
	theirs := map[uint64]bool{}
	var want []uint64
	for _, d := range m.Digest {
		e, ok := n.store.byHash[d.Key]
		if ok && e.digest() == d.Hash {
			theirs[d.Key] = true
			continue
		}
		want = append(want, d.Key)
	}
	for _, e := range n.store.inBuckets(m.Buckets) {
		if !theirs[e.key] {
			c.queue(factKey{e.fact.Kind, e.fact.ID}, now, true)
		}
	}
	n.ask(c, want, now)
}

func (n *Node) handleWant(c *conn, m *message, now time.Time) {
	for _, key := range m.Want {
		if e, ok := n.store.byHash[key]; ok {
			c.queue(factKey{e.fact.Kind, e.fact.ID}, now, true)
		}
	}
}

func (n *Node) handlePrune(c *conn, m *message, now time.Time) {
	for _, o := range m.Origins {
		if o != n.cfg.Name && len(c.pruned) < maxStoreFacts {
			c.pruned[o] = now.Add(pruneLife)
		}
	}
}

func handleGraft(c *conn, m *message) {
	for _, o := range m.Origins {
		delete(c.pruned, o)
	}
}

// graftStale asks all peers again for the facts of daemons that were not
// renewed in time: the connection that delivered them may no longer do so.
func (n *Node) graftStale(now time.Time) {
	var origins []string
	var keys []uint64
	pause := 2 * refreshInterval(n.daemons(now))
	for k, e := range n.store.byKey {
		if k.kind != KindDaemon || k.id == n.cfg.Name || e.expires.Sub(now) > e.fact.TTL/2 {
			continue
		}
		if now.Sub(n.grafted[k.id]) < pause || len(origins) >= maxFrameFacts {
			continue
		}
		n.grafted[k.id] = now
		origins = append(origins, k.id)
		keys = append(keys, e.key)
	}
	if len(origins) == 0 {
		return
	}
	for _, c := range n.conns {
		c.send(&message{Type: messageGraft, Origins: origins})
		c.send(&message{Type: messageWant, Want: keys})
	}
}
