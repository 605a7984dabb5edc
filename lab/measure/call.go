package measure

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// call is one request of a caller on its way through the system.
type call struct {
	*arrival
	requestID string
	request   *routing.Request
	// live holds the attempts that have not ended.
	live []*attempt
	// entered is when the request came to a daemon first.
	entered time.Duration
	// wait is the time from entered until the engine that answered started.
	wait     time.Duration
	ttft     time.Duration
	cached   int
	state    callState
	mayRun   bool
	winner   *attempt
	tries    int
	refusals int
	// refusedAfter is the time from the latest arrival at a daemon to its refusal.
	refusedAfter time.Duration
	submitted    time.Duration
	finished     time.Duration
}

// callState is how a call stands or ended.
type callState int8

const (
	open callState = iota
	completed
	refused
	lost
)

// failure is why an attempt failed.
type failure int8

const (
	// rejected means that the engine refused before any work.
	rejected failure = iota
	// connectionRefused means that the engine was not reached.
	connectionRefused
	// connectionLost means that the engine may have run the attempt.
	connectionLost
)

const (
	// maxAttempts bounds the attempts of one call at engines, hedges apart.
	maxAttempts = 4
	// callerRetries bounds how often a caller sends refused work again.
	callerRetries = 3
	// reconnectDelay is how long a caller takes to turn to another daemon.
	reconnectDelay = 50 * time.Millisecond
	// callerRetryDelay is used when a refusal names no time to retry.
	callerRetryDelay = time.Second
)

// arrive sends a caller's request to the daemon of its cached entries answer.
func (w *world) arrive(c *call) {
	d := w.entry(c.caller)
	w.after(w.net.delay(w.now, clients, d.dataCentre), func() { w.enter(d, c) })
}

func (w *world) enter(d *daemon, c *call) {
	if d.down {
		w.forget(c.caller)
		w.after(reconnectDelay, func() { w.arrive(c) })
		return
	}
	if c.entered == 0 {
		c.entered = w.now
	}
	c.submitted = w.now
	w.hand(d, c, newRequest(w, c))
}

func newRequest(w *world, c *call) *routing.Request {
	class := w.classes[c.kind.class]
	r := &routing.Request{
		ID: c.requestID, Organisation: organisationName(c.organisation), Share: w.load.organisations[c.organisation],
		Class: routing.Class{
			Name: c.kind.class, Priority: class.priority,
			Deferrable: class.deferrable, MaxWait: class.maxWait,
		},
		Weights: weightsName(c.weights), Chain: c.chain, PromptTokens: c.prompt, MaxOutputTokens: c.allowed,
		Repeatable: c.kind.repeatable,
	}
	if !class.deferrable {
		r.Deadline = wall(w.now + class.inTime)
	}
	return r
}

// hand submits a request to the daemon's scheduler.
func (w *world) hand(d *daemon, c *call, r *routing.Request) {
	c.request = r
	d.waiting = append(d.waiting, c)
	d.scheduler.Submit(wall(w.now), r)
	w.pump(d)
}

// carryOut does what the scheduler decided.
func (w *world) carryOut(d *daemon, act routing.Action) {
	c := w.calls[act.Request.ID]
	switch act.Kind {
	case routing.Refuse:
		d.waiting = without(d.waiting, c)
		w.refuse(d, c, act.RetryAfter)
	case routing.Start:
		d.waiting = without(d.waiting, c)
		w.countStart(c, act.Request)
		w.startAttempt(d, c, act, false)
	case routing.Hedge:
		w.tally.hedges++
		if !c.kind.repeatable {
			w.tally.forbidden++
		}
		w.startAttempt(d, c, act, true)
	}
}

func (w *world) countStart(c *call, r *routing.Request) {
	c.tries++
	w.tally.starts++
	if r.Attempt == 0 {
		return
	}
	w.tally.retries++
	if !c.kind.repeatable && c.mayRun {
		w.tally.forbidden++
	}
}

func (w *world) startAttempt(d *daemon, c *call, act routing.Action, hedge bool) {
	w.attempts++
	a := &attempt{id: w.attempts, call: c, daemon: d, generation: d.generation, engine: w.engineByID(act.Endpoint), hedge: hedge}
	c.live = append(c.live, a)
	d.attempts[a.id] = a
	w.toEngine(a, act.Incarnation)
}

// refuse ends a call, unless its caller sends it again.
func (w *world) refuse(d *daemon, c *call, retryAfter time.Duration) {
	if c.state != open || len(c.live) > 0 {
		return
	}
	after := w.now - c.submitted
	if after > max(refusalGrace, w.classes[c.kind.class].maxWait+refusalGrace) && !c.mayRun {
		w.tally.refusalsLate++
	}
	if w.scenario.callersRetry && c.refusals < callerRetries && !c.mayRun {
		c.refusals++
		if retryAfter <= 0 {
			retryAfter = callerRetryDelay
		}
		w.tally.callerRetries++
		w.after(retryAfter+w.net.delay(w.now, d.dataCentre, clients), func() { w.arrive(c) })
		return
	}
	c.state = refused
	if c.mayRun {
		c.state = lost
	}
	c.refusedAfter = after
}

// refusalGrace is how late a refusal may come.
const refusalGrace = 50 * time.Millisecond

// tell passes a change of an attempt to its scheduler, unless that was replaced.
func (w *world) tell(a *attempt, say func(routing.Scheduler)) {
	if a.daemon.generation == a.generation && !a.daemon.down {
		say(a.daemon.scheduler)
	}
}

func (w *world) gotFirstToken(a *attempt, cached int) {
	c := a.call
	if a.ended || c.state != open {
		return
	}
	a.firstToken = true
	c.winner = a
	c.cached = cached
	c.wait = a.started - c.entered
	c.ttft = w.now + w.load.client - c.at
	w.cancelOthers(c, a)
	w.withdraw(a)
	w.tell(a, func(s routing.Scheduler) { s.FirstToken(wall(w.now), c.requestID, a.engine.id, cached) })
	w.pump(a.daemon)
}

// withdraw ends the interest in further copies, as package dispatch does
// whenever a race between the copies of a request is over.
func (w *world) withdraw(a *attempt) {
	w.tell(a, func(s routing.Scheduler) { s.Withdraw(wall(w.now), a.call.requestID) })
}

// cancelOthers stops the copies that lost.
func (w *world) cancelOthers(c *call, winner *attempt) {
	for _, other := range slices.Clone(c.live) {
		if other == winner {
			continue
		}
		w.cancel(other)
		c.live = without(c.live, other)
		w.tell(other, func(s routing.Scheduler) {
			s.Finished(wall(w.now), c.requestID, other.engine.id, routing.Canceled, 0)
		})
	}
}

func (w *world) gotWhole(a *attempt) {
	c := a.call
	if a.ended {
		return
	}
	a.end()
	c.live = without(c.live, a)
	if c.state == open {
		c.state = completed
		c.finished = w.now
	}
	w.tell(a, func(s routing.Scheduler) {
		s.Finished(wall(w.now), c.requestID, a.engine.id, routing.Completed, c.output)
	})
	w.pump(a.daemon)
}

// attemptFailed ends an attempt and tries again where that is allowed.
func (w *world) attemptFailed(a *attempt, why failure) {
	c := a.call
	if a.ended {
		return
	}
	a.end()
	c.live = without(c.live, a)
	outcome := routing.Failed
	if why == rejected {
		outcome = routing.Rejected
	}
	if why == connectionLost {
		c.mayRun = true
	}
	w.tell(a, func(s routing.Scheduler) { s.Finished(wall(w.now), c.requestID, a.engine.id, outcome, 0) })
	if len(c.live) == 0 && c.state == open {
		w.withdraw(a)
		w.tryAgain(a)
	}
	w.pump(a.daemon)
}

func (w *world) tryAgain(a *attempt) {
	c := a.call
	if a.firstToken || c.mayRun && !c.kind.repeatable || c.tries >= maxAttempts {
		c.state = refused
		if c.mayRun || a.firstToken {
			c.state = lost
		}
		return
	}
	if a.daemon.down || a.daemon.generation != a.generation {
		w.after(reconnectDelay, func() { w.arrive(c) })
		return
	}
	r := *c.request
	r.Attempt++
	r.Avoid = append(slices.Clone(r.Avoid), a.engine.id)
	w.hand(a.daemon, c, &r)
}

func without[T comparable](s []T, v T) []T {
	return slices.DeleteFunc(s, func(x T) bool { return x == v })
}
