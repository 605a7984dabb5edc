package allowance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
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
	simRefresh = 500 * time.Millisecond
	// warmUp is when usage is measured from: buckets start empty.
	warmUp = 4 * time.Second
	org    = "sun"
)

// The bounds of the users' deployments, and quotas of the same size as theirs.
var (
	simBounds  = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 190_000}
	simLimit   = Limit{PerSecond: 200_000, Burst: 400_000}
	tightLimit = Limit{PerSecond: 200_000, Burst: 17_020}
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
	cut bool
	// changedAt is when daemons or connections last changed. stable holds what odd and even
	// daemons know once they have learned of it.
	changedAt time.Time
	stable    [2]*Fleet
	// cost returns that of a request by its number.
	cost func(i int) float64
	// used holds the admitted amount by millisecond.
	used                       []float64
	offered, admitted, refused int
	messages                   int
	slowest                    time.Duration
	retries                    []time.Duration
	events                     int
}

type simNode struct {
	*Node
	i         int
	name      string
	startedAt time.Time
	// down is set while the daemon does not respond: it is frozen, or gone.
	down    bool
	since   time.Time // of down
	waiting map[uint64]simRequest
}

// knows reports whether a daemon has learned of another that runs: it takes up to 0.8 s.
func (n *simNode) knows(now time.Time, o *simNode) bool {
	started := n.startedAt
	if o.startedAt.After(started) {
		started = o.startedAt
	}
	return n == o || now.Sub(started) >= time.Duration((n.i*7919+o.i*104729)%800)*time.Millisecond
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

// shortRequests are the costs of a load without long requests.
func shortRequests(int) float64 { return 383 }

// newSimulation returns a fleet that has served without limits for a while.
func newSimulation(t *testing.T, daemons int) *simulation {
	s := &simulation{t: t, start: time.Unix(1000, 0), now: time.Unix(1000, 0), limit: simLimit, cost: func(i int) float64 {
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
	name := fmt.Sprint("daemon-", len(s.nodes))
	n := &simNode{i: len(s.nodes), name: name, startedAt: s.now, waiting: map[uint64]simRequest{}, Node: New(name, simBounds)}
	s.nodes = append(s.nodes, n)
	s.change()
	var refresh func()
	refresh = func() {
		if !n.down {
			s.refresh(n)
		}
		s.after(simRefresh, refresh)
	}
	s.after(time.Duration(n.i%500)*time.Millisecond, refresh)
	if s.limit.PerSecond > 0 {
		n.SetLimits(s.now, map[string]Limit{org: s.limit})
	}
	return n
}

func (s *simulation) after(d time.Duration, fn func()) {
	s.events++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.events, fn})
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
	f := s.stable[n.i%2]
	if f == nil || s.now.Sub(s.changedAt) <= 2*detection {
		f = s.fleet(n)
		s.stable[n.i%2] = f
	}
	n.SetFleet(s.now, *f, s.now.Sub(n.startedAt) >= SettleTime)
	if o := n.organisations[org]; o != nil && o.bucket != nil {
		o.bucket.advance(s.now)
		assert.Check(s.t, o.bucket.level+o.bucket.heldTotal <= o.bucket.capacity()+1, "the bucket and its leases exceed the capacity")
	}
	s.pump(n)
}

// fleet returns what a daemon knows of the others.
func (s *simulation) fleet(n *simNode) *Fleet {
	f := &Fleet{}
	for _, o := range s.nodes {
		switch {
		case !n.knows(s.now, o):
		case o.down && s.now.Sub(o.since) > detection, s.cut && o.i%2 != n.i%2 && s.now.Sub(s.changedAt) > detection:
			f.Lost = append(f.Lost, o.name)
		default:
			f.Alive = append(f.Alive, o.name)
			f.Owners = append(f.Owners, o.name)
		}
	}
	return f
}

// offer sends a daemon a request.
func (s *simulation) offer(n *simNode) {
	s.offered++
	cost := s.cost(s.offered)
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
		if o.name == name {
			owner = o
		}
	}
	var lost func()
	lost = func() {
		s.after(time.Second, func() { // the connection times out
			if n.down {
				lost()
				return
			}
			s.deliver(n, n.Lost(s.now, name))
			s.pump(n)
		})
	}
	s.after(oneWay, func() {
		if !s.reaches(n, owner) {
			lost()
			return
		}
		r := owner.Serve(s.now, n.name, &q)
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

// owner returns the daemon that owns the bucket.
func (s *simulation) owner() *simNode {
	for _, n := range s.nodes {
		if o := n.organisations[org]; !n.down && n.owns(s.now, o) {
			return n
		}
	}
	s.t.Fatal("no daemon owns the bucket")
	return nil
}

func (s *simulation) setDown(n *simNode, down bool) {
	n.down, n.since = down, s.now
	s.change()
}

func (s *simulation) setCut(cut bool) {
	s.cut = cut
	s.change()
}

func (s *simulation) change() { s.changedAt, s.stable = s.now, [2]*Fleet{} }

// load offers requests to the first of several daemons, a rate of tokens per second in all.
func (s *simulation) load(daemons int, tokensPerSecond float64, d time.Duration) {
	interval := time.Duration(s.meanCost() / tokensPerSecond * float64(time.Second))
	end := s.now.Add(d)
	random := rand.New(rand.NewPCG(1, uint64(daemons)))
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		if n := s.nodes[random.IntN(daemons)]; !n.down {
			s.offer(n)
		}
		s.after(interval, next)
	}
	s.after(interval, next)
}

func (s *simulation) meanCost() (mean float64) {
	for i := range 20 {
		mean += s.cost(i) / 20
	}
	return mean
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

// checkTight checks the bound of the algorithm: half of the overage, and three requests for the
// share of daemons that do not reach the owner.
func (s *simulation) checkTight(l Limit) {
	s.t.Helper()
	s.checkBound(l, 0)
	allowed := (l.PerSecond*simBounds.Window.Seconds()+l.Burst)*(1+simBounds.Overage/2) + 3*17_020
	assert.Check(s.t, s.most(0) <= allowed, "%.0f tokens in a window, %.0f intended", s.most(0), allowed)
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
		if testing.Short() && daemons > 7 { // as under the race detector
			continue
		}
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			t.Parallel()
			test(t, daemons)
		})
	}
}

func (s *simulation) checkUsed(l Limit, part float64, from, to time.Duration) {
	s.t.Helper()
	used := s.rate(from, to)
	assert.Check(s.t, used >= 0.9*part*l.PerSecond, "%.0f tokens a second used of %.0f", used, part*l.PerSecond)
}

// Load: three times the rate, spread evenly, or all on one daemon. Guards against daemons that
// each use the whole quota, against quota that lies unused in leases, and against a message for
// each refusal.
func TestOverload(t *testing.T) {
	fleets(t, func(t *testing.T, daemons int) {
		for _, on := range []int{daemons, 1} {
			s := newSimulation(t, daemons)
			s.load(on, 3*simLimit.PerSecond, 20*time.Second)
			s.run(20 * time.Second)
			s.checkBound(simLimit, 0)
			s.checkUsed(simLimit, 1, warmUp, 20*time.Second)
			assert.Check(t, s.messages <= 20*2*600, "%d messages", s.messages)
			distinct := map[time.Duration]bool{}
			for _, after := range s.retries {
				assert.Assert(t, after > 0 && after <= simBounds.Window, "retry after %s", after)
				distinct[after.Round(time.Millisecond)] = true
			}
			assert.Check(t, len(distinct) > len(s.retries)/10, "%d of %d retry times differ", len(distinct), len(s.retries))
		}
		s := newSimulation(t, daemons)
		s.cost = shortRequests
		s.load(daemons, 3*simLimit.PerSecond, 10*time.Second)
		s.run(10 * time.Second)
		s.checkBound(simLimit, 0)
		s.checkUsed(simLimit, 1, warmUp, 10*time.Second)
		assert.Check(t, s.messages <= 10*2*800, "%d messages for %d short requests", s.messages, s.offered)
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
			assert.Check(t, s.messages <= 2*s.offered, "%d messages for %d requests", s.messages, s.offered)
		}
		s := newSimulation(t, daemons)
		s.cost = shortRequests
		s.run(warmUp)
		s.load(daemons, simLimit.PerSecond/3, 16*time.Second)
		s.run(20 * time.Second)
		assert.Check(t, s.refused == 0, "%d requests refused", s.refused)
		if daemons <= 7 { // in larger fleets a lease holds few requests
			assert.Check(t, s.messages <= s.offered/10, "%d messages for %d short requests", s.messages, s.offered)
		}
	})
}

// Load: none until the bucket is full, then four times the rate. Guards against a burst for each
// daemon.
func TestBurst(t *testing.T) {
	fleets(t, func(t *testing.T, daemons int) {
		s := newSimulation(t, daemons)
		s.load(daemons, simLimit.PerSecond/10, 10*time.Second)
		s.run(10 * time.Second)
		s.load(daemons, 4*simLimit.PerSecond, 10*time.Second)
		s.run(10 * time.Second)
		s.checkBound(simLimit, 0)
		assert.Check(t, s.most(10*time.Second) >= 8*simLimit.PerSecond+0.9*simLimit.Burst, "the burst was not used")
	})
}

// Load: three times the first rate, which is then lowered to a tenth and raised again, with
// and without a burst. Guards against leases and levels of the old limit, and against debts that
// keep the new one from being used.
func TestChangedLimit(t *testing.T) {
	fleets(t, func(t *testing.T, daemons int) {
		for _, lowered := range []Limit{{20_000, 17_020}, {20_000, 0}} {
			s := newSimulation(t, daemons)
			s.load(daemons, 3*simLimit.PerSecond, 44*time.Second)
			s.run(8 * time.Second)
			s.setLimit(lowered)
			s.run(32 * time.Second)
			s.checkBound(lowered, 16*time.Second)
			s.checkUsed(lowered, 1, 16*time.Second, 40*time.Second)
			s.setLimit(simLimit)
			s.run(4 * time.Second)
			s.checkBound(simLimit, 0)
			s.checkUsed(simLimit, 1, 42*time.Second, 44*time.Second)
		}
	})
}

// Load: three or ten times the rate while the owner is killed, or frozen for 4 s. Guards against a
// bucket that is counted twice, and against requests that wait for the lost owner.
func TestLostOwner(t *testing.T) {
	fleets(t, func(t *testing.T, daemons int) {
		for _, frozen := range []bool{false, true} {
			for _, l := range []Limit{tightLimit, simLimit} {
				s := newSimulation(t, daemons)
				s.setLimit(l)
				load := 3.0
				if l == tightLimit { // large requests only, of which each daemon may overdraw one
					s.cost, load = func(int) float64 { return 17_020 }, 10
				}
				s.load(daemons, load*l.PerSecond, 22*time.Second)
				s.run(8 * time.Second)
				owner := s.owner()
				s.setDown(owner, true)
				s.run(4 * time.Second)
				s.setDown(owner, !frozen)
				s.run(10 * time.Second)
				s.checkBound(l, 0)
				// The burst is refused, as it was used before.
				most, intended := s.most(4*time.Second), l.PerSecond*simBounds.Window.Seconds()*(1+simBounds.Overage/2)+5*17_020
				assert.Check(t, most <= intended, "%.0f tokens in a window, %.0f intended", most, intended)
				part := 1.0
				if !frozen { // its share is kept for it
					part -= 1 / float64(daemons)
				}
				s.checkUsed(l, part, 15*time.Second, 22*time.Second)
			}
		}
	})
}

// Load: three times the rate while half of the daemons are partitioned from the others for 12 s.
// Guards against two owners with the whole quota.
func TestPartition(t *testing.T) {
	fleets(t, func(t *testing.T, daemons int) {
		s := newSimulation(t, daemons)
		s.setLimit(tightLimit)
		s.load(daemons, 3*tightLimit.PerSecond, 34*time.Second)
		s.run(10 * time.Second)
		s.setCut(true)
		s.run(12 * time.Second)
		s.setCut(false)
		s.run(12 * time.Second)
		s.checkTight(tightLimit)
		s.checkUsed(tightLimit, 1, 14*time.Second, 22*time.Second)
		s.checkUsed(tightLimit, 1, 26*time.Second, 34*time.Second)
	})
}

// Load: three times the rate while all daemons lose power and start again at once. Guards
// against daemons that take themselves for the only one.
func TestRestartOfAll(t *testing.T) {
	fleets(t, func(t *testing.T, daemons int) {
		s := newSimulation(t, daemons)
		s.setLimit(tightLimit)
		s.load(daemons, 3*tightLimit.PerSecond, 24*time.Second)
		s.run(10 * time.Second)
		for _, n := range s.nodes {
			n.Node, n.startedAt, n.waiting = New(n.name, simBounds), s.now, map[uint64]simRequest{}
			n.SetLimits(s.now, map[string]Limit{org: s.limit})
		}
		s.change()
		s.run(14 * time.Second)
		s.checkTight(tightLimit)
		s.checkUsed(tightLimit, 1, 16*time.Second, 24*time.Second)
	})
}

// Load: three times the rate while the fleet doubles. Guards against buckets that move to new
// daemons with their burst.
func TestAddedDaemons(t *testing.T) {
	fleets(t, func(t *testing.T, daemons int) {
		s := newSimulation(t, daemons)
		s.setLimit(tightLimit)
		s.load(daemons, 3*tightLimit.PerSecond, 24*time.Second)
		s.run(10 * time.Second)
		for range daemons {
			s.add()
		}
		s.run(14 * time.Second)
		s.checkTight(tightLimit)
		s.checkUsed(tightLimit, 1, 16*time.Second, 24*time.Second)
	})
}
