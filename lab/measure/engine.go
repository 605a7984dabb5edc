package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/lab/enginemodel"
)

// engine is an engine model with its place in the fleet and its attempts.
type engine struct {
	id          string
	dataCentre  int
	model       *enginemodel.Engine
	incarnation int
	weights     []string
	down        bool
	frozen      bool
	attempts    map[int]*attempt
	// wake counts changes, so that an outdated wake-up does nothing.
	wake uint64
}

// attempt is one try of a call at an engine.
type attempt struct {
	id     int
	call   *call
	daemon *daemon
	// generation is the daemon's at the start of the attempt.
	generation int
	engine     *engine
	hedge      bool
	// started is when the engine began with it.
	started    time.Duration
	firstToken bool
	ended      bool
	// delivered keeps the messages of an attempt in order.
	delivered time.Duration
}

func weightsName(version int) string { return fmt.Sprintf("opal@%d", version) }

// toEngine sends a new attempt over the network.
func (w *world) toEngine(a *attempt, incarnation string) {
	e := a.engine
	w.after(w.net.delay(w.now, a.daemon.dataCentre, e.dataCentre), func() {
		switch {
		case a.ended:
		case e.down:
			w.toDaemon(a, func() { w.attemptFailed(a, connectionRefused) })
		case incarnation != e.incarnationName() || !slices.Contains(e.weights, a.call.request.Weights):
			w.toDaemon(a, func() { w.attemptFailed(a, rejected) })
		default:
			w.submit(e, a)
		}
	})
}

func (e *engine) incarnationName() string { return fmt.Sprintf("%s/%d", e.id, e.incarnation) }

func (w *world) submit(e *engine, a *attempt) {
	ok := e.model.Submit(w.now, enginemodel.Job{
		ID: a.id, Pieces: a.call.chain.Pieces, PromptTokens: a.call.prompt,
		OutputTokens: a.call.output, Priority: a.call.request.Class.Priority,
	})
	if !ok {
		w.toDaemon(a, func() { w.attemptFailed(a, rejected) })
		return
	}
	e.attempts[a.id] = a
	w.collect(e)
}

// collect passes on what happened in an engine and plans its next event.
func (w *world) collect(e *engine) {
	for _, ev := range e.model.Advance(w.now) {
		a := e.attempts[ev.ID]
		switch ev.Kind {
		case enginemodel.Started:
			a.started = w.now
		case enginemodel.FirstToken:
			cached := ev.CachedTokens
			w.toDaemon(a, func() { w.gotFirstToken(a, cached) })
		case enginemodel.Finished:
			delete(e.attempts, ev.ID)
			w.toDaemon(a, func() { w.gotWhole(a) })
		}
	}
	e.wake++
	wake := e.wake
	if t, ok := e.model.Next(); ok {
		w.at(t, func() {
			if e.wake == wake {
				w.collect(e)
			}
		})
	}
}

// toDaemon delivers a message of an attempt in order.
func (w *world) toDaemon(a *attempt, do func()) {
	t := w.now + w.net.delay(w.now, a.engine.dataCentre, a.daemon.dataCentre)
	a.delivered = max(a.delivered, t)
	w.at(a.delivered, do)
}

// end marks an attempt as over for its daemon.
func (a *attempt) end() {
	a.ended = true
	delete(a.daemon.attempts, a.id)
}

// cancel tells the engine to drop an attempt.
func (w *world) cancel(a *attempt) {
	a.end()
	e := a.engine
	w.after(w.net.delay(w.now, a.daemon.dataCentre, e.dataCentre), func() {
		if e.attempts[a.id] == nil {
			return
		}
		delete(e.attempts, a.id)
		e.model.Cancel(w.now, a.id)
		w.collect(e)
	})
}

func (w *world) setSlowdown(e *engine, factor float64) {
	e.model.SetSlowdown(w.now, factor)
	w.collect(e)
}

func sortedKeys(m map[int]*attempt) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
