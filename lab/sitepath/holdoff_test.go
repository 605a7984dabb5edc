package sitepath

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/lab/site"
)

const (
	// holdOffGrace is the time after a refusal from which the rule on Retry-After counts
	// requests, maxHeldOffRequests how many it allows.
	holdOffGrace       = 500 * time.Millisecond
	maxHeldOffRequests = 2
	// daemonHeader names the daemon that a caller sent its request to.
	daemonHeader = "X-Daemon"
)

// arrival is a request that reached an upstream.
type arrival struct {
	daemon string
	at     time.Time
	shed   bool
}

// shedder is an upstream that refuses requests while shedding is set.
type shedder struct {
	upstream *site.Upstream
	shedding atomic.Bool

	mu       sync.Mutex
	arrivals []arrival
}

// startShedding makes an upstream refuse all requests with a Retry-After header.
func startShedding(u *site.Upstream, behaviour site.Behaviour, retryAfter time.Duration) *shedder {
	s := &shedder{upstream: u}
	s.shedding.Store(true)
	u.RetryAfter = strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64)
	u.ChooseBehaviour = func(r *http.Request) site.Behaviour {
		shed := s.shedding.Load()
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{r.Header.Get(daemonHeader), time.Now(), shed})
		s.mu.Unlock()
		if shed {
			return behaviour
		}
		return site.Serve
	}
	return s
}

func (s *shedder) all() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// served returns how many requests of a daemon were not refused.
func (s *shedder) served(daemon string) int {
	n := 0
	for _, a := range s.all() {
		if a.daemon == daemon && !a.shed {
			n++
		}
	}
	return n
}

// refused returns how many requests of a daemon were refused.
func (s *shedder) refused(daemon string) int {
	n := 0
	for _, a := range s.all() {
		if a.daemon == daemon && a.shed {
			n++
		}
	}
	return n
}

// maxInHoldOff returns the most requests that reached the upstream from one daemon
// between holdOffGrace after a refusal to it and the end of its Retry-After.
func (s *shedder) maxInHoldOff(retryAfter time.Duration) int {
	most := 0
	all := s.all()
	for _, refusal := range all {
		n := 0
		for _, a := range all {
			since := a.at.Sub(refusal.at)
			if refusal.shed && a.daemon == refusal.daemon && since >= holdOffGrace && since < retryAfter {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// fromDaemon marks a request with the daemon that it is sent to. The i-th request with a
// prompt shares no part with the others, so that no engine is preferred for its cache.
func fromDaemon(p *process, i int) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set(daemonHeader, p.name)
		if r.Host == modelHost {
			r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("first-%s-%d:200,second-%d:100", p.name, i, i))
		}
	}
}

// Guards against a daemon that goes on sending to an engine although it asked for no
// requests for a while: first attempts and retries, of plain services and of models,
// whether or not the refusal states that nothing ran. Other upstreams serve meanwhile, and
// requests return when the time is over.
func TestNoRequestsDuringRetryAfter(t *testing.T) {
	t.Parallel()
	const (
		retryAfter      = 3 * time.Second
		requestInterval = 60 * time.Millisecond
		timeAfter       = 2 * time.Second
	)
	for name, c := range map[string]struct {
		behaviour  site.Behaviour
		host, path string
		// relayed is set if callers get the refusals, which are not retried.
		relayed bool
	}{
		"service":                  {site.Shed, plainHost, "/read/1", false},
		"service, outcome unknown": {site.ShedSilently, plainHost, "/read/1", true},
		"model":                    {site.Shed, modelHost, "/chat/1", false},
		"model, outcome unknown":   {site.ShedSilently, modelHost, "/chat/1", true},
	} {
		t.Run(name, func(t *testing.T) {
			runOnDeployment(t, func(d *deployment) {
				upstreams := d.ledgers
				if c.host == modelHost {
					upstreams = d.engines
				}
				s := startShedding(upstreams[0], c.behaviour, retryAfter)
				var asked, refused atomic.Int64
				var stopped atomic.Bool
				var callers sync.WaitGroup
				for _, p := range d.processes {
					callers.Go(func() {
						for i := 0; !stopped.Load(); i++ {
							callers.Go(func() {
								a := d.ask(p, http.MethodPost, c.host, c.path, fromDaemon(p, i))
								asked.Add(1)
								if a.status == http.StatusServiceUnavailable {
									refused.Add(1)
								} else {
									assert.Check(d.t, a.err == nil && a.status == http.StatusOK, "%d %v", a.status, a.err)
								}
							})
							time.Sleep(requestInterval)
						}
					})
				}
				d.eventually("every daemon gets a refusal", retryAfter-requestInterval, func() bool {
					return !slices.ContainsFunc(d.processes, func(p *process) bool { return s.refused(p.name) == 0 })
				})
				s.shedding.Store(false)
				time.Sleep(retryAfter + timeAfter)
				stopped.Store(true)
				callers.Wait()
				d.t.Logf("%d requests, %d refused, %d at the upstream, at most %d of a daemon in the time of a Retry-After", asked.Load(), refused.Load(), len(s.all()), s.maxInHoldOff(retryAfter))
				assert.Assert(d.t, s.maxInHoldOff(retryAfter) <= maxHeldOffRequests)
				wantRefused := 0
				for _, p := range d.processes {
					if c.relayed {
						wantRefused += s.refused(p.name)
					}
					assert.Assert(d.t, s.served(p.name) > 0, "%s sends nothing after the end", p.name)
					heldOff := 0
					for _, e := range p.log.entries(d.t) {
						if e.ID == eventlog.UpstreamHeldOff {
							assert.Equal(d.t, e.Upstream, s.upstream.ID)
							heldOff++
						}
						assert.Assert(d.t, e.ID != eventlog.UpstreamDown, "%v", e)
					}
					assert.Equal(d.t, heldOff, 1, "%s logs one line per hold-off", p.name)
				}
				assert.Equal(d.t, int(refused.Load()), wantRefused)
			})
		})
	}
}

// Guards against requests that reach an engine long after it asked for none, since they
// had been given to it before and waited for their connections.
func TestRetryAfterStopsRequestsThatWaitForConnections(t *testing.T) {
	t.Parallel()
	const (
		retryAfter  = 3 * time.Second
		connectTime = time.Second
		// The others are sent so long after the first request that they connect more than
		// holdOffGrace after its refusal, and still before the refusal.
		laterRequests = 3
		laterBy       = 600 * time.Millisecond
	)
	runOnDeploymentOf(t, 2, 1, func(d *deployment) {
		s := startShedding(d.engines[0], site.Shed, retryAfter)
		d.connectTime.Store(int64(connectTime))
		p := d.processes[0]
		var callers sync.WaitGroup
		for i := range 1 + laterRequests {
			callers.Go(func() {
				if i > 0 {
					time.Sleep(laterBy)
				}
				d.ask(p, http.MethodPost, modelHost, "/chat/1", fromDaemon(p, i))
			})
		}
		callers.Wait()
		assert.Assert(d.t, s.refused(p.name) > 0)
		assert.Assert(d.t, s.maxInHoldOff(retryAfter) <= maxHeldOffRequests, "%d requests", s.maxInHoldOff(retryAfter))
		d.connectTime.Store(0)
	})
}

// Guards against a broken stream that is resumed at an engine that asked for no requests.
func TestStreamIsNotResumedDuringRetryAfter(t *testing.T) {
	t.Parallel()
	const retryAfter = 3 * time.Second
	runOnDeploymentOf(t, daemons, 2, func(d *deployment) {
		s := startShedding(d.engines[0], site.Shed, retryAfter)
		p := d.processes[0]
		asked := 0
		d.eventually("the engine refuses a request", 10*time.Second, func() bool {
			asked++
			d.ask(p, http.MethodPost, modelHost, "/chat/1", fromDaemon(p, asked))
			return len(s.all()) > 0
		})
		s.shedding.Store(false)
		d.engines[1].ChooseBehaviour = func(*http.Request) site.Behaviour { return site.TruncateResponse }
		a := d.ask(p, http.MethodPost, modelHost, "/chat/1", fromDaemon(p, asked))
		assert.Assert(d.t, a.err != nil, "the stream ended as if it were complete")
		assert.Equal(d.t, len(s.all()), 1)
		time.Sleep(retryAfter)
		a = d.ask(p, http.MethodPost, modelHost, "/chat/1", fromDaemon(p, asked))
		assert.NilError(d.t, a.err)
		assert.Equal(d.t, a.body, wholeStream(10))
	})
}

// Guards against requests that wait, or that are told to come back too early, while all
// upstreams of their service have asked for none.
func TestRequestIsRefusedAtOnceDuringRetryAfter(t *testing.T) {
	t.Parallel()
	const (
		retryAfter = 900 * time.Millisecond
		rounding   = time.Millisecond
	)
	runOnDeployment(t, func(d *deployment) {
		var shedders []*shedder
		for _, u := range d.engines {
			shedders = append(shedders, startShedding(u, site.Shed, retryAfter))
		}
		p := d.processes[0]
		for i := range 20 {
			start := time.Now()
			a := d.ask(p, http.MethodPost, modelHost, "/chat/1", fromDaemon(p, i))
			assert.NilError(d.t, a.err)
			assert.Equal(d.t, a.status, http.StatusServiceUnavailable)
			assert.Assert(d.t, time.Since(start) < 20*time.Millisecond, "request %d refused after %s", i, time.Since(start))
			after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			assert.NilError(d.t, err)
			firstEnd := shedders[0].all()[0].at.Add(retryAfter)
			for _, s := range shedders {
				assert.Equal(d.t, len(s.all()), 1)
				if end := s.all()[0].at.Add(retryAfter); end.Before(firstEnd) {
					firstEnd = end
				}
			}
			back := time.Now().Add(time.Duration(after * float64(time.Second)))
			assert.Assert(d.t, !back.Before(firstEnd.Add(-rounding)), "told to come back %s before the first engine takes requests", firstEnd.Sub(back))
		}
		for _, s := range shedders {
			s.shedding.Store(false)
		}
		time.Sleep(retryAfter)
		assert.Equal(d.t, d.ask(p, http.MethodPost, modelHost, "/chat/1", fromDaemon(p, 0)).status, http.StatusOK)
	})
}
