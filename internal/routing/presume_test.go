package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// sessionFleet is a fleet of daemons that hear nothing of each other, before engines that
// keep and fetch parts of prompts. Sessions return to any daemon.
type sessionFleet struct {
	random  *rand.Rand
	daemons []*Policy
	// held holds the parts that each engine keeps.
	held    map[string]map[string]bool
	running map[string]int
	peak    int
	pending eventHeap
	// returned counts the tokens of parts that some engine had read before, again those of
	// them that an engine reads once more.
	returned, again int
	started         int
}

type sessionEvent struct {
	at       time.Time
	daemon   *Policy
	id       string
	endpoint string
	first    bool
}

type eventHeap []sessionEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(sessionEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

const (
	sessionRoot, sessionBranch, sessionOwn = 450, 2900, 6600
	sessionRequests                        = 4
	sessionPause                           = 2 * time.Second
	sessionsPerEngine                      = 1.4 // a second
	sessionDuration                        = 12 * time.Second
	sessionFirstToken                      = 80 * time.Millisecond
	sessionService                         = 400 * time.Millisecond
	sessionRoots                           = 17
)

func newSessionFleet(daemons, engines, slots, old int) *sessionFleet {
	f := &sessionFleet{random: rand.New(rand.NewPCG(1, 2)), held: map[string]map[string]bool{}, running: map[string]int{}}
	endpoints := testEndpoints(engines, slots)
	for i := range endpoints {
		endpoints[i].TransferPerToken = time.Microsecond
		if i < old {
			endpoints[i].CostPenalty = 400 * time.Millisecond
		}
		f.held[endpoints[i].ID] = map[string]bool{}
	}
	for range daemons {
		p := New(Settings{RecomputePrice: 3, HomePrior: 0.9, BatchDelay: 3 * time.Millisecond, Seed: f.random.Uint64()})
		p.SetDaemonCount(epoch, daemons)
		p.SetEndpoints(epoch, endpoints)
		f.daemons = append(f.daemons, p)
	}
	return f
}

// run starts sessions at a steady rate; each sends its requests one after another.
func (f *sessionFleet) run() {
	interval := time.Duration(float64(time.Second) / (sessionsPerEngine * float64(len(f.held)))).Truncate(time.Millisecond)
	type arrival struct {
		at      time.Time
		session int
		n       int
	}
	var arrivals []arrival
	sessions := 0
	for now := epoch; now.Before(epoch.Add(sessionDuration)); now = now.Add(time.Millisecond) {
		for len(f.pending) > 0 && !f.pending[0].at.After(now) {
			e := heap.Pop(&f.pending).(sessionEvent)
			if e.first {
				e.daemon.FirstToken(e.at, e.id, e.endpoint, CachedUnknown)
				continue
			}
			e.daemon.Finished(e.at, e.id, e.endpoint, Completed, 20)
			f.running[e.endpoint]--
		}
		if now.Sub(epoch)%interval == 0 {
			arrivals = append(arrivals, arrival{now, sessions, 0})
			sessions++
		}
		var later []arrival
		for _, a := range arrivals {
			if a.at.After(now) {
				later = append(later, a)
				continue
			}
			f.send(now, a.session, a.n)
			if a.n+1 < sessionRequests {
				later = append(later, arrival{now.Add(sessionPause/2 + time.Duration(f.random.Int64N(int64(sessionPause)))), a.session, a.n + 1})
			}
		}
		arrivals = later
	}
}

func (f *sessionFleet) send(now time.Time, session, n int) {
	p := f.daemons[f.random.IntN(len(f.daemons))]
	id := fmt.Sprint("request-", session, "-", n)
	root, branch := fmt.Sprint("root-", session%sessionRoots), fmt.Sprint("branch-", session)
	parts := []prefix.Part{{ID: root, Tokens: sessionRoot}, {ID: branch, Tokens: sessionBranch}, {ID: id, Tokens: sessionOwn}}
	p.Submit(now, &Request{
		ID: id, Organisation: "o", Share: 1, Class: Class{Name: "long", MaxWait: time.Second}, Weights: testWeights, Chain: prefix.NewFromParts("", parts),
		PromptTokens: sessionRoot + sessionBranch + sessionOwn, MaxOutputTokens: 60, ExpectedOutputTokens: 40, Deadline: now.Add(12 * time.Second), FirstTokenGoal: 1200 * time.Millisecond,
	})
	for _, a := range p.Advance(now) {
		if a.Kind != Start || a.Request.ID != id {
			continue
		}
		f.started++
		f.read(a.Endpoint, a.Source, root, branch)
		f.running[a.Endpoint]++
		f.peak = max(f.peak, f.running[a.Endpoint])
		heap.Push(&f.pending, sessionEvent{now.Add(sessionFirstToken), p, id, a.Endpoint, true})
		heap.Push(&f.pending, sessionEvent{now.Add(sessionService), p, id, a.Endpoint, false})
	}
}

// read accounts for the parts that an engine reads: what it does not keep and cannot fetch.
func (f *sessionFleet) read(endpoint, source, root, branch string) {
	held, parent := f.held[endpoint], true
	for _, part := range []struct {
		id     string
		tokens int
	}{{root, sessionRoot}, {branch, sessionBranch}} {
		known := false
		for _, other := range f.held {
			known = known || other[part.id]
		}
		parent = parent && (held[part.id] || f.held[source] != nil && f.held[source][part.id])
		if known {
			f.returned += part.tokens
			if !parent {
				f.again += part.tokens
			}
		}
		held[part.id] = true
	}
}

// Guards against shared parts of sessions that are read again at each request because the
// daemons of a large fleet do not know which engine holds them: each request went to any of
// 16 engines. The load: long prompts of sessions that return to any daemon every two seconds.
func TestSessionsFindTheirPartsInLargeFleets(t *testing.T) {
	for _, size := range []struct{ daemons, engines, slots, old int }{{18, 12, 8, 0}, {73, 72, 16, 0}, {295, 130, 8, 0}, {73, 72, 16, 36}} {
		t.Run(fmt.Sprintf("%d daemons, %d engines, %d with old weights", size.daemons, size.engines, size.old), func(t *testing.T) {
			f := newSessionFleet(size.daemons, size.engines, size.slots, size.old)
			f.run()
			t.Logf("%d of %d returned tokens read again, %d requests, at most %d at an engine", f.again, f.returned, f.started, f.peak)
			assert.Check(t, f.again*4 <= f.returned, "%d of %d tokens are read again", f.again, f.returned)
		})
	}
}
