package rollout

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/lease"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// LeaseName is the lease under which orders are given.
	LeaseName = "rollout"
	// OrderDelay is the longest time that an order can be under way after it
	// was sent; the lease's Settle must not be less.
	OrderDelay = 5 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 4 * time.Second
	// stateTimeout bounds one read of an engine's state.
	stateTimeout = 2 * time.Second
	// loadTimeout is when an engine that was ordered to load and does not
	// answer is no longer counted as loading.
	loadTimeout = time.Minute
	// busyInterval and idleInterval are the pauses between two rounds, with
	// and without orders to follow up.
	busyInterval = 250 * time.Millisecond
	idleInterval = 500 * time.Millisecond
	// parallelReads bounds the states read at the same time.
	parallelReads = 16
)

// Runner gives orders while its daemon holds the lease.
type Runner struct {
	engines upstream.Engines
	docs    func() map[string]*servicedoc.Accepted
	fleet   func() *fleet.Snapshot
	log     *eventlog.Log
}

// NewRunner returns a Runner. docs and fleet give the current snapshots.
func NewRunner(engines upstream.Engines, docs func() map[string]*servicedoc.Accepted, fleet func() *fleet.Snapshot, log *eventlog.Log) *Runner {
	return &Runner{engines: engines, docs: docs, fleet: fleet, log: log}
}

// Work gives orders until ctx or the lease ends. It is the work of a lease.Keeper.
func (r *Runner) Work(ctx context.Context, held *lease.Held) {
	t := &tenure{Runner: r, held: held, known: map[string]reading{}, pending: map[string]pendingOrder{}}
	for held.Valid() && ctx.Err() == nil {
		pause := idleInterval
		if t.round(ctx) {
			pause = busyInterval
		}
		if backoff.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// reading is an engine's state as this daemon read it.
type reading struct {
	state upstream.EngineState
	at    time.Time
}

// pendingOrder is an order whose effect was not yet read back.
type pendingOrder struct {
	order       upstream.Order
	incarnation string
	sentAt      time.Time
}

// tenure is what a Runner knows during one lease.
type tenure struct {
	*Runner
	held    *lease.Held
	known   map[string]reading
	pending map[string]pendingOrder
	// superseded is set when an engine has seen a greater fencing number.
	superseded bool
}

// round gives the orders that are due and reports whether any is to be followed up.
func (t *tenure) round(ctx context.Context) bool {
	t.read(ctx, t.unsettled())
	t.settle()
	steps := Plan(t.docs(), t.candidates())
	if len(steps) == 0 {
		return len(t.pending) > 0
	}
	// Read back before ordering: keep what the fresh states still ask for.
	t.read(ctx, targets(steps))
	for _, step := range Plan(t.docs(), t.candidates()) {
		if slices.Contains(steps, step) {
			t.send(ctx, step)
		}
	}
	return true
}

func targets(steps []Step) []string {
	var list []string
	for _, s := range steps {
		list = append(list, s.Address)
	}
	return list
}

// addresses lists the engines of all model services.
func (t *tenure) addresses() []string {
	var list []string
	for service, upstreams := range t.fleet().ByService {
		if doc := t.docs()[service]; doc == nil || doc.Document.Kind != servicedoc.KindModel {
			continue
		}
		for _, u := range upstreams {
			list = append(list, u.Address)
		}
	}
	return list
}

// unsettled lists the engines whose newest known state may change by itself.
func (t *tenure) unsettled() []string {
	var list []string
	for _, a := range t.addresses() {
		_, ordered := t.pending[a]
		if k, ok := t.known[a]; ordered || !ok || k.state.Loading || t.stale(a, k) {
			list = append(list, a)
		}
	}
	return list
}

// stale reports whether the fleet learned of another state since k was read.
func (t *tenure) stale(address string, k reading) bool {
	u := t.fleet().ByAddress[address]
	if u == nil || !u.ReportedAt.After(k.at) {
		return false
	}
	return u.Engine.Incarnation != k.state.Incarnation || !slices.Equal(u.Engine.Weights, k.state.Weights)
}

// read reads the states of engines and remembers those that answered.
func (t *tenure) read(ctx context.Context, addresses []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallelReads)
	for _, address := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, stateTimeout)
			defer cancel()
			state, err := t.engines.State(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				t.known[address] = reading{state: state, at: time.Now()}
			} else if _, ordered := t.pending[address]; !ordered {
				delete(t.known, address)
			}
		})
	}
	wg.Wait()
}

// settle forgets pending orders whose effect is known.
func (t *tenure) settle() {
	for address, p := range t.pending {
		if t.settled(address, p) {
			delete(t.pending, address)
		}
	}
	for _, k := range t.known {
		t.superseded = t.superseded || k.state.Fence > t.held.Fence
	}
}

func (t *tenure) settled(address string, p pendingOrder) bool {
	k, ok := t.known[address]
	age := time.Since(p.sentAt)
	if !ok || k.at.Before(p.sentAt) {
		return age > loadTimeout
	}
	if k.state.Incarnation != p.incarnation {
		return true
	}
	if k.state.Loading {
		return false
	}
	done := slices.Contains(k.state.Weights, p.order.Weights) == (p.order.Kind == upstream.OrderLoad)
	return done || age > OrderDelay && k.at.Sub(p.sentAt) > OrderDelay
}

// candidates describes all engines by their newest known states. Engines
// whose state could not be read get no orders.
func (t *tenure) candidates() []Candidate {
	var list []Candidate
	snapshot := t.fleet()
	for _, address := range t.addresses() {
		u := snapshot.ByAddress[address]
		k, ok := t.known[address]
		if u == nil || !ok && !u.Engine.Loading {
			continue
		}
		if !ok {
			k.state = u.Engine // silent, but it may still be loading
		}
		_, ordered := t.pending[address]
		now := *u
		now.Engine = k.state
		list = append(list, Candidate{Upstream: &now, Weights: k.state.Weights, Busy: ordered || k.state.Loading})
	}
	return list
}

// send gives one order under the lease.
func (t *tenure) send(ctx context.Context, s Step) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ctx, cancelAtDeadline := context.WithDeadline(ctx, t.held.Deadline())
	defer cancelAtDeadline()
	if !t.held.Valid() || t.superseded {
		return
	}
	o := s.Order
	o.Fence = t.held.Fence
	t.pending[s.Address] = pendingOrder{order: o, incarnation: t.known[s.Address].state.Incarnation, sentAt: time.Now()}
	err := t.engines.Order(ctx, s.Address, o)
	f := eventlog.Fields{Upstream: s.Address, Detail: fmt.Sprintf("%s %s fence %d", o.Kind, o.Weights, o.Fence)}
	if err == nil {
		t.log.Emit(eventlog.OrderSent, f)
		return
	}
	f.Detail += ": " + err.Error()
	t.log.Emit(eventlog.OrderRefused, f)
	if verdict.Of(err) == verdict.NotRun {
		delete(t.pending, s.Address)
	}
}
