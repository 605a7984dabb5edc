package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/verbenabend/verbenabend/internal/descriptor"
)

const (
	// minConnAge is the minimum age at which a connection to a neighbour that is
	// no longer chosen is closed; minConnAgeAtLimit applies when the outbound
	// limit is reached, so that the replacement can be dialled.
	minConnAge        = 10 * time.Second
	minConnAgeAtLimit = time.Second
	// spareOutbound is the number of outbound connections beyond the fan-out
	// while neighbours change or unknown addresses are dialled.
	spareOutbound = 1
)

// dialState is the dial and backoff state of one address.
type dialState struct {
	// active is true until the connection ends, handshaking until its handshake ends.
	active      bool
	handshaking bool
	backoff     time.Duration
	nextAttempt time.Time
}

// maintainConnections dials the chosen neighbours and unknown addresses, and
// closes connections to neighbours that are no longer chosen.
func (n *Node) maintainConnections(discovered []string, now time.Time) {
	members := n.members(now)
	epoch := uint64(now.UnixNano() / int64(n.cfg.RotateInterval))
	chosen := chooseNeighbours(member{name: n.cfg.Name, dataCentre: n.cfg.DataCentre}, members, n.cfg.FanOut, epoch)
	wanted := map[string]bool{}
	for _, m := range chosen {
		wanted[m.name] = true
		if n.conns[m.name] == nil {
			n.startDial(m.address, now)
		}
	}
	minAge := minConnAge
	if n.outboundCount() >= n.cfg.FanOut+spareOutbound {
		minAge = minConnAgeAtLimit
	}
	for name, c := range n.conns {
		if c.outbound && !wanted[name] && now.Sub(c.openedAt) > minAge {
			c.expectedClose = true
			c.close()
		}
	}
	n.dialUnknown(n.unknownAddresses(members, discovered), now)
	n.dropUnusedDialStates(members, discovered, now)
}

// outboundCount returns the number of outbound connections, including those in
// the handshake.
func (n *Node) outboundCount() int {
	count := 0
	for _, c := range n.conns {
		if c.outbound {
			count++
		}
	}
	for _, d := range n.dialStates {
		if d.handshaking {
			count++
		}
	}
	return count
}

// unknownAddresses returns the seed and discovered addresses that do not belong
// to a known live daemon.
func (n *Node) unknownAddresses(members []member, discovered []string) []string {
	knownAddresses := map[string]bool{n.cfg.Address: true}
	knownNames := map[string]bool{n.cfg.Name: true}
	for _, m := range members {
		knownAddresses[m.address] = true
		knownNames[m.name] = true
	}
	var out []string
	for _, list := range [][]string{n.seeds, discovered} {
		for _, address := range list {
			if !knownAddresses[address] && !knownNames[n.nameByAddress[address]] {
				knownAddresses[address] = true
				out = append(out, address)
			}
		}
	}
	return out
}

// dialUnknown dials unknown addresses in random order: one at a time, or up to
// the fan-out while there is no connection.
func (n *Node) dialUnknown(addresses []string, now time.Time) {
	remaining := spareOutbound
	if len(n.conns) == 0 {
		remaining = n.cfg.FanOut
	}
	for _, d := range n.dialStates {
		if d.handshaking {
			remaining--
		}
	}
	for _, i := range rand.Perm(len(addresses)) {
		if remaining <= 0 {
			return
		}
		if n.startDial(addresses[i], now) {
			remaining--
		}
	}
}

// startDial dials address in a new goroutine and returns true, unless the
// address is in use or backing off, or the outbound limit is reached.
func (n *Node) startDial(address string, now time.Time) bool {
	d := n.dialStates[address]
	if d == nil {
		d = &dialState{}
		n.dialStates[address] = d
	}
	if d.active || now.Before(d.nextAttempt) || n.outboundCount() >= n.cfg.FanOut+spareOutbound {
		return false
	}
	d.active, d.handshaking = true, true
	n.spawn(func() {
		healthy := n.dialAndServe(address)
		n.scheduleRedial(d, healthy)
	})
	return true
}

// dialAndServe runs a connection to address until it ends. It returns false if
// the connection failed or ended within a heartbeat interval.
func (n *Node) dialAndServe(address string) bool {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.HandshakeTimeout)
	defer cancel()
	nc, err := n.cfg.Dial(ctx, address)
	if err != nil {
		if !descriptor.IsShortage(err) {
			n.mu.Lock()
			n.markUnreachable(address)
			n.mu.Unlock()
		}
		return false
	}
	connectedAt := time.Now()
	served := n.serve(nc, true, address)
	return served && time.Since(connectedAt) > n.cfg.Heartbeat
}

// scheduleRedial sets the delay before the next attempt, which doubles after
// each failure.
func (n *Node) scheduleRedial(d *dialState, healthy bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d.active, d.handshaking = false, false
	if healthy {
		d.backoff = 0
	}
	d.backoff = min(max(2*d.backoff, n.cfg.MinBackoff), n.cfg.MaxBackoff)
	d.nextAttempt = time.Now().Add(jitter(d.backoff))
}

// dropUnusedDialStates removes inactive addresses once the map has grown to
// more than twice the number of addresses in use.
func (n *Node) dropUnusedDialStates(members []member, discovered []string, now time.Time) {
	if len(n.dialStates) <= 2*(len(members)+len(discovered)+len(n.seeds)+n.cfg.FanOut) {
		return
	}
	for address, d := range n.dialStates {
		if !d.active && now.After(d.nextAttempt) {
			delete(n.dialStates, address)
			delete(n.nameByAddress, address)
		}
	}
}

// jitter returns a random duration between d/2 and 3d/2.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}
