package dispatch

import (
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// incarnation identifies one run of an engine between two restarts.
type incarnation struct {
	engine string
	id     string
}

// runningRequests tracks which of this daemon's requests run at which engines.
type runningRequests struct {
	mu            sync.Mutex
	byIncarnation map[incarnation]map[*requestTask]*runningRequest
}

// runningRequest is the state of one request at one engine incarnation.
type runningRequest struct {
	// mayHaveStarted is set once the engine may have started on the request.
	mayHaveStarted bool
	// begun is set once an event of the answer has arrived.
	begun  bool
	sentAt time.Time
	// brokenAt is when the attempt failed without an event; zero if it has not.
	brokenAt time.Time
	// forgetAt is when a request that has ended is removed; zero while it runs.
	forgetAt time.Time
}

func newRunningRequests() *runningRequests {
	return &runningRequests{byIncarnation: map[incarnation]map[*requestTask]*runningRequest{}}
}

func incarnationOf(a routing.Action) incarnation { return incarnation{a.Endpoint, a.Incarnation} }

func (r *runningRequests) add(t *requestTask, a routing.Action, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := incarnationOf(a)
	if r.byIncarnation[key] == nil {
		r.byIncarnation[key] = map[*requestTask]*runningRequest{}
	}
	r.byIncarnation[key][t] = &runningRequest{sentAt: now}
}

// markStarted records that the engine may have started on the request.
func (r *runningRequests) markStarted(t *requestTask, a routing.Action) {
	r.update(t, a, func(running *runningRequest) { running.mayHaveStarted = true })
}

// markBegun records that the engine sent an event of the answer.
func (r *runningRequests) markBegun(t *requestTask, a routing.Action) {
	r.update(t, a, func(running *runningRequest) { running.begun = true })
}

// markBroken records that the attempt failed without an event.
func (r *runningRequests) markBroken(t *requestTask, a routing.Action, now time.Time) {
	r.update(t, a, func(running *runningRequest) { running.brokenAt = now })
}

// update changes a request's state at an engine unless it has been removed.
func (r *runningRequests) update(t *requestTask, a routing.Action, change func(*runningRequest)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if running := r.byIncarnation[incarnationOf(a)][t]; running != nil {
		change(running)
	}
}

func (r *runningRequests) remove(t *requestTask, a routing.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(incarnationOf(a), t)
}

func (r *runningRequests) removeLocked(key incarnation, t *requestTask) {
	delete(r.byIncarnation[key], t)
	if len(r.byIncarnation[key]) == 0 {
		delete(r.byIncarnation, key)
	}
}

// retainUntil keeps a request that has ended at an engine whose status is
// unknown.
func (r *runningRequests) retainUntil(t *requestTask, a routing.Action, until time.Time) {
	r.update(t, a, func(running *runningRequest) { running.forgetAt = until })
}

// takeStarted removes and returns the requests that may have started at an
// incarnation that has ended. Those that the engine may still refuse stay.
func (r *runningRequests) takeStarted(key incarnation) map[*requestTask]runningRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[*requestTask]runningRequest{}
	for t, running := range r.byIncarnation[key] {
		if running.mayHaveStarted {
			out[t] = *running
			r.removeLocked(key, t)
		}
	}
	return out
}

// incarnations returns the incarnations that have requests, after removing
// requests past their forgetAt.
func (r *runningRequests) incarnations(now time.Time) []incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []incarnation
	for key, requests := range r.byIncarnation {
		for t, running := range requests {
			if !running.forgetAt.IsZero() && now.After(running.forgetAt) {
				r.removeLocked(key, t)
			}
		}
		if len(r.byIncarnation[key]) > 0 {
			out = append(out, key)
		}
	}
	return out
}
