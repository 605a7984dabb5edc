// Package gateway wires a daemon that forwards callers' requests on a platform
// whose store holds the desired state and the list of upstreams.
package gateway

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/inflight"
	"github.com/verbenabend/verbenabend/internal/membership"
	"github.com/verbenabend/verbenabend/internal/mirror"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/suspects"
	"github.com/verbenabend/verbenabend/internal/telemetry"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
)

// Rows decodes the rows of operators and upstreams.
type Rows interface {
	// State decodes the desired state; ok is false for other rows.
	State(key string, value []byte) (state routetable.State, ok bool, err error)
	// VersionGoal decodes the version of a model that operators want; ok is false for other rows.
	VersionGoal(key string, value []byte) (model string, version int, ok bool, err error)
	// Upstream decodes what an upstream states of itself.
	Upstream(id string, value []byte) (fleet.Registration, error)
}

// Platform is what an adapter offers.
type Platform struct {
	Table platform.Table
	Feed  platform.Feed
	// OperatorTable and UpstreamTable are names for Feed.
	OperatorTable string
	UpstreamTable string
	Rows          Rows
	Wire          forward.Wire
	// Switches gives orders for weights to engines, over the daemon's connections.
	Switches upstream.Switches
	// CacheEvents reads what engines cache, over the daemon's connections.
	CacheEvents upstream.CacheEvents
	// Directory serves callers that ask where to connect.
	Directory func(entries func(dataCentre string) []string, maxAge time.Duration) http.Handler
	// Ready serves the platform's question whether the daemon takes callers.
	Ready func(ready func() bool) http.Handler
}

const (
	// memoryPart is the part of the memory that Go's collector is told to stay
	// under; the rest is for what it does not count.
	memoryPart = 0.7
	// bodyPart is the part of the memory that callers' bodies may take.
	bodyPart = 0.2
	// callerConnPart is the part of the descriptors that callers' connections
	// may take; the rest is for upstreams, peers, the store and files.
	callerConnPart = 0.7
	// entryMaxAge is how long callers may keep an answer of the directory,
	// where the platform allows as long.
	entryMaxAge = time.Second
	// upstreamPause is the least time between two reads of the upstreams'
	// table, which changes with each heartbeat of each upstream.
	upstreamPause = 400 * time.Millisecond
	// upstreamWait and operatorWait bound how long the store holds a call open.
	// Some upstream's heartbeat changes its table within a second.
	upstreamWait = time.Second
	operatorWait = 20 * time.Second
	ringEvents   = 2048
)

// Daemon is one entry instance.
type Daemon struct {
	settings Settings
	platform Platform
	network  Network
	log      *eventlog.Log
	metrics  *telemetry.Metrics

	pool      *httpconn.Pool
	services  *forward.Services
	liveness  *forward.Liveness
	forwarder *forward.Forwarder
	suspects  *suspects.Book
	members   *membership.Members
	node      *gossip.Node
	operators *mirror.Mirror
	upstreams *mirror.Mirror
	registry  *fleet.Registry
	view      view

	callers, ready, directory, metricsServer *server
	peers                                    net.Listener

	draining atomic.Bool
	opened   atomic.Bool
	inFlight inflight.Counter
	// storeFailed is set while the store does not serve this daemon.
	storeFailed atomic.Bool
	leaseHeld   atomic.Bool
	indexes     map[string]*engineIndex // used by hearLoad only
}

// New returns a daemon that listens but does not serve yet. pool has the
// connections to upstreams.
func New(s Settings, p Platform, pool *httpconn.Pool, network Network, logger hclog.Logger) (*Daemon, error) {
	network = network.WithDefaults()
	d := &Daemon{
		settings: s, platform: p, network: network, metrics: telemetry.New(), log: eventlog.New(s.Name, logger, ringEvents),
		pool: pool, registry: fleet.NewRegistry(), indexes: map[string]*engineIndex{},
	}
	d.log.Observe(d.metrics.Event)
	d.platform.Table = timedTable{p.Table, d.metrics}
	d.services = forward.NewServices(forward.RetryLimits{Ratio: s.RetryRatio, Slack: s.RetrySlack}, func(dc string) time.Duration { return d.delay(s.DataCentre, dc) })
	d.liveness = forward.NewLiveness(network.Dial, d.livenessChanged, d.log)
	d.members = membership.New(membership.Member{Name: s.Name, DataCentre: s.DataCentre, CallerAddress: s.CallerListen, PeerAddress: s.GossipListen, Draining: true})
	if err := d.provisionPeers(); err != nil {
		return nil, err
	}
	d.suspects = suspects.New(s.Name, d.node, d.platform.Table, d.log, deathSpacing)
	d.forwarder = forward.New(forward.Config{
		Wire: p.Wire, Pool: d.pool, Services: d.services, Liveness: d.liveness, Log: d.log, Table: d.view.table.Load, Registry: d.registry.Snapshot,
		Suspects: suspectBook{d.suspects}, Learned: d.learnVersion, Ended: d.countOutcome, MaxBodyBytes: int64(bodyPart * float64(s.MemoryBytes)),
	})
	d.provisionMirrors()
	d.registerGauges()
	if err := d.listen(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) provisionMirrors() {
	peers := &mirror.Peers{Addresses: d.peerAddresses, Dial: d.network.Dial}
	reached := func(err error) { d.storeFailed.Store(err != nil) }
	// The upstreams' table changes all the time, so that a dead connection to the
	// store shows there first.
	recheck := func(err error) {
		if err != nil && !errors.Is(err, context.Canceled) {
			d.operators.Recheck()
		}
	}
	d.operators = mirror.New(mirror.Settings{
		Table: d.platform.OperatorTable, Wait: operatorWait, Adopted: d.adoptOperators, Reached: reached,
	}, d.platform.Feed, peers, d.log)
	d.upstreams = mirror.New(mirror.Settings{
		Table: d.platform.UpstreamTable, Wait: upstreamWait, Pause: upstreamPause, Expiring: true, Adopted: d.adoptUpstreams, Reached: recheck,
	}, d.platform.Feed, peers, d.log)
}

func (d *Daemon) listen() error {
	s := &d.settings
	var err error
	for _, x := range []struct {
		to      **server
		address string
		handler http.Handler
	}{
		{&d.callers, s.CallerListen, d.inFlight.Handler(d.forwarder, d.draining.Load)},
		{&d.ready, s.ReadyListen, d.platform.Ready(d.Ready)},
		{&d.directory, s.DirectoryListen, d.platform.Directory(d.entries, d.entryMaxAge())},
		{&d.metricsServer, s.MetricsListen, http.HandlerFunc(d.serveMetrics)},
	} {
		if x.address == "" {
			continue
		}
		if *x.to, err = newServer(d.network, x.address, x.handler); err != nil {
			return errors.Wrapf(err, "listen on %s", x.address)
		}
	}
	d.callers.maxConns = int64(callerConnPart * float64(s.MaxDescriptors))
	d.peers, err = d.network.Listen(s.PeerListen)
	return errors.Wrapf(err, "listen on %s", s.PeerListen)
}

func (d *Daemon) entryMaxAge() time.Duration { return min(entryMaxAge, d.settings.EntryMaxAge) }

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) { d.metrics.Write(w) }

// Ready reports whether the daemon takes callers.
func (d *Daemon) Ready() bool {
	return !d.draining.Load() && d.view.table.Load() != nil && d.upstreams.Synced()
}

// Run serves until ctx ends, then drains.
func (d *Daemon) Run(ctx context.Context) error {
	if d.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(d.settings.MemoryBytes)))
	}
	d.log.Emit(eventlog.DaemonStarted, eventlog.Fields{Detail: d.settings.CallerListen})
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	d.node.Start()
	for _, loop := range []func(context.Context) error{
		d.operators.Run, d.upstreams.Run, d.watchReadiness, d.switchWeights, d.followCaches, d.liveness.Run, d.suspects.Run,
		d.tellLoads, every(memberInterval, d.refreshMembers),
		func(ctx context.Context) error {
			return mirror.Serve(ctx, d.peers, map[string]*mirror.Mirror{d.platform.OperatorTable: d.operators, d.platform.UpstreamTable: d.upstreams})
		},
	} {
		group.Go(func() error { return ignoreEnd(loop(work)) })
	}
	for _, s := range d.servers() {
		group.Go(s.serve)
	}
	select {
	case <-ctx.Done():
		d.drain()
	case <-work.Done():
	}
	stop()
	d.close()
	err := group.Wait()
	d.log.Emit(eventlog.DaemonStopped, eventlog.Fields{})
	return err
}

func (d *Daemon) servers() []*server {
	var out []*server
	for _, s := range []*server{d.callers, d.ready, d.directory, d.metricsServer} {
		if s != nil {
			out = append(out, s)
		}
	}
	return out
}

func (d *Daemon) close() {
	for _, s := range d.servers() {
		s.close()
	}
	if d.peers != nil {
		d.peers.Close()
	}
	d.node.Close()
	d.services.Close()
	d.pool.Close()
}

func ignoreEnd(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
