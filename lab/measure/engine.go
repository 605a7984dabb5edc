package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/lab/enginemodel"
)

// engine is an engine model together with its data centre, state and attempts.
type engine struct {
	id             string
	dataCentre     int
	model          *enginemodel.Engine
	incarnation    int
	weights        []string
	down           bool
	frozen         bool
	activeAttempts map[int]*attempt
	// eventGeneration is incremented whenever the next event is rescheduled, so
	// that an outdated wake-up does nothing.
	eventGeneration uint64
}

// attempt is one attempt of a call at an engine.
type attempt struct {
	id     int
	call   *call
	daemon *daemon
	// generation is the daemon's generation at the start of the attempt.
	generation int
	engine     *engine
	hedge      bool
	// startedAt is when the attempt got a slot at the engine.
	startedAt  time.Duration
	firstToken bool
	ended      bool
	// lastDelivery is when the latest message arrives at the daemon; later
	// messages arrive no earlier, which keeps them in order.
	lastDelivery time.Duration
}

func weightsName(version int) string { return fmt.Sprintf("opal@%d", version) }

// sendToEngine sends a new attempt over the network.
func (sim *simulation) sendToEngine(a *attempt, incarnation string) {
	e := a.engine
	sim.after(sim.net.delay(sim.now, a.daemon.dataCentre, e.dataCentre), func() {
		switch {
		case a.ended:
		case e.down:
			sim.sendToDaemon(a, func() { sim.handleFailure(a, connectionRefused) })
		case incarnation != e.incarnationName() || !slices.Contains(e.weights, a.call.request.Weights):
			sim.sendToDaemon(a, func() { sim.handleFailure(a, rejected) })
		default:
			sim.submitToEngine(e, a)
		}
	})
}

func (e *engine) incarnationName() string { return fmt.Sprintf("%s/%d", e.id, e.incarnation) }

func (sim *simulation) submitToEngine(e *engine, a *attempt) {
	ok := e.model.Submit(sim.now, enginemodel.Job{
		ID: a.id, Blocks: a.call.chain.Blocks, PromptTokens: a.call.promptTokens,
		OutputTokens: a.call.outputTokens, Priority: a.call.request.Class.Priority,
	})
	if !ok {
		sim.sendToDaemon(a, func() { sim.handleFailure(a, rejected) })
		return
	}
	e.activeAttempts[a.id] = a
	sim.processEvents(e)
}

// processEvents sends an engine's events to the daemons and schedules the next one.
func (sim *simulation) processEvents(e *engine) {
	for _, ev := range e.model.Advance(sim.now) {
		a := e.activeAttempts[ev.ID]
		switch ev.Kind {
		case enginemodel.Started:
			a.startedAt = sim.now
		case enginemodel.FirstToken:
			cached := ev.CachedTokens
			sim.sendToDaemon(a, func() { sim.handleFirstToken(a, cached) })
		case enginemodel.Finished:
			delete(e.activeAttempts, ev.ID)
			sim.sendToDaemon(a, func() { sim.handleCompletion(a) })
		}
	}
	e.eventGeneration++
	generation := e.eventGeneration
	if t, ok := e.model.NextEvent(); ok {
		sim.at(t, func() {
			if e.eventGeneration == generation {
				sim.processEvents(e)
			}
		})
	}
}

// sendToDaemon schedules deliver for when a message of the attempt reaches the
// daemon, not before the attempt's earlier messages.
func (sim *simulation) sendToDaemon(a *attempt, deliver func()) {
	t := sim.now + sim.net.delay(sim.now, a.engine.dataCentre, a.daemon.dataCentre)
	a.lastDelivery = max(a.lastDelivery, t)
	sim.at(a.lastDelivery, deliver)
}

// markEnded marks an attempt as ended and removes it from its daemon.
func (a *attempt) markEnded() {
	a.ended = true
	delete(a.daemon.activeAttempts, a.id)
}

// cancelAttempt ends an attempt and sends a cancellation to its engine.
func (sim *simulation) cancelAttempt(a *attempt) {
	a.markEnded()
	e := a.engine
	sim.after(sim.net.delay(sim.now, a.daemon.dataCentre, e.dataCentre), func() {
		if e.activeAttempts[a.id] == nil {
			return
		}
		delete(e.activeAttempts, a.id)
		e.model.Cancel(sim.now, a.id)
		sim.processEvents(e)
	})
}

func (sim *simulation) setSlowdown(e *engine, factor float64) {
	e.model.SetSlowdown(sim.now, factor)
	sim.processEvents(e)
}

func sortedKeys(m map[int]*attempt) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
