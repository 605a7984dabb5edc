package allowance

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	// oneWay is the delay between daemons, detection how long a daemon that does not respond
	// counts as alive.
	oneWay     = 3400 * time.Microsecond
	detection  = time.Second
	simRefresh = 250 * time.Millisecond
	// warmUp is when usage is measured from: buckets start empty.
	warmUp = 4 * time.Second
	org    = "sun"
)

// The bounds of the users' deployments, and a quota of the same size as theirs.
var (
	simBounds = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 190_000}
	simLimit  = Limit{PerSecond: 200_000, Burst: 400_000}
)

// simulation runs the Nodes of a fleet in simulated time, with messages between them and
// callers' requests.
type simulation struct {
	t     *testing.T
	start time.Time
	now   time.Time
	nodes []*simNode
	queue eventQueue
	limit Limit
	// cut is set while daemons of an odd and an even number can't reach each other.
	cut      bool
	cutSince time.Time
	// used holds the admitted amount by millisecond, refused counts requests.
	used                        []float64
	offered, admitted, refused  int
	messages                    int
	slowest                     time.Duration
	arrived                     map[uint64]time.Time
	retries                     []time.Duration
	dropped                     bool
	usedOutsideQuota            float64
	costs                       func(i int) float64
	requests                    int
	decidedTicketsOfUnknownNode int
}

type simNode struct {
	*Node
	i       int
	down    bool
	since   time.Time // of down
	stopped bool
	waiting map[uint64]simRequest
}

type simRequest struct {
	cost float64
	at   time.Time
}

type simEvent struct {
	at  time.Time
	seq int
	fn  func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// newSimulation returns a fleet that has served without limits for a while.
func newSimulation(t *testing.T, daemons int) *simulation {
	s := &simulation{t: t, start: time.Unix(1000, 0), now: time.Unix(1000, 0), limit: simLimit, arrived: map[uint64]time.Time{}, costs: func(i int) float64 {
		if i%10 == 0 {
			return 17_020
		}
		return 383
	}}
	for range daemons {
		s.add()
	}
	s.setLimit(simLimit)
	return s
}

func (s *simulation) add() *simNode {
	n := &simNode{i: len(s.nodes), waiting: map[uint64]simRequest{}, Node: New(simName(len(s.nodes)), simBounds)}
	s.nodes = append(s.nodes, n)
	// Daemons refresh at different times.
	var refresh func()
	refresh = func() {
		if !n.down {
			s.refresh(n)
		}
		s.after(simRefresh, refresh)
	}
	s.after(time.Duration(n.i%250)*time.Millisecond, refresh)
	if s.limit.PerSecond > 0 {
		n.SetLimits(s.now, map[string]Limit{org: s.limit})
	}
	return n
}

func simName(i int) string { return fmt.Sprintf("daemon-%d", i) }

func (s *simulation) after(d time.Duration, fn func()) {
	s.requests++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.requests, fn})
}

// run processes events until d has passed.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

func (s *simulation) setLimit(l Limit) {
	s.limit = l
	for _, n := range s.nodes {
		n.SetLimits(s.now, map[string]Limit{org: l})
	}
}

func (s *simulation) reaches(a, b *simNode) bool {
	return !a.down && !b.down && !(s.cut && a.i%2 != b.i%2)
}

func (s *simulation) refresh(n *simNode) {
	var f Fleet
	var stopped []string
	for _, o := range s.nodes {
		name := simName(o.i)
		switch {
		case o.stopped:
			stopped = append(stopped, name)
		case o.down && s.now.Sub(o.since) > detection, s.cut && o.i%2 != n.i%2 && s.now.Sub(s.cutSince) > detection:
			f.Lost = append(f.Lost, name)
		default:
			f.Alive = append(f.Alive, name)
			f.Owners = append(f.Owners, name)
		}
	}
	n.SetFleet(s.now, f, stopped, true)
	s.pump(n)
}

// offer sends a daemon a request.
func (s *simulation) offer(n *simNode) {
	s.offered++
	cost := s.costs(s.offered)
	d := n.Admit(s.now, org, cost)
	if d.Kind == Waiting {
		n.waiting[d.Ticket] = simRequest{cost, s.now}
		s.after(ResponseTimeout, func() {
			if r, ok := n.waiting[d.Ticket]; ok {
				decision, waiting := n.Expire(s.now, d.Ticket)
				assert.Assert(s.t, waiting, "the Node lost a request that waits")
				delete(n.waiting, d.Ticket)
				s.decide(r, decision)
			}
		})
	} else {
		s.decide(simRequest{cost, s.now}, d)
	}
	s.pump(n)
}

func (s *simulation) decide(r simRequest, d Decision) {
	s.slowest = max(s.slowest, s.now.Sub(r.at))
	if d.Kind == Refused {
		s.refused++
		s.retries = append(s.retries, d.RetryAfter)
		return
	}
	s.admitted++
	i := int(s.now.Sub(s.start) / time.Millisecond)
	for len(s.used) <= i {
		s.used = append(s.used, 0)
	}
	s.used[i] += r.cost
}

func (s *simulation) deliver(n *simNode, results []Result) {
	for _, r := range results {
		w, ok := n.waiting[r.Ticket]
		assert.Assert(s.t, ok, "a decision on a request that does not wait")
		delete(n.waiting, r.Ticket)
		s.decide(w, r.Decision)
	}
}

// pump sends the request of a Node that is due.
func (s *simulation) pump(n *simNode) {
	name, q, due := n.Next(s.now, org)
	if !due {
		return
	}
	s.messages++
	var owner *simNode
	for _, o := range s.nodes {
		if simName(o.i) == name {
			owner = o
		}
	}
	lost := func() { // the daemon's connection times out
		s.after(time.Second, func() {
			if !n.down {
				s.deliver(n, n.Lost(s.now, name))
				s.pump(n)
			}
		})
	}
	s.after(oneWay, func() {
		if !s.reaches(n, owner) {
			lost()
			return
		}
		r := owner.Serve(s.now, simName(n.i), &q)
		s.after(oneWay, func() {
			if !s.reaches(owner, n) {
				lost()
				return
			}
			s.messages++
			s.deliver(n, n.Receive(s.now, org, name, &r))
			s.pump(n)
		})
	})
}

// load offers requests to the first of several daemons, a rate of tokens per second in all.
func (s *simulation) load(daemons int, tokensPerSecond float64, d time.Duration) {
	var mean float64
	for i := range 10 {
		mean += s.costs(i) / 10
	}
	interval := time.Duration(mean / tokensPerSecond * float64(time.Second))
	end := s.now.Add(d)
	i := 0
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		n := s.nodes[i%daemons]
		i += 1 + i/daemons%2 // no daemon gets the large requests alone
		if !n.down {
			s.offer(n)
		}
		s.after(interval, next)
	}
	s.after(interval, next)
}

// most returns the greatest usage of a window that starts at from or later.
func (s *simulation) most(from time.Duration) float64 {
	first, window := int(from/time.Millisecond), int(simBounds.Window/time.Millisecond)
	sum, most := 0.0, 0.0
	for i := first; i < len(s.used); i++ {
		sum += s.used[i]
		if i-window >= first {
			sum -= s.used[i-window]
		}
		most = max(most, sum)
	}
	return most
}

// rate returns the usage per second of a span.
func (s *simulation) rate(from, to time.Duration) float64 {
	sum := 0.0
	for i := int(from / time.Millisecond); i < int(to/time.Millisecond) && i < len(s.used); i++ {
		sum += s.used[i]
	}
	return sum / (to - from).Seconds()
}

func (s *simulation) checkBound(l Limit, from time.Duration) {
	s.t.Helper()
	allowed := (l.PerSecond*simBounds.Window.Seconds()+l.Burst)*(1+simBounds.Overage) + simBounds.Slack
	most := s.most(from)
	s.t.Logf("%d of %d admitted, %d messages, at most %.0f in a window, %.0f allowed", s.admitted, s.offered, s.messages, most, allowed)
	assert.Check(s.t, most <= allowed, "%.0f tokens in a window, %.0f allowed", most, allowed)
	assert.Check(s.t, s.slowest <= ResponseTimeout, "a request waited for %s", s.slowest)
}

func fleets(t *testing.T, test func(t *testing.T, daemons int)) {
	for _, daemons := range []int{3, 7, 78, 300} {
		if testing.Short() && daemons > 78 {
			continue
		}
		t.Run(fmt.Sprint(daemons), func(t *testing.T) { test(t, daemons) })
	}
}

// Load: three times the rate, spread evenly, or all on one daemon. Guards against daemons that
// each use the whole quota, and against quota that lies unused in leases.
func TestOverload(t *testing.T) {
	fleets(t, func(t *testing.T, daemons int) {
		for _, on := range []int{daemons, 1} {
			s := newSimulation(t, daemons)
			s.load(on, 3*simLimit.PerSecond, 20*time.Second)
			s.run(20 * time.Second)
			s.checkBound(simLimit, 0)
			used := s.rate(warmUp, 20*time.Second)
			assert.Check(t, used >= 0.9*simLimit.PerSecond, "%.0f tokens a second used, on %d daemons", used, on)
			assert.Check(t, s.messages <= 20*2*600+s.messages/10, "%d messages", s.messages)
		}
	})
}

// Load: a third of the rate, spread evenly, or all on one daemon. Guards against refusals within
// the quota, and against a message for each request.
func TestLightLoad(t *testing.T) {
	fleets(t, func(t *testing.T, daemons int) {
		for _, on := range []int{daemons, 1} {
			s := newSimulation(t, daemons)
			s.run(warmUp)
			s.load(on, simLimit.PerSecond/3, 16*time.Second)
			s.run(20 * time.Second)
			s.checkBound(simLimit, 0)
			assert.Check(t, s.refused == 0, "%d requests refused", s.refused)
		}
	})
}
