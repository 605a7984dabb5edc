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
	"github.com/verbenabend/verbenabend/internal/peerload"
)

const (
	// memberInterval is the pause between two looks at who is heard from.
	memberInterval = 500 * time.Millisecond
	// loadInterval is the pause between load figures in a small fleet; what
	// peers decide by is told at once.
	loadInterval = 100 * time.Millisecond
	// loadLook is the least pause between two looks whether load figures are due.
	loadLook = 20 * time.Millisecond
	// loadFlush is how long load figures wait for others to share their frame.
	loadFlush = 5 * time.Millisecond
	// gossipFanOut is the number of peers that a daemon connects to: all of a
	// small fleet, since each further hop delays load figures.
	gossipFanOut = 7
	// gossipBytes bounds what a daemon sends to peers, in bytes a second.
	gossipBytes = 32 << 10
	// loadLife is how long a peer's load figures are believed.
	loadLife = 3 * time.Second
	// peerHeartbeat is the longest pause between two frames to a peer, and
	// peerSilence how long none may come: callers must not be sent to a daemon
	// that is gone for much longer than they keep an answer of the directory.
	peerHeartbeat = 300 * time.Millisecond
	peerSilence   = time.Second
	// readinessInterval is the pause between two looks at the daemon's readiness.
	readinessInterval = 100 * time.Millisecond
	// sameRegionDelay and otherRegionDelay are assumed one way between data
	// centres; settings state none.
	sameRegionDelay  = 4 * time.Millisecond
	otherRegionDelay = 15 * time.Millisecond
)

// delay returns the presumed one-way delay between data centres.
func (d *Daemon) delay(from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case d.settings.RegionOf[from] == d.settings.RegionOf[to]:
		return sameRegionDelay
	default:
		return otherRegionDelay
	}
}

func (d *Daemon) provisionPeers() error {
	listener, err := d.network.Listen(d.settings.GossipListen)
	if err != nil {
		return errors.Wrap(err, "listen for gossip")
	}
	node, err := gossip.New(gossip.Config{
		Name: d.settings.Name, DataCentre: d.settings.DataCentre, Address: d.settings.GossipListen, CallerAddress: d.settings.CallerListen,
		Keys: [][]byte{[]byte(d.settings.FleetKey)}, Seeds: d.gossipSeeds(), Listener: listener, Events: d.log, BytesPerSecond: gossipBytes, LoadInterval: loadInterval, FlushInterval: loadFlush, FanOut: gossipFanOut,
		Heartbeat: peerHeartbeat, IdleTimeout: peerSilence,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.network.Dial(ctx, "tcp", address)
		},
	})
	if err != nil {
		listener.Close()
		return err
	}
	d.node = node
	node.Subscribe(gossip.KindDaemon, func(gossip.Fact) { d.refreshMembers() })
	node.Subscribe(gossip.KindLoad, d.hearLoad)
	node.Subscribe(gossip.KindSwitch, d.hearSwitch)
	node.Subscribe(gossip.KindSilent, d.hearSilent)
	node.Subscribe(gossip.KindGoal, d.hearGoal)
	return nil
}

// gossipSeeds are the seeds' addresses for gossip: ports are the same on all instances.
func (d *Daemon) gossipSeeds() []string {
	return withPort(d.settings.Seeds, d.settings.GossipListen, d.settings.GossipListen)
}

// withPort returns the addresses with the port of like, without self.
func withPort(addresses []string, like, self string) []string {
	_, port, err := net.SplitHostPort(like)
	if err != nil {
		return nil // settings were checked
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

// peerAddresses returns where other daemons serve their copies of the store's tables.
func (d *Daemon) peerAddresses() []string {
	out := withPort(d.members.PeerAddresses(), d.settings.PeerListen, d.settings.PeerListen)
	for _, seed := range withPort(d.settings.Seeds, d.settings.PeerListen, d.settings.PeerListen) {
		if !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	return out
}

// refreshMembers brings the view of the daemons up to date.
func (d *Daemon) refreshMembers() {
	d.members.SetHeard(membership.FromFacts(d.node.Facts(gossip.KindDaemon), d.node.Silent()))
	d.services.SetDaemons(len(d.members.Live()))
}

// entries returns the addresses for callers in a data centre.
func (d *Daemon) entries(dataCentre string) []string {
	var out []string
	for _, m := range d.members.Entries(dataCentre, d.delay) {
		out = append(out, m.CallerAddress)
	}
	return out
}

// announce tells peers and the directory whether callers may come.
func (d *Daemon) announce() {
	closed := d.draining.Load() || !d.opened.Load()
	d.members.UpdateSelf(func(m *membership.Member) { m.Draining = closed })
	d.node.SetDraining(closed)
}

// watchReadiness records each change of the daemon's readiness, and lets
// callers come when it is ready for the first time.
func (d *Daemon) watchReadiness(ctx context.Context) error {
	was := false
	for {
		if is := d.Ready(); is != was {
			was = is
			if is {
				d.opened.Store(true)
				d.announce()
				d.log.Emit(eventlog.DaemonReady, eventlog.Fields{})
			} else if !d.draining.Load() {
				d.log.Emit(eventlog.DaemonNotReady, eventlog.Fields{})
			}
		}
		if err := backoff.Sleep(ctx, readinessInterval); err != nil {
			return err
		}
	}
}

// tellLoads publishes what this daemon has at the upstreams, as often as gossip
// has room for it, and at once what peers decide by.
func (d *Daemon) tellLoads(ctx context.Context) error {
	timer := time.NewTimer(time.Nanosecond)
	defer timer.Stop()
	for {
		news := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.services.News():
			news = true
		case <-timer.C:
		}
		if news || d.node.LoadDue(time.Now()) == 0 {
			d.node.PublishLoads(peerload.Facts(d.settings.Name, d.services.Share(), loadLife), news)
		}
		timer.Reset(max(loadLook, d.node.LoadDue(time.Now())))
	}
}

func (d *Daemon) hearLoad(f gossip.Fact) {
	peer, service, ok := peerload.Origin(f)
	if !ok {
		return
	}
	loads, err := peerload.Decode(f.Value, d.engineIndex(service))
	if err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "load figures of " + peer + ": " + err.Error()})
		return
	}
	d.services.Learn(service, peer, loads)
}

// engineIndex holds the upstreams of a service, as of one snapshot.
type engineIndex struct {
	peerload.Index
	of *fleet.RegistrySnapshot
}

// engineIndex is called from gossip's one goroutine, so that the cache needs no lock.
func (d *Daemon) engineIndex(service string) *engineIndex {
	snapshot := d.registry.Snapshot()
	if x := d.indexes[service]; x != nil && x.of == snapshot {
		return x
	}
	x := &engineIndex{Index: peerload.Index{}, of: snapshot}
	for _, u := range snapshot.ByService[service] {
		x.Add(u.ID, u.Incarnation())
	}
	d.indexes[service] = x
	return x
}
