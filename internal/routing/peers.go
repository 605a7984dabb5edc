package routing

import "time"

// peerLife is how long what a peer shared is used.
const peerLife = 3 * time.Second

// peerView is what one peer shared last.
type peerView struct {
	at    time.Time
	loads []PeerLoad
}

// learn replaces what a peer shared.
func (p *Policy) learn(now time.Time, peer string, loads []PeerLoad) {
	v := p.peers[peer]
	if v == nil {
		v = &peerView{}
		p.peers[peer] = v
	}
	v.at = now
	v.loads = append(v.loads[:0], loads...)
	p.learnHeld(now, loads)
	p.sumPeers()
}

// learnHeld takes over what peers saw engines hold.
func (p *Policy) learnHeld(now time.Time, loads []PeerLoad) {
	if !p.rules.peerHints || p.hints == nil {
		return
	}
	for i := range loads {
		e := p.byID[loads[i].Endpoint]
		if e == nil || e.ep.Incarnation != loads[i].Incarnation {
			continue
		}
		for _, hash := range loads[i].Held {
			p.hints.Store(now, hash, e.hintKey)
		}
	}
}

const (
	// maxHeldShared bounds the prompt levels told of one engine at a time.
	maxHeldShared = 32
	// heldRepeat is the part of the retention after which a level that an
	// engine still holds is told again.
	heldRepeat = 4
)

// noteHeld keeps a prompt level for the next Share if peers do not know it.
func (p *Policy) noteHeld(now time.Time, e *engine, hash uint64) {
	if !p.rules.peerHints || p.daemons == 1 || len(e.held) >= maxHeldShared {
		return
	}
	if age, ok := p.hints.Age(now, hash, e.hintKey); ok && age < p.hints.Retention()/heldRepeat {
		return
	}
	e.held = append(e.held, hash)
}

// expirePeers forgets peers that have not been heard of.
func (p *Policy) expirePeers(now time.Time) {
	if now.Sub(p.peersChecked) < peerLife/4 {
		return
	}
	p.peersChecked = now
	changed := false
	for name, v := range p.peers {
		if now.Sub(v.at) > peerLife {
			delete(p.peers, name)
			changed = true
		}
	}
	if changed {
		p.sumPeers()
	}
}

// sumPeers adds up what all peers shared.
func (p *Policy) sumPeers() {
	for _, e := range p.engines {
		e.peers = peerSums{}
	}
	p.organisations.clearPeers()
	p.peerRequests = 0
	for _, v := range p.peers {
		for i := range v.loads {
			p.addPeerLoad(&v.loads[i])
		}
	}
}

func (p *Policy) addPeerLoad(l *PeerLoad) {
	p.organisations.addPeer(l.Organisations)
	e := p.byID[l.Endpoint]
	if e == nil || e.ep.Incarnation != l.Incarnation {
		return
	}
	e.peers.tokens += l.Outstanding
	e.peers.requests += l.Requests
	p.peerRequests += l.Requests
	if l.Measured > 0 {
		e.peers.measured += l.Slowdown * float64(l.Measured)
		e.peers.answers += l.Measured
		return
	}
	e.peers.inferred = max(e.peers.inferred, l.Slowdown)
}

// share returns what the daemon has at each engine, without engines where
// there is nothing to tell and was nothing before.
func (p *Policy) share(now time.Time) []PeerLoad {
	p.news = false
	p.shared = p.shared[:0]
	for _, e := range p.engines {
		slow, measured := p.ownSlowdown(now, e)
		tell := e.own > 0 || slow >= shareSlowdown || len(e.held) > 0
		if !tell && !e.told {
			continue
		}
		e.told = tell
		p.shared = append(p.shared, PeerLoad{
			Endpoint: e.ep.ID, Incarnation: e.ep.Incarnation,
			Outstanding: int(p.ownBacklog(now, e)), Requests: e.own, Slowdown: slow, Measured: measured, Held: e.held,
		})
		e.held = nil
	}
	if told := p.organisations.told(); len(told) > 0 {
		p.shared = append(p.shared, PeerLoad{Organisations: told})
	}
	return p.shared
}

// shareSlowdown is the least slowdown worth telling of an idle engine.
const shareSlowdown = 1.2
