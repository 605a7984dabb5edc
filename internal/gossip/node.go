package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

const (
	// tickInterval is the interval of a Node's maintenance of facts and connections.
	tickInterval = 250 * time.Millisecond
	// defaultTTL is the TTL of facts that are published without one.
	defaultTTL = time.Minute
	// closeTimeout bounds how long Close waits for queued frames to be sent.
	closeTimeout = 500 * time.Millisecond
	// requestTTL is how long a requested fact is not requested again.
	requestTTL = 2 * time.Second
)

// Node replicates facts between this daemon and its peers. It is safe for
// concurrent use.
type Node struct {
	cfg         Config
	clock       *eventlog.Clock
	startMicros uint64
	// bootedAt is the Config.SinceBoot at which the Node was created.
	bootedAt time.Duration

	sentBytes, receivedBytes, rejected, droppedLoads atomic.Int64

	mu     sync.Mutex
	store  *store
	budget *tokenBucket
	// conns holds at most one connection per peer name.
	conns        map[string]*conn
	inboundCount int
	seeds        []string
	// confirmed holds, by peer, the latest time at which this daemon sent what the peer is known
	// to have received since. Older ones than contactMemory are forgotten.
	confirmed  map[string]stamp
	dialStates map[string]*dialState
	// nameByAddress maps a dialled address to the name of the daemon there.
	nameByAddress map[string]string
	// treeParents maps an origin to the connection that first delivered its
	// newest periodic fact.
	treeParents map[string]*conn
	// requestedUntil maps key hashes to the time until which the facts are not
	// requested again.
	requestedUntil map[uint64]time.Time
	// lastGraft is when graft messages for an origin were last sent.
	lastGraft map[string]time.Time
	subs      []*subscription
	// ownInfo is the value of this daemon's own fact.
	ownInfo        DaemonInfo
	nextAnnounceAt time.Time
	// pendingLoads are this daemon's load figures that are not yet sent.
	pendingLoads map[factKey]bool
	nextLoadAt   time.Time
	// loadsPausedUntil is until when no load figures are sent because they did not fit.
	loadsPausedUntil time.Time
	// cachedMembers is the result of decodeMembers; it is current if membersValid.
	cachedMembers []member
	membersValid  bool
	// unresponsive holds a mark for each unresponsive daemon.
	unresponsive map[string]unresponsiveMark
	// witnesses holds what other daemons found unresponsive, unwitnessed what this one found
	// and has not told them yet.
	witnesses   map[string]witnessReports
	unwitnessed map[string]time.Time
	// lostPeers holds when the facts of daemons that had not stopped expired.
	lostPeers map[string]time.Time
	// superseded is set while a later process announces the same name.
	superseded bool
	closing    bool

	lastRejectionLog time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ Bus = (*Node)(nil)

// New returns a Node that is not started, or an error if cfg is invalid.
func New(cfg Config) (*Node, error) {
	cfg.applyDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	now := time.Now()
	n := &Node{
		cfg: cfg, clock: cfg.Events.Clock, startMicros: uint64(now.UnixMicro()), bootedAt: cfg.SinceBoot(),
		store: newStore(), budget: newTokenBucket(cfg.BytesPerSecond, cfg.BurstBytes, now),
		seeds: cfg.Seeds, confirmed: map[string]stamp{}, conns: map[string]*conn{}, dialStates: map[string]*dialState{}, nameByAddress: map[string]string{},
		treeParents: map[string]*conn{}, requestedUntil: map[uint64]time.Time{}, lastGraft: map[string]time.Time{}, pendingLoads: map[factKey]bool{}, unresponsive: map[string]unresponsiveMark{}, witnesses: map[string]witnessReports{}, unwitnessed: map[string]time.Time{}, lostPeers: map[string]time.Time{},
	}
	n.ownInfo = DaemonInfo{Start: n.startMicros, DataCentre: cfg.DataCentre, PeerAddress: cfg.Address, CallerAddress: cfg.CallerAddress}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n, nil
}

// Start starts to accept and dial peers.
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

// Close announces the shutdown to the peers, closes the listener and all
// connections, and waits for the Node's goroutines. It returns the error of
// closing the listener.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closing {
		n.mu.Unlock()
		return nil
	}
	n.ownInfo.Stopped = true
	n.announce(time.Now())
	n.closing = true
	conns := make([]*conn, 0, len(n.conns))
	for _, c := range n.conns {
		conns = append(conns, c)
		c.wakeWriter()
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
		c.close()
	}
	n.mu.Unlock()
	n.wg.Wait()
	return err
}

// SetSeeds replaces the seeds. Connections that the earlier ones led to stay.
func (n *Node) SetSeeds(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = addresses
}

// SetDraining announces whether the daemon is draining, and whether that is because it
// starts.
func (n *Node) SetDraining(draining, starting bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownInfo.Draining != draining || n.ownInfo.Starting != starting {
		n.ownInfo.Draining, n.ownInfo.Starting = draining, starting
		n.announce(time.Now())
	}
}

// Publish announces f to all daemons. A fact whose ID is empty or whose ID or
// Value is too long is dropped and counted in Stats.Rejected. A KindDaemon fact
// must be the daemon's own and hold a DaemonInfo; the Node renews it until it is
// closed. A fact without a version whose value is known and valid for more than
// half of its TTL is not announced again, so that several daemons can publish
// the same fact at the cost of one.
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
	info.Start = n.startMicros
	n.ownInfo = info
	n.announce(time.Now())
}

func (n *Node) publish(f Fact, now time.Time) {
	k := factKey{f.Kind, f.ID}
	if f.Version == 0 {
		if f.Kind != KindDaemon && n.store.hasFresh(k, f, now) {
			return
		}
		f.Version = n.store.nextVersion(k, uint64(n.clock.Now().Micros))
	}
	if n.store.put(f, now) == putIgnored {
		return
	}
	if f.Kind == KindLoad {
		n.pendingLoads[k] = true
		return
	}
	n.relay(k, f.Origin, nil, now)
}

// announce publishes this daemon's own fact.
func (n *Node) announce(now time.Time) {
	if n.superseded || n.closing {
		return
	}
	daemons := n.daemons(now)
	n.nextAnnounceAt = now.Add(refreshInterval(daemons, n.cfg.BytesPerSecond))
	f := Fact{Kind: KindDaemon, ID: n.cfg.Name, Origin: n.cfg.Name, TTL: daemonTTL(daemons, n.cfg.BytesPerSecond), Value: n.ownInfo.Encode()}
	n.publish(f, now)
}

// daemons returns the number of live daemons, including this one.
func (n *Node) daemons(now time.Time) int { return 1 + len(n.members(now)) }

// Subscribe calls fn, one call at a time, for each fact of kind that a peer
// published. KindDaemon facts that only renew a known one are not delivered: in
// a large fleet there are dozens of them a second. The known fact of a daemon is
// delivered again when the daemon becomes unresponsive or responsive.
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
	n.spawn(func() { s.deliver(n.ctx.Done()) })
}

// Facts returns the facts of kind that have not expired.
func (n *Node) Facts(kind Kind) []Fact {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.facts(kind, time.Now())
}

// Peers returns the names of the other daemons whose own fact has not expired
// and that have not stopped.
func (n *Node) Peers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, m := range n.members(time.Now()) {
		out = append(out, m.name)
	}
	return out
}

// members returns the live daemons other than this one, ordered by name. The
// list is cached until a daemon's own fact changes or expires, so callers must
// not modify it.
func (n *Node) members(now time.Time) []member {
	if !n.membersValid {
		n.cachedMembers = n.decodeMembers(now)
		n.membersValid = true
	}
	return n.cachedMembers
}

func (n *Node) decodeMembers(now time.Time) []member {
	var out []member
	for _, f := range n.store.facts(KindDaemon, now) {
		info, err := DecodeDaemonInfo(f.Value)
		if err == nil && !info.Stopped && f.ID != n.cfg.Name {
			out = append(out, member{name: f.ID, dataCentre: info.DataCentre, address: info.PeerAddress})
		}
	}
	return sortMembers(out)
}

// Stats are a Node's counters since its creation and its current state.
type Stats struct {
	// SentBytes and ReceivedBytes exclude handshakes.
	SentBytes, ReceivedBytes int64
	// Rejected counts rejected peers and frames, and invalid facts passed to Publish.
	Rejected int64
	// DroppedLoads counts load figures that were dropped for lack of send budget.
	DroppedLoads int64
	Facts        int
	Outbound     int
	Inbound      int
	// Superseded reports whether a later process announces the same name.
	Superseded bool
}

func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Stats{
		SentBytes: n.sentBytes.Load(), ReceivedBytes: n.receivedBytes.Load(), Rejected: n.rejected.Load(),
		DroppedLoads: n.droppedLoads.Load(), Facts: len(n.store.byKey), Superseded: n.superseded,
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
