package dispatch

import (
	"sync"

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
	lives map[incarnation]map[*transfer]struct{}
}

func newRunningTable() *runningTable {
	return &runningTable{lives: map[incarnation]map[*transfer]struct{}{}}
}

func (r *runningTable) add(t *transfer, a routing.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := incarnation{a.Endpoint, a.Incarnation}
	if r.lives[key] == nil {
		r.lives[key] = map[*transfer]struct{}{}
	}
	r.lives[key][t] = struct{}{}
}

func (r *runningTable) remove(t *transfer, a routing.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := incarnation{a.Endpoint, a.Incarnation}
	delete(r.lives[key], t)
	if len(r.lives[key]) == 0 {
		delete(r.lives, key)
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

// died is called when an engine has ended a life.
func (d *Dispatcher) died(engine, id string) {
	_ = d.running.take(incarnation{engine, id})
}
