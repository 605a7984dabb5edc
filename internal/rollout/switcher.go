package rollout

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/lease"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// switchNotice is how long before an order the daemons are told, so that
	// none still sends work to the engine.
	switchNotice = 90 * time.Millisecond
	// prepareMost is how long an engine may take to finish its prompts before
	// it is ordered all the same.
	prepareMost = 1500 * time.Millisecond
	// finishedTokens is the number of prompt tokens up to which an engine counts
	// as having finished: it computes them within the notice.
	finishedTokens = 2000
	// switchTimeout bounds one order, reportTimeout one question for its progress.
	switchTimeout = 700 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// firstReport is when an engine is first asked for its progress; loads
	// take about a second. reportInterval is the pause between two questions.
	firstReport    = 900 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	// unansweredLife is how long an order without an answer may still be carried out.
	unansweredLife = 3 * time.Second
	// switchInterval is the pause between two looks.
	switchInterval = 30 * time.Millisecond
	// runsAtSwitch keeps long runs from holding up new weights.
	runsAtSwitch = upstream.RunsGoOn
	// refusedPause is how long an engine that refused an order is left alone.
	refusedPause = 300 * time.Millisecond
)

// Goal is a version that operators want all engines of a model to have.
type Goal struct {
	Model   string
	Version int
}

// SwitchNotice tells daemons that an engine is about to take new weights.
type SwitchNotice struct {
	Engine    string
	StartedAt int64
	Model     string
	Version   int
	// Preparing says that the engine finishes its prompts first: an order ends
	// prompts that are not computed yet, and their work is lost.
	Preparing bool
	// Done says that the engine has the weights.
	Done bool
	// Orders is how many orders the engine is known to have accepted.
	Orders int
}

// SwitchWorld is what a Switcher sees and does beyond the engines.
type SwitchWorld interface {
	// Goals returns what operators want.
	Goals() []Goal
	// Engines returns the engines of a model that serve and do not leave.
	Engines(model string) []*fleet.Registration
	// Requests returns how many requests an engine is known to run, and how many
	// prompt tokens it has to compute for them before their first tokens.
	Requests(id string) (requests, unfinished int)
	// Orders returns how many orders an engine is known to have accepted in
	// the life that began at startedAt.
	Orders(id string, startedAt int64) int
	// Tell spreads a notice to all daemons, this one included.
	Tell(n SwitchNotice)
}

// Switcher brings engines to the versions that operators want, while its
// daemon holds the lease.
type Switcher struct {
	Orders upstream.Switches
	World  SwitchWorld
	Limits SwitchLimits
	// Holder is the daemon's name.
	Holder string
	Log    *eventlog.Log
}

// Pending reports whether an engine has older weights than operators want.
func Pending(w SwitchWorld) bool {
	for _, goal := range w.Goals() {
		for _, u := range w.Engines(goal.Model) {
			if u.Version(goal.Model) < goal.Version {
				return true
			}
		}
	}
	return false
}

// engineKey is one life of an engine.
type engineKey struct {
	id        string
	startedAt int64
}

// switching is an engine that was told of, or ordered, to take new weights.
type switching struct {
	version  int
	model    string
	closed   bool // all daemons were told to send nothing
	ordered  bool
	at       time.Time // of the first notice, then of the last, then of the order
	askAt    time.Time
	answered bool
	asking   bool
	done     bool
}

// switchTenure is what a Switcher knows during one lease.
type switchTenure struct {
	*Switcher
	held *lease.Held

	mu     sync.Mutex
	active map[engineKey]*switching
	// orders counts accepted orders by engine, as seen by this holder.
	orders map[engineKey]int
	// rest is until when an engine that refused is left alone.
	rest       map[engineKey]time.Time
	superseded bool
	wg         sync.WaitGroup
}

// Work gives orders until every engine has the wanted weights, or the lease or
// ctx ends. It is the work of a lease.Keeper.
func (s *Switcher) Work(ctx context.Context, held *lease.Held) {
	t := &switchTenure{Switcher: s, held: held, active: map[engineKey]*switching{}, orders: map[engineKey]int{}, rest: map[engineKey]time.Time{}}
	defer t.wg.Wait()
	for held.Valid() && ctx.Err() == nil && !t.isSuperseded() {
		if !t.round(ctx) {
			return
		}
		if backoff.Sleep(ctx, switchInterval) != nil {
			return
		}
	}
}

func (t *switchTenure) isSuperseded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.superseded
}

// round does what is due and reports whether anything is left to do.
func (t *switchTenure) round(ctx context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	left := false
	for _, goal := range t.World.Goals() {
		engines := t.World.Engines(goal.Model)
		t.renew(goal)
		if t.follow(ctx, now, engines) {
			left = true
		}
		var list []VersionEngine
		byID := map[string]*fleet.Registration{}
		for _, u := range engines {
			k := engineKey{u.ID, u.StartedAt}
			_, active := t.active[k]
			left = left || u.Version(goal.Model) < goal.Version
			if now.Before(t.rest[k]) {
				continue
			}
			byID[u.ID] = u
			requests, unfinished := t.World.Requests(u.ID)
			list = append(list, VersionEngine{ID: u.ID, Version: u.Version(goal.Model), Switching: active, Unfinished: unfinished, Requests: requests})
		}
		for _, id := range PlanSwitches(goal.Version, list, t.Limits) {
			u := byID[id]
			k, x := engineKey{u.ID, u.StartedAt}, &switching{version: goal.Version, model: goal.Model, at: now}
			t.active[k] = x
			t.tell(k, x, SwitchNotice{Preparing: true})
		}
		t.close(now, goal.Model, t.Limits.out(len(engines)))
	}
	return left || len(t.active) > 0
}

// renew makes the newest goal that of engines that were told of an older one
// and not ordered yet.
func (t *switchTenure) renew(goal Goal) {
	for _, x := range t.active {
		if x.model == goal.Model && !x.ordered && !x.asking {
			x.version = max(x.version, goal.Version)
		}
	}
}

// close tells all daemons to send nothing to the next engines, as many as may
// be out, that have finished their prompts or were given the time for it.
func (t *switchTenure) close(now time.Time, model string, out int) {
	var next []engineKey
	for k, x := range t.active {
		switch {
		case x.model != model:
		case x.closed:
			out--
		case !x.done:
			next = append(next, k)
		}
	}
	slices.SortFunc(next, func(a, b engineKey) int {
		return cmp.Or(t.active[a].at.Compare(t.active[b].at), cmp.Compare(a.id, b.id))
	})
	for _, k := range next {
		x := t.active[k]
		if _, unfinished := t.World.Requests(k.id); out <= 0 || unfinished > finishedTokens && now.Sub(x.at) < prepareMost {
			continue
		}
		x.closed, x.at = true, now
		out--
		t.tell(k, x, SwitchNotice{})
	}
}

// tell completes a notice of a switch and spreads it.
func (t *switchTenure) tell(k engineKey, x *switching, n SwitchNotice) {
	n.Engine, n.StartedAt, n.Model, n.Version, n.Orders = k.id, k.startedAt, x.model, x.version, t.accepted(k)
	t.World.Tell(n)
}

// follow takes each active switch one step further.
func (t *switchTenure) follow(ctx context.Context, now time.Time, engines []*fleet.Registration) bool {
	present := map[engineKey]*fleet.Registration{}
	for _, u := range engines {
		present[engineKey{u.ID, u.StartedAt}] = u
	}
	for k, x := range t.active {
		u := present[k]
		switch {
		case u == nil || x.done:
			delete(t.active, k)
		case u.Version(x.model) >= x.version:
			t.finish(k, x)
		case x.asking:
		case !x.closed:
		case !x.ordered:
			if now.Sub(x.at) >= switchNotice {
				t.start(x, func() { t.order(ctx, u, k, x) })
			}
		case !now.Before(x.askAt):
			t.start(x, func() { t.ask(ctx, u, k, x) })
		}
	}
	return len(t.active) > 0
}

func (t *switchTenure) start(x *switching, fn func()) {
	x.asking = true
	t.wg.Go(fn)
}

// finish ends a switch that was carried out.
func (t *switchTenure) finish(k engineKey, x *switching) {
	x.done = true
	delete(t.active, k)
	t.tell(k, x, SwitchNotice{Done: true})
}

// accepted is how many orders an engine is known to have accepted.
func (t *switchTenure) accepted(k engineKey) int {
	return max(t.orders[k], t.World.Orders(k.id, k.startedAt))
}

// order sends the order under the lease.
func (t *switchTenure) order(ctx context.Context, u *fleet.Registration, k engineKey, x *switching) {
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	t.mu.Lock()
	count := t.accepted(k)
	t.mu.Unlock()
	if !t.held.Valid() {
		t.settle(x, func() { delete(t.active, k) })
		return
	}
	o := upstream.SwitchOrder{Engine: u.ID, Address: u.Address, Model: x.model, Version: x.version, Runs: runsAtSwitch, Holder: t.Holder, Fence: t.held.Fence, AfterOrders: count}
	result, err := t.Orders.Switch(ctx, o)
	f := eventlog.Fields{Service: u.Service, Upstream: u.ID, Detail: fmt.Sprintf("%s version %d, fence %d, after %d orders: %s", o.Model, o.Version, o.Fence, o.AfterOrders, result)}
	if err != nil {
		f.Detail += ": " + err.Error()
	}
	event := eventlog.OrderSent
	if result == upstream.SwitchRefused || result == upstream.SwitchSuperseded {
		event = eventlog.OrderRefused
	}
	t.Log.Emit(event, f)
	t.settle(x, func() { t.ordered(k, x, count, result) })
}

// settle ends a question or an order, whose outcome fn takes in.
func (t *switchTenure) settle(x *switching, fn func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.asking = false
	if !x.done {
		fn()
	}
}

// ordered takes in the outcome of an order.
func (t *switchTenure) ordered(k engineKey, x *switching, count int, result upstream.SwitchResult) {
	now := time.Now()
	switch result {
	case upstream.SwitchHolds:
		t.finish(k, x)
	case upstream.SwitchAccepted:
		t.orders[k] = count + 1
		x.ordered, x.answered, x.at, x.askAt = true, true, now, now.Add(firstReport)
	case upstream.SwitchUnanswered:
		x.ordered, x.at, x.askAt = true, now, now.Add(reportInterval)
	case upstream.SwitchSuperseded:
		t.superseded = true
	case upstream.SwitchConflict:
		// Another order is in progress, or the count of orders is not what was
		// registered: the engine's report tells.
		x.ordered, x.at, x.askAt = true, now.Add(-unansweredLife), now
	default:
		t.rest[k] = now.Add(refusedPause)
		delete(t.active, k)
	}
}

// ask reads an engine's progress.
func (t *switchTenure) ask(ctx context.Context, u *fleet.Registration, k engineKey, x *switching) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := t.Orders.Report(ctx, u.ID, u.Address)
	if err != nil {
		t.Log.Emit(eventlog.OrderRefused, eventlog.Fields{Service: u.Service, Upstream: u.ID, Detail: "no report: " + err.Error()})
	}
	t.settle(x, func() { t.reported(k, x, report, err) })
}

func (t *switchTenure) reported(k engineKey, x *switching, report upstream.SwitchReport, err error) {
	now := time.Now()
	x.askAt = now.Add(reportInterval)
	if err != nil {
		// An engine that can't be reached at all keeps no other one waiting.
		if verdict.Of(err) == verdict.NotRun || now.Sub(x.at) > unansweredLife {
			t.rest[k] = now.Add(refusedPause)
			delete(t.active, k)
		}
		return
	}
	t.orders[k] = max(t.orders[k], report.Orders)
	switch {
	case report.Versions[x.model] >= x.version && !report.Busy:
		t.finish(k, x)
	case report.Busy:
	case !x.answered && now.Sub(x.at) > reportInterval || x.answered && now.Sub(x.at) > unansweredLife:
		// It was not carried out: it is planned again.
		t.rest[k] = now.Add(refusedPause)
		delete(t.active, k)
	}
}
