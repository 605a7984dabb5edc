package daemon

import (
	"context"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/lease"
	"github.com/verbenabend/verbenabend/internal/membership"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/rollout"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

const (
	// An upstream is asked for its state after each probe interval, which is
	// longer in a large fleet.
	minProbeInterval       = 500 * time.Millisecond
	maxProbeInterval       = time.Second
	probeIntervalPerDaemon = 10 * time.Millisecond
	// loadInterval is the pause between two looks at the daemon's own load.
	loadInterval = 250 * time.Millisecond
	// probeWorkers bounds concurrent probes.
	probeWorkers = 32
	// failedProbes is how many probes in a row must fail before an upstream
	// counts as down; a refused connection is one.
	failedProbes = 2
)

// loops returns the daemon's background work; each runs until its context ends.
func (d *Daemon) loops() []func(context.Context) error {
	return []func(context.Context) error{
		d.followDocuments,
		d.once.Run,
		d.suspects.Run,
		d.followInstances,
		d.probeLoop,
		d.every(loadInterval, d.tellLoad),
		d.every(memberInterval, d.refreshMembers),
		d.watchReadiness,
		d.rollOut,
	}
}

// rollOut brings engines to what the documents ask for, while this daemon is
// the one that holds the lease.
func (d *Daemon) rollOut(ctx context.Context) error {
	keeper := lease.NewKeeper(d.table, lease.Settings{Name: rollout.LeaseName, Holder: d.settings.Name, Settle: rollout.OrderDelay}, d.log)
	runner := rollout.NewRunner(d.engines, d.catalogue.Snapshot, d.fleet.Snapshot, d.log)
	return keeper.Run(ctx, runner.Work)
}

// followDocuments reads all documents once, from whoever answers first, and
// then follows their changes.
func (d *Daemon) followDocuments(ctx context.Context) error {
	for len(d.catalogue.Snapshot()) == 0 && d.poller.Start(ctx) != nil {
		if !pause(ctx, backoff.Around(time.Duration(d.settings.Platform.PollInterval))) {
			return ctx.Err()
		}
	}
	d.synced.Store(true)
	return d.poller.Run(ctx)
}

// pause waits for interval and reports false when ctx ends before.
func pause(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// readinessInterval is the pause between two looks at the daemon's readiness.
const readinessInterval = 100 * time.Millisecond

// watchReadiness records each change of the daemon's readiness, and lets
// callers come when it is ready for the first time.
func (d *Daemon) watchReadiness(ctx context.Context) error {
	last := "starting"
	for pause(ctx, readinessInterval) {
		reasons := strings.Join(d.notReady(), "; ")
		if reasons == last {
			continue
		}
		last = reasons
		if reasons == "" {
			d.opened.Store(true)
			d.announce()
			d.log.Emit(eventlog.DaemonReady, eventlog.Fields{})
		} else if !d.draining.Load() { // a planned stop has an event of its own
			d.log.Emit(eventlog.DaemonNotReady, eventlog.Fields{Detail: reasons})
		}
	}
	return ctx.Err()
}

// every returns a loop that calls fn at once and then after each interval,
// with jitter, so that daemons started together spread.
func (d *Daemon) every(interval time.Duration, fn func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			fn(ctx)
			if !pause(ctx, backoff.Around(interval)) {
				return ctx.Err()
			}
		}
	}
}

// listReaders is how many reads of the instance list all daemons together
// spread over one poll interval. What one of them finds the others hear.
const listReaders = 8

// followInstances reads the platform's list at an interval that grows with the
// number of daemons, since the list grows with the deployment too.
func (d *Daemon) followInstances(ctx context.Context) error {
	for {
		d.readInstances(ctx)
		if !pause(ctx, backoff.Around(listInterval(time.Duration(d.settings.Platform.PollInterval), len(d.members.Live())))) {
			return ctx.Err()
		}
	}
}

func listInterval(poll time.Duration, daemons int) time.Duration {
	return poll * time.Duration(max(listReaders, daemons)) / listReaders
}

// readInstances reads the platform's list of upstreams and daemons.
func (d *Daemon) readInstances(ctx context.Context) {
	list, err := d.instances.ListInstances(ctx)
	if ctx.Err() != nil {
		return
	}
	d.setPlatformUp(err == nil)
	if err != nil {
		return
	}
	before := d.fleet.Snapshot()
	d.fleet.ApplyList(list)
	d.listed.Store(true)
	d.tellListed(before, d.fleet.Snapshot())
	var daemons []membership.Member
	for _, in := range list {
		if in.Service == platform.EntryService {
			daemons = append(daemons, membership.Member{
				Name: in.Address, DataCentre: in.DataCentre, CallerAddress: in.Address,
				PeerAddress: in.PeerAddress, Draining: in.State == platform.InstanceLeaving,
			})
		}
	}
	d.members.SetListed(daemons)
}

func (d *Daemon) setPlatformUp(up bool) {
	if d.platformUp.Swap(up) == up {
		return
	}
	if up {
		d.log.Emit(eventlog.PlatformUp, eventlog.Fields{})
	} else {
		d.log.Emit(eventlog.PlatformDown, eventlog.Fields{})
	}
}

// probeLoop probes at each interval, and at once when a document is adopted:
// only then is it known what stands behind its service.
func (d *Daemon) probeLoop(ctx context.Context) error {
	for {
		d.probeAll(ctx)
		d.tellEngines()
		timer := time.NewTimer(backoff.Around(probeInterval(len(d.members.Live()))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-d.adopted:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func probeInterval(daemons int) time.Duration {
	return min(max(minProbeInterval, time.Duration(daemons)*probeIntervalPerDaemon), maxProbeInterval)
}

// documentAdopted brings a document into force and wakes the probe loop.
func (d *Daemon) documentAdopted(a *servicedoc.Accepted) {
	d.dispatcher.SetDocument(a)
	d.metrics.Revision(a.Document.Service, uint64(a.Revision))
	select {
	case d.adopted <- struct{}{}:
	default:
	}
}

// probeAll asks every upstream that this daemon watches for its state.
func (d *Daemon) probeAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(probeWorkers)
	for _, address := range d.watched() {
		group.Go(func() error {
			d.probe(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
}

// probe asks one upstream for its state, over a new connection.
func (d *Daemon) probe(ctx context.Context, address string) {
	u, ok := d.fleet.Snapshot().ByAddress[address]
	if !ok {
		return
	}
	doc := d.catalogue.Get(u.Service)
	if doc == nil {
		return // what stands behind a service is not known without its document
	}
	isEngine := doc.Document.Kind == servicedoc.KindModel
	asked := time.Now()
	var state upstream.EngineState
	var err error
	if isEngine {
		state, err = d.engines.State(ctx, address)
	} else {
		err = d.services.Check(ctx, address)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		d.probeFailed(u)
		return
	}
	d.probes.Delete(address)
	if !isEngine {
		d.setState(u, fleet.Serving)
		return
	}
	d.applyState(u, state, asked)
}

func (d *Daemon) probeFailed(u *fleet.Upstream) {
	count, _ := d.probes.LoadOrStore(u.Address, new(atomicCounter))
	if count.(*atomicCounter).Add(1) >= failedProbes {
		d.setState(u, fleet.Down)
	}
}

func (d *Daemon) setState(u *fleet.Upstream, s fleet.State) {
	if u.State == s {
		return
	}
	d.fleet.SetState(u.Address, s)
	d.emitState(u, s)
}

func (d *Daemon) emitState(u *fleet.Upstream, s fleet.State) {
	event := map[fleet.State]eventlog.ID{
		fleet.Serving: eventlog.UpstreamServing, fleet.Leaving: eventlog.UpstreamLeaving, fleet.Down: eventlog.UpstreamDown,
	}[s]
	d.log.Emit(event, eventlog.Fields{Service: u.Service, Upstream: u.Address})
}

// applyState records an engine's report.
func (d *Daemon) applyState(old *fleet.Upstream, s upstream.EngineState, at time.Time) {
	d.fleet.ApplyEngineState(old.Address, s, at)
	next, ok := d.fleet.Snapshot().ByAddress[old.Address]
	if !ok {
		return
	}
	if next.State != old.State {
		d.emitState(next, next.State)
	}
	if old.Engine.Incarnation != "" && old.Engine.Incarnation != next.Engine.Incarnation {
		d.log.Emit(eventlog.UpstreamNew, eventlog.Fields{Service: old.Service, Upstream: old.Address, Detail: next.Engine.Incarnation})
	}
	d.dispatcher.Report(old.Service, routing.LoadReport{Endpoint: old.Address, At: at, Running: s.Running, Queued: s.Queued})
}
