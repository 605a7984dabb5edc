package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/lease"
	"github.com/verbenabend/verbenabend/internal/mirror"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/rollout"
)

const (
	// switchDuty is the name by which daemons are ranked as successors of the daemon that
	// sends orders.
	switchDuty = "weights"
	// switchTTL is how long an engine is assumed to be switching without a
	// further notice.
	switchTTL = 5 * time.Second
	// staleGracePeriod is how long after the goal version changed old weights
	// incur no penalty: the platform permits them for 1.5 s, less the time to
	// first token.
	staleGracePeriod = 1200 * time.Millisecond
	// stalePenalty is the additional wait accepted in order to use an engine
	// with new weights.
	stalePenalty = 400 * time.Millisecond
	// staleSendMargin is the time before the limit for old weights from which
	// no request is sent to them, so that one sent before can complete.
	staleSendMargin = 2500 * time.Millisecond
	// staleStartMargin is the time before the limit for old weights at which
	// requests at them end. It covers how much later than the platform a daemon
	// learns of a version, and the way to the engine.
	staleStartMargin = 300 * time.Millisecond
	// switchPollInterval is the interval between checks for engines with old
	// weights.
	switchPollInterval = 100 * time.Millisecond
	// successionStep is how much longer each next daemon waits before it
	// competes for the lease, while engines are behind and no orders are sent.
	successionStep = 1200 * time.Millisecond
	// maxWatchingRank is the rank up to which successors watch the lease while another
	// daemon sends orders, so that they need not begin to when it is lost. Where few daemons
	// read the store, none does.
	maxWatchingRank = 1
	// lastHolderInterval is the pause before another try to read who held the lease,
	// lastHolderWindow the time after its start in which a daemon tries: it may have been
	// the holder before.
	lastHolderInterval = time.Second
	lastHolderWindow   = 5 * time.Second
)

// ongoingSwitch is the last notice of an engine's weight switch.
type ongoingSwitch struct {
	rollout.SwitchNotice
	expiresAt time.Time
}

// Goals implements rollout.SwitchEnvironment.
func (d *Daemon) Goals() []rollout.Goal {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	var out []rollout.Goal
	for model, w := range d.view.goals {
		out = append(out, rollout.Goal{Model: model, Version: w.Version()})
	}
	return out
}

// Engines implements rollout.SwitchEnvironment.
func (d *Daemon) Engines(model string) []*fleet.Registration {
	var out []*fleet.Registration
	for _, u := range d.registry.Snapshot().ByID {
		if !u.Leaving && u.Version(model) > 0 {
			out = append(out, u)
		}
	}
	return out
}

// Requests implements rollout.SwitchEnvironment.
func (d *Daemon) Requests(id string) (requests, uncomputedTokens int) { return d.services.Requests(id) }

// AcceptedOrders implements rollout.SwitchEnvironment.
func (d *Daemon) AcceptedOrders(id string, startedAt int64) int {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	if x := d.view.notices[id]; x.StartedAt == startedAt {
		return x.Orders
	}
	return 0
}

// Broadcast implements rollout.SwitchEnvironment.
func (d *Daemon) Broadcast(n rollout.SwitchNotice) {
	value, err := encodeFactValue(&n)
	if err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Upstream: n.Engine, Detail: "encode switch notice: " + err.Error()})
		return
	}
	d.gossipNode.Publish(gossip.Fact{Kind: gossip.KindWeightSwitch, ID: n.Engine, TTL: switchTTL, Value: value})
	d.applyNotice(n)
}

// receiveSwitch applies a peer's switch notice.
func (d *Daemon) receiveSwitch(f gossip.Fact) {
	var n rollout.SwitchNotice
	if err := msgpack.Unmarshal(f.Value, &n); err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "decode switch notice from " + f.Origin + ": " + err.Error()})
		return
	}
	d.view.mu.Lock()
	d.view.lastOrderSender, d.view.lastOrderAt = f.Origin, time.Now()
	d.view.mu.Unlock()
	d.applyNotice(n)
}

func (d *Daemon) applyNotice(n rollout.SwitchNotice) {
	d.view.mu.Lock()
	if d.view.switches == nil {
		d.view.switches = map[string]ongoingSwitch{}
	}
	if d.view.notices == nil {
		d.view.notices = map[string]rollout.SwitchNotice{}
	}
	d.view.notices[n.Engine] = n
	if n.Done {
		delete(d.view.switches, n.Engine)
		d.raiseLearnedVersion(versionKey{n.Engine, n.StartedAt, n.Model}, n.Version)
	} else {
		d.view.switches[n.Engine] = ongoingSwitch{n, time.Now().Add(switchTTL)}
	}
	d.view.mu.Unlock()
	d.updateServices()
}

// isSwitching reports whether an engine is loading new weights. d.view.mu must be
// held.
func (d *Daemon) isSwitching(u *fleet.Registration, now time.Time) bool {
	n, ok := d.ongoingSwitch(u, now)
	return ok && !n.Preparing
}

// ongoingSwitch returns the last notice of an engine's switch; ok is false if
// it is done or expired. d.view.mu must be held.
func (d *Daemon) ongoingSwitch(u *fleet.Registration, now time.Time) (n ongoingSwitch, ok bool) {
	n, ok = d.view.switches[u.ID]
	return n, ok && n.StartedAt == u.StartedAt && u.Version(n.Model) < n.Version && now.Before(n.expiresAt)
}

// staleness returns the rules for the penalty of old weights. While this daemon
// cannot read the store, which weight switches require, old weights without an
// alternative stay in use. A short failure does not count: the holder of the lease
// goes on for as long as the lease lasts, and the end of a failure is noticed with the
// next read.
func (d *Daemon) staleness() rollout.StalenessPolicy {
	p := rollout.StalenessPolicy{GracePeriod: staleGracePeriod, CostPenalty: stalePenalty, MaxAge: d.settings.WeightSwitchTimeLimit - staleSendMargin}
	failedSince := d.storeFailedSince.Load()
	if failedSince == nil || time.Since(*failedSince) < d.settings.LeaseDuration+mirror.MaxRetryInterval {
		p.MaxAgeWithoutOther = d.settings.WeightSwitchTimeLimit - staleStartMargin
	}
	return p
}

// supersededSince returns when the first of an upstream's weights was superseded; ok is
// false if none was, and dated is false if it is not known when one of them was.
// d.view.mu must be held.
func (d *Daemon) supersededSince(u *fleet.Registration) (since platform.StoreTime, dated, ok bool) {
	for _, m := range u.Models {
		history := d.view.goals[m.Name]
		if history == nil {
			continue
		}
		at, modelDated, superseded := history.SupersededSince(m.Version)
		switch {
		case !superseded:
		case !ok:
			since, dated, ok = at, modelDated, true
		default:
			since, dated = min(since, at), dated && modelDated
		}
	}
	return since, dated, ok
}

// servicesView returns the schedulers' view of the upstreams. d.view.mu must be
// held.
func (d *Daemon) servicesView(snapshot *fleet.RegistrySnapshot) forward.View {
	now := time.Now()
	storeNow, storeTimeKnown := d.storeClock.Now()
	staleness := d.staleness()
	age := func(u *fleet.Registration) (time.Duration, bool) {
		since, dated, old := d.supersededSince(u)
		switch {
		case !old:
			return 0, false
		case !dated || !storeTimeKnown:
			return rollout.UnknownAge, true
		default:
			return max(0, storeNow.Sub(since)), true
		}
	}
	var engines []rollout.Serving
	for _, u := range snapshot.ByID {
		a, _ := age(u)
		engines = append(engines, rollout.Serving{ID: u.ID, Service: u.Service, Available: !u.Leaving && !d.isSwitching(u, now) && !d.liveness.Down(u.ID), Age: a})
	}
	expired := staleness.Expired(engines)
	d.recordExpired(expired, engines)
	usableUntil := map[string]platform.StoreTime{}
	for _, u := range snapshot.ByID {
		if a, old := age(u); old && staleness.MaxAgeWithoutOther > 0 {
			usableUntil[u.ID] = storeNow.Add(staleness.MaxAgeWithoutOther - a)
		}
	}
	d.view.usableUntil.Store(&usableUntil)
	unavailable := func(u *fleet.Registration) bool {
		return d.isSwitching(u, now) || d.liveness.Down(u.ID) || expired[u.ID]
	}
	beginsNoStreams := d.beginsNoStreams(snapshot, func(u *fleet.Registration) bool { return !u.Leaving && !unavailable(u) })
	return forward.View{
		Table: d.view.table.Load(), Registry: snapshot,
		StoppingSoon: func(u *fleet.Registration) bool {
			n, ok := d.ongoingSwitch(u, now)
			return ok && n.Preparing
		},
		CostPenalty: func(u *fleet.Registration) time.Duration {
			if a, old := age(u); old {
				penalty, _ := staleness.CostPenaltyAt(a)
				return penalty
			}
			return 0
		},
		Unavailable: func(u *fleet.Registration) bool { return unavailable(u) || beginsNoStreams(u) },
	}
}

// recordExpired logs the engines that have become unusable because of their
// weights. d.view.mu must be held.
func (d *Daemon) recordExpired(expired map[string]bool, engines []rollout.Serving) {
	for _, e := range engines {
		if expired[e.ID] && !d.view.expired[e.ID] {
			detail := "superseded for " + e.Age.Round(time.Millisecond).String()
			if e.Age >= rollout.UnknownAge {
				detail = "superseded since an unknown time"
			}
			d.log.Emit(eventlog.WeightsExpired, eventlog.Fields{Service: e.Service, Upstream: e.ID, Detail: detail})
		}
	}
	d.view.expired = expired
	d.expiredEngines.Store(int64(len(expired)))
}

// usableUntil returns the time by which requests at an upstream must have ended
// because of its weights; ok is false if there is none.
func (d *Daemon) usableUntil(id string) (until time.Time, ok bool) {
	times := d.view.usableUntil.Load()
	if times == nil {
		return time.Time{}, false
	}
	at, ok := (*times)[id]
	if !ok {
		return time.Time{}, false
	}
	storeNow, _ := d.storeClock.Now() // 0 before the first reading, like in servicesView
	return time.Now().Add(at.Sub(storeNow)), true
}

// switchWeights keeps engines at the goal versions: while any is behind, it
// competes for the lease and sends orders as its holder. It returns when ctx
// ends.
func (d *Daemon) switchWeights(ctx context.Context) error {
	settings := rollout.SwitchLease(d.leaseHolder(), d.settings.LeaseDuration, d.settings.FencedOrders)
	settings.SinceBoot, settings.Patience = d.settings.SinceBoot, d.successionWait
	keeper := lease.NewKeeper(d.platform.Table, settings, d.log)
	switcher := &rollout.Switcher{
		SwitchClient: d.platform.Switches, Environment: d, Holder: d.settings.Name, Log: d.log,
		Limits: rollout.LimitsWithin(d.staleness().MaxAge),
	}
	var behindSince time.Time  // when engines were first seen behind
	var lastHolderAt time.Time // when it was last tried to read who held the lease
	for {
		if err := backoff.Sleep(ctx, switchPollInterval); err != nil {
			return err
		}
		if !rollout.AnyEngineBehind(d) || d.draining.Load() {
			behindSince = time.Time{}
			continue
		}
		d.updateServices() // the penalty of old weights grows with time
		now := time.Now()
		if behindSince.IsZero() {
			behindSince = now
		}
		if !d.orderSenderKnown() && now.Sub(d.startedAt) < lastHolderWindow && now.Sub(lastHolderAt) >= lastHolderInterval {
			lastHolderAt = now
			d.readLastHolder(ctx, keeper)
		}
		if !d.isNextInTurn(behindSince) {
			continue
		}
		d.competeForLease(ctx, keeper, switcher, behindSince)
		behindSince = time.Time{}
	}
}

// isNextInTurn reports whether this daemon may compete for the lease, or watch it, while
// engines are behind since a time: the daemons before it send no orders.
func (d *Daemon) isNextInTurn(behindSince time.Time) bool {
	rank := d.successionRank()
	return rank <= d.maxWatchingRank() || time.Since(d.silentSince(behindSince)) >= time.Duration(rank)*successionStep
}

// competeForLease acquires the lease and sends orders until no engine is
// behind, or another daemon sends them.
func (d *Daemon) competeForLease(ctx context.Context, keeper *lease.Keeper, switcher *rollout.Switcher, behindSince time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for backoff.Sleep(ctx, switchPollInterval) == nil {
			d.updateServices() // as in switchWeights
			if !rollout.AnyEngineBehind(d) || !d.leaseHeld.Load() && !d.isNextInTurn(behindSince) {
				cancel()
			}
		}
	}()
	_ = keeper.Run(ctx, func(work context.Context, held *lease.Lease) {
		d.leaseHeld.Store(true)
		defer d.leaseHeld.Store(false)
		d.view.mu.Lock()
		d.view.lastOrderSender, d.view.lastOrderAt = d.settings.Name, time.Now()
		d.view.mu.Unlock()
		switcher.Work(work, held)
	})
}

// leaseHolder identifies this daemon in the lease, by its name and the address that it
// listens on.
func (d *Daemon) leaseHolder() string {
	return d.settings.Name + holderSeparator + d.settings.CallerListen
}

const holderSeparator = "@"

func (d *Daemon) orderSenderKnown() bool {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	return d.view.lastOrderSender != ""
}

// readLastHolder learns from the lease which daemon sent the last orders. A restarted daemon
// that did may go on at once.
func (d *Daemon) readLastHolder(ctx context.Context, keeper *lease.Keeper) {
	holder, err := keeper.LastHolder(ctx)
	if err != nil {
		d.log.Emit(eventlog.LeaseUnread, eventlog.Fields{Detail: err.Error()})
		return
	}
	name, _, _ := strings.Cut(holder, holderSeparator)
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	if d.view.lastOrderSender == "" {
		d.view.lastOrderSender = name
	}
}

func (d *Daemon) maxWatchingRank() int {
	if d.isLargeFleet() {
		return 0
	}
	return maxWatchingRank
}

// silentSince returns since when engines have been behind and no daemon sent orders.
func (d *Daemon) silentSince(behindSince time.Time) time.Time {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	if d.view.lastOrderAt.After(behindSince) {
		return d.view.lastOrderAt
	}
	return behindSince
}

// successionRank returns how many daemons come before this one in sending orders.
func (d *Daemon) successionRank() int {
	d.view.mu.Lock()
	lastOrderSender := d.view.lastOrderSender
	d.view.mu.Unlock()
	if lastOrderSender == d.settings.Name {
		return 0
	}
	return d.rank(switchDuty, lastOrderSender)
}

// successionWait returns how long this daemon waits for others to send orders:
// 0 for the daemon that sent the last ones, longer for each next in the order
// of rendezvous hashing.
func (d *Daemon) successionWait() time.Duration {
	d.view.mu.Lock()
	lastOrderSender, lastOrderAt := d.view.lastOrderSender, d.view.lastOrderAt
	d.view.mu.Unlock()
	if lastOrderSender == d.settings.Name {
		return 0
	}
	wait := time.Duration(d.successionRank()) * successionStep
	if sinceLastOrder := time.Since(lastOrderAt); lastOrderSender != "" && sinceLastOrder < successionStep {
		wait = max(wait, successionStep-sinceLastOrder)
	}
	return wait
}

// rank returns how many available daemons come before this one in the order of
// rendezvous hashing for a duty. The daemon named first, if any, comes before all others.
func (d *Daemon) rank(duty, first string) int {
	key := prefix.NodeHash(duty)
	own := prefix.Score(key, prefix.NodeHash(d.settings.Name))
	rank := 0
	for _, m := range d.members.Live() {
		if m.Draining && !m.Starting || m.Name == d.settings.Name {
			continue
		}
		if m.Name == first || prefix.Score(key, prefix.NodeHash(m.Name)) > own {
			rank++
		}
	}
	return rank
}
