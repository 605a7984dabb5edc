package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

const (
	// tickInterval is how often a Node looks after its facts and connections.
	tickInterval = 250 * time.Millisecond
	// defaultTTL is the life of facts that are published without one.
	defaultTTL = time.Minute
	// closeTimeout bounds how long Close waits for the last frames.
	closeTimeout = 500 * time.Millisecond
	// wantLife is how long a fact that was asked for is not asked for again.
	wantLife = 2 * time.Second
)

// Node is a Board that shares its facts with other daemons. It is safe for
// concurrent use.
type Node struct {
	cfg   Config
	clock *eventlog.Clock
	start uint64

	sent, received, rejected, droppedLoad atomic.Int64

	mu     sync.Mutex
	store  *store
	budget *bucket
	// conns holds one connection a peer name.
	conns   map[string]*conn
	inbound int
	dials   map[string]*dial
	// aliases maps an address that was dialled to the name that answered.
	aliases map[string]string
	// via names the connection that first delivered an origin's newest fact.
	via    map[string]*conn
	wanted map[uint64]time.Time
	// grafted is when an origin's facts were last asked for again.
	grafted map[string]time.Time
	subs    []*subscription
	// info is what the daemon says of itself.
	info      DaemonInfo
	refreshAt time.Time
	// loads are own load figures that wait for their turn.
	loads  map[factKey]bool
	loadAt time.Time
	// memberList is the result of readMembers while membersKnown.
	memberList   []member
	membersKnown bool
	// silent holds the daemons that do not answer, with the version of the last
	// word that was heard of each.
	silent map[string]uint64
	// displaced is set when a later process has the same name.
	displaced bool
	closing   bool
	// rejectedAt is when a rejected peer was last logged.
	rejectedAt time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ Board = (*Node)(nil)

// New returns a Node that does nothing until Start.
func New(cfg Config) (*Node, error) {
	cfg.provision()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	now := time.Now()
	n := &Node{
		cfg: cfg, clock: cfg.Events.Clock, start: uint64(now.UnixMicro()),
		store: newStore(), budget: newBucket(cfg.BytesPerSecond, cfg.BurstBytes, now),
		conns: map[string]*conn{}, dials: map[string]*dial{}, aliases: map[string]string{},
		via: map[string]*conn{}, wanted: map[uint64]time.Time{}, grafted: map[string]time.Time{}, loads: map[factKey]bool{}, silent: map[string]uint64{},
	}
	n.info = DaemonInfo{Start: n.start, DataCentre: cfg.DataCentre, PeerAddress: cfg.Address, CallerAddress: cfg.CallerAddress}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n, nil
}

// Start begins to accept and to dial peers.
func (n *Node) Start() {
	n.mu.Lock()
	n.announce(time.Now())
	n.mu.Unlock()
	n.spawn(n.accept)
	n.spawn(n.maintain)
}

func (n *Node) spawn(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// Close tells the peers that the daemon stops, closes all connections and
// waits for all of the Node's goroutines.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closing {
		n.mu.Unlock()
		return nil
	}
	n.info.Stopped = true
	n.announce(time.Now())
	n.closing = true
	conns := make([]*conn, 0, len(n.conns))
	for _, c := range n.conns {
		conns = append(conns, c)
		c.signal()
	}
	n.mu.Unlock()
	err := n.cfg.Listener.Close()
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	for _, c := range conns {
		select {
		case <-c.done:
		case <-timeout.C:
			timeout.Reset(time.Nanosecond)
		}
	}
	n.cancel()
	n.mu.Lock()
	for _, c := range n.conns {
		c.shut()
	}
	n.mu.Unlock()
	n.wg.Wait()
	return err
}

// SetDraining tells the peers whether the daemon still takes new callers.
func (n *Node) SetDraining(draining bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.info.Draining != draining {
		n.info.Draining = draining
		n.announce(time.Now())
	}
}

// Publish implements Board. Facts whose ID or Value is too long are dropped.
// A KindDaemon fact of the daemon itself must hold a DaemonInfo; the Node
// renews it until it is closed. A fact without a version whose value is known
// and lives for at least half of its TTL is not announced again, so that
// several daemons may tell the same at the cost of one.
func (n *Node) Publish(f Fact) {
	if f.ID == "" || len(f.ID) > maxIDBytes || len(f.Value) > MaxValueBytes {
		n.rejected.Add(1)
		return
	}
	f.Origin = n.cfg.Name
	if f.TTL <= 0 {
		f.TTL = defaultTTL
	}
	f.TTL = min(f.TTL, maxTTL)
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.Kind == KindDaemon {
		n.publishDaemon(f)
		return
	}
	n.publish(f, time.Now())
}

func (n *Node) publishDaemon(f Fact) {
	info, err := DecodeDaemonInfo(f.Value)
	if err != nil || f.ID != n.cfg.Name {
		n.rejected.Add(1)
		return
	}
	info.Start = n.start
	n.info = info
	n.announce(time.Now())
}

func (n *Node) publish(f Fact, now time.Time) {
	k := factKey{f.Kind, f.ID}
	if f.Version == 0 {
		if f.Kind != KindDaemon && n.store.fresh(k, f, now) {
			return
		}
		f.Version = n.store.nextVersion(k, uint64(n.clock.Now().Micros))
	}
	if n.store.put(f, now) == putIgnored {
		return
	}
	if f.Kind == KindLoad {
		n.loads[k] = true
		return
	}
	n.relay(k, f.Origin, nil, now)
}

// announce publishes what the daemon says of itself.
func (n *Node) announce(now time.Time) {
	if n.displaced || n.closing {
		return
	}
	refresh := refreshInterval(n.daemons(now))
	n.refreshAt = now.Add(refresh)
	f := Fact{Kind: KindDaemon, ID: n.cfg.Name, Origin: n.cfg.Name, TTL: refreshesPerTTL * refresh, Value: n.info.Encode()}
	n.publish(f, now)
}

// daemons counts the live daemons, this one included.
func (n *Node) daemons(now time.Time) int { return 1 + len(n.members(now)) }

// Subscribe implements Board. KindDaemon facts that only renew what is known
// are not delivered: in a large fleet there are dozens a second. What is known
// of a daemon is delivered again when it falls silent or is heard from anew.
func (n *Node) Subscribe(kind Kind, fn func(Fact)) {
	s := newSubscription(kind, fn)
	n.mu.Lock()
	var known []Fact
	for _, f := range n.store.facts(kind, time.Now()) {
		if f.Origin != n.cfg.Name {
			known = append(known, f)
		}
	}
	n.subs = append(n.subs, s)
	n.mu.Unlock()
	for _, f := range known {
		fn(f)
	}
	n.spawn(func() { s.run(n.ctx.Done()) })
}

// Facts implements Board.
func (n *Node) Facts(kind Kind) []Fact {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.facts(kind, time.Now())
}

// Peers implements Board: the daemons whose own fact has not expired and that
// did not stop.
func (n *Node) Peers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, m := range n.members(time.Now()) {
		out = append(out, m.name)
	}
	return out
}

// members returns the live daemons but this one, ordered by name. The list is
// kept until a daemon's own fact changes or expires; it must not be changed.
func (n *Node) members(now time.Time) []member {
	if !n.membersKnown {
		n.memberList = n.readMembers(now)
		n.membersKnown = true
	}
	return n.memberList
}

func (n *Node) readMembers(now time.Time) []member {
	var out []member
	for _, f := range n.store.facts(KindDaemon, now) {
		info, err := DecodeDaemonInfo(f.Value)
		if err == nil && !info.Stopped && f.ID != n.cfg.Name {
			out = append(out, member{name: f.ID, dataCentre: info.DataCentre, address: info.PeerAddress})
		}
	}
	return sortMembers(out)
}

// Stats counts what a Node did since it was made.
type Stats struct {
	// SentBytes and ReceivedBytes count frames, without those of handshakes.
	SentBytes, ReceivedBytes int64
	// Rejected counts peers, frames and own facts that were refused.
	Rejected int64
	// DroppedLoad counts load figures that the byte budget had no room for.
	DroppedLoad int64
	Facts       int
	Outbound    int
	Inbound     int
	// Displaced tells that a later process has the same name.
	Displaced bool
}

// Stats returns the Node's counters.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Stats{
		SentBytes: n.sent.Load(), ReceivedBytes: n.received.Load(), Rejected: n.rejected.Load(),
		DroppedLoad: n.droppedLoad.Load(), Facts: len(n.store.byKey), Displaced: n.displaced,
	}
	for _, c := range n.conns {
		if c.outbound {
			s.Outbound++
		} else {
			s.Inbound++
		}
	}
	return s
}
