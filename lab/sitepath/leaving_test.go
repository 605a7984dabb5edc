package sitepath

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/lab/site"
)

const (
	// askInterval is the pause between two requests of a test of leaving upstreams.
	askInterval = 50 * time.Millisecond
	// rowOutlivesWord is how long rows of upstreams that say that they leave stay ready.
	rowOutlivesWord = 12 * time.Second
	// serveAgainBound is the time in which an upstream that stays must get work.
	serveAgainBound = 10 * time.Second
)

// headerSentAt, which passes through daemons, tells upstreams when a request was sent.
const headerSentAt = "X-Sent-At"

// arrivals records the requests that reach an upstream and are not misdirected.
type arrivals struct {
	mu      sync.Mutex
	firstAt time.Time
	// sentAt is when the requests were sent to the daemon.
	sentAt []time.Time
}

// recordArrivals records the arrivals at an upstream, which treats each as behaviour says.
func recordArrivals(u *site.Upstream, behaviour site.Behaviour) *arrivals {
	a := &arrivals{}
	u.ChooseBehaviour = func(r *http.Request) site.Behaviour {
		sentAt, err := strconv.ParseInt(r.Header.Get(headerSentAt), 10, 64)
		if err != nil {
			panic(err)
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if len(a.sentAt) == 0 {
			a.firstAt = time.Now()
		}
		a.sentAt = append(a.sentAt, time.Unix(0, sentAt))
		return behaviour
	}
	return a
}

func (a *arrivals) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.sentAt)
}

// late returns how many requests were sent later than drainBound after the first
// arrival, and so also after the response to it.
func (a *arrivals) late() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, sentAt := range a.sentAt {
		if sentAt.Sub(a.firstAt) > drainBound {
			n++
		}
	}
	return n
}

// leavingKind is a kind of request, the upstreams that serve it, and how the one that
// leaves treats it.
type leavingKind struct {
	method, host, path string
	upstreams          func(d *deployment) []*site.Upstream
	behaviour          site.Behaviour
}

func enginesOf(d *deployment) []*site.Upstream { return d.engines }

func ledgersOf(d *deployment) []*site.Upstream { return d.ledgers }

var streamKind = leavingKind{http.MethodPost, modelHost, "/chat/1", enginesOf, site.Serve}

// ask sends a request of the kind. Prompts share no part, so that all upstreams get some.
func (k leavingKind) ask(d *deployment) answer {
	return d.ask(d.processes[0], k.method, k.host, k.path, func(r *http.Request) {
		r.Header.Set(headerSentAt, strconv.FormatInt(time.Now().UnixNano(), 10))
		if k.host == modelHost {
			r.Header.Set("X-Prompt-Prefix", r.Header.Get("X-Request-Id")+":200,bb:100")
		}
	})
}

// sayLeaving makes an upstream say that it leaves, and returns its arrivals once its
// first response that says so has reached the daemon.
func (k leavingKind) sayLeaving(d *deployment, u *site.Upstream) *arrivals {
	a := recordArrivals(u, k.behaviour)
	u.Leaving.Store(true)
	d.eventually(u.ID+" has said that it leaves", serveAgainBound, func() bool {
		k.ask(d)
		return a.count() > 0
	})
	return a
}

// assertNoWork sends requests for a time and asserts that none that was sent later than
// drainBound after the first arrival reaches an upstream, and that the others serve all.
func (k leavingKind) assertNoWork(d *deployment, a *arrivals, duration time.Duration) {
	d.t.Helper()
	sent, served := 0, 0
	for start := time.Now(); time.Since(start) < drainBound+duration; time.Sleep(askInterval) {
		sent++
		if answer := k.ask(d); answer.err == nil && answer.status == http.StatusOK {
			served++
		}
	}
	assert.Equal(d.t, a.late(), 0, "late requests of %d at an upstream that leaves; %d served", sent, served)
	assert.Equal(d.t, served, sent, "requests served")
}

// assertGetsWork asserts that an upstream gets requests again.
func (k leavingKind) assertGetsWork(d *deployment, u *site.Upstream) {
	d.t.Helper()
	a := recordArrivals(u, site.Serve)
	d.eventually(u.ID+" gets work", serveAgainBound, func() bool {
		k.ask(d)
		return a.count() > 0
	})
}

// Guards against work for an upstream that said in a response of any kind that it leaves,
// while its row stays ready.
func TestUpstreamThatSaysItLeavesGetsNoWork(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]leavingKind{
		"success":       {http.MethodGet, plainHost, "/read/1", ledgersOf, site.Serve},
		"stream":        streamKind,
		"broken stream": {http.MethodPost, modelHost, "/chat/1", enginesOf, site.TruncateResponse},
		"refusal":       {http.MethodPost, modelHost, "/chat/1", enginesOf, site.Shed},
		"failure":       {http.MethodGet, plainHost, "/read/1", ledgersOf, site.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			runOnDeployment(t, func(d *deployment) {
				u := kind.upstreams(d)[1]
				kind.assertNoWork(d, kind.sayLeaving(d, u), rowOutlivesWord)
				events := 0
				for _, e := range d.processes[0].log.entries(d.t) {
					if e.ID == eventlog.UpstreamLeaving && e.Upstream == u.ID {
						events++
					}
				}
				assert.Equal(d.t, events, 1, "events of the upstream's leaving")
			})
		})
	}
}

// Guards against forgetting that an upstream leaves while the store is away or returns,
// with rows that expire meanwhile.
func TestLeavingIsRememberedWithoutStore(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]site.Fault{"busy": {Status: http.StatusServiceUnavailable}, "silent": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			runOnDeployment(t, func(d *deployment) {
				setFault := func(f site.Fault) {
					for _, p := range d.processes {
						d.store.SetFault(p.name, f)
					}
				}
				setFault(fault)
				a := streamKind.sayLeaving(d, d.engines[1])
				streamKind.assertNoWork(d, a, rowOutlivesWord)
				d.store.Delete("servers", d.engines[1].ID)
				setFault(site.Fault{})
				streamKind.assertNoWork(d, a, drainBound)
				d.engines[1].Register(d.store)
				streamKind.assertNoWork(d, a, rowOutlivesWord)
			})
		})
	}
}

// Guards against work for an upstream that leaves and whose row expires and comes back.
func TestLeavingOutlivesRow(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		u := d.engines[1]
		a := streamKind.sayLeaving(d, u)
		for _, gone := range []time.Duration{time.Second, time.Minute} {
			d.store.Delete("servers", u.ID)
			time.Sleep(gone)
			u.Register(d.store)
			streamKind.assertNoWork(d, a, rowOutlivesWord)
		}
	})
}

// Guards against an engine that gets no work for good because its process before said
// that it leaves.
func TestRestartedUpstreamServesAgain(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		u := d.engines[1]
		a := streamKind.sayLeaving(d, u)
		streamKind.assertNoWork(d, a, drainBound)
		d.crash(u, time.Second)
		time.Sleep(drainBound)
		streamKind.assertGetsWork(d, u)
		streamKind.assertNoWork(d, streamKind.sayLeaving(d, u), drainBound)
	})
}

// Guards against taking the word of another upstream, which has an address now and
// leaves, for that of the one that had it before.
func TestMisdirectedResponseMarksNobodyLeaving(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		u := d.engines[1]
		other := &site.Upstream{ID: "other", Address: u.Address, Service: "ledger", Zone: "a"}
		other.Leaving.Store(true)
		var misdirected atomic.Int64
		d.serve(u.Address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/chat/1" {
				misdirected.Add(1)
			}
			other.ServeHTTP(w, r)
		}))
		d.eventually("a request is misdirected", serveAgainBound, func() bool {
			assert.Equal(d.t, streamKind.ask(d).status, http.StatusOK)
			return misdirected.Load() > 0
		})
		d.serve(u.Address, u)
		streamKind.assertGetsWork(d, u)
		for _, e := range d.processes[0].log.entries(d.t) {
			assert.Assert(d.t, e.ID != eventlog.UpstreamLeaving, "%s", e.Upstream)
		}
	})
}

// Guards against orders to load weights at an engine that leaves, which would end
// the prompts that it still computes: the others switch without it.
func TestLeavingEngineGetsNoOrder(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, 1, engines, func(d *deployment) {
		leaving, others := d.engines[0], d.engines[1:]
		streamKind.sayLeaving(d, leaving)
		d.setGoalVersion(2)
		d.eventually("the others have version 2", switchBound, func() bool {
			return !slices.ContainsFunc(others, func(e *site.Upstream) bool { return e.Version() != 2 })
		})
		time.Sleep(switchBound)
		assert.Equal(d.t, len(leaving.Orders()), 0)
	})
}

// Guards against requests that hang, or run, once all upstreams of a service leave: they
// are refused at once, and work goes on when one has restarted.
func TestRequestsAreRefusedWhileAllUpstreamsLeave(t *testing.T) {
	t.Parallel()
	const refusalBound = 200 * time.Millisecond
	runOnDeployment(t, func(d *deployment) {
		for _, e := range d.engines {
			e.Leaving.Store(true)
		}
		d.eventually("all have said that they leave", serveAgainBound, func() bool {
			return streamKind.ask(d).status != http.StatusOK
		})
		runs := 0
		for _, e := range d.engines {
			runs += len(e.Runs())
		}
		assert.Equal(d.t, runs, len(d.engines))
		for range 20 {
			sentAt := time.Now()
			a := streamKind.ask(d)
			assert.NilError(d.t, a.err)
			assert.Equal(d.t, a.status, http.StatusServiceUnavailable)
			assert.Assert(d.t, strings.Contains(a.body, `"verdict":"not-run"`), a.body)
			assert.Assert(d.t, time.Since(sentAt) < refusalBound, "refused after %s", time.Since(sentAt))
			after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			assert.NilError(d.t, err)
			assert.Assert(d.t, after > 0 && after <= 1, "want at most a third of the deadline of 3 s: %g", after)
			time.Sleep(askInterval)
		}
		for _, e := range d.engines {
			assert.Equal(d.t, len(e.Runs()), 1, e.ID)
		}
		d.engines[0].Restart(d.store)
		streamKind.assertGetsWork(d, d.engines[0])
	})
}

// Guards against work for upstreams that leave from requests that wait in the daemon, are
// sent again or resume a stream: one upstream stays, and breaks off or refuses all.
func TestRepeatedRequestsAvoidLeavingUpstreams(t *testing.T) {
	t.Parallel()
	const requests = 40
	for name, behaviour := range map[string]site.Behaviour{"resumed": site.TruncateResponse, "repeated": site.DropResponse, "refused": site.Shed} {
		t.Run(name, func(t *testing.T) {
			runOnDeployment(t, func(d *deployment) {
				first, second := streamKind.sayLeaving(d, d.engines[1]), streamKind.sayLeaving(d, d.engines[2])
				stays := recordArrivals(d.engines[0], behaviour)
				time.Sleep(drainBound)
				var wg sync.WaitGroup
				for range requests {
					wg.Go(func() { streamKind.ask(d) })
					time.Sleep(askInterval)
				}
				wg.Wait()
				assert.Equal(d.t, first.late()+second.late(), 0, "late requests of %d at upstreams that leave", requests)
				assert.Assert(d.t, stays.count() > 0)
			})
		})
	}
}
