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
	// LeaseName is the name of the lease under which orders are sent.
	LeaseName = "rollout"
	// MaxOrderDelay is the longest time from sending an order to its effect; a new
	// lease holder must wait at least as long before it acts.
	MaxOrderDelay = 5 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 4 * time.Second
	// stateReadTimeout bounds one read of an engine's state.
	stateReadTimeout = 2 * time.Second
	// unconfirmedLoadTimeout is how long after its order an engine that can't be
	// read still counts as loading.
	unconfirmedLoadTimeout = time.Minute
	// busyInterval and idleInterval are the pauses between two calls of
	// reconcile, with and without orders to follow up.
	busyInterval = 250 * time.Millisecond
	idleInterval = 500 * time.Millisecond
	// maxParallelReads bounds the concurrent reads of engine states.
	maxParallelReads = 16
)

// Runner orders engines to load and unload weights while its daemon holds the
// lease.
type Runner struct {
	engines upstream.Engines
	docs    func() map[string]*servicedoc.Accepted
	fleet   func() *fleet.Snapshot
	log     *eventlog.Log
}

// NewRunner returns a Runner. docs and fleet return the current snapshots.
func NewRunner(engines upstream.Engines, docs func() map[string]*servicedoc.Accepted, fleet func() *fleet.Snapshot, log *eventlog.Log) *Runner {
	return &Runner{engines: engines, docs: docs, fleet: fleet, log: log}
}

// Work sends orders until ctx or the lease ends. It is meant as the work
// function of a lease.Keeper.
func (r *Runner) Work(ctx context.Context, held *lease.Lease) {
	session := &runnerSession{Runner: r, held: held, readings: map[string]stateReading{}, pending: map[string]pendingOrder{}}
	for held.Valid() && ctx.Err() == nil {
		pause := idleInterval
		if session.reconcile(ctx) {
			pause = busyInterval
		}
		if backoff.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// stateReading is an engine's state and when this daemon read it.
type stateReading struct {
	state  upstream.EngineState
	readAt time.Time
}

// pendingOrder is an order whose effect is not read back yet.
type pendingOrder struct {
	order       upstream.Order
	incarnation string
	sentAt      time.Time
}

// runnerSession is the state of a Runner during one lease.
type runnerSession struct {
	*Runner
	held     *lease.Lease
	readings map[string]stateReading
	pending  map[string]pendingOrder
	// superseded is set when an engine has seen a greater fencing token.
	superseded bool
}

// reconcile sends the orders that are due and reports whether any has to be
// followed up.
func (s *runnerSession) reconcile(ctx context.Context) bool {
	s.read(ctx, s.enginesToRead())
	s.dropSettledOrders()
	steps := Plan(s.docs(), s.candidates())
	if len(steps) == 0 {
		return len(s.pending) > 0
	}
	// Read the engines again and send only the orders that still hold for the
	// fresh states.
	s.read(ctx, stepAddresses(steps))
	for _, step := range Plan(s.docs(), s.candidates()) {
		if slices.Contains(steps, step) {
			s.send(ctx, step)
		}
	}
	return true
}

func stepAddresses(steps []Step) []string {
	var list []string
	for _, s := range steps {
		list = append(list, s.Address)
	}
	return list
}

// engineAddresses returns the addresses of the engines of all model services.
func (s *runnerSession) engineAddresses() []string {
	var list []string
	for service, upstreams := range s.fleet().ByService {
		if doc := s.docs()[service]; doc == nil || doc.Document.Kind != servicedoc.KindModel {
			continue
		}
		for _, u := range upstreams {
			list = append(list, u.Address)
		}
	}
	return list
}

// enginesToRead returns the addresses of the engines whose state is unknown,
// outdated or about to change.
func (s *runnerSession) enginesToRead() []string {
	var list []string
	for _, a := range s.engineAddresses() {
		_, pending := s.pending[a]
		if reading, ok := s.readings[a]; pending || !ok || reading.state.Loading || s.readingOutdated(a, reading) {
			list = append(list, a)
		}
	}
	return list
}

// readingOutdated reports whether the fleet learnt of another state after the
// reading.
func (s *runnerSession) readingOutdated(address string, reading stateReading) bool {
	u := s.fleet().ByAddress[address]
	if u == nil || !u.ReportedAt.After(reading.readAt) {
		return false
	}
	return u.Engine.Incarnation != reading.state.Incarnation || !slices.Equal(u.Engine.Weights, reading.state.Weights)
}

// read reads the states of engines. It keeps the last state of one that does
// not answer only while an order to it is pending.
func (s *runnerSession) read(ctx context.Context, addresses []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelReads)
	for _, address := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, stateReadTimeout)
			defer cancel()
			state, err := s.engines.State(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				s.readings[address] = stateReading{state: state, readAt: time.Now()}
			} else if _, ordered := s.pending[address]; !ordered {
				delete(s.readings, address)
			}
		})
	}
	wg.Wait()
}

// dropSettledOrders drops the pending orders that need no more follow-up, and
// sets superseded when an engine reports a greater fencing token.
func (s *runnerSession) dropSettledOrders() {
	for address, p := range s.pending {
		if s.orderSettled(address, p) {
			delete(s.pending, address)
		}
	}
	for _, reading := range s.readings {
		s.superseded = s.superseded || reading.state.Fence > s.held.Fence
	}
}

// orderSettled reports whether an order has taken effect or no longer can. An
// order to an engine that can't be read is given up after
// unconfirmedLoadTimeout.
func (s *runnerSession) orderSettled(address string, p pendingOrder) bool {
	reading, ok := s.readings[address]
	age := time.Since(p.sentAt)
	if !ok || reading.readAt.Before(p.sentAt) {
		return age > unconfirmedLoadTimeout
	}
	if reading.state.Incarnation != p.incarnation {
		return true
	}
	if reading.state.Loading {
		return false
	}
	done := slices.Contains(reading.state.Weights, p.order.Weights) == (p.order.Kind == upstream.OrderLoad)
	return done || age > MaxOrderDelay && reading.readAt.Sub(p.sentAt) > MaxOrderDelay
}

// candidates returns all engines with their newest known states. Engines whose
// state could not be read get no orders.
func (s *runnerSession) candidates() []Candidate {
	var list []Candidate
	snapshot := s.fleet()
	for _, address := range s.engineAddresses() {
		u := snapshot.ByAddress[address]
		reading, ok := s.readings[address]
		if u == nil || !ok && !u.Engine.Loading {
			continue
		}
		if !ok {
			reading.state = u.Engine // does not answer, but may still be loading
		}
		_, pending := s.pending[address]
		current := *u
		current.Engine = reading.state
		list = append(list, Candidate{Upstream: &current, Weights: reading.state.Weights, Busy: pending || reading.state.Loading})
	}
	return list
}

// send sends one order under the lease.
func (s *runnerSession) send(ctx context.Context, step Step) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ctx, cancelAtDeadline := context.WithDeadline(ctx, s.held.Deadline())
	defer cancelAtDeadline()
	if !s.held.Valid() || s.superseded {
		return
	}
	o := step.Order
	o.Fence = s.held.Fence
	s.pending[step.Address] = pendingOrder{order: o, incarnation: s.readings[step.Address].state.Incarnation, sentAt: time.Now()}
	err := s.engines.Order(ctx, step.Address, o)
	f := eventlog.Fields{Upstream: step.Address, Detail: fmt.Sprintf("%s %s fence %d", o.Kind, o.Weights, o.Fence)}
	if err == nil {
		s.log.Emit(eventlog.OrderSent, f)
		return
	}
	f.Detail += ": " + err.Error()
	s.log.Emit(eventlog.OrderRefused, f)
	if verdict.Of(err) == verdict.NotRun {
		delete(s.pending, step.Address)
	}
}
