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

// Config holds what a Dispatcher needs.
type Config struct {
	Engines  upstream.Engines
	Services upstream.Services
	Fleet    *fleet.Fleet
	Log      *eventlog.Log
	// Delay gives the one-way delay to a data centre; nil means none.
	Delay func(dataCentre string) time.Duration
	// NewScheduler makes the scheduler of a service; nil selects routing.New.
	NewScheduler func(routing.Settings) routing.Scheduler
	// StreamIdle is how long a stream may be without a byte before it is
	// resumed over a new connection; default 3 s.
	StreamIdle time.Duration
	// EngineDown is called when a connection to an engine failed, so that it
	// is probed at once.
	EngineDown func(address string)
	// Suspects knows the requests that crash engines; nil means that none does.
	Suspects Suspects
}

const (
	defaultStreamIdle = 3 * time.Second
	// maxAttempts bounds the engines tried for one request.
	maxAttempts   = 4
	bytesPerToken = 4
)

// Dispatcher carries out requests. It is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	running *runningTable
	// closing ends grace periods; background is what outlives its request.
	closing    chan struct{}
	background background

	mu      sync.Mutex
	runners map[string]*schedule.Runner
	// documents holds the model services' documents in force.
	documents map[string]*servicedoc.Accepted
	// given holds the endpoints that each scheduler was given last.
	given map[string][]routing.Endpoint
	// versions counts those endpoints by version, for each model of a service.
	versions map[string]map[string]modelVersions
	// adopted is when a service's document came into force here.
	adopted map[string]time.Time
	peers   int
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.StreamIdle == 0 {
		cfg.StreamIdle = defaultStreamIdle
	}
	if cfg.Delay == nil {
		cfg.Delay = func(string) time.Duration { return 0 }
	}
	if cfg.NewScheduler == nil {
		cfg.NewScheduler = func(s routing.Settings) routing.Scheduler { return routing.New(s) }
	}
	if cfg.Suspects == nil {
		cfg.Suspects = noSuspects{}
	}
	if cfg.EngineDown == nil {
		cfg.EngineDown = func(string) {}
	}
	return &Dispatcher{cfg: cfg, running: newRunningTable(), closing: make(chan struct{}), runners: map[string]*schedule.Runner{}, documents: map[string]*servicedoc.Accepted{}, given: map[string][]routing.Endpoint{}, versions: map[string]map[string]modelVersions{}, adopted: map[string]time.Time{}, peers: 1}
}

// Close ends the grace periods of streams whose callers left, waits for what
// outlived its request, and stops the dispatcher's timers. It may be called again.
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

// SetFleet tells the schedulers of the upstreams that may get work.
func (d *Dispatcher) SetFleet(s *fleet.Snapshot) {
	d.checkLives(s)
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, r := range d.runners {
		endpoints := d.endpoints(s, service)
		if slices.EqualFunc(endpoints, d.given[service], sameEndpoint) {
			continue // most changes of the fleet are load reports
		}
		d.give(service, endpoints)
		r.Do(func(sched routing.Scheduler, now time.Time) { sched.SetEndpoints(now, endpoints) })
	}
}

// SetPeers tells the schedulers how many daemons share the engines.
func (d *Dispatcher) SetPeers(daemons int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = daemons
	for _, r := range d.runners {
		r.Do(func(sched routing.Scheduler, now time.Time) { sched.SetPeers(now, daemons) })
	}
}

// Report passes on an engine's load report.
func (d *Dispatcher) Report(service string, report routing.LoadReport) {
	d.withRunner(service, func(s routing.Scheduler, now time.Time) { s.Report(now, report) })
}

// Share returns, for each service, what peers should learn of its engines.
func (d *Dispatcher) Share() map[string][]routing.PeerLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]routing.PeerLoad{}
	for service, r := range d.runners {
		r.Do(func(s routing.Scheduler, now time.Time) {
			if loads := s.Share(now); len(loads) > 0 {
				out[service] = append([]routing.PeerLoad(nil), loads...)
			}
		})
	}
	return out
}

// Learn passes on what a peer shared of a service's engines.
func (d *Dispatcher) Learn(service, peer string, loads []routing.PeerLoad) {
	d.withRunner(service, func(s routing.Scheduler, now time.Time) { s.Learn(now, peer, loads) })
}

func (d *Dispatcher) withRunner(service string, fn func(routing.Scheduler, time.Time)) {
	d.mu.Lock()
	r := d.runners[service]
	d.mu.Unlock()
	if r != nil {
		r.Do(fn)
	}
}

// SetDocument brings a document into force: its budgets, the data centres
// that it allows and the engines that its models may use.
func (d *Dispatcher) SetDocument(a *servicedoc.Accepted) {
	if a.Document.Kind != servicedoc.KindModel {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.documents[a.Document.Service] = a
	d.adopted[a.Document.Service] = time.Now()
	d.give(a.Document.Service, d.endpoints(d.cfg.Fleet.Snapshot(), a.Document.Service))
	d.runnerOf(a).Do(func(s routing.Scheduler, now time.Time) {
		s.SetBudgets(now, *a.Document.Budgets.HedgePercent, *a.Document.Budgets.RetryPercent)
		s.SetEndpoints(now, d.given[a.Document.Service])
	})
}

// give notes the endpoints that a scheduler is given.
func (d *Dispatcher) give(service string, endpoints []routing.Endpoint) {
	d.given[service] = endpoints
	d.versions[service] = countVersions(&d.documents[service].Document, endpoints)
}

func sameEndpoint(a, b routing.Endpoint) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Slots == b.Slots && a.Delay == b.Delay && slices.Equal(a.Weights, b.Weights)
}

// runner returns the runner of a service, which is made at the latest when
// its first request comes.
func (d *Dispatcher) runner(a *servicedoc.Accepted) *schedule.Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.documents[a.Document.Service] == nil {
		d.documents[a.Document.Service] = a
	}
	return d.runnerOf(a)
}

func (d *Dispatcher) runnerOf(a *servicedoc.Accepted) *schedule.Runner {
	service, budgets := a.Document.Service, a.Document.Budgets
	if r, ok := d.runners[service]; ok {
		return r
	}
	r := schedule.New(d.cfg.NewScheduler(routing.Settings{HedgePercent: *budgets.HedgePercent, RetryPercent: *budgets.RetryPercent}))
	d.give(service, d.endpoints(d.cfg.Fleet.Snapshot(), service))
	r.Do(func(s routing.Scheduler, now time.Time) {
		s.SetPeers(now, d.peers)
		s.SetEndpoints(now, d.given[service])
	})
	d.runners[service] = r
	return r
}

// endpoints returns the engines that the document in force allows.
func (d *Dispatcher) endpoints(s *fleet.Snapshot, service string) []routing.Endpoint {
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
			Slots: u.Engine.Slots, Delay: d.cfg.Delay(u.DataCentre), Hash: u.Hash,
		})
	}
	return out
}

// allowedWeights returns what an engine has loaded of the models that the
// document places on it, in any version.
func allowedWeights(doc *servicedoc.Document, u *fleet.Upstream) []string {
	if !allowed(doc.DataCentres, u.DataCentre) {
		return nil
	}
	var out []string
	for _, w := range u.Engine.Weights {
		id, _ := servicedoc.ParseWeights(w)
		placed := func(m servicedoc.Model) bool { return m.Name == id.Name && u.Matches(m.Engines) }
		if slices.ContainsFunc(doc.Models, placed) {
			out = append(out, w)
		}
	}
	return out
}
