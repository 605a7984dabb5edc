// Package daemon wires one entry instance: listeners, the dispatcher, the
// views of upstreams, documents and peers, and an orderly start and stop.
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

type atomicCounter = atomic.Int64

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

	fleet      *fleet.Fleet
	catalogue  *docstore.Catalogue
	documents  *docstore.Store
	poller     *docstore.Poller
	once       *once.Records
	members    *membership.Members
	node       *gossip.Node
	dispatcher *dispatch.Dispatcher
	suspects   *suspects.Book

	callers   *server
	operators *server

	platformUp atomic.Bool
	listed     atomic.Bool // an instance list was seen, from the platform or a peer
	synced     atomic.Bool // all documents were read once, from the platform or a peer
	probes     sync.Map    // failed probes in a row, by address; *atomicCounter
	draining   atomic.Bool
	opened     atomic.Bool  // the daemon was ready once
	contact    atomic.Int64 // when the platform or a peer was last heard, Unix nanoseconds
	told       map[string]toldEngine
	indexes    map[string]*engineIndex // by service; used by hearLoad only
	adopted    chan struct{}           // a document was adopted
	inFlight   inflight.Counter
}

// New returns a daemon on TCP that listens but does not serve yet. Close it, or run it.
func New(s *settings.Settings, logger hclog.Logger) (*Daemon, error) {
	return NewOn(Network{}, s, logger)
}

// NewOn is New on another network.
func NewOn(network Network, s *settings.Settings, logger hclog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, network: network, log: eventlog.New(s.Name, logger, s.Log.RingEvents), told: map[string]toldEngine{}, indexes: map[string]*engineIndex{}, adopted: make(chan struct{}, 1), metrics: telemetry.New()}
	d.log.Observe(d.metrics.Event)
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
	d.contact.Store(time.Now().UnixNano())
	d.members = membership.New(membership.Member{
		Name: d.settings.Name, DataCentre: d.settings.DataCentre,
		CallerAddress: d.settings.CallerAddress, PeerAddress: d.settings.PeerAddress,
	})
}

func (d *Daemon) provisionState() {
	objects := d.client.Objects()
	d.catalogue = docstore.NewCatalogue(d.log, d.documentAdopted)
	announcer := docstore.NewAnnouncer(d.node)
	d.documents = docstore.NewStore(d.table, objects, d.catalogue, announcer.Announce, d.log)
	d.poller = docstore.NewPoller(d.table, objects, d.catalogue, announcer, time.Duration(d.settings.Platform.PollInterval), d.log)
	d.once = once.New(d.table, d.client.Objects(), d.log)
}

func (d *Daemon) provisionDispatch() {
	d.fleet = fleet.New(func(s *fleet.Snapshot) {
		if d.dispatcher != nil {
			d.dispatcher.SetFleet(s)
		}
	})
	d.suspects = suspects.New(d.settings.Name, d.node, d.table, d.log, 0)
	d.dispatcher = dispatch.New(dispatch.Config{
		Engines: d.engines, Services: d.services, Fleet: d.fleet, Log: d.log,
		Delay:      func(dc string) time.Duration { return d.delay(d.settings.DataCentre, dc) },
		Suspects:   d.suspects,
		EngineDown: func(address string) { go d.probe(context.Background(), address) },
	})
}

// delay returns the one-way delay between data centres as the settings give
// it, which name the delays from this daemon's own.
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
	callers := &entry.Callers{
		Documents: documents{d.catalogue, d.documents}, Dispatcher: instrumented{atMostOnce{d.dispatcher, d.once}, d.metrics}, Members: d.members,
		Keys: resume.NewKeys(d.settings.FleetKey, d.settings.PreviousFleetKeys), Log: d.log,
		Delay: d.delay, EntryMaxAge: time.Duration(d.settings.EntryMaxAge),
	}
	operators := &entry.Operators{
		Documents: documents{d.catalogue, d.documents}, Log: d.log, Key: d.settings.OperatorKey,
		Status: d.Status, WriteMetrics: d.metrics.Write,
	}
	var err error
	if d.callers, err = newServer(d.network, d.settings.CallerListen, d.inFlight.Handler(callers.Handler(), d.draining.Load), d.settings.TLS, d.settings.MaxConnections); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if d.operators, err = newServer(d.network, d.settings.OperatorListen, operators.Handler(), d.settings.TLS, maxOperatorConnections); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	return nil
}

// maxOperatorConnections bounds concurrent connections of operators.
const maxOperatorConnections = 128

// Run serves until ctx ends, then drains: the daemon leaves the entries'
// answers at once, serves until every answer given has expired and every
// request has ended, and only then returns. When hard ends, it returns at once.
func (d *Daemon) Run(ctx, hard context.Context) error {
	d.log.Emit(eventlog.DaemonStarted, eventlog.Fields{Detail: d.settings.CallerAddress})
	work, stopWork := context.WithCancel(hard)
	defer stopWork()
	d.announce()
	d.node.Start()
	group, work := errgroup.WithContext(work)
	for _, loop := range d.loops() {
		group.Go(func() error { return ignoreCanceled(loop(work)) })
	}
	group.Go(d.callers.serve)
	group.Go(d.operators.serve)
	select {
	case <-ctx.Done():
		d.drain(hard)
		d.callers.shutdown(hard)
	case <-work.Done():
	}
	stopWork()
	d.callers.close()
	d.operators.close()
	err := group.Wait()
	d.log.Emit(eventlog.DaemonStopped, eventlog.Fields{})
	d.Close()
	return err
}

// Close releases what New provisioned.
func (d *Daemon) Close() {
	if d.callers != nil {
		d.callers.close()
	}
	if d.operators != nil {
		d.operators.close()
	}
	d.node.Close()
	d.dispatcher.Close()
	d.client.Close()
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
