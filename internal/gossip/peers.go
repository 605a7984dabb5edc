package gossip

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

const (
	// linger is how long a connection is kept that is no longer chosen, and
	// shortLinger how long when another is to take its place.
	linger      = 10 * time.Second
	shortLinger = time.Second
	// spareOutbound is how many connections beyond the fan-out a daemon opens
	// while it changes neighbours or looks for unknown daemons.
	spareOutbound = 1
	// rejectedLogInterval bounds how often rejected peers are logged.
	rejectedLogInterval = time.Second
)

// dial is the state of one address.
type dial struct {
	// active until the connection ends, pending until its handshake does.
	active  bool
	pending bool
	backoff time.Duration
	next    time.Time
}

func sortMembers(list []member) []member {
	slices.SortFunc(list, func(a, b member) int { return cmp.Compare(a.name, b.name) })
	return list
}

// accept takes connections of peers until the listener is closed.
func (n *Node) accept() {
	for {
		nc, err := n.cfg.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) || n.ctx.Err() != nil {
			return
		}
		if err != nil {
			n.pause(n.cfg.MinBackoff)
			continue
		}
		if !n.admit() {
			_ = nc.Close()
			continue
		}
		n.spawn(func() {
			defer n.release()
			n.serve(nc, false, "")
		})
	}
}

func (n *Node) pause(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

func (n *Node) admit() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing || n.inbound >= n.cfg.MaxInbound {
		return false
	}
	n.inbound++
	return true
}

func (n *Node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inbound--
}

// serve runs one connection from its handshake to its end and reports
// whether it was of use.
func (n *Node) serve(nc net.Conn, outbound bool, address string) bool {
	defer nc.Close()
	stop := context.AfterFunc(n.ctx, func() { _ = nc.Close() })
	defer stop()
	_ = nc.SetDeadline(time.Now().Add(n.cfg.HandshakeTimeout))
	r := bufio.NewReader(nc)
	own := hello{Min: minVersion, Max: n.cfg.MaxVersion, Name: n.cfg.Name, DataCentre: n.cfg.DataCentre, Start: n.start}
	s, err := shake(r, nc, outbound, own, n.cfg.Keys)
	if err != nil {
		n.reject(nc, err)
		return false
	}
	_ = nc.SetDeadline(time.Time{})
	c := newConn(n, nc, r, s, outbound)
	if !n.register(c, address) {
		n.explain(c)
		return true
	}
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		c.write()
	}()
	err = c.read()
	c.shut()
	<-writer
	n.unregister(c, err)
	return true
}

// reject logs a peer that failed the handshake or broke the protocol.
func (n *Node) reject(nc net.Conn, err error) {
	n.rejected.Add(1)
	n.mu.Lock()
	now := time.Now()
	quiet := n.closing || now.Sub(n.rejectedAt) < rejectedLogInterval
	if !quiet {
		n.rejectedAt = now
	}
	n.mu.Unlock()
	if !quiet {
		n.cfg.Events.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: nc.RemoteAddr().String() + ": " + err.Error()})
	}
}

// register adds a connection unless a better one to the same peer exists.
func (n *Node) register(c *conn, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address != "" {
		n.aliases[address] = c.name()
		n.dials[address].pending = false
	}
	if n.closing {
		return false
	}
	if c.name() == n.cfg.Name {
		return false
	}
	old := n.conns[c.name()]
	if old != nil {
		if !n.better(c, old) {
			return false
		}
		old.surplus = true
		old.shut()
	}
	n.conns[c.name()] = c
	n.cfg.Events.Emit(eventlog.PeerConnected, eventlog.Fields{Detail: c.name()})
	if c.outbound {
		c.send(&message{Type: messageSummary, Summary: n.fullSummary()})
	}
	return true
}

// explain tells a peer that was turned away which process has its name, so
// that an earlier process of that name gives way.
func (n *Node) explain(c *conn) {
	n.mu.Lock()
	e := n.store.byKey[factKey{KindDaemon, c.name()}]
	m := &message{Type: messageFacts, At: n.clock.Now()}
	if e != nil {
		m.Facts = []Fact{e.remaining(time.Now())}
	}
	n.mu.Unlock()
	if e != nil {
		_ = c.writeFrame(m.encode())
	}
}

// fullSummary covers all kinds and always names KindDaemon.
func (n *Node) fullSummary() []kindSummary { return n.store.summary(everyKind) }

// better decides between two connections to the same peer name alike at both
// ends: a later process wins over an earlier one, a new connection over a
// silent one or one of the same direction, and else the one that was dialled
// by the lesser name.
func (n *Node) better(c, old *conn) bool {
	if c.session.peer.Start != old.session.peer.Start {
		return c.session.peer.Start > old.session.peer.Start
	}
	if time.Since(old.lastHeard) > 2*n.cfg.Heartbeat || c.outbound == old.outbound {
		return true
	}
	return c.outbound == (n.cfg.Name < c.name())
}

func (n *Node) unregister(c *conn, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost := n.conns[c.name()] == c
	if lost {
		delete(n.conns, c.name())
	}
	for origin, via := range n.via {
		if via == c {
			delete(n.via, origin)
		}
	}
	if n.closing {
		return
	}
	if errors.IsAny(err, errMalformed, errUnauthentic) {
		n.rejected.Add(1)
		n.cfg.Events.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: c.name() + ": " + err.Error()})
	}
	if lost && !c.surplus {
		n.cfg.Events.Emit(eventlog.PeerLost, eventlog.Fields{Detail: c.name() + ": " + err.Error()})
	}
}

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
	interval, useful := LoadInterval(n.daemons(now), size, n.cfg.BytesPerSecond)
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
