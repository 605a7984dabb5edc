package routing

import "time"

// peerLoadMaxAge is the age up to which the loads shared by a peer are used.
const peerLoadMaxAge = 3 * time.Second

// peerBacklogMaxAge is the age at which a peer's prompt tokens count as computed: a
// long prompt takes some tenths of a second.
const peerBacklogMaxAge = time.Second

// peerState holds the loads that one peer shared last.
type peerState struct {
	receivedAt time.Time
	loads      []PeerLoad
}

// setPeerLoads replaces the loads of a peer.
func (p *Policy) setPeerLoads(now time.Time, peer string, loads []PeerLoad) {
	state := p.peers[peer]
	if state == nil {
		state = &peerState{}
		p.peers[peer] = state
	}
	state.receivedAt = now
	state.loads = append(state.loads[:0], loads...)
	p.storePeerHints(now, loads)
	p.sumPeers()
}

// storePeerHints stores hints for the prompt levels that a peer shared.
func (p *Policy) storePeerHints(now time.Time, loads []PeerLoad) {
	if !p.rules.peerHints || p.hints == nil {
		return
	}
	for i := range loads {
		e := p.byID[loads[i].Endpoint]
		if e == nil || e.ep.Incarnation != loads[i].Incarnation {
			continue
		}
		for _, hash := range loads[i].HeldLevels {
			p.hints.Store(now, hash, e.hintKey)
		}
	}
}

const (
	// maxHeldShared bounds the prompt levels shared per engine at a time.
	maxHeldShared = 32
	// heldRepeatDivisor sets when a level that an engine still holds is shared
	// again: after 1/heldRepeatDivisor of the retention.
	heldRepeatDivisor = 4
)

// queueHeldLevel queues a prompt level to be shared with peers unless that was done
// recently.
func (p *Policy) queueHeldLevel(now time.Time, e *engine, hash uint64) {
	if !p.rules.peerHints || p.daemonCount == 1 || len(e.unsharedLevels) >= maxHeldShared {
		return
	}
	if age, ok := p.hints.Age(now, hash, e.hintKey); ok && age < p.hints.Retention()/heldRepeatDivisor {
		return
	}
	e.unsharedLevels = append(e.unsharedLevels, hash)
}

// expirePeers deletes the loads of peers that have stopped sharing.
func (p *Policy) expirePeers(now time.Time) {
	if now.Sub(p.lastPeerCheck) < peerLoadMaxAge/4 {
		return
	}
	p.lastPeerCheck = now
	changed := false
	for name, state := range p.peers {
		if now.Sub(state.receivedAt) > peerLoadMaxAge {
			delete(p.peers, name)
			changed = true
		}
	}
	if changed {
		p.sumPeers()
	}
}

// sumPeers recomputes the totals over all peers' loads.
func (p *Policy) sumPeers() {
	for _, e := range p.byID {
		e.peerLoad = peerTotals{}
	}
	p.organisations.clearPeers()
	p.peerRequests = 0
	for _, state := range p.peers {
		for i := range state.loads {
			p.addPeerLoad(&state.loads[i], p.now.Sub(state.receivedAt))
		}
	}
}

// addPeerLoad adds a load that a peer shared age ago.
func (p *Policy) addPeerLoad(l *PeerLoad, age time.Duration) {
	p.organisations.addPeer(l.Organisations)
	e := p.byID[l.Endpoint]
	if e == nil || e.ep.Incarnation != l.Incarnation {
		return
	}
	e.peerLoad.pendingTokens += int(float64(l.PendingTokens) * max(0, 1-age.Seconds()/peerBacklogMaxAge.Seconds()))
	e.peerLoad.requests += l.Requests
	if e.present {
		p.peerRequests += l.Requests
	}
	if l.MeasuredResponses > 0 {
		e.peerLoad.weightedSlowdown += l.Slowdown * float64(l.MeasuredResponses)
		e.peerLoad.responses += l.MeasuredResponses
		return
	}
	e.peerLoad.inferredSlowdown = max(e.peerLoad.inferredSlowdown, l.Slowdown)
}

// collectLoads returns this daemon's load at each engine, except engines where
// there is nothing to share now and was nothing the last time. Removed engines are
// included, since the lease holder must know of the prompts at an engine without
// new work before it orders that engine to switch weights.
func (p *Policy) collectLoads(now time.Time) []PeerLoad {
	p.shareDue = false
	p.rateLimits.ownRequests = p.ownAttempts
	p.shareBuffer = p.shareBuffer[:0]
	for _, e := range p.engines {
		p.collectLoad(now, e)
	}
	for _, e := range p.removed {
		p.collectLoad(now, e)
	}
	p.dropRemoved()
	if busiest := p.organisations.busiest(); len(busiest) > 0 {
		p.shareBuffer = append(p.shareBuffer, PeerLoad{Organisations: busiest})
	}
	return p.shareBuffer
}

func (p *Policy) collectLoad(now time.Time, e *engine) {
	slowdown, measured := p.ownSlowdown(now, e)
	worthSharing := e.ownAttempts > 0 || e.present && (slowdown >= minSharedSlowdown || len(e.unsharedLevels) > 0)
	if !worthSharing && !e.sharedBefore {
		return
	}
	e.sharedBefore = worthSharing
	p.shareBuffer = append(p.shareBuffer, PeerLoad{
		Endpoint: e.ep.ID, Incarnation: e.ep.Incarnation,
		PendingTokens: int(p.ownBacklog(now, e)), Requests: e.ownAttempts, Slowdown: slowdown, MeasuredResponses: measured, HeldLevels: e.unsharedLevels,
	})
	e.unsharedLevels = nil
}

// minSharedSlowdown is the least slowdown that is shared for an engine without
// attempts of this daemon.
const minSharedSlowdown = 1.2
