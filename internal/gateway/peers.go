package gateway

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/membership"
	"github.com/verbenabend/verbenabend/internal/mirror"
	"github.com/verbenabend/verbenabend/internal/peerload"
)

const (
	// memberRefreshInterval is the interval between updates of the member list.
	memberRefreshInterval = 500 * time.Millisecond
	// loadInterval is the interval between load figures in a small cluster of
	// daemons; urgent updates are sent at once.
	loadInterval = 100 * time.Millisecond
	// minLoadInterval is the minimum interval between checks for due load
	// figures.
	minLoadInterval = 20 * time.Millisecond
	// loadFlushDelay is how long load figures are held back to share a frame
	// with others.
	loadFlushDelay = 5 * time.Millisecond
	// gossipFanOut is the number of peers that a daemon connects to. It covers
	// all peers of a small cluster, since every hop delays load figures.
	gossipFanOut = 7
	// gossipBytesPerSecond limits the rate at which a daemon sends to all
	// peers.
	gossipBytesPerSecond = 32 << 10
	// loadTTL is how long a peer's load figures are used.
	loadTTL = 3 * time.Second
	// peerHeartbeatInterval is the maximum interval between frames to a peer; a
	// peer that sends nothing for peerIdleTimeout is disconnected. Callers are
	// thus directed to a failed daemon for little longer than they cache
	// directory entries.
	peerHeartbeatInterval = 300 * time.Millisecond
	peerIdleTimeout       = time.Second
	// maxRedialBackoff limits the pause before a peer is dialled again.
	maxRedialBackoff = 1500 * time.Millisecond
	// readinessPollInterval is the interval between readiness checks.
	readinessPollInterval = 100 * time.Millisecond
	// sameRegionDelay and otherRegionDelay are the assumed one-way delays
	// between data centres, since the settings contain none.
	sameRegionDelay  = 4 * time.Millisecond
	otherRegionDelay = 15 * time.Millisecond
)

// delay returns the assumed one-way delay between data centres.
func (d *Daemon) delay(from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case d.regionOf(from) == d.regionOf(to):
		return sameRegionDelay
	default:
		return otherRegionDelay
	}
}

func (d *Daemon) regionOf(dataCentre string) string {
	return d.dynamic.Load().RegionByDataCentre[dataCentre]
}

func (d *Daemon) provisionPeers() error {
	socket, err := d.network.Listen(d.settings.GossipListen)
	if err != nil {
		return errors.Wrap(err, "listen for gossip")
	}
	listener := d.network.Descriptors.Listen(socket, gossipConns)
	node, err := gossip.New(gossip.Config{
		Name: d.settings.Name, DataCentre: d.settings.DataCentre, Address: d.settings.GossipListen, CallerAddress: d.settings.CallerListen,
		Keys: [][]byte{[]byte(d.settings.FleetKey)}, Seeds: d.gossipSeeds(), Discover: d.discoverPeers, Listener: listener, Events: d.log, BytesPerSecond: gossipBytesPerSecond, MinLoadInterval: loadInterval, MaxLoadInterval: maxLoadInterval, FlushInterval: loadFlushDelay, FanOut: gossipFanOut,
		SinceBoot: d.settings.SinceBoot, Heartbeat: peerHeartbeatInterval, IdleTimeout: peerIdleTimeout, MaxBackoff: maxRedialBackoff,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.network.Dial(ctx, "tcp", address)
		},
	})
	if err != nil {
		listener.Close()
		return err
	}
	d.gossipNode = node
	d.publishAvailability() // before peers hear of this daemon
	node.Subscribe(gossip.KindDaemon, func(gossip.Fact) { d.refreshMembers() })
	node.Subscribe(gossip.KindLoad, d.receiveLoad)
	node.Subscribe(gossip.KindAnnouncement, d.receiveAnnouncement)
	node.Subscribe(gossip.KindWeightSwitch, d.receiveSwitch)
	node.Subscribe(gossip.KindUnresponsive, d.receiveUnresponsive)
	node.Subscribe(gossip.KindGoalVersion, d.receiveGoal)
	node.Subscribe(gossip.KindStateRevision, d.receiveRevision)
	node.Subscribe(gossip.KindGoalRecord, d.receiveGoalRecord)
	node.Subscribe(gossip.KindRateLimit, d.receiveRateLimit)
	node.Subscribe(gossip.KindSoftware, d.receiveSoftware)
	return nil
}

// gossipSeeds returns the seeds' gossip addresses: all instances use the same
// ports.
func (d *Daemon) gossipSeeds() []string {
	return withPort(d.dynamic.Load().Seeds, d.settings.GossipListen, d.settings.GossipListen)
}

// withPort replaces the addresses' ports by that of portSource, and leaves out
// self.
func withPort(addresses []string, portSource, self string) []string {
	_, port, err := net.SplitHostPort(portSource)
	if err != nil {
		return nil // unreachable: the settings are validated
	}
	var out []string
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			continue
		}
		if a = net.JoinHostPort(host, port); a != self {
			out = append(out, a)
		}
	}
	return out
}

// peerAddresses returns the addresses at which other daemons serve their copies
// of the store's tables.
func (d *Daemon) peerAddresses() []string {
	out := withPort(d.members.PeerAddresses(), d.settings.PeerListen, d.settings.PeerListen)
	for _, seed := range withPort(d.dynamic.Load().Seeds, d.settings.PeerListen, d.settings.PeerListen) {
		if !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	return out
}

// copySources returns the other daemons that serve copies of the store's tables and stay.
func (d *Daemon) copySources() []mirror.Node {
	var out []mirror.Node
	for _, m := range d.members.Live() {
		if m.Name == d.settings.Name || m.Unresponsive || m.Draining && !m.Starting {
			continue
		}
		for _, address := range withPort([]string{m.PeerAddress}, d.settings.PeerListen, "") {
			out = append(out, mirror.Node{Name: m.Name, DataCentre: m.DataCentre, Address: address})
		}
	}
	return out
}

// refreshMembers updates the member list from gossip.
func (d *Daemon) refreshMembers() {
	d.members.SetGossiped(membership.FromFacts(d.gossipNode.Facts(gossip.KindDaemon), d.gossipNode.Unresponsive()))
	d.services.SetDaemonCount(len(d.members.Live()))
}

// entries returns the directory entries for callers in a data centre.
func (d *Daemon) entries(dataCentre string) []string {
	var out []string
	for _, m := range d.members.Entries(dataCentre, d.delay) {
		out = append(out, m.CallerAddress)
	}
	return out
}

// publishAvailability publishes to peers and the directory whether this daemon
// accepts callers.
func (d *Daemon) publishAvailability() {
	unavailable := d.draining.Load() || !d.everReady.Load()
	starting := unavailable && !d.draining.Load()
	d.members.UpdateSelf(func(m *membership.Member) { m.Draining, m.Starting = unavailable, starting })
	d.gossipNode.SetDraining(unavailable, starting)
}

// watchReadiness logs changes of the daemon's readiness. When the daemon
// becomes ready for the first time, it is added to the directory.
func (d *Daemon) watchReadiness(ctx context.Context) error {
	wasReady := false
	for {
		if ready := d.Ready(); ready != wasReady {
			wasReady = ready
			if ready {
				d.everReady.Store(true)
				d.publishAvailability()
				d.log.Emit(eventlog.DaemonReady, eventlog.Fields{})
			} else if !d.draining.Load() {
				d.log.Emit(eventlog.DaemonNotReady, eventlog.Fields{})
			}
		}
		if err := backoff.Sleep(ctx, readinessPollInterval); err != nil {
			return err
		}
	}
}

// publishLoads shares this daemon's load figures with peers, as often as the
// gossip bandwidth allows; urgent updates are sent at once. Where they do not fit, it
// announces long prompts instead.
func (d *Daemon) publishLoads(ctx context.Context) error {
	timer := time.NewTimer(time.Nanosecond)
	defer timer.Stop()
	for {
		shareDue := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.services.ShareDue():
			shareDue = true
		case <-timer.C:
		}
		now := time.Now()
		announcing := !d.gossipNode.LoadsFit(now)
		d.services.SetAnnouncing(announcing)
		if announcing {
			d.publishAnnouncements(now)
			shareDue = false
		}
		if shareDue || d.gossipNode.TimeUntilLoadDue(time.Now()) == 0 {
			d.gossipNode.PublishLoads(peerload.Facts(d.settings.Name, d.services.LoadsForPeers(), loadTTL), shareDue)
		}
		wait := max(minLoadInterval, d.gossipNode.TimeUntilLoadDue(time.Now()))
		if !d.gossipNode.LoadsFit(time.Now()) {
			wait = min(wait, announcementCheckInterval)
		}
		timer.Reset(wait)
	}
}

func (d *Daemon) receiveLoad(f gossip.Fact) {
	peer, service, ok := peerload.ParseFactID(f)
	if !ok {
		return
	}
	loads, err := peerload.Decode(f.Value, d.engineIndex(service))
	if err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "decode load figures from " + peer + ": " + err.Error()})
		return
	}
	d.services.ApplyPeerLoads(service, peer, loads)
}

// engineIndex maps the upstreams of a service in one registry snapshot.
type engineIndex struct {
	peerload.EngineIndex
	snapshot *fleet.RegistrySnapshot
}

// engineIndex returns the index of the current snapshot. Only gossip's
// goroutine calls it, so the cache needs no lock.
func (d *Daemon) engineIndex(service string) *engineIndex {
	snapshot := d.registry.Snapshot()
	if x := d.engineIndexes[service]; x != nil && x.snapshot == snapshot {
		return x
	}
	x := &engineIndex{EngineIndex: peerload.EngineIndex{}, snapshot: snapshot}
	for _, u := range snapshot.ByService[service] {
		x.Add(u.ID, u.Incarnation())
	}
	d.engineIndexes[service] = x
	return x
}
