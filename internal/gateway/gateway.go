// Package gateway assembles a daemon that proxies callers' requests on a
// platform whose store holds the desired state and the registry of upstreams.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/verbenabend/verbenabend/internal/boottime"
	"github.com/verbenabend/verbenabend/internal/descriptor"
	"github.com/verbenabend/verbenabend/internal/discovery"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/inflight"
	"github.com/verbenabend/verbenabend/internal/membership"
	"github.com/verbenabend/verbenabend/internal/mirror"
	"github.com/verbenabend/verbenabend/internal/peerload"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/rollout"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/storeclock"
	"github.com/verbenabend/verbenabend/internal/streamorigin"
	"github.com/verbenabend/verbenabend/internal/suspects"
	"github.com/verbenabend/verbenabend/internal/telemetry"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
)

// RowDecoder decodes the rows that operators and upstreams write.
type RowDecoder interface {
	// State decodes a desired state; ok is false for rows of other kinds.
	State(key string, value []byte) (state routetable.State, ok bool, err error)
	// VersionGoal decodes the goal version of a model's weights; ok is false
	// for rows of other kinds.
	VersionGoal(key string, value []byte) (model string, version int, ok bool, err error)
	// Upstream decodes an upstream's registration.
	Upstream(id string, value []byte) (fleet.Registration, error)
}

// Platform holds a platform adapter's implementations.
type Platform struct {
	Table platform.Table
	Feed  platform.Feed
	// Shared is a table that all daemons follow. It holds the rows of quarantined and suspected
	// requests and prompt parts, and the addresses of some daemons.
	Shared platform.Table
	// Operators is the operators' table, which may only be read, and VersionGoalPrefix
	// what the keys of its goal versions begin with.
	Operators         platform.Table
	VersionGoalPrefix string
	// OperatorTable, UpstreamTable and SharedTable are table names in Feed.
	OperatorTable string
	UpstreamTable string
	SharedTable   string
	Rows          RowDecoder
	Wire          forward.HeaderCodec
	// Switches sends weight switch orders to engines, over the daemon's
	// connections.
	Switches upstream.Switches
	// CacheChangeReader reads engines' cache events, over the daemon's connections.
	CacheChangeReader upstream.CacheChangeReader
	// DirectoryHandler returns the handler that tells callers the addresses of
	// daemons.
	DirectoryHandler func(entries func(dataCentre string) []string, maxAge time.Duration) http.Handler
	// ReadinessHandler returns the handler for the platform's readiness checks.
	ReadinessHandler func(ready func() bool) http.Handler
}

const (
	// memoryLimitFraction is the fraction of the memory set as Go's memory
	// limit; the rest is for memory that the runtime does not count.
	memoryLimitFraction = 0.7
	// bodyMemoryFraction is the fraction of the memory available to request
	// bodies.
	bodyMemoryFraction = 0.3
	// responseMemoryFraction is the fraction available to parts of responses that are not
	// relayed yet. Go's heap takes up to three times as much while they grow.
	responseMemoryFraction = 0.1
	// slowReaderMemoryFraction replaces responseMemoryFraction where callers may read slowly: the
	// queues for them are released block by block, so that Go's heap takes less besides.
	slowReaderMemoryFraction = 0.2
	// slowUpstreamTimeout is how long an upstream that may read slowly can leave sent bytes
	// unread. Requests end at their deadlines, and probes find dead upstreams sooner.
	slowUpstreamTimeout = 30 * time.Second
	// defaultEntryMaxAge is how long callers may cache directory entries,
	// unless the platform's maximum is shorter.
	defaultEntryMaxAge = time.Second
	// upstreamReadInterval is the minimum interval between reads of the
	// upstream table, which every heartbeat of every upstream changes.
	upstreamReadInterval = 400 * time.Millisecond
	// sharedReadInterval is the minimum interval between reads of the shared rows,
	// which change fast while gossip fails and engines crash.
	sharedReadInterval = 400 * time.Millisecond
	// upstreamMaxWait and operatorMaxWait limit a long poll at the store.
	upstreamMaxWait = time.Second
	operatorMaxWait = 20 * time.Second
	// defaultChangeTimeLimit is the default of Settings.ChangeTimeLimit.
	defaultChangeTimeLimit = 2 * time.Second
	// defaultUpstreamReportInterval is the default of Settings.UpstreamReportInterval.
	defaultUpstreamReportInterval = 1200 * time.Millisecond
	// firstStartHold and restartHold are how long a daemon that knows no other waits for
	// peers before it reads the store. At the first start machines come up one by one;
	// after a loss of power peers are there at once or not at all.
	firstStartHold = 400 * time.Millisecond
	restartHold    = 50 * time.Millisecond
	// minFollowingFleet is the number of daemons from which on few read the store.
	minFollowingFleet = 10
	// localSources and globalSources are how many daemons of its data centre and of all a
	// daemon may follow, one after the other.
	localSources, globalSources = 2, 3
	eventRingSize               = 2048
)

// Daemon is one daemon serving callers on an instance.
type Daemon struct {
	settings Settings
	// dynamic replaces the DynamicSettings of settings.
	dynamic  atomic.Pointer[DynamicSettings]
	platform Platform
	network  Network
	log      *eventlog.Log
	metrics  *telemetry.Metrics

	pool           *httpconn.Pool
	services       *forward.Services
	liveness       *forward.Liveness
	forwarder      *forward.Forwarder
	suspects       *suspects.Registry
	promptParts    *suspects.Parts
	members        *membership.Members
	gossipNode     *gossip.Node
	discovery      *discovery.Registry
	operatorMirror *mirror.Mirror
	upstreamMirror *mirror.Mirror
	// sharedMirror is the copy of the shared table.
	sharedMirror *mirror.Mirror
	// recordMirror is a copy of the row under goalRecordKey, as it was last read or written.
	recordMirror *mirror.Mirror
	// copies keeps the mirrors up to date from those of another daemon.
	copies   *mirror.Follower
	registry *fleet.Registry
	view     view

	callerServer, readinessServer, directoryServer, metricsServer *server
	peerListener                                                  net.Listener

	draining  atomic.Bool
	everReady atomic.Bool
	inFlight  inflight.Counter
	// storeFailedSince is when reads of the operators' table from the store began to
	// fail; nil while they do not.
	storeFailedSince atomic.Pointer[time.Time]
	leaseHeld        atomic.Bool
	rateFacts        rateFacts
	allowances       *allowances
	// expiredEngines counts the engines left out because of their weights.
	expiredEngines atomic.Int64
	engineIndexes  map[string]*engineIndex // used by receiveLoad only
	// announcer is used by publishLoads only, the next two by receiveAnnouncement only.
	announcer            *peerload.Announcer
	announcementReceiver *peerload.AnnouncementReceiver
	announcedSnapshot    *fleet.RegistrySnapshot
	goalQueue            *delayQueue[rollout.Goal]
	reportQueue          *delayQueue[goalReport]
	revisionQueue        *delayQueue[uint64]
	newsQueue            *delayQueue[operatorNews]
	goalRecorder         *goalRecorder
	storeClock           *storeclock.Clock
	eras                 *platform.Eras
	origins              *streamorigin.Keeper
	descriptors          descriptorWatch
	startedAt            time.Time
}

// New returns a daemon that listens but does not serve yet. pool holds the
// connections to upstreams.
func New(s Settings, p Platform, pool *httpconn.Pool, network Network, logger hclog.Logger) (*Daemon, error) {
	network = network.WithDefaults()
	if s.SinceBoot == nil {
		s.SinceBoot = boottime.Now
	}
	if s.ChangeTimeLimit == 0 {
		s.ChangeTimeLimit = defaultChangeTimeLimit
	}
	if s.UpstreamReportInterval == 0 {
		s.UpstreamReportInterval = defaultUpstreamReportInterval
	}
	d := &Daemon{
		settings: s, platform: p, network: network, metrics: telemetry.New(), log: eventlog.New(s.Name, logger, eventRingSize),
		pool: pool, registry: fleet.NewRegistry(), engineIndexes: map[string]*engineIndex{}, announcer: peerload.NewAnnouncer(time.Now(), s.Name, rand.Uint64()), announcementReceiver: peerload.NewAnnouncementReceiver(), goalQueue: newDelayQueue[rollout.Goal](), reportQueue: newDelayQueue[goalReport](), revisionQueue: newDelayQueue[uint64](), newsQueue: newDelayQueue[operatorNews](),
		goalRecorder: newGoalRecorder(), startedAt: time.Now(),
	}
	d.storeClock = storeclock.New(s.SinceBoot, func(by time.Duration) {
		d.log.Emit(eventlog.StoreClockSetBack, eventlog.Fields{Detail: "by " + by.String()})
	})
	d.log.Observe(d.metrics.CountEvent)
	d.allowances = newAllowances(d)
	d.eras = platform.ErasOf(p.Table)
	timed := func(t platform.Table) platform.Table {
		return timedTable{t, d.metrics, d.storeClock, d.noteStoreAnswer}
	}
	d.platform.Table = timed(p.Table)
	d.platform.Feed = clockedFeed{p.Feed, d.storeClock}
	d.platform.Shared = timed(p.Shared)
	d.platform.Operators = timed(p.Operators)
	d.services = forward.NewServices(forward.RetryLimits{Ratio: s.RetryRatio, Slack: s.RetrySlack}, func(dc string) time.Duration { return d.delay(s.DataCentre, dc) })
	d.services.SetTriageMode(s.Triage)
	d.liveness = forward.NewLiveness(network.DialProbe, d.livenessChanged, d.log)
	d.members = membership.New(membership.Member{Name: s.Name, DataCentre: s.DataCentre, CallerAddress: s.CallerListen, PeerAddress: s.GossipListen, Draining: true})
	d.dynamic.Store(&s.DynamicSettings)
	d.provisionDiscovery()
	if err := d.provisionPeers(); err != nil {
		return nil, err
	}
	d.suspects = suspects.New(s.Name, d.gossipNode, d.platform.Shared, d.log, minCrashInterval)
	d.suspects.FollowRows(d.gossipNode.IsAlone)
	d.promptParts = suspects.NewParts(s.Name, d.gossipNode, d.gossipNode.MayMissPeers, d.platform.Shared, d.log, minCrashInterval)
	responseMemory := responseMemoryFraction
	if s.SlowReaders {
		responseMemory = slowReaderMemoryFraction
		d.pool.SetSlowUpstreams(slowUpstreamTimeout, socketBufferBytes)
	}
	d.provisionStreamOrigins()
	d.forwarder = forward.New(forward.Config{
		SlowReaders: s.SlowReaders, OnSlowReader: d.metrics.CountSlowReader, OnUploadDiverted: d.metrics.CountUploadDiverted, OnWithdrawn: d.metrics.CountWithdrawn,
		Headers: p.Wire, Pool: d.pool, Services: d.services, Liveness: d.liveness, Log: d.log, Table: d.view.table.Load, Registry: d.registry.Snapshot, UsableUntil: d.usableUntil,
		Allowances: d.allowances, Origins: d.origins, Suspects: suspectTracker{d.suspects}, PromptParts: promptPartTracker{d.promptParts}, OnWeightsVersion: d.learnVersion, OnLeaving: d.recordLeaving, OnRateLimit: d.announceRateLimit, OnRateLimited: d.metrics.CountRateLimited, OnTriage: d.countTriage, OnMalformedRateLimit: d.metrics.CountMalformedRateLimit, OnOutcome: d.countOutcome, MaxBodyBytes: int64(bodyMemoryFraction * float64(s.MemoryBytes)), MaxResponseBytes: int64(responseMemory * float64(s.MemoryBytes)),
	})
	d.provisionMirrors()
	d.eras.OnRestore(d.storeRestored)
	d.registerGauges()
	d.registerDescriptorGauges()
	if err := d.listen(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) provisionMirrors() {
	peers := &mirror.Peers{Addresses: d.peerAddresses, Dial: d.network.Dial}
	// The upstream table changes all the time, so reads of it are the first to
	// reveal a dead connection to the store.
	recheck := func(err error) {
		if err != nil && !errors.Is(err, context.Canceled) {
			d.operatorMirror.Recheck()
			d.sharedMirror.Recheck()
		}
	}
	d.operatorMirror = mirror.New(mirror.Settings{
		Table: d.platform.OperatorTable, MaxWait: operatorMaxWait, MaxAge: d.settings.ChangeTimeLimit, IsNewer: d.isNewerOperatorRow, OnChange: d.applyOperatorRows, OnStoreRead: d.recordStoreRead,
	}, d.platform.Feed, peers, d.log)
	d.upstreamMirror = mirror.New(mirror.Settings{
		Table: d.platform.UpstreamTable, MaxWait: upstreamMaxWait, MaxAge: d.settings.ChangeTimeLimit, MinInterval: upstreamReadInterval, SoleMinInterval: 2 * upstreamReadInterval, RenewalInterval: d.settings.UpstreamReportInterval, OnChange: d.applyUpstreamRows, OnStoreRead: recheck,
	}, d.platform.Feed, peers, d.log)
	d.sharedMirror = mirror.New(mirror.Settings{
		Table: d.platform.SharedTable, MaxWait: operatorMaxWait, MinInterval: sharedReadInterval, OnChange: d.applySharedRows,
	}, d.platform.Feed, peers, d.log)
	d.recordMirror = mirror.New(mirror.Settings{
		Table: goalRecordKey, MaxWait: recordMaxWait, OnChange: func(rows map[string]platform.Change, _ mirror.Read) { d.applyRecordRows(rows) },
	}, goalRecordFeed{d.platform.Table, d.eras}, peers, d.log)
	d.copies = mirror.NewFollower(mirror.FollowerSettings{
		Self: mirror.Node{Name: d.settings.Name, DataCentre: d.settings.DataCentre, Address: d.settings.PeerListen}, Others: d.copySources, StartHold: d.startHold(),
		Policy:      mirror.RankedSources{MinFleet: minFollowingFleet, Local: localSources, Global: globalSources},
		StartPolicy: mirror.RankedSources{Local: localSources, Global: globalSources}, Dial: d.network.Dial, Clock: d.storeClock, Eras: d.eras, Protocols: map[string]func(net.Conn, string){allowanceProtocol: d.allowances.serve, originProtocol: d.answerOrigin},
	}, d.log, d.operatorMirror, d.upstreamMirror, d.sharedMirror, d.recordMirror)
}

// startHold returns how long a started daemon waits for peers before it reads the store.
func (d *Daemon) startHold() time.Duration {
	switch {
	case len(d.gossipSeeds()) == 0:
		return 0
	case d.settings.FirstStart:
		return firstStartHold
	default:
		return restartHold
	}
}

// noteStoreAnswer notes that the store answered a call other than those for the copies.
func (d *Daemon) noteStoreAnswer(sentAt time.Duration, readAt platform.StoreTime) {
	if d.copies != nil { // while the daemon is provisioned
		d.copies.ObserveAnswer(sentAt, readAt)
	}
}

// recordStoreRead records whether a read of the operators' table failed.
func (d *Daemon) recordStoreRead(err error) {
	if err == nil {
		d.storeFailedSince.Store(nil)
		return
	}
	now := time.Now()
	d.storeFailedSince.CompareAndSwap(nil, &now)
}

func (d *Daemon) listen() error {
	s := &d.settings
	var err error
	for _, spec := range []struct {
		to      **server
		address string
		group   descriptor.Group
		handler http.Handler
	}{
		{&d.callerServer, s.CallerListen, callerConns, d.inFlight.Handler(d.forwarder, d.draining.Load)},
		{&d.readinessServer, s.ReadyListen, readinessConns, d.platform.ReadinessHandler(d.Ready)},
		{&d.directoryServer, s.DirectoryListen, directoryConns, d.platform.DirectoryHandler(d.entries, d.entryMaxAge())},
		{&d.metricsServer, s.MetricsListen, metricsConns, http.HandlerFunc(d.serveMetrics)},
	} {
		if spec.address == "" {
			continue
		}
		network := d.network
		if s.SlowReaders && spec.to == &d.callerServer {
			network = network.bounded()
		}
		if *spec.to, err = newServer(network, spec.address, spec.group, spec.handler); err != nil {
			return errors.Wrapf(err, "listen on %s", spec.address)
		}
	}
	listener, err := d.network.Listen(s.PeerListen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.PeerListen)
	}
	d.peerListener = d.network.Descriptors.Listen(listener, copyConns)
	return nil
}

func (d *Daemon) entryMaxAge() time.Duration { return min(defaultEntryMaxAge, d.settings.EntryMaxAge) }

func (d *Daemon) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.URL.Path == ExplainPath {
		d.serveExplain(w, r)
		return
	}
	d.metrics.Write(w)
}

// Ready reports whether the daemon accepts callers.
func (d *Daemon) Ready() bool {
	agesKnown := d.goalRecorder.read.Load() || time.Since(d.startedAt) >= maxGoalRecordWait
	return !d.draining.Load() && d.view.table.Load() != nil && d.upstreamMirror.Synced() && agesKnown
}

// Run serves until ctx ends, then drains and closes the daemon.
func (d *Daemon) Run(ctx context.Context) error {
	if d.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(d.settings.MemoryBytes)))
	}
	d.log.Emit(eventlog.DaemonStarted, eventlog.Fields{Detail: d.settings.CallerListen})
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	d.gossipNode.Start()
	for _, loop := range []func(context.Context) error{
		d.copies.Run, d.operatorMirror.Run, d.upstreamMirror.Run, d.sharedMirror.Run, d.recordMirror.Run, d.promptParts.Run, d.watchReadiness, d.switchWeights, d.followCaches, d.liveness.Run, d.suspects.Run, d.discovery.Run,
		d.publishLoads, d.publishGoals, d.checkGoalReports, d.publishRevisions, d.checkNews, d.keepGoalRecord, periodic(memberRefreshInterval, d.refreshMembers), periodic(memberRefreshInterval, d.refreshRateLimits), d.allowances.run, d.origins.Run, periodic(descriptorCheckInterval, d.checkDescriptors),
		func(ctx context.Context) error {
			return mirror.Serve(ctx, d.peerListener, d.copies)
		},
	} {
		group.Go(func() error { return ignoreShutdown(loop(work)) })
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
	for _, s := range []*server{d.callerServer, d.readinessServer, d.directoryServer, d.metricsServer} {
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
	if d.peerListener != nil {
		d.peerListener.Close()
	}
	d.gossipNode.Close()
	d.services.Close()
	d.pool.Close()
}

func ignoreShutdown(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
