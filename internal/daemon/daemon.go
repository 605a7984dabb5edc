// Package daemon assembles one entry instance: listeners, the dispatcher, the
// views of upstreams, documents and peers, startup and graceful shutdown.
package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/docstore"
	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/inflight"
	"github.com/verbenabend/verbenabend/internal/membership"
	"github.com/verbenabend/verbenabend/internal/once"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/httpplatform"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/settings"
	"github.com/verbenabend/verbenabend/internal/suspects"
	"github.com/verbenabend/verbenabend/internal/telemetry"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/upstream/httpengine"
	"github.com/verbenabend/verbenabend/internal/upstream/httpservice"
)

type failureCount = atomic.Int64

// Daemon is one entry instance.
type Daemon struct {
	settings *settings.Settings
	network  Network
	log      *eventlog.Log
	metrics  *telemetry.Metrics

	client    *httpplatform.Client
	table     platform.Table
	instances platform.Instances
	engines   upstream.Engines
	services  upstream.Services

	fleet       *fleet.Fleet
	catalogue   *docstore.Catalogue
	documents   *docstore.Store
	poller      *docstore.Poller
	onceRecords *once.Records
	members     *membership.Members
	gossipNode  *gossip.Node
	dispatcher  *dispatch.Dispatcher
	suspects    *suspects.Registry
	promptParts *suspects.Parts
	partTable   platform.Table // the rows of quarantined prompt parts

	callerServer   *server
	operatorServer *server

	platformUp      atomic.Bool
	instancesKnown  atomic.Bool // upstreams were learned from the platform's instance list or from a peer
	documentsKnown  atomic.Bool // all documents were read once, from the platform or a peer
	probeFailures   sync.Map    // consecutive failed probes by address; *failureCount
	draining        atomic.Bool
	wasReady        atomic.Bool  // the daemon has been ready since its start
	lastContact     atomic.Int64 // when the platform or a peer was last reachable, in Unix nanoseconds
	publishedStates map[string]publishedState
	engineIndexes   map[string]*cachedEngineIndex // by service; used only by receivePeerLoad
	probeWakeup     chan struct{}                 // signals that a document came into force
	inFlight        inflight.Counter
}

// New returns a daemon that listens on TCP but does not serve yet. The caller
// must call Run or Close.
func New(s *settings.Settings, logger hclog.Logger) (*Daemon, error) {
	return NewWithNetwork(Network{}, s, logger)
}

// NewWithNetwork is like New, but uses the given network.
func NewWithNetwork(network Network, s *settings.Settings, logger hclog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, network: network, log: eventlog.New(s.Name, logger, s.Log.RingEvents), publishedStates: map[string]publishedState{}, engineIndexes: map[string]*cachedEngineIndex{}, probeWakeup: make(chan struct{}, 1), metrics: telemetry.New()}
	d.log.Observe(d.metrics.CountEvent)
	d.provisionClients()
	d.provisionMembers()
	if err := d.provisionPeers(); err != nil {
		return nil, err
	}
	d.provisionState()
	d.provisionDispatch()
	d.subscribe()
	d.registerGauges()
	if err := d.listen(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) provisionClients() {
	d.client = httpplatform.New(d.settings.Platform.URL, time.Duration(d.settings.Platform.Timeout), httpplatform.WithDial(d.network.Dial))
	d.table = d.client
	d.instances = d.client
	d.engines = httpengine.New(d.network.Dial)
	d.services = httpservice.New(d.network.Dial)
}

func (d *Daemon) provisionMembers() {
	d.lastContact.Store(time.Now().UnixNano())
	d.members = membership.New(membership.Member{
		Name: d.settings.Name, DataCentre: d.settings.DataCentre,
		CallerAddress: d.settings.CallerAddress, PeerAddress: d.settings.PeerAddress,
	})
}

func (d *Daemon) provisionState() {
	objects := d.client.Objects()
	d.catalogue = docstore.NewCatalogue(d.log, d.documentAdopted)
	announcer := docstore.NewAnnouncer(d.gossipNode)
	d.documents = docstore.NewStore(d.table, objects, d.catalogue, announcer.Announce, d.log)
	d.poller = docstore.NewPoller(d.table, objects, d.catalogue, announcer, time.Duration(d.settings.Platform.PollInterval), d.log)
	d.onceRecords = once.New(d.table, d.client.Objects(), d.log)
}

func (d *Daemon) provisionDispatch() {
	d.fleet = fleet.New(func(s *fleet.Snapshot) {
		if d.dispatcher != nil {
			d.dispatcher.SetFleet(s)
		}
	})
	d.suspects = suspects.New(d.settings.Name, d.gossipNode, d.table, d.log, 0)
	d.partTable = prefixedTable{d.table, partRowPrefix}
	d.promptParts = suspects.NewParts(d.settings.Name, d.gossipNode, d.gossipNode.MayMissPeers, d.partTable, d.log, minPartCrashInterval)
	d.dispatcher = dispatch.New(dispatch.Config{
		Engines: d.engines, Services: d.services, Fleet: d.fleet, Log: d.log,
		NetworkDelay:      func(dc string) time.Duration { return d.delay(d.settings.DataCentre, dc) },
		Suspects:          d.suspects,
		PromptParts:       d.promptParts,
		OnUpstreamFailure: func(address string) { go d.probe(context.Background(), address) },
	})
}

// delay returns the one-way network delay between two data centres, one of which
// must be the daemon's own: the settings give only the delays from there.
func (d *Daemon) delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	other := to
	if to == d.settings.DataCentre {
		other = from
	}
	return time.Duration(d.settings.DataCentreDelays[other])
}

func (d *Daemon) listen() error {
	callers := &entry.CallerAPI{
		Documents: documents{d.catalogue, d.documents}, Dispatcher: instrumentedDispatcher{atMostOnce{d.dispatcher, d.onceRecords}, d.metrics}, Members: d.members,
		Keys: resume.NewKeys(d.settings.FleetKey, d.settings.PreviousFleetKeys), Log: d.log,
		Delay: d.delay, EntryMaxAge: time.Duration(d.settings.EntryMaxAge),
	}
	operators := &entry.OperatorAPI{
		Documents: documents{d.catalogue, d.documents}, Log: d.log, Key: d.settings.OperatorKey,
		Status: d.Status, WriteMetrics: d.metrics.Write,
	}
	var err error
	if d.callerServer, err = newServer(d.network, d.settings.CallerListen, d.inFlight.Handler(callers.Handler(), d.draining.Load), d.settings.TLS, d.settings.MaxConnections); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if d.operatorServer, err = newServer(d.network, d.settings.OperatorListen, operators.Handler(), d.settings.TLS, maxOperatorConnections); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	return nil
}

const maxOperatorConnections = 128

// Run serves until ctx ends, then drains: the daemon is no longer listed in
// GET /v1/entries, but serves until every response that listed it has expired
// and every request has ended. When hardStop ends, Run returns without waiting.
func (d *Daemon) Run(ctx, hardStop context.Context) error {
	d.log.Emit(eventlog.DaemonStarted, eventlog.Fields{Detail: d.settings.CallerAddress})
	work, stopWork := context.WithCancel(hardStop)
	defer stopWork()
	d.announceAvailability()
	d.gossipNode.Start()
	group, work := errgroup.WithContext(work)
	for _, loop := range d.loops() {
		group.Go(func() error { return ignoreShutdownErrors(loop(work)) })
	}
	group.Go(d.callerServer.serve)
	group.Go(d.operatorServer.serve)
	select {
	case <-ctx.Done():
		d.drain(hardStop)
		d.callerServer.shutdown(hardStop)
	case <-work.Done():
	}
	stopWork()
	d.callerServer.close()
	d.operatorServer.close()
	err := group.Wait()
	d.log.Emit(eventlog.DaemonStopped, eventlog.Fields{})
	d.Close()
	return err
}

// Close releases the listeners, connections and goroutines that New created.
func (d *Daemon) Close() {
	if d.callerServer != nil {
		d.callerServer.close()
	}
	if d.operatorServer != nil {
		d.operatorServer.close()
	}
	d.gossipNode.Close()
	d.dispatcher.Close()
	d.client.Close()
}

func ignoreShutdownErrors(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
