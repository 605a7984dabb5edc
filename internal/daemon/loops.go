package daemon

import (
	"context"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/descriptor"
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
	// The probe interval of an upstream grows with the number of daemons, from
	// minProbeInterval to maxProbeInterval.
	minProbeInterval       = 500 * time.Millisecond
	maxProbeInterval       = time.Second
	probeIntervalPerDaemon = 10 * time.Millisecond
	// loadPublishInterval is how often the daemon checks whether to publish its load to peers.
	loadPublishInterval = 250 * time.Millisecond
	maxConcurrentProbes = 32
	// probeFailuresUntilDown is the number of consecutive failed probes after which
	// an upstream is down. A refused connection is a failed probe.
	probeFailuresUntilDown = 2
)

// loops returns the daemon's background loops; each runs until its context ends. Their calls to
// the platform are background calls, except for the first read of the documents, without which
// the daemon serves nobody.
func (d *Daemon) loops() []func(context.Context) error {
	return []func(context.Context) error{
		d.pollDocuments,
		background(d.onceRecords.Run),
		background(d.suspects.Run),
		background(d.promptParts.Run),
		background(d.pollParts),
		background(d.pollInstances),
		d.probePeriodically,
		d.every(loadPublishInterval, d.publishLoad),
		d.every(membershipInterval, d.refreshMembers),
		d.watchReadiness,
		background(d.runRollouts),
	}
}

// background marks a loop's calls to the platform as background calls.
func background(loop func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error { return loop(platform.WithBackground(ctx)) }
}

// runRollouts loads the weights that the documents require onto the engines
// while this daemon holds the rollout lease.
func (d *Daemon) runRollouts(ctx context.Context) error {
	holder := d.settings.Name + "@" + d.settings.PeerListen // which this process has bound
	keeper := lease.NewKeeper(d.table, lease.Settings{Name: rollout.LeaseName, Holder: holder, ExclusiveHolder: true, MaxActionDelay: rollout.MaxOrderDelay}, d.log)
	runner := rollout.NewRunner(d.engines, d.catalogue.Snapshot, d.fleet.Snapshot, d.log)
	return keeper.Run(ctx, runner.Work)
}

// pollDocuments reads all documents once, from the platform or a peer, whichever
// responds first, and then polls for changes.
func (d *Daemon) pollDocuments(ctx context.Context) error {
	for len(d.catalogue.Snapshot()) == 0 && d.poller.Start(ctx) != nil {
		if !sleep(ctx, backoff.JitterInterval(time.Duration(d.settings.Platform.PollInterval))) {
			return ctx.Err()
		}
	}
	d.documentsKnown.Store(true)
	return d.poller.Run(platform.WithBackground(ctx))
}

// sleep waits for interval and returns false if ctx ends first.
func sleep(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// readinessInterval is how often the daemon's readiness is evaluated.
const readinessInterval = 100 * time.Millisecond

// watchReadiness logs each change of the daemon's readiness. When the daemon is
// ready for the first time, it is announced as available to callers.
func (d *Daemon) watchReadiness(ctx context.Context) error {
	last := "starting"
	for sleep(ctx, readinessInterval) {
		reasons := strings.Join(d.notReadyReasons(), "; ")
		if reasons == last {
			continue
		}
		last = reasons
		if reasons == "" {
			d.wasReady.Store(true)
			d.announceAvailability()
			d.log.Emit(eventlog.DaemonReady, eventlog.Fields{})
		} else if !d.draining.Load() { // a planned stop has its own event
			d.log.Emit(eventlog.DaemonNotReady, eventlog.Fields{Detail: reasons})
		}
	}
	return ctx.Err()
}

// every returns a loop that calls fn at once and then after each interval.
// Jitter spreads the calls of daemons that were started together.
func (d *Daemon) every(interval time.Duration, fn func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			fn(ctx)
			if !sleep(ctx, backoff.JitterInterval(interval)) {
				return ctx.Err()
			}
		}
	}
}

// listReadsPerPollInterval is how many times per poll interval all daemons
// together read the instance list. Each publishes its findings to the others.
const listReadsPerPollInterval = 8

// pollInstances reads the platform's instance list at an interval that grows with
// the number of daemons: the list grows with the deployment too.
func (d *Daemon) pollInstances(ctx context.Context) error {
	for {
		d.refreshInstances(ctx)
		if !sleep(ctx, backoff.JitterInterval(listInterval(time.Duration(d.settings.Platform.PollInterval), len(d.members.Live())))) {
			return ctx.Err()
		}
	}
}

func listInterval(poll time.Duration, daemons int) time.Duration {
	return poll * time.Duration(max(listReadsPerPollInterval, daemons)) / listReadsPerPollInterval
}

// refreshInstances reads the platform's instance list and applies its upstreams and daemons.
func (d *Daemon) refreshInstances(ctx context.Context) {
	list, err := d.instances.ListInstances(ctx)
	if ctx.Err() != nil {
		return
	}
	d.setPlatformUp(err == nil)
	if err != nil {
		return
	}
	before := d.fleet.Snapshot()
	d.fleet.ApplyInstanceList(list)
	d.instancesKnown.Store(true)
	d.publishListChanges(before, d.fleet.Snapshot())
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

// probePeriodically probes at each interval, and at once when a document comes
// into force: only the document tells whether a service's upstreams are engines.
func (d *Daemon) probePeriodically(ctx context.Context) error {
	for {
		d.probeAll(ctx)
		d.publishWatchedStates()
		timer := time.NewTimer(backoff.JitterInterval(probeInterval(len(d.members.Live()))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-d.probeWakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func probeInterval(daemons int) time.Duration {
	return min(max(minProbeInterval, time.Duration(daemons)*probeIntervalPerDaemon), maxProbeInterval)
}

// documentAdopted passes a document that came into force to the dispatcher and
// wakes the probe loop.
func (d *Daemon) documentAdopted(a *servicedoc.Accepted) {
	d.dispatcher.SetDocument(a)
	d.metrics.SetDocumentRevision(a.Document.Service, uint64(a.Revision))
	select {
	case d.probeWakeup <- struct{}{}:
	default:
	}
}

// probeAll probes every upstream that this daemon watches.
func (d *Daemon) probeAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, address := range d.watchedAddresses() {
		group.Go(func() error {
			d.probe(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
}

// probe reads the state of one upstream over a new connection.
func (d *Daemon) probe(ctx context.Context, address string) {
	u, ok := d.fleet.Snapshot().ByAddress[address]
	if !ok {
		return
	}
	doc := d.catalogue.Get(u.Service)
	if doc == nil {
		return // without the document it is not known whether the upstream is an engine
	}
	isEngine := doc.Document.Kind == servicedoc.KindModel
	probedAt := time.Now()
	var state upstream.EngineState
	var err error
	if isEngine {
		state, err = d.engines.State(ctx, address)
	} else {
		err = d.services.Check(ctx, address)
	}
	if ctx.Err() != nil || descriptor.IsShortage(err) {
		return
	}
	if err != nil {
		d.recordProbeFailure(u)
		return
	}
	d.probeFailures.Delete(address)
	if !isEngine {
		d.setUpstreamState(u, fleet.Serving)
		return
	}
	d.applyEngineState(u, state, probedAt)
}

func (d *Daemon) recordProbeFailure(u *fleet.Upstream) {
	count, _ := d.probeFailures.LoadOrStore(u.Address, new(failureCount))
	if count.(*failureCount).Add(1) >= probeFailuresUntilDown {
		d.setUpstreamState(u, fleet.Down)
	}
}

func (d *Daemon) setUpstreamState(u *fleet.Upstream, s fleet.State) {
	if u.State == s {
		return
	}
	d.fleet.SetState(u.Address, s)
	d.emitStateChange(u, s)
}

func (d *Daemon) emitStateChange(u *fleet.Upstream, s fleet.State) {
	event := map[fleet.State]eventlog.ID{
		fleet.Serving: eventlog.UpstreamServing, fleet.Leaving: eventlog.UpstreamLeaving, fleet.Down: eventlog.UpstreamDown,
	}[s]
	d.log.Emit(event, eventlog.Fields{Service: u.Service, Upstream: u.Address})
}

// applyEngineState records an engine's state report of time at and logs what changed.
func (d *Daemon) applyEngineState(old *fleet.Upstream, s upstream.EngineState, at time.Time) {
	d.fleet.ApplyEngineState(old.Address, s, at)
	next, ok := d.fleet.Snapshot().ByAddress[old.Address]
	if !ok {
		return
	}
	if next.State != old.State {
		d.emitStateChange(next, next.State)
	}
	if old.Engine.Incarnation != "" && old.Engine.Incarnation != next.Engine.Incarnation {
		d.log.Emit(eventlog.UpstreamIncarnationChanged, eventlog.Fields{Service: old.Service, Upstream: old.Address, Detail: next.Engine.Incarnation})
	}
	d.dispatcher.ApplyLoadReport(old.Service, routing.LoadReport{Endpoint: old.Address, At: at, Running: s.Running, Queued: s.Queued})
}
