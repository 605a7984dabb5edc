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
	// switchLeadTime is the least time between the notice that stops new requests
	// to an engine and the order, so that every daemon has stopped by then and the
	// last prompts that it sent are known.
	switchLeadTime = 90 * time.Millisecond
	// maxPrepareTime bounds the wait for an engine to finish its prompts, from the
	// first notice on. After it, traffic stops and the engine is ordered anyway.
	maxPrepareTime = 1500 * time.Millisecond
	// finishedPromptTokens is the number of uncomputed prompt tokens up to which
	// an engine counts as finished: it computes them within switchLeadTime.
	finishedPromptTokens = 2000
	// switchOrderTimeout bounds one order, reportTimeout one read of its progress.
	switchOrderTimeout = 700 * time.Millisecond
	reportTimeout      = 500 * time.Millisecond
	// firstReportDelay is the time from an accepted order to the first read of
	// its progress; loads take about a second. reportInterval is the pause
	// between further reads.
	firstReportDelay = 900 * time.Millisecond
	reportInterval   = 200 * time.Millisecond
	// unconfirmedOrderLifetime is how long an order may still take effect
	// although no response or report confirms it.
	unconfirmedOrderLifetime = 3 * time.Second
	// switchPollInterval is the pause between two calls of reconcile.
	switchPollInterval = 30 * time.Millisecond
	// runsDuringSwitch lets runs continue under the new weights, so that long
	// ones do not delay the switch.
	runsDuringSwitch = upstream.RunningRequestsContinue
	// retryDelay is how long an engine gets no order after it refused one,
	// could not be reached or did not carry one out.
	retryDelay = 300 * time.Millisecond
)

// switchLeaseName is the name of the lease that a Switcher's orders require.
const switchLeaseName = "weights"

// SwitchLease returns the settings of the lease under which a Switcher sends orders. holder
// names the daemon and an address that no two processes can listen on at a time. Engines
// that check no fences take an order of an earlier holder after one of the present holder:
// there the lease stays unused for another duration when it changes hands. That an order
// takes effect late does no harm, since it holds only after the number of orders that it
// states.
func SwitchLease(holder string, duration time.Duration, fenced bool) lease.Settings {
	s := lease.Settings{Name: switchLeaseName, Holder: holder, ExclusiveHolder: true, Duration: duration, MinHandoverPause: duration}
	if !fenced {
		s.MaxActionDelay, s.MinTakeoverPause = switchOrderTimeout, duration
	}
	return s
}

// Goal is the version that operators request for all engines of a model.
type Goal struct {
	Model   string
	Version int
}

// SwitchNotice reports the progress of an engine's switch to new weights.
type SwitchNotice struct {
	Engine    string
	StartedAt int64
	Model     string
	Version   int
	// Preparing is set while the engine finishes its prompts: an order aborts
	// prompts that are not computed yet, and their prefill is lost.
	Preparing bool
	// Done is set when the engine has the new weights.
	Done bool
	// Orders is the number of orders that the engine is known to have accepted.
	Orders int
}

// SwitchEnvironment gives a Switcher the goals, the state of the engines as the
// daemons know it, and a way to notify all daemons.
type SwitchEnvironment interface {
	// Goals returns one goal per model.
	Goals() []Goal
	// Engines returns the engines that serve a model and are not leaving.
	Engines(model string) []*fleet.Registration
	// Requests returns the number of requests that an engine is known to run and
	// of the prompt tokens that it has yet to compute for them.
	Requests(id string) (requests, uncomputedTokens int)
	// AcceptedOrders returns the number of orders that an engine is known to have
	// accepted in the incarnation that started at startedAt.
	AcceptedOrders(id string, startedAt int64) int
	// Broadcast sends a notice to all daemons, this one included.
	Broadcast(n SwitchNotice)
}

// Switcher brings engines to the versions of the goals while its daemon holds
// the lease.
type Switcher struct {
	SwitchClient upstream.Switches
	Environment  SwitchEnvironment
	Limits       SwitchLimits
	// Holder is the daemon's name, sent with each order.
	Holder string
	Log    *eventlog.Log
}

// AnyEngineBehind reports whether any engine has older weights than its model's goal.
func AnyEngineBehind(env SwitchEnvironment) bool {
	for _, goal := range env.Goals() {
		for _, u := range env.Engines(goal.Model) {
			if u.Version(goal.Model) < goal.Version {
				return true
			}
		}
	}
	return false
}

// engineKey identifies one incarnation of an engine.
type engineKey struct {
	id        string
	startedAt int64
}

// switchProgress is the state of one engine's switch, from the first notice on.
type switchProgress struct {
	version        int
	model          string
	trafficStopped bool // all daemons were told to send no requests
	orderSent      bool
	phaseStart     time.Time // of preparing, then of the stop of traffic, then of the order
	prepareUntil   time.Time // when the engine no longer has time to finish its prompts
	nextReportAt   time.Time
	accepted       bool // the engine accepted the order
	callInFlight   bool
	done           bool
}

// switchSession is the state of a Switcher during one lease.
type switchSession struct {
	*Switcher
	held *lease.Lease

	mu     sync.Mutex
	active map[engineKey]*switchProgress
	// acceptedCounts counts the accepted orders that this lease holder knows of. It has
	// no entry for an engine that it never asked.
	acceptedCounts map[engineKey]int
	// retryAfter holds the end of each engine's retryDelay, failures its number of
	// orders in a row that were not carried out.
	retryAfter map[engineKey]time.Time
	failures   map[engineKey]int
	superseded bool
	wg         sync.WaitGroup
}

// Work sends orders until every engine has the version of its goal, or the
// lease or ctx ends. It is meant as the work function of a lease.Keeper.
func (s *Switcher) Work(ctx context.Context, held *lease.Lease) {
	session := &switchSession{Switcher: s, held: held, active: map[engineKey]*switchProgress{}, acceptedCounts: map[engineKey]int{}, retryAfter: map[engineKey]time.Time{}, failures: map[engineKey]int{}}
	defer session.wg.Wait()
	for held.Valid() && ctx.Err() == nil && !session.isSuperseded() {
		if !session.reconcile(ctx) {
			return
		}
		if backoff.Sleep(ctx, switchPollInterval) != nil {
			return
		}
	}
}

func (s *switchSession) isSuperseded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.superseded
}

// reconcile does what is due and reports whether any engine is still behind or
// switching.
func (s *switchSession) reconcile(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	remaining := false
	for _, goal := range s.Environment.Goals() {
		engines := s.Environment.Engines(goal.Model)
		s.retarget(goal)
		if s.advance(ctx, now, goal.Model, engines) {
			remaining = true
		}
		var candidates []SwitchCandidate
		registrations := map[string]*fleet.Registration{}
		for _, u := range engines {
			key := engineKey{u.ID, u.StartedAt}
			_, active := s.active[key]
			remaining = remaining || u.Version(goal.Model) < goal.Version
			if now.Before(s.retryAfter[key]) {
				continue
			}
			registrations[u.ID] = u
			requests, unfinished := s.Environment.Requests(u.ID)
			candidates = append(candidates, SwitchCandidate{ID: u.ID, Version: u.Version(goal.Model), Switching: active, Failures: s.failures[key], UnfinishedPromptTokens: unfinished, Requests: requests})
		}
		for _, id := range PlanSwitches(goal.Version, candidates, s.Limits) {
			u := registrations[id]
			key, progress := engineKey{u.ID, u.StartedAt}, &switchProgress{version: goal.Version, model: goal.Model, phaseStart: now, prepareUntil: now.Add(maxPrepareTime)}
			s.active[key] = progress
			s.broadcast(key, progress, SwitchNotice{Preparing: true})
		}
		s.stopTraffic(now, goal.Model, s.Limits.maxUnavailable(len(engines)))
	}
	return remaining || len(s.active) > 0
}

// retarget raises the version of switches whose order is not sent yet to that
// of the goal.
func (s *switchSession) retarget(goal Goal) {
	for _, progress := range s.active {
		if progress.model == goal.Model && !progress.orderSent && !progress.callInFlight {
			progress.version = max(progress.version, goal.Version)
		}
	}
}

// stopTraffic tells all daemons to send no requests to the engines that have
// finished their prompts or had maxPrepareTime for it, longest waiting first.
// At most slots engines of the model are without traffic at a time.
func (s *switchSession) stopTraffic(now time.Time, model string, slots int) {
	var waiting []engineKey
	for key, progress := range s.active {
		switch {
		case progress.model != model:
		case progress.trafficStopped:
			slots--
		case !progress.done:
			waiting = append(waiting, key)
		}
	}
	slices.SortFunc(waiting, func(a, b engineKey) int {
		return cmp.Or(s.active[a].phaseStart.Compare(s.active[b].phaseStart), cmp.Compare(a.id, b.id))
	})
	for _, key := range waiting {
		progress := s.active[key]
		if slots <= 0 || !s.isPrepared(now, key, progress) {
			continue
		}
		progress.trafficStopped, progress.phaseStart = true, now
		slots--
		s.broadcast(key, progress, SwitchNotice{})
	}
}

// isPrepared reports whether an engine has finished its prompts, as far as the
// daemons know, or had maxPrepareTime for it.
func (s *switchSession) isPrepared(now time.Time, key engineKey, progress *switchProgress) bool {
	_, unfinished := s.Environment.Requests(key.id)
	return unfinished <= finishedPromptTokens || !now.Before(progress.prepareUntil)
}

// broadcast completes a notice of a switch and sends it to all daemons.
func (s *switchSession) broadcast(key engineKey, progress *switchProgress, n SwitchNotice) {
	n.Engine, n.StartedAt, n.Model, n.Version, n.Orders = key.id, key.startedAt, progress.model, progress.version, s.acceptedOrders(key)
	s.Environment.Broadcast(n)
}

// advance starts the call that is due for each active switch of a model and drops
// those that are over. It reports whether any switch is left.
func (s *switchSession) advance(ctx context.Context, now time.Time, model string, engines []*fleet.Registration) bool {
	present := map[engineKey]*fleet.Registration{}
	for _, u := range engines {
		present[engineKey{u.ID, u.StartedAt}] = u
	}
	for key, progress := range s.active {
		u := present[key]
		switch {
		case progress.model != model:
		case u == nil || progress.done:
			delete(s.active, key)
		case u.Version(progress.model) >= progress.version:
			s.finish(key, progress)
		case progress.callInFlight:
		case !progress.orderSent && !s.isCountKnown(key):
			s.startCall(progress, func() { s.fetchOrderCount(ctx, u, key, progress) })
		case !progress.trafficStopped:
		case !progress.orderSent:
			// A prompt sent shortly before a daemon had the notice that stops traffic
			// becomes known after the notice was sent.
			if now.Sub(progress.phaseStart) >= switchLeadTime && s.isPrepared(now, key, progress) {
				s.startCall(progress, func() { s.sendOrder(ctx, u, key, progress) })
			}
		case !now.Before(progress.nextReportAt):
			s.startCall(progress, func() { s.fetchReport(ctx, u, key, progress) })
		}
	}
	return len(s.active) > 0
}

func (s *switchSession) startCall(progress *switchProgress, call func()) {
	progress.callInFlight = true
	s.wg.Go(call)
}

// finish ends a switch after its engine has the new weights.
func (s *switchSession) finish(key engineKey, progress *switchProgress) {
	progress.done = true
	delete(s.active, key)
	delete(s.failures, key)
	s.broadcast(key, progress, SwitchNotice{Done: true})
}

// postpone ends a switch that did not succeed; it is planned again later.
func (s *switchSession) postpone(key engineKey, now time.Time) {
	s.retryAfter[key] = now.Add(retryDelay)
	s.failures[key]++
	delete(s.active, key)
}

// acceptedOrders returns the number of orders that an engine is known to have
// accepted.
func (s *switchSession) acceptedOrders(key engineKey) int {
	return max(s.acceptedCounts[key], s.Environment.AcceptedOrders(key.id, key.startedAt))
}

// isCountKnown reports whether any daemon knows how many orders an engine accepted.
func (s *switchSession) isCountKnown(key engineKey) bool {
	_, asked := s.acceptedCounts[key]
	return asked || s.Environment.AcceptedOrders(key.id, key.startedAt) > 0
}

// fetchOrderCount reads how many orders an engine accepted: the daemons that knew may
// all be gone. Without an answer the order, which the engine then refuses, tells.
func (s *switchSession) fetchOrderCount(ctx context.Context, u *fleet.Registration, key engineKey, progress *switchProgress) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := s.SwitchClient.Report(ctx, u.ID, u.Address)
	if err != nil {
		s.Log.Emit(eventlog.OrderRefused, eventlog.Fields{Service: u.Service, Upstream: u.ID, Detail: "read the number of orders: " + err.Error()})
	}
	s.completeCall(progress, func() { s.acceptedCounts[key] = max(s.acceptedCounts[key], report.Orders) })
}

// sendOrder sends the order under the lease.
func (s *switchSession) sendOrder(ctx context.Context, u *fleet.Registration, key engineKey, progress *switchProgress) {
	ctx, cancel := context.WithTimeout(ctx, switchOrderTimeout)
	defer cancel()
	s.mu.Lock()
	count := s.acceptedOrders(key)
	s.mu.Unlock()
	if !s.held.Valid() {
		s.completeCall(progress, func() { delete(s.active, key) })
		return
	}
	o := upstream.SwitchOrder{Engine: u.ID, Address: u.Address, Model: progress.model, Version: progress.version, RunningRequests: runsDuringSwitch, Holder: s.Holder, Fence: s.held.Fence, AfterOrders: count}
	result, err := s.SwitchClient.Switch(ctx, o)
	f := eventlog.Fields{Service: u.Service, Upstream: u.ID, Detail: fmt.Sprintf("%s version %d, fence %d, after %d orders: %s", o.Model, o.Version, o.Fence, o.AfterOrders, result)}
	if err != nil {
		f.Detail += ": " + err.Error()
	}
	event := eventlog.OrderSent
	if result == upstream.SwitchRefused || result == upstream.SwitchSuperseded {
		event = eventlog.OrderRefused
	}
	s.Log.Emit(event, f)
	s.completeCall(progress, func() { s.handleOrderResult(key, progress, count, result) })
}

// completeCall ends an order or a read of progress and applies its outcome,
// unless the switch is over.
func (s *switchSession) completeCall(progress *switchProgress, apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	progress.callInFlight = false
	if !progress.done {
		apply()
	}
}

func (s *switchSession) handleOrderResult(key engineKey, progress *switchProgress, count int, result upstream.SwitchResult) {
	now := time.Now()
	switch result {
	case upstream.SwitchAlreadyLoaded:
		s.finish(key, progress)
	case upstream.SwitchAccepted:
		s.acceptedCounts[key] = count + 1
		progress.orderSent, progress.accepted, progress.phaseStart, progress.nextReportAt = true, true, now, now.Add(firstReportDelay)
	case upstream.SwitchUnanswered:
		progress.orderSent, progress.phaseStart, progress.nextReportAt = true, now, now.Add(reportInterval)
	case upstream.SwitchSuperseded:
		s.superseded = true
	case upstream.SwitchConflict:
		// Another order is in progress, or the engine has accepted another number
		// of orders: its report, read next, tells which. The phase counts as expired,
		// so that the switch is planned again if no order is in progress.
		progress.orderSent, progress.phaseStart, progress.nextReportAt = true, now.Add(-unconfirmedOrderLifetime), now
	default:
		s.postpone(key, now)
	}
}

// fetchReport reads the progress of an engine's switch.
func (s *switchSession) fetchReport(ctx context.Context, u *fleet.Registration, key engineKey, progress *switchProgress) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := s.SwitchClient.Report(ctx, u.ID, u.Address)
	if err != nil {
		s.Log.Emit(eventlog.OrderRefused, eventlog.Fields{Service: u.Service, Upstream: u.ID, Detail: "read the progress of the switch: " + err.Error()})
	}
	s.completeCall(progress, func() { s.handleReport(key, progress, report, err) })
}

func (s *switchSession) handleReport(key engineKey, progress *switchProgress, report upstream.SwitchReport, err error) {
	now := time.Now()
	progress.nextReportAt = now.Add(reportInterval)
	if err != nil {
		// An unreachable engine gives its slot to another one.
		if verdict.Of(err) == verdict.NotRun || now.Sub(progress.phaseStart) > unconfirmedOrderLifetime {
			s.postpone(key, now)
		}
		return
	}
	s.acceptedCounts[key] = max(s.acceptedCounts[key], report.Orders)
	switch {
	case report.Versions[progress.model] >= progress.version && !report.Busy:
		s.finish(key, progress)
	case report.Busy:
	case !progress.accepted && now.Sub(progress.phaseStart) > reportInterval || progress.accepted && now.Sub(progress.phaseStart) > unconfirmedOrderLifetime:
		// The order was not carried out: the switch is planned again.
		s.postpone(key, now)
	}
}
