package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/schedule"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

// Config holds a Dispatcher's dependencies and settings.
type Config struct {
	Engines  upstream.Engines
	Services upstream.Services
	Fleet    *fleet.Fleet
	Log      *eventlog.Log
	// NetworkDelay returns the one-way network delay to a data centre; nil means none.
	NetworkDelay func(dataCentre string) time.Duration
	// NewScheduler creates the scheduler of a service; nil selects routing.New.
	NewScheduler func(routing.Settings) routing.Scheduler
	// StreamIdleTimeout is how long a stream's connection may deliver nothing before
	// the stream is resumed over a new connection; default 3 s.
	StreamIdleTimeout time.Duration
	// OnUpstreamFailure is called when an upstream fails or, by a refusal, shows that
	// this daemon's view of it is stale, so that it can be probed at once.
	OnUpstreamFailure func(address string)
	// Suspects tracks the requests suspected of crashing engines; nil disables
	// the tracking.
	Suspects SuspectTracker
	// PromptParts tracks the prompt parts suspected of crashing engines; nil disables
	// the tracking.
	PromptParts PartTracker
}

const (
	defaultStreamIdleTimeout = 3 * time.Second
	// maxAttempts bounds the upstreams that a call is sent to. For a model request
	// it bounds the submissions to the scheduler, each of which may include a hedged
	// attempt, and how often the model version is selected.
	maxAttempts = 4
	// bytesPerToken is the estimate that converts prompt bytes to tokens.
	bytesPerToken = 4
)

// Dispatcher sends requests to upstreams. It is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	running *runningRequests
	// closing is closed to end all grace periods; background tracks the work
	// that may outlive its request.
	closing    chan struct{}
	background backgroundTasks

	mu      sync.Mutex
	runners map[string]*schedule.Runner
	// documents holds the documents in force of the model services, by service.
	documents map[string]*servicedoc.Accepted
	// lastEndpoints holds the endpoints last set on each service's scheduler.
	lastEndpoints map[string][]routing.Endpoint
	// versions counts those endpoints by model version, by service and model.
	versions map[string]map[string]versionCounts
	// documentSetAt is when a service's document came into force in this daemon.
	documentSetAt map[string]time.Time
	// daemonCount is the number of daemons that share the engines, including this
	// one.
	daemonCount int
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.StreamIdleTimeout == 0 {
		cfg.StreamIdleTimeout = defaultStreamIdleTimeout
	}
	if cfg.NetworkDelay == nil {
		cfg.NetworkDelay = func(string) time.Duration { return 0 }
	}
	if cfg.NewScheduler == nil {
		cfg.NewScheduler = func(s routing.Settings) routing.Scheduler { return routing.New(s) }
	}
	if cfg.Suspects == nil {
		cfg.Suspects = noSuspects{}
	}
	if cfg.PromptParts == nil {
		cfg.PromptParts = noParts{}
	}
	if cfg.OnUpstreamFailure == nil {
		cfg.OnUpstreamFailure = func(string) {}
	}
	return &Dispatcher{cfg: cfg, running: newRunningRequests(), closing: make(chan struct{}), runners: map[string]*schedule.Runner{}, documents: map[string]*servicedoc.Accepted{}, lastEndpoints: map[string][]routing.Endpoint{}, versions: map[string]map[string]versionCounts{}, documentSetAt: map[string]time.Time{}, daemonCount: 1}
}

// Close ends the grace periods of abandoned streams, waits for background work
// and stops the schedulers' runners. It may be called more than once.
func (d *Dispatcher) Close() {
	if d.background.close() {
		close(d.closing)
	}
	d.background.wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runners {
		r.Close()
	}
}

// SetFleet updates the schedulers' endpoints from a snapshot of the fleet and
// checks for engines that have restarted.
func (d *Dispatcher) SetFleet(s *fleet.Snapshot) {
	d.checkIncarnations(s)
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, r := range d.runners {
		endpoints := d.allowedEndpoints(s, service)
		if slices.EqualFunc(endpoints, d.lastEndpoints[service], sameEndpoint) {
			continue // most fleet changes are load reports, which don't affect the endpoints
		}
		d.setEndpoints(service, endpoints)
		r.Do(func(sched routing.Scheduler, now time.Time) { sched.SetEndpoints(now, endpoints) })
	}
}

// SetDaemonCount sets the number of daemons that share the engines, including this one.
func (d *Dispatcher) SetDaemonCount(daemons int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.daemonCount = daemons
	for _, r := range d.runners {
		r.Do(func(sched routing.Scheduler, now time.Time) { sched.SetDaemonCount(now, daemons) })
	}
}

// ApplyLoadReport passes an engine's load report to the service's scheduler.
func (d *Dispatcher) ApplyLoadReport(service string, report routing.LoadReport) {
	d.withRunner(service, func(s routing.Scheduler, now time.Time) { s.ApplyLoadReport(now, report) })
}

// LoadsForPeers returns, by service, the engine loads to send to peers.
func (d *Dispatcher) LoadsForPeers() map[string][]routing.PeerLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]routing.PeerLoad{}
	for service, r := range d.runners {
		r.Do(func(s routing.Scheduler, now time.Time) {
			if loads := s.LoadsForPeers(now); len(loads) > 0 {
				out[service] = append([]routing.PeerLoad(nil), loads...)
			}
		})
	}
	return out
}

// ApplyPeerLoads passes the engine loads received from a peer to the service's scheduler.
func (d *Dispatcher) ApplyPeerLoads(service, peer string, loads []routing.PeerLoad) {
	d.withRunner(service, func(s routing.Scheduler, now time.Time) { s.ApplyPeerLoads(now, peer, loads) })
}

func (d *Dispatcher) withRunner(service string, fn func(routing.Scheduler, time.Time)) {
	d.mu.Lock()
	r := d.runners[service]
	d.mu.Unlock()
	if r != nil {
		r.Do(fn)
	}
}

// SetDocument applies a model service's document: its budgets, allowed data
// centres and the engines that its models may use. Documents of other kinds are
// ignored.
func (d *Dispatcher) SetDocument(a *servicedoc.Accepted) {
	if a.Document.Kind != servicedoc.KindModel {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.documents[a.Document.Service] = a
	d.documentSetAt[a.Document.Service] = time.Now()
	d.setEndpoints(a.Document.Service, d.allowedEndpoints(d.cfg.Fleet.Snapshot(), a.Document.Service))
	d.ensureRunnerLocked(a).Do(func(s routing.Scheduler, now time.Time) {
		s.SetBudgets(now, *a.Document.Budgets.HedgePercent, *a.Document.Budgets.RetryPercent)
		s.SetEndpoints(now, d.lastEndpoints[a.Document.Service])
	})
}

// setEndpoints records the endpoints being set on a scheduler and counts their
// model versions. The caller holds d.mu.
func (d *Dispatcher) setEndpoints(service string, endpoints []routing.Endpoint) {
	d.lastEndpoints[service] = endpoints
	d.versions[service] = countVersionsByModel(&d.documents[service].Document, endpoints)
}

func sameEndpoint(a, b routing.Endpoint) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Slots == b.Slots && a.Delay == b.Delay && slices.Equal(a.Weights, b.Weights)
}

// ensureRunner returns the runner of a service and creates it on first use.
func (d *Dispatcher) ensureRunner(a *servicedoc.Accepted) *schedule.Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.documents[a.Document.Service] == nil {
		d.documents[a.Document.Service] = a
	}
	return d.ensureRunnerLocked(a)
}

func (d *Dispatcher) ensureRunnerLocked(a *servicedoc.Accepted) *schedule.Runner {
	service, budgets := a.Document.Service, a.Document.Budgets
	if r, ok := d.runners[service]; ok {
		return r
	}
	r := schedule.New(d.cfg.NewScheduler(routing.Settings{HedgePercent: *budgets.HedgePercent, RetryPercent: *budgets.RetryPercent}))
	d.setEndpoints(service, d.allowedEndpoints(d.cfg.Fleet.Snapshot(), service))
	r.Do(func(s routing.Scheduler, now time.Time) {
		s.SetDaemonCount(now, d.daemonCount)
		s.SetEndpoints(now, d.lastEndpoints[service])
	})
	d.runners[service] = r
	return r
}

// allowedEndpoints returns the available engines that the document in force allows.
func (d *Dispatcher) allowedEndpoints(s *fleet.Snapshot, service string) []routing.Endpoint {
	doc := d.documents[service]
	if doc == nil {
		return nil
	}
	var out []routing.Endpoint
	for _, u := range s.ByService[service] {
		weights := allowedWeights(&doc.Document, u)
		if u.State != fleet.Serving || u.Engine.Leaving || u.Engine.Slots == 0 || len(weights) == 0 {
			continue
		}
		out = append(out, routing.Endpoint{
			ID: u.Address, Incarnation: u.Engine.Incarnation, Weights: weights,
			Slots: u.Engine.Slots, Delay: d.cfg.NetworkDelay(u.DataCentre), Hash: u.Hash,
		})
	}
	return out
}

// allowedWeights returns the weights that an engine has loaded, in any version,
// of the models that the document places on it.
func allowedWeights(doc *servicedoc.Document, u *fleet.Upstream) []string {
	if !dataCentreAllowed(doc.DataCentres, u.DataCentre) {
		return nil
	}
	var out []string
	for _, w := range u.Engine.Weights {
		id, _ := servicedoc.ParseWeights(w)
		placed := func(m servicedoc.Model) bool { return m.Name == id.Name && u.HasLabels(m.Engines) }
		if slices.ContainsFunc(doc.Models, placed) {
			out = append(out, w)
		}
	}
	return out
}
