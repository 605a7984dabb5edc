package gossip

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// linger is how long a connection is kept that is no longer chosen, and
	// shortLinger how long when another is to take its place.
	linger      = 10 * time.Second
	shortLinger = time.Second
	// spareOutbound is how many connections beyond the fan-out a daemon opens
	// while it changes neighbours or looks for unknown daemons.
	spareOutbound = 1
)

// dial is the state of one address.
type dial struct {
	// active until the connection ends, pending until its handshake does.
	active  bool
	pending bool
	backoff time.Duration
	next    time.Time
}

// connect dials the chosen neighbours and addresses of unknown daemons, and
// closes connections that are no longer chosen.
func (n *Node) connect(discovered []string, now time.Time) {
	members := n.members(now)
	epoch := uint64(now.UnixNano() / int64(n.cfg.RotateInterval))
	chosen := chooseNeighbours(member{name: n.cfg.Name, dataCentre: n.cfg.DataCentre}, members, n.cfg.FanOut, epoch)
	keep := map[string]bool{}
	for _, m := range chosen {
		keep[m.name] = true
		if n.conns[m.name] == nil {
			n.dial(m.address, now)
		}
	}
	patience := linger
	if n.outbound() >= n.cfg.FanOut+spareOutbound {
		patience = shortLinger
	}
	for name, c := range n.conns {
		if c.outbound && !keep[name] && now.Sub(c.since) > patience {
			c.surplus = true
			c.shut()
		}
	}
	n.dialUnknown(n.unknown(members, discovered), now)
	n.forget(members, discovered, now)
}

// outbound counts the connections that this daemon opened or is opening.
func (n *Node) outbound() int {
	count := 0
	for _, c := range n.conns {
		if c.outbound {
			count++
		}
	}
	for _, d := range n.dials {
		if d.pending {
			count++
		}
	}
	return count
}

// unknown returns the addresses that no live daemon is known to have.
func (n *Node) unknown(members []member, discovered []string) []string {
	known := map[string]bool{n.cfg.Address: true}
	names := map[string]bool{n.cfg.Name: true}
	for _, m := range members {
		known[m.address] = true
		names[m.name] = true
	}
	var out []string
	for _, list := range [][]string{n.cfg.Seeds, discovered} {
		for _, address := range list {
			if !known[address] && !names[n.aliases[address]] {
				known[address] = true
				out = append(out, address)
			}
		}
	}
	return out
}

// dialUnknown tries unknown addresses: one at a time beside the chosen
// neighbours, and up to the fan-out while there is no connection.
func (n *Node) dialUnknown(addresses []string, now time.Time) {
	room := spareOutbound
	if len(n.conns) == 0 {
		room = n.cfg.FanOut
	}
	for _, d := range n.dials {
		if d.pending {
			room--
		}
	}
	for _, i := range rand.Perm(len(addresses)) {
		if room <= 0 {
			return
		}
		if n.dial(addresses[i], now) {
			room--
		}
	}
}

// dial starts a connection to address unless one was tried just before.
func (n *Node) dial(address string, now time.Time) bool {
	d := n.dials[address]
	if d == nil {
		d = &dial{}
		n.dials[address] = d
	}
	if d.active || now.Before(d.next) || n.outbound() >= n.cfg.FanOut+spareOutbound {
		return false
	}
	d.active, d.pending = true, true
	n.spawn(func() {
		useful := n.dialOnce(address)
		n.dialled(d, useful)
	})
	return true
}

func (n *Node) dialOnce(address string) bool {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.HandshakeTimeout)
	defer cancel()
	nc, err := n.cfg.Dial(ctx, address)
	if err != nil {
		n.mu.Lock()
		n.unreachable(address)
		n.mu.Unlock()
		return false
	}
	began := time.Now()
	served := n.serve(nc, true, address)
	return served && time.Since(began) > n.cfg.Heartbeat
}

// dialled sets the pause before the next try: it doubles after each failure.
func (n *Node) dialled(d *dial, useful bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d.active, d.pending = false, false
	if useful {
		d.backoff = 0
	}
	d.backoff = min(max(2*d.backoff, n.cfg.MinBackoff), n.cfg.MaxBackoff)
	d.next = time.Now().Add(jitter(d.backoff))
}

// forget drops the state of addresses that nobody names any more.
func (n *Node) forget(members []member, discovered []string, now time.Time) {
	if len(n.dials) <= 2*(len(members)+len(discovered)+len(n.cfg.Seeds)+n.cfg.FanOut) {
		return
	}
	for address, d := range n.dials {
		if !d.active && now.After(d.next) {
			delete(n.dials, address)
			delete(n.aliases, address)
		}
	}
}

// jitter returns a duration between half of d and one and a half of it.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}
