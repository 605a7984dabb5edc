package gateway

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/lease"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/rollout"
)

const (
	// switchLease is the lease under which weights are switched.
	switchLease = "weights"
	// concurrentSwitches is how many engines switch at once: the platform's
	// engines take longer when more do.
	concurrentSwitches = 2
	// preparedSwitches is how many more finish their prompts meanwhile.
	preparedSwitches = 2
	// switchOutPercent bounds the engines of a model that are out at one time.
	switchOutPercent = 25
	// switchRest is how long an engine is taken to be switching without news.
	switchRest = 5 * time.Second
	// staleFree is how long after new weights were named old ones cost
	// callers nothing: 1.5 s by the platform's rules, less the time to a first token.
	staleFree = 1200 * time.Millisecond
	// stalePrice is the wait for which work prefers an engine with new weights.
	stalePrice = 400 * time.Millisecond
	// staleMargin is kept to the time after which old weights may not be used. A
	// request that was sent waited up to 2.3 s in a full engine (scale-1).
	staleMargin = 2500 * time.Millisecond
	// switchLook is the pause between two looks whether weights are old.
	switchLook = 100 * time.Millisecond
	// successionStep is how much longer each next daemon waits before it
	// competes for the lease while engines stay behind and nobody gives orders.
	successionStep = 1200 * time.Millisecond
)

// note is what was told of an engine that takes new weights.
type note struct {
	rollout.SwitchNotice
	until time.Time
}

// Goals implements rollout.SwitchWorld.
func (d *Daemon) Goals() []rollout.Goal {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	var out []rollout.Goal
	for model, w := range d.view.models {
		out = append(out, rollout.Goal{Model: model, Version: w.Version()})
	}
	return out
}

// Engines implements rollout.SwitchWorld.
func (d *Daemon) Engines(model string) []*fleet.Registration {
	var out []*fleet.Registration
	for _, u := range d.registry.Snapshot().ByID {
		if !u.Leaving && u.Version(model) > 0 {
			out = append(out, u)
		}
	}
	return out
}

// Requests implements rollout.SwitchWorld.
func (d *Daemon) Requests(id string) (requests, unfinished int) { return d.services.Requests(id) }

// Orders implements rollout.SwitchWorld.
func (d *Daemon) Orders(id string, startedAt int64) int {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	if x := d.view.orders[id]; x.StartedAt == startedAt {
		return x.Orders
	}
	return 0
}

// Tell implements rollout.SwitchWorld.
func (d *Daemon) Tell(n rollout.SwitchNotice) {
	value, err := msgpack.Marshal(&n)
	if err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Upstream: n.Engine, Detail: "encode a notice: " + err.Error()})
		return
	}
	d.node.Publish(gossip.Fact{Kind: gossip.KindSwitch, ID: n.Engine, TTL: switchRest, Value: value})
	d.takeNotice(n)
}

// hearSwitch takes in a peer's notice.
func (d *Daemon) hearSwitch(f gossip.Fact) {
	var n rollout.SwitchNotice
	if err := msgpack.Unmarshal(f.Value, &n); err != nil {
		d.log.Emit(eventlog.PeerRejected, eventlog.Fields{Detail: "notice of " + f.Origin + ": " + err.Error()})
		return
	}
	d.view.mu.Lock()
	d.view.orderer, d.view.orderedAt = f.Origin, time.Now()
	d.view.mu.Unlock()
	d.takeNotice(n)
}

func (d *Daemon) takeNotice(n rollout.SwitchNotice) {
	d.view.mu.Lock()
	if d.view.notes == nil {
		d.view.notes = map[string]note{}
	}
	if d.view.orders == nil {
		d.view.orders = map[string]rollout.SwitchNotice{}
	}
	d.view.orders[n.Engine] = n
	if n.Done {
		delete(d.view.notes, n.Engine)
		d.noteVersion(versionKey{n.Engine, n.StartedAt, n.Model}, n.Version)
	} else {
		d.view.notes[n.Engine] = note{n, time.Now().Add(switchRest)}
	}
	d.view.mu.Unlock()
	d.updateServices()
}

// resting reports whether an engine is taking new weights. The view is locked.
func (d *Daemon) resting(u *fleet.Registration, now time.Time) bool {
	n, ok := d.note(u, now)
	return ok && !n.Preparing
}

// note returns what was told of an engine's switch that is not over. The view
// is locked.
func (d *Daemon) note(u *fleet.Registration, now time.Time) (n note, ok bool) {
	n, ok = d.view.notes[u.ID]
	return n, ok && n.StartedAt == u.StartedAt && u.Version(n.Model) < n.Version && now.Before(n.until)
}

// staleness prices old weights.
func (d *Daemon) staleness() rollout.Staleness {
	return rollout.Staleness{Free: staleFree, Price: stalePrice, Last: d.settings.VersionWithin - staleMargin}
}

// servicesView is what the schedulers should know. The view is locked.
func (d *Daemon) servicesView(snapshot *fleet.RegistrySnapshot) forward.View {
	now := time.Now()
	rules := d.staleness()
	age := func(u *fleet.Registration) (time.Duration, bool) {
		for _, m := range u.Models {
			w := d.view.models[m.Name]
			if w == nil {
				continue
			}
			if since, old := w.Superseded(m.Version); old {
				return now.Sub(since), true
			}
		}
		return 0, false
	}
	updated := map[string]bool{} // services with an engine that is up to date
	for _, u := range snapshot.ByID {
		if _, old := age(u); !old && !u.Leaving && !d.resting(u, now) {
			updated[u.Service] = true
		}
	}
	return forward.View{
		Table: d.view.table.Load(), Registry: snapshot,
		Finishing: func(u *fleet.Registration) bool {
			n, ok := d.note(u, now)
			return ok && n.Preparing
		},
		Handicap: func(u *fleet.Registration) time.Duration {
			if a, old := age(u); old {
				price, _ := rules.Handicap(a)
				return price
			}
			return 0
		},
		Resting: func(u *fleet.Registration) bool {
			if d.resting(u, now) || d.liveness.Down(u.ID) {
				return true
			}
			a, old := age(u)
			_, expired := rules.Handicap(a)
			return old && expired && updated[u.Service]
		},
	}
}

// switchWeights brings engines to the wanted versions while this daemon is the
// one to do so.
func (d *Daemon) switchWeights(ctx context.Context) error {
	settings := lease.Settings{Name: switchLease, Holder: d.settings.Name, Duration: d.settings.LeaseDuration, TurnPause: d.settings.LeaseDuration}
	if !d.settings.FencedOrders {
		settings.Settle = rollout.OrderDelay
	}
	keeper := lease.NewKeeper(d.platform.Table, settings, d.log)
	switcher := &rollout.Switcher{
		Orders: d.platform.Switches, World: d, Holder: d.settings.Name, Log: d.log,
		Limits: rollout.SwitchLimits{Concurrent: concurrentSwitches, OutPercent: switchOutPercent, Prepared: preparedSwitches},
	}
	var since time.Time // engines have been behind since then
	for {
		if err := backoff.Sleep(ctx, switchLook); err != nil {
			return err
		}
		if !rollout.Pending(d) || d.draining.Load() {
			since = time.Time{}
			continue
		}
		d.updateServices() // old weights get dearer with time
		now := time.Now()
		if since.IsZero() {
			since = now
		}
		if now.Sub(since) < d.successionWait() {
			continue
		}
		d.compete(ctx, keeper, switcher)
		since = time.Time{}
	}
}

// compete tries to get the lease and works under it until nothing is left to do.
func (d *Daemon) compete(ctx context.Context, keeper *lease.Keeper, switcher *rollout.Switcher) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for backoff.Sleep(ctx, switchLook) == nil {
			if !rollout.Pending(d) {
				cancel()
			}
		}
	}()
	_ = keeper.Run(ctx, func(work context.Context, held *lease.Held) {
		d.leaseHeld.Store(true)
		defer d.leaseHeld.Store(false)
		d.view.mu.Lock()
		d.view.orderer, d.view.orderedAt = d.settings.Name, time.Now()
		d.view.mu.Unlock()
		switcher.Work(work, held)
	})
}

// successionWait is how long this daemon leaves orders to others: none for the
// one that gave the last ones, longer for each next by rendezvous hashing.
func (d *Daemon) successionWait() time.Duration {
	d.view.mu.Lock()
	orderer, at := d.view.orderer, d.view.orderedAt
	d.view.mu.Unlock()
	if orderer == d.settings.Name {
		return 0
	}
	key := prefix.NodeHash(switchLease)
	own := prefix.Score(key, prefix.NodeHash(d.settings.Name))
	rank := 0
	for _, m := range d.members.Live() {
		if m.Draining || m.Name == d.settings.Name {
			continue
		}
		if m.Name == orderer || prefix.Score(key, prefix.NodeHash(m.Name)) > own {
			rank++
		}
	}
	wait := time.Duration(rank) * successionStep
	if quiet := time.Since(at); orderer != "" && quiet < successionStep {
		wait = max(wait, successionStep-quiet)
	}
	return wait
}
