package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/membership"
)

const (
	// membershipInterval is how often the set of live daemons is updated.
	membershipInterval = 250 * time.Millisecond
	// peerLoadTTL is how long a peer's load figures are used. A live peer sends
	// them at least every 5 s.
	peerLoadTTL = 6 * time.Second
	// Peers that do not watch an upstream keep its published state for a TTL that
	// grows with the number of daemons, from minStateTTL to maxStateTTL. Watchers
	// renew the state after a third of the TTL.
	minStateTTL       = time.Minute
	maxStateTTL       = 5 * time.Minute
	stateTTLPerDaemon = time.Second
	// peerReportGrace is how long a daemon waits for a peer's report of an upstream
	// that it does not watch before it probes the upstream itself.
	peerReportGrace = 2 * time.Second
	// isolationTimeout is how long a daemon may reach neither the platform nor a
	// peer before it counts as isolated and is no longer listed as an entry.
	isolationTimeout = 5 * time.Second
)

func (d *Daemon) provisionPeers() error {
	listener, err := d.network.listen(d.settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	keys := [][]byte{[]byte(d.settings.FleetKey)}
	for _, k := range d.settings.PreviousFleetKeys {
		keys = append(keys, []byte(k))
	}
	node, err := gossip.New(gossip.Config{
		Name: d.settings.Name, DataCentre: d.settings.DataCentre,
		Address: d.settings.PeerAddress, CallerAddress: d.settings.CallerAddress,
		Keys: keys, Seeds: d.settings.Seeds, Discover: d.members.PeerAddresses,
		Listener: listener, Dial: d.network.dialPeer(), MaxVersion: d.network.MaxPeerVersion, Events: d.log,
	})
	if err != nil {
		listener.Close()
		return err
	}
	d.gossipNode = node
	return nil
}

// subscribe registers the handlers of gossip facts. It must be called after
// everything else is provisioned, since the handlers use it.
func (d *Daemon) subscribe() {
	d.gossipNode.Subscribe(gossip.KindDaemon, func(gossip.Fact) { d.refreshMembers(context.Background()) })
	d.gossipNode.Subscribe(gossip.KindEngine, d.receivePeerState)
	d.gossipNode.Subscribe(gossip.KindLoad, d.receivePeerLoad)
}

// refreshMembers updates the set of live daemons from gossip.
func (d *Daemon) refreshMembers(context.Context) {
	d.members.SetGossiped(membership.FromFacts(d.gossipNode.Facts(gossip.KindDaemon), d.gossipNode.Unresponsive()))
	d.dispatcher.SetDaemonCount(len(d.members.Live()))
	d.updateIsolation(len(d.gossipNode.Peers()) > 0)
}

// updateIsolation marks the daemon as isolated when neither the platform nor a
// peer was reachable for isolationTimeout, and clears the mark when one is.
func (d *Daemon) updateIsolation(hasPeers bool) {
	now := time.Now()
	if hasPeers || d.platformUp.Load() {
		d.lastContact.Store(now.UnixNano())
	}
	self := d.members.Self()
	isolated := now.Sub(time.Unix(0, d.lastContact.Load())) > isolationTimeout
	if isolated == self.Isolated {
		return
	}
	d.members.UpdateSelf(func(m *membership.Member) { m.Isolated = isolated })
	if isolated {
		d.log.Emit(eventlog.DaemonIsolated, eventlog.Fields{})
	}
}

// announceAvailability publishes whether the daemon accepts new callers, to peers
// and in GET /v1/entries: it does from its first readiness until it drains.
func (d *Daemon) announceAvailability() {
	unavailable := d.draining.Load() || !d.wasReady.Load()
	d.members.UpdateSelf(func(m *membership.Member) { m.Draining = unavailable })
	d.gossipNode.SetDraining(unavailable, false)
}

// watchedAddresses returns the upstreams that this daemon probes: those that
// rendezvous hashing assigns to it, and those whose state no peer has reported
// within peerReportGrace.
func (d *Daemon) watchedAddresses() []string {
	snapshot := d.fleet.Snapshot()
	var addresses, unreported []string
	for address, u := range snapshot.ByAddress {
		addresses = append(addresses, address)
		if u.State == fleet.Unknown && time.Since(u.AddedAt) > peerReportGrace {
			unreported = append(unreported, address)
		}
	}
	out := fleet.WatchedBy(d.settings.Name, d.gossipNode.Peers(), addresses)
	for _, address := range unreported {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// stateTTL returns the TTL of a published upstream state.
func stateTTL(daemons int) time.Duration {
	return min(max(minStateTTL, time.Duration(daemons)*stateTTLPerDaemon), maxStateTTL)
}

// publishWatchedStates publishes the states of watched upstreams that changed or
// are due for renewal.
func (d *Daemon) publishWatchedStates() {
	snapshot := d.fleet.Snapshot()
	for _, address := range d.watchedAddresses() {
		u := snapshot.ByAddress[address]
		if u == nil || u.State == fleet.Unknown {
			continue
		}
		encoded, err := msgpack.Marshal(fleet.PeerStateOf(u))
		if err != nil {
			continue
		}
		published := d.publishedStates[address]
		ttl := stateTTL(len(d.members.Live()))
		if string(encoded) == published.encoded && time.Since(published.at) < ttl/3 {
			continue
		}
		d.publishedStates[address] = publishedState{encoded: string(encoded), at: time.Now()}
		d.gossipNode.Publish(gossip.Fact{Kind: gossip.KindEngine, ID: address, TTL: ttl, Value: encoded})
	}
}

// publishListChanges publishes upstreams that the instance list newly contains or
// marks as leaving, so that peers learn of them before they read it again.
func (d *Daemon) publishListChanges(before, after *fleet.Snapshot) {
	if len(before.ByAddress) == 0 {
		return // after its start, all upstreams are new to a daemon but not to its peers
	}
	for address, u := range after.ByAddress {
		old := before.ByAddress[address]
		if old == nil || (u.State == fleet.Leaving && old.State != fleet.Leaving) {
			d.publishState(u)
		}
	}
}

func (d *Daemon) publishState(u *fleet.Upstream) {
	encoded, err := msgpack.Marshal(fleet.PeerStateOf(u))
	if err == nil {
		ttl := stateTTL(len(d.members.Live()))
		d.gossipNode.Publish(gossip.Fact{Kind: gossip.KindEngine, ID: u.Address, TTL: ttl, Value: encoded})
	}
}

// publishedState is the state of an upstream that this daemon published last.
type publishedState struct {
	encoded string
	at      time.Time
}

func (d *Daemon) receivePeerState(f gossip.Fact) {
	var state fleet.PeerState
	if msgpack.Unmarshal(f.Value, &state) != nil {
		return
	}
	watched := slices.Contains(fleet.WatchedBy(d.settings.Name, d.gossipNode.Peers(), []string{f.ID}), f.ID)
	before := d.fleet.Snapshot().ByAddress[f.ID]
	d.fleet.ApplyPeerState(f.ID, state, watched, time.Now())
	d.instancesKnown.Store(true)
	if after := d.fleet.Snapshot().ByAddress[f.ID]; before != nil && after != nil && before.State != after.State {
		d.emitStateChange(after, after.State)
	}
}
