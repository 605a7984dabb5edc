package measure

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// call is one request of a caller, across all its attempts and the caller's retries.
type call struct {
	*arrival
	requestID string
	request   *routing.Request
	// activeAttempts are the attempts that have not ended.
	activeAttempts []*attempt
	// enteredAt is when the request first arrived at a daemon.
	enteredAt time.Duration
	// wait is the time from enteredAt until the winning attempt started at its engine.
	wait         time.Duration
	ttft         time.Duration
	cachedTokens int
	state        callState
	mayHaveRun   bool
	winner       *attempt
	attemptCount int
	refusalCount int
	// refusalDelay is the time from the last arrival at a daemon to the refusal.
	refusalDelay time.Duration
	submittedAt  time.Duration
	finishedAt   time.Duration
}

// callState says whether a call is open or how it ended.
type callState int8

const (
	open callState = iota
	completed
	refused
	lost
)

// failureCause is why an attempt failed.
type failureCause int8

const (
	// rejected means that the engine refused the attempt before any work.
	rejected failureCause = iota
	// connectionRefused means that the engine could not be reached.
	connectionRefused
	// connectionLost means that the connection broke and the engine may have run the attempt.
	connectionLost
)

const (
	// maxAttemptsPerCall limits the attempts of one call at engines, without hedged ones.
	maxAttemptsPerCall = 4
	// maxCallerRetries limits how often a caller retries a refused request.
	maxCallerRetries = 3
	// reconnectDelay is how long a caller takes to switch to another daemon.
	reconnectDelay = 50 * time.Millisecond
	// defaultCallerRetryDelay is used when a refusal has no Retry-After delay.
	defaultCallerRetryDelay = time.Second
)

// sendRequest sends a request to the daemon in the caller's cached entries response.
func (sim *simulation) sendRequest(c *call) {
	d := sim.entryDaemon(c.caller)
	sim.after(sim.net.delay(sim.now, callerLocation, d.dataCentre), func() { sim.receiveRequest(d, c) })
}

func (sim *simulation) receiveRequest(d *daemon, c *call) {
	if d.down {
		sim.dropCachedEntry(c.caller)
		sim.after(reconnectDelay, func() { sim.sendRequest(c) })
		return
	}
	if c.enteredAt == 0 {
		c.enteredAt = sim.now
	}
	c.submittedAt = sim.now
	sim.submitToScheduler(d, c, newRequest(sim, c))
}

func newRequest(sim *simulation, c *call) *routing.Request {
	class := sim.classes[c.kind.class]
	r := &routing.Request{
		ID: c.requestID, Organisation: organisationName(c.organisation), Share: sim.workload.organisationShares[c.organisation],
		Class: routing.Class{
			Name: c.kind.class, Priority: class.priority,
			Deferrable: class.deferrable, MaxWait: class.maxWait,
		},
		Weights: weightsName(c.weights), Chain: c.chain, PromptTokens: c.promptTokens, MaxOutputTokens: c.maxOutputTokens,
		Repeatable: c.kind.repeatable,
	}
	if !class.deferrable {
		r.Deadline = wallTime(sim.now + class.firstTokenGoal)
	}
	return r
}

// submitToScheduler queues a call at the daemon and submits r to its scheduler.
func (sim *simulation) submitToScheduler(d *daemon, c *call, r *routing.Request) {
	c.request = r
	d.queued = append(d.queued, c)
	d.scheduler.Submit(wallTime(sim.now), r)
	sim.runScheduler(d)
}

// apply carries out one action of the daemon's scheduler.
func (sim *simulation) apply(d *daemon, act routing.Action) {
	c := sim.callsByID[act.Request.ID]
	switch act.Kind {
	case routing.Refuse:
		d.queued = remove(d.queued, c)
		sim.refuse(d, c, act.RetryAfter)
	case routing.Start:
		d.queued = remove(d.queued, c)
		sim.countAttempt(c, act.Request)
		sim.startAttempt(d, c, act, false)
	case routing.Hedge:
		sim.counters.hedges++
		if !c.kind.repeatable {
			sim.counters.forbiddenRepeats++
		}
		sim.startAttempt(d, c, act, true)
	}
}

func (sim *simulation) countAttempt(c *call, r *routing.Request) {
	c.attemptCount++
	sim.counters.attempts++
	if r.PreviousAttempts == 0 {
		return
	}
	sim.counters.retries++
	if !c.kind.repeatable && c.mayHaveRun {
		sim.counters.forbiddenRepeats++
	}
}

func (sim *simulation) startAttempt(d *daemon, c *call, act routing.Action, hedge bool) {
	sim.lastAttemptID++
	a := &attempt{id: sim.lastAttemptID, call: c, daemon: d, generation: d.generation, engine: sim.engineByID(act.Endpoint), hedge: hedge}
	c.activeAttempts = append(c.activeAttempts, a)
	d.activeAttempts[a.id] = a
	sim.sendToEngine(a, act.Incarnation)
}

// refuse ends a call as refused, or as lost if it may have run, unless the caller retries it.
func (sim *simulation) refuse(d *daemon, c *call, retryAfter time.Duration) {
	if c.state != open || len(c.activeAttempts) > 0 {
		return
	}
	delay := sim.now - c.submittedAt
	if delay > max(lateRefusalGrace, sim.classes[c.kind.class].maxWait+lateRefusalGrace) && !c.mayHaveRun {
		sim.counters.lateRefusals++
	}
	if sim.scenario.callersRetry && c.refusalCount < maxCallerRetries && !c.mayHaveRun {
		c.refusalCount++
		if retryAfter <= 0 {
			retryAfter = defaultCallerRetryDelay
		}
		sim.counters.callerRetries++
		sim.after(retryAfter+sim.net.delay(sim.now, d.dataCentre, callerLocation), func() { sim.sendRequest(c) })
		return
	}
	c.state = refused
	if c.mayHaveRun {
		c.state = lost
	}
	c.refusalDelay = delay
}

// lateRefusalGrace is how long after MaxWait a refusal does not yet count as late.
const lateRefusalGrace = 50 * time.Millisecond

// notifyScheduler calls notify with the attempt's scheduler, unless its daemon is
// down or has replaced the scheduler.
func (sim *simulation) notifyScheduler(a *attempt, notify func(routing.Scheduler)) {
	if a.daemon.generation == a.generation && !a.daemon.down {
		notify(a.daemon.scheduler)
	}
}

func (sim *simulation) handleFirstToken(a *attempt, cached int) {
	c := a.call
	if a.ended || c.state != open {
		return
	}
	a.firstToken = true
	c.winner = a
	c.cachedTokens = cached
	c.wait = a.startedAt - c.enteredAt
	c.ttft = sim.now + sim.workload.callerDelay - c.at
	sim.cancelOtherAttempts(c, a)
	sim.withdraw(a)
	sim.notifyScheduler(a, func(s routing.Scheduler) { s.FirstToken(wallTime(sim.now), c.requestID, a.engine.id, cached) })
	sim.runScheduler(a.daemon)
}

// withdraw tells the scheduler that the call needs no further attempts, as package
// dispatch does once one attempt has won or all have failed.
func (sim *simulation) withdraw(a *attempt) {
	sim.notifyScheduler(a, func(s routing.Scheduler) { s.Withdraw(wallTime(sim.now), a.call.requestID) })
}

// cancelOtherAttempts cancels all attempts of a call but the winner.
func (sim *simulation) cancelOtherAttempts(c *call, winner *attempt) {
	for _, other := range slices.Clone(c.activeAttempts) {
		if other == winner {
			continue
		}
		sim.cancelAttempt(other)
		c.activeAttempts = remove(c.activeAttempts, other)
		sim.notifyScheduler(other, func(s routing.Scheduler) {
			s.Finished(wallTime(sim.now), c.requestID, other.engine.id, routing.Canceled, 0)
		})
	}
}

func (sim *simulation) handleCompletion(a *attempt) {
	c := a.call
	if a.ended {
		return
	}
	a.markEnded()
	c.activeAttempts = remove(c.activeAttempts, a)
	if c.state == open {
		c.state = completed
		c.finishedAt = sim.now
	}
	sim.notifyScheduler(a, func(s routing.Scheduler) {
		s.Finished(wallTime(sim.now), c.requestID, a.engine.id, routing.Completed, c.outputTokens)
	})
	sim.runScheduler(a.daemon)
}

// handleFailure ends an attempt and retries the call if no other attempt is active
// and the call may be retried.
func (sim *simulation) handleFailure(a *attempt, cause failureCause) {
	c := a.call
	if a.ended {
		return
	}
	a.markEnded()
	c.activeAttempts = remove(c.activeAttempts, a)
	outcome := routing.Failed
	if cause == rejected {
		outcome = routing.Rejected
	}
	if cause == connectionLost {
		c.mayHaveRun = true
	}
	sim.notifyScheduler(a, func(s routing.Scheduler) { s.Finished(wallTime(sim.now), c.requestID, a.engine.id, outcome, 0) })
	if len(c.activeAttempts) == 0 && c.state == open {
		sim.withdraw(a)
		sim.retry(a)
	}
	sim.runScheduler(a.daemon)
}

func (sim *simulation) retry(a *attempt) {
	c := a.call
	if a.firstToken || c.mayHaveRun && !c.kind.repeatable || c.attemptCount >= maxAttemptsPerCall {
		c.state = refused
		if c.mayHaveRun || a.firstToken {
			c.state = lost
		}
		return
	}
	if a.daemon.down || a.daemon.generation != a.generation {
		sim.after(reconnectDelay, func() { sim.sendRequest(c) })
		return
	}
	r := *c.request
	r.PreviousAttempts++
	r.ExcludedEndpoints = append(slices.Clone(r.ExcludedEndpoints), a.engine.id)
	sim.submitToScheduler(a.daemon, c, &r)
}

func remove[T comparable](s []T, v T) []T {
	return slices.DeleteFunc(s, func(x T) bool { return x == v })
}
