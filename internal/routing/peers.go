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
	p.sumPeers()
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
	for _, v := range p.peers {
		for i := range v.loads {
			p.addPeerLoad(&v.loads[i])
		}
	}
}

func (p *Policy) addPeerLoad(l *PeerLoad) {
	e := p.byID[l.Endpoint]
	if e == nil || e.ep.Incarnation != l.Incarnation {
		return
	}
	e.peers.tokens += l.Outstanding
	e.peers.requests += l.Requests
	e.peers.long += l.Long
	if l.Measured > 0 {
		e.peers.measured += l.Slowdown * float64(l.Measured)
		e.peers.answers += l.Measured
		return
	}
	e.peers.inferred = max(e.peers.inferred, l.Slowdown)
}

// share returns what the daemon has at each engine, without engines where
// there is nothing to tell.
func (p *Policy) share(now time.Time) []PeerLoad {
	p.shared = p.shared[:0]
	for _, e := range p.engines {
		slow, measured := p.ownSlowdown(now, e)
		if e.own == 0 && slow < shareSlowdown {
			continue
		}
		p.shared = append(p.shared, PeerLoad{
			Endpoint: e.ep.ID, Incarnation: e.ep.Incarnation,
			Outstanding: int(e.ownTokens), Requests: e.own, Long: e.ownLong, Slowdown: slow, Measured: measured,
		})
	}
	return p.shared
}

// shareSlowdown is the least slowdown worth telling of an idle engine.
const shareSlowdown = 1.2
