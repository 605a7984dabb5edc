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
	mu sync.Mutex
	// lives holds, for each request, until when it is held after its end; zero
	// while it runs.
	lives map[incarnation]map[*transfer]time.Time
}

func newRunningTable() *runningTable {
	return &runningTable{lives: map[incarnation]map[*transfer]time.Time{}}
}

func lifeOf(a routing.Action) incarnation { return incarnation{a.Endpoint, a.Incarnation} }

func (r *runningTable) add(t *transfer, a routing.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := lifeOf(a)
	if r.lives[key] == nil {
		r.lives[key] = map[*transfer]time.Time{}
	}
	r.lives[key][t] = time.Time{}
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
	if _, ok := r.lives[lifeOf(a)][t]; ok {
		r.lives[lifeOf(a)][t] = until
	}
}

// take returns the requests that ran in a life that has ended, and forgets them.
func (r *runningTable) take(key incarnation) []*transfer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*transfer, 0, len(r.lives[key]))
	for t := range r.lives[key] {
		out = append(out, t)
	}
	delete(r.lives, key)
	return out
}

// list returns the lives with requests, and forgets those held for too long.
func (r *runningTable) list(now time.Time) []incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []incarnation
	for key, requests := range r.lives {
		for t, until := range requests {
			if !until.IsZero() && now.After(until) {
				r.drop(key, t)
			}
		}
		if len(r.lives[key]) > 0 {
			out = append(out, key)
		}
	}
	return out
}
