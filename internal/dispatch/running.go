package dispatch

import (
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// incarnation names one life of an engine.
type incarnation struct {
	engine string
	id     string
}

// runningTable knows which requests of this daemon run at which engines.
type runningTable struct {
	mu    sync.Mutex
	lives map[incarnation]map[*transfer]*stay
}

// stay is one request at one life of an engine.
type stay struct {
	// opened says that the engine may have begun to work on the request.
	opened bool
	// until is when the request is forgotten after its end; zero while it runs.
	until time.Time
}

func newRunningTable() *runningTable {
	return &runningTable{lives: map[incarnation]map[*transfer]*stay{}}
}

func lifeOf(a routing.Action) incarnation { return incarnation{a.Endpoint, a.Incarnation} }

func (r *runningTable) add(t *transfer, a routing.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := lifeOf(a)
	if r.lives[key] == nil {
		r.lives[key] = map[*transfer]*stay{}
	}
	r.lives[key][t] = &stay{}
}

// opened says that the engine did not refuse the request.
func (r *runningTable) opened(t *transfer, a routing.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.lives[lifeOf(a)][t]; s != nil {
		s.opened = true
	}
}

func (r *runningTable) remove(t *transfer, a routing.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(lifeOf(a), t)
}

func (r *runningTable) drop(key incarnation, t *transfer) {
	delete(r.lives[key], t)
	if len(r.lives[key]) == 0 {
		delete(r.lives, key)
	}
}

// hold keeps a request that ended at an engine of which nothing is known.
func (r *runningTable) hold(t *transfer, a routing.Action, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.lives[lifeOf(a)][t]; s != nil {
		s.until = until
	}
}

// take returns the requests that ran in a life that has ended, and forgets
// them. Those that the engine may still refuse stay.
func (r *runningTable) take(key incarnation) []*transfer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*transfer
	for t, s := range r.lives[key] {
		if s.opened {
			out = append(out, t)
			r.drop(key, t)
		}
	}
	return out
}

// list returns the lives with requests, and forgets those held for too long.
func (r *runningTable) list(now time.Time) []incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []incarnation
	for key, requests := range r.lives {
		for t, s := range requests {
			if !s.until.IsZero() && now.After(s.until) {
				r.drop(key, t)
			}
		}
		if len(r.lives[key]) > 0 {
			out = append(out, key)
		}
	}
	return out
}
