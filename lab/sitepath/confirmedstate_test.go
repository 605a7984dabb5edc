package sitepath

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/fabric"
	"github.com/verbenabend/verbenabend/lab/site"
)

const (
	// contactTime is how long a daemon must have been without a fault for stateBound to hold.
	contactTime = 3 * time.Second
	// changeInterval is the interval between two confirmed changes.
	changeInterval = 700 * time.Millisecond
	// keptRevisions is how many changes a route stays in the desired state.
	keptRevisions = 6
)

// confirmedChange is a change of the desired state that the store has acknowledged. It adds the
// route of its number and removes an earlier one.
type confirmedChange struct {
	number int
	at     time.Time
}

// stateChanger changes the desired state until it is stopped, and checks that daemons in
// contact handle requests by the changes that were confirmed before stateBound.
type stateChanger struct {
	d         *deployment
	mu        sync.Mutex
	confirmed []confirmedChange
	// faultyUntil is, by daemon, when its last fault ends.
	faultyUntil map[*process]time.Time
	// checks counts the checked requests, added those that an added route served.
	checks, added atomic.Int64
	quit          chan struct{}
	tasks         sync.WaitGroup
}

func addedRoute(number int) string { return fmt.Sprintf("/added-%d/", number) }

func startStateChanger(d *deployment) *stateChanger {
	c := &stateChanger{d: d, faultyUntil: map[*process]time.Time{}, quit: make(chan struct{})}
	fixed := d.desiredState["routes"].([]map[string]any)
	number := 0
	c.tasks.Go(func() {
		for {
			number++
			routes := append([]map[string]any(nil), fixed...)
			for n := max(1, number-keptRevisions+1); n <= number; n++ {
				routes = append(routes, map[string]any{"name": fmt.Sprint("added-", n), "host": plainHost, "prefix": addedRoute(n), "kind": "safe", "timeoutMs": 1500, "goalMs": 300, "service": "ledger", "maxAttempts": 2})
			}
			d.desiredState["routes"] = routes
			d.publish()
			c.mu.Lock()
			c.confirmed = append(c.confirmed, confirmedChange{number, time.Now()})
			c.mu.Unlock()
			if !c.sleep(changeInterval) {
				return
			}
		}
	})
	return c
}

// sleep returns false once the changer is stopped.
func (c *stateChanger) sleep(d time.Duration) bool {
	select {
	case <-c.quit:
		return false
	case <-time.After(d):
		return true
	}
}

// watch checks a daemon until the changer is stopped.
func (c *stateChanger) watch(p *process) {
	c.tasks.Go(func() {
		for c.sleep(100 * time.Millisecond) {
			c.tasks.Go(func() { c.check(p) })
		}
	})
}

// fault marks daemons as faulty for a time.
func (c *stateChanger) fault(length time.Duration, faulty ...*process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range faulty {
		c.faultyUntil[p] = time.Now().Add(length)
	}
}

// check sends a request for a route that every allowed version has and one for a route that
// none has.
func (c *stateChanger) check(p *process) {
	sentAt := time.Now()
	c.mu.Lock()
	number := 0
	for _, change := range c.confirmed {
		if sentAt.Sub(change.at) > stateBound {
			number = change.number
		}
	}
	newest, inContact := len(c.confirmed), sentAt.Sub(c.faultyUntil[p]) >= contactTime
	c.mu.Unlock()
	if number == 0 || !inContact {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), contactTime)
	defer cancel()
	ask := func(number int) answer {
		return c.d.ask(p, http.MethodGet, plainHost, addedRoute(number)+"1", func(r *http.Request) { *r = *r.WithContext(ctx) })
	}
	// A change that is confirmed meanwhile may remove the route.
	if newest-number < keptRevisions-1 {
		a := ask(number)
		c.checks.Add(1)
		if a.status == http.StatusOK {
			c.added.Add(1)
		}
		assert.Check(c.d.t, a.status != http.StatusNotFound && a.status != http.StatusUnauthorized, "%s answered %d to change %d, confirmed more than %s before", p.name, a.status, number, stateBound)
	}
	if removed := number - keptRevisions; removed > 0 {
		a := ask(removed)
		c.checks.Add(1)
		assert.Check(c.d.t, a.status != http.StatusOK, "%s served the route of change %d, removed by change %d more than %s before", p.name, removed, number, stateBound)
	}
}

func (c *stateChanger) stop() {
	close(c.quit)
	c.tasks.Wait()
}

// silentReads is a store whose connections can go silent while they wait for changes of a table:
// those reads stay open for good. Later ones are answered.
type silentReads struct {
	next     http.Handler
	table    string
	mu       sync.Mutex
	silenced chan struct{}
}

func newSilentReads(next http.Handler, table string) *silentReads {
	return &silentReads{next: next, table: table, silenced: make(chan struct{})}
}

// silence loses the responses to all reads that are open.
func (s *silentReads) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silenced)
	s.silenced = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *silentReads) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/rows-feed" || r.URL.Query().Get("table") != s.table {
		s.next.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	silenced := s.silenced
	s.mu.Unlock()
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.next.ServeHTTP(recorder, r)
	}()
	select {
	case <-silenced:
		<-r.Context().Done()
		<-done
	case <-done:
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = io.Copy(w, recorder.Body)
	}
}

// Guards against a change that was confirmed and is not in force in time, comes back older, or
// adds a route that is not served, while the store is restored from an older copy, loses single
// answers or turns daemons away, and daemons are cut off or start meanwhile.
func TestConfirmedStateIsInForceInTime(t *testing.T) {
	t.Parallel()
	cutOff := func(d *deployment, cut ...*process) {
		d.net.SetBlackhole(func(from, address string) bool {
			for _, p := range cut {
				if from == p.name || strings.HasPrefix(address, p.host+":") {
					return true
				}
			}
			return false
		})
	}
	scenarios := map[string]func(d *deployment, c *stateChanger){
		"calm": func(*deployment, *stateChanger) { time.Sleep(8 * time.Second) },
		"restored twice": func(d *deployment, _ *stateChanger) {
			for range 2 {
				older := d.store.Snapshot()
				time.Sleep(2500 * time.Millisecond)
				d.store.Restore(older)
			}
		},
		"restored while one is cut off and one starts": func(d *deployment, c *stateChanger) {
			cut := d.processes[1]
			c.fault(5*time.Second, cut)
			time.Sleep(200 * time.Millisecond) // requests that were sent before have ended
			cutOff(d, cut)
			older := d.store.Snapshot()
			time.Sleep(2 * time.Second)
			d.store.Restore(older)
			started := d.start(len(d.processes))
			c.fault(0, started)
			c.watch(started)
			time.Sleep(2 * time.Second)
			d.net.SetBlackhole(fabric.NoConnections)
		},
		"restored while the store turns one away": func(d *deployment, c *stateChanger) {
			away := d.processes[2]
			d.store.SetFault(away.name, site.Fault{Unresponsive: true})
			older := d.store.Snapshot()
			time.Sleep(2 * time.Second)
			d.store.Restore(older)
			time.Sleep(3 * time.Second)
			d.store.SetFault(away.name, site.Fault{})
		},
		"one answer is lost in silence": func(d *deployment, c *stateChanger) {
			for i := range d.processes {
				d.wrapStore[i].(*silentReads).silence()
				time.Sleep(1300 * time.Millisecond)
			}
		},
		"the answers to all daemons are lost in silence": func(d *deployment, c *stateChanger) {
			c.fault(0, d.processes...)
			for _, h := range d.wrapStore {
				h.(*silentReads).silence()
			}
			time.Sleep(8 * time.Second)
		},
		"odd rows beside the state": func(d *deployment, _ *stateChanger) {
			d.store.PutBytes("op", "version/"+model, []byte("\xff"))
			d.store.Put("op", "version/"+model, map[string]any{"model": "", "version": -1})
			d.store.PutBytes("op", "other", []byte("[1"))
			time.Sleep(4 * time.Second)
		},
	}
	for name, disturb := range scenarios {
		for _, size := range []int{3, 7, 11} {
			if testing.Short() && size != 7 { // as under the race detector
				continue
			}
			t.Run(name+"/"+strconv.Itoa(size)+" daemons", func(t *testing.T) {
				runDeployment(t, engines, func(d *deployment) {
					d.daemonCount = size
					d.store.SetEra(1)
					for i := range size {
						d.wrapStore[i] = newSilentReads(d.store.HandlerFor(fmt.Sprintf("daemon-%d", i)), "op")
					}
				}, func(d *deployment) {
					time.Sleep(contactTime)
					c := startStateChanger(d)
					for _, p := range d.processes {
						c.watch(p)
					}
					time.Sleep(4 * time.Second)
					disturb(d, c)
					time.Sleep(contactTime + stateBound + 2*time.Second)
					c.stop()
					assert.Check(t, c.checks.Load() > 50 && 4*c.added.Load() > c.checks.Load(), "%d checks, %d requests of added routes served", c.checks.Load(), c.added.Load())
				})
			})
		}
	}
}
