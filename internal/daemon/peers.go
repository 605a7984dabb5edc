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
	// memberInterval is the pause between two looks at who is heard from.
	memberInterval = 250 * time.Millisecond
	// loadTTL is how long a peer's load figures are believed; gossip sends them
	// at least every 5 s or not at all.
	loadTTL = 6 * time.Second
	// An upstream's state is kept by peers that do not watch it for engineTTL,
	// and longer in a large fleet; watchers renew it at a third of that.
	minEngineTTL       = time.Minute
	maxEngineTTL       = 5 * time.Minute
	engineTTLPerDaemon = time.Second
	// untoldGrace is how long a daemon waits for a peer to tell of an upstream
	// before it asks the upstream itself.
	untoldGrace = 2 * time.Second
	// isolatedAfter is how long a daemon may reach neither the platform nor a
	// peer before it leaves the entries' answers.
	isolatedAfter = 5 * time.Second
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
		Listener: listener, Dial: d.network.dialPeer(), MaxVersion: d.network.PeerVersion, Events: d.log,
	})
	if err != nil {
		listener.Close()
		return err
	}
	d.node = node
	return nil
}

// subscribe takes in what peers tell; it needs all other parts provisioned.
func (d *Daemon) subscribe() {
	d.node.Subscribe(gossip.KindDaemon, func(gossip.Fact) { d.refreshMembers(context.Background()) })
	d.node.Subscribe(gossip.KindEngine, d.hearEngine)
	d.node.Subscribe(gossip.KindLoad, d.hearLoad)
}

// refreshMembers brings the view of the daemons up to date.
func (d *Daemon) refreshMembers(context.Context) {
	d.members.SetHeard(membership.FromFacts(d.node.Facts(gossip.KindDaemon), d.node.Silent()))
	d.dispatcher.SetPeers(len(d.members.Live()))
	d.updateIsolation(len(d.node.Peers()) > 0)
}

// updateIsolation notices when neither the platform nor a peer was reached for long.
func (d *Daemon) updateIsolation(peers bool) {
	now := time.Now()
	if peers || d.platformUp.Load() {
		d.contact.Store(now.UnixNano())
	}
	self := d.members.Self()
	isolated := now.Sub(time.Unix(0, d.contact.Load())) > isolatedAfter
	if isolated == self.Isolated {
		return
	}
	d.members.UpdateSelf(func(m *membership.Member) { m.Isolated = isolated })
	if isolated {
		d.log.Emit(eventlog.DaemonIsolated, eventlog.Fields{})
	}
}

// announce tells peers and the entries' answers whether callers may come: not
// before the daemon was ready once, and not while it drains.
func (d *Daemon) announce() {
	closed := d.draining.Load() || !d.opened.Load()
	d.members.UpdateSelf(func(m *membership.Member) { m.Draining = closed })
	d.node.SetDraining(closed)
}

// watched returns the upstreams that this daemon probes: those that rendezvous
// hashing assigns to it, and those of which nobody has told for a while.
func (d *Daemon) watched() []string {
	snapshot := d.fleet.Snapshot()
	var addresses, untold []string
	for address, u := range snapshot.ByAddress {
		addresses = append(addresses, address)
		if u.State == fleet.Unknown && time.Since(u.AddedAt) > untoldGrace {
			untold = append(untold, address)
		}
	}
	out := fleet.Watched(d.settings.Name, d.node.Peers(), addresses)
	for _, address := range untold {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// engineTTL returns the life of an upstream's state in a fleet of so many daemons.
func engineTTL(daemons int) time.Duration {
	return min(max(minEngineTTL, time.Duration(daemons)*engineTTLPerDaemon), maxEngineTTL)
}

// tellEngines publishes the state of watched upstreams that changed or whose
// fact is due for renewal.
func (d *Daemon) tellEngines() {
	snapshot := d.fleet.Snapshot()
	for _, address := range d.watched() {
		u := snapshot.ByAddress[address]
		if u == nil || u.State == fleet.Unknown {
			continue
		}
		value, err := msgpack.Marshal(fleet.PeerStateOf(u))
		if err != nil {
			continue
		}
		told := d.told[address]
		ttl := engineTTL(len(d.members.Live()))
		if string(value) == told.value && time.Since(told.at) < ttl/3 {
			continue
		}
		d.told[address] = toldEngine{value: string(value), at: time.Now()}
		d.node.Publish(gossip.Fact{Kind: gossip.KindEngine, ID: address, TTL: ttl, Value: value})
	}
}

// tellListed publishes upstreams that the list named for the first time, or
// said to be leaving, so that daemons hear of them before they read it again.
func (d *Daemon) tellListed(before, after *fleet.Snapshot) {
	if len(before.ByAddress) == 0 {
		return // a daemon that has just started tells nothing new
	}
	for address, u := range after.ByAddress {
		old := before.ByAddress[address]
		if old == nil || (u.State == fleet.Leaving && old.State != fleet.Leaving) {
			d.publishEngine(u)
		}
	}
}

func (d *Daemon) publishEngine(u *fleet.Upstream) {
	value, err := msgpack.Marshal(fleet.PeerStateOf(u))
	if err == nil {
		ttl := engineTTL(len(d.members.Live()))
		d.node.Publish(gossip.Fact{Kind: gossip.KindEngine, ID: u.Address, TTL: ttl, Value: value})
	}
}

// toldEngine is what this daemon last published of an upstream.
type toldEngine struct {
	value string
	at    time.Time
}

func (d *Daemon) hearEngine(f gossip.Fact) {
	var s fleet.PeerState
	if msgpack.Unmarshal(f.Value, &s) != nil {
		return
	}
	own := slices.Contains(fleet.Watched(d.settings.Name, d.node.Peers(), []string{f.ID}), f.ID)
	before := d.fleet.Snapshot().ByAddress[f.ID]
	d.fleet.ApplyPeerState(f.ID, s, own, time.Now())
	d.listed.Store(true)
	if after := d.fleet.Snapshot().ByAddress[f.ID]; before != nil && after != nil && before.State != after.State {
		d.emitState(after, after.State)
	}
}
