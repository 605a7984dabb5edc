package triage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

func waiting(id string, arrived, goal, deadline time.Duration, work float64) *Waiting {
	at := epoch.Add(arrived)
	return &Waiting{Request: Request{Kind: "ask", Organisation: id, Size: work, SubmittedAt: at, ArrivedAt: at, Goal: at.Add(goal), Deadline: at.Add(deadline), Work: work}}
}

func names(list []*Waiting) (out []string) {
	for _, w := range list {
		out = append(out, w.Organisation)
	}
	return out
}

// warm returns a Guard that allows refusals because it has served many requests.
func warm(list ...*Waiting) *Guard {
	g := NewGuard()
	for range 20 {
		for _, w := range list {
			r := w.Request
			g.Offer(&r)
		}
	}
	return g
}

// Guards against a wrong choice of what is delayed or refused in each of three mixes.
func TestPlanChoosesLeastLoss(t *testing.T) {
	load := &Load{Rates: map[int]float64{0: 1, 1: 1}, Congested: map[int]bool{0: true, 1: true}, MayRefuse: true}
	for name, c := range map[string]struct {
		list           []*Waiting
		load           *Load
		order, refused []string
	}{
		"equal deadlines, very different work: the long one is late": {
			list:  []*Waiting{waiting("long", 0, 900*ms, 9000*ms, 0.8), waiting("a", ms, 900*ms, 9000*ms, 0.3), waiting("b", 2*ms, 900*ms, 9000*ms, 0.3), waiting("c", 3*ms, 900*ms, 9000*ms, 0.3)},
			load:  load,
			order: []string{"a", "b", "c", "long"},
		},
		"equal work, different deadlines: the nearest first": {
			list:  []*Waiting{waiting("far", 0, 4000*ms, 9000*ms, 0.3), waiting("near", ms, 500*ms, 900*ms, 0.3)},
			load:  load,
			order: []string{"near", "far"},
		},
		"more than the deadline allows: the longest is refused": {
			list:    []*Waiting{waiting("long", 0, 100*ms, 1000*ms, 5), waiting("a", ms, 100*ms, 1000*ms, 0.4), waiting("b", 2*ms, 100*ms, 1000*ms, 0.4)},
			load:    load,
			order:   []string{"a", "b"},
			refused: []string{"long"},
		},
		"engines not busy: none is refused": {
			list:  []*Waiting{waiting("long", 0, 100*ms, 1000*ms, 5), waiting("a", ms, 100*ms, 1000*ms, 0.4)},
			load:  &Load{Rates: load.Rates, Congested: map[int]bool{0: true, 1: true}},
			order: []string{"a", "long"},
		},
		"no rate: order of arrival": {
			list:  []*Waiting{waiting("first", 0, 4000*ms, 9000*ms, 9), waiting("second", ms, 500*ms, 900*ms, 0.3)},
			load:  &Load{Congested: map[int]bool{0: true, 1: true}, MayRefuse: true},
			order: []string{"first", "second"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			refused := Plan(epoch.Add(5*ms), c.load, c.list, warm(c.list...))
			assert.DeepEqual(t, names(refused), c.refused)
			left := slices.DeleteFunc(c.list, func(w *Waiting) bool { return slices.Contains(refused, w) })
			slices.SortStableFunc(left, Compare)
			assert.DeepEqual(t, names(left), c.order)
		})
	}
}

// Guards against requests that wait for ever behind newer ones of the same kind, whatever
// their work and the load.
func TestPlanAges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		goal, deadline := 500*ms, 3000*ms
		old := waiting("old", 0, goal, deadline, rapid.Float64Range(0.05, 2).Draw(t, "work"))
		guard, list := NewGuard(), []*Waiting{old}
		load := &Load{Rates: map[int]float64{0: 1}, Congested: map[int]bool{0: true, 1: true}}
		step := 50 * ms
		for now := step; ; now += step {
			assert.Assert(t, now <= deadline+goal, "the request has not started")
			for i := range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				list = append(list, waiting(fmt.Sprint(now, i), now, goal, deadline, 0.05))
			}
			Plan(epoch.Add(now), load, list, guard)
			list = slices.DeleteFunc(list, func(w *Waiting) bool { return w.Stage == Lost })
			slices.SortStableFunc(list, Compare)
			if len(list) == 0 || list[0] == old || old.Stage == Lost {
				return
			}
			list = list[1:]
		}
	})
}

// Guards against refusals that starve the largest requests, a rare organisation or an
// urgent kind. The load pattern: two kinds, sizes that differ by a factor of a hundred,
// one organisation with 1 in 50 requests, and as many attempts to refuse as drawn.
func TestGuardBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		pressure := [2]float64{rapid.Float64Range(0, 1).Draw(t, "refuse less urgent"), rapid.Float64Range(0, 1).Draw(t, "refuse urgent")}
		largeOnly := rapid.Bool().Draw(t, "refuse large ones first")
		type tally struct{ offered, served float64 }
		count := map[string]*tally{}
		rate := func(name string) float64 {
			if count[name] == nil {
				return 1
			}
			return (count[name].served + 1) / count[name].offered // up to one request
		}
		g := NewGuard()
		for range 1500 {
			priority := random.IntN(2)
			r := Request{Kind: "ask", Priority: priority, Organisation: fmt.Sprint("o", random.IntN(3)), Size: 1 + 99*random.Float64()}
			if random.IntN(50) == 0 {
				r.Organisation = "rare"
			}
			g.Offer(&r)
			try := random.Float64() < pressure[priority] && (!largeOnly || r.Size > 50)
			served := 1.0
			if try && g.Refuse(&r) {
				served = 0
			}
			kind := fmt.Sprint("kind ", priority)
			names := []string{"all", kind, r.Organisation}
			if r.Size > 90 {
				names = append(names, kind+" tenth")
			} else if r.Size > 70 {
				names = append(names, kind+" fifth")
			}
			for _, name := range names {
				if count[name] == nil {
					count[name] = &tally{}
				}
				count[name].offered++
				count[name].served += served
			}
		}
		assert.Assert(t, rate("kind 1") >= rate("kind 0")-0.05)
		for _, kind := range []string{"kind 0", "kind 1"} {
			assert.Assert(t, rate(kind+" tenth") >= rate(kind)/2, "%v of %v", rate(kind+" tenth"), rate(kind))
			assert.Assert(t, rate(kind+" fifth") >= rate(kind)/2, "%v of %v", rate(kind+" fifth"), rate(kind))
		}
		for _, organisation := range []string{"rare", "o0", "o1", "o2"} {
			assert.Assert(t, rate(organisation) >= rate("all")/4, organisation)
		}
	})
}

// Guards against requests that engines always serve last because of their size or their
// organisation, and against a rank that gets a long-running request preempted.
func TestRankBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, behind, seen := NewGuard(), map[string]int{}, map[string]int{}
		for i := range rapid.IntRange(1, 200).Draw(t, "requests") {
			arrived := time.Duration(i) * 10 * ms
			w := waiting(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), arrived, 1000*ms, 6000*ms, rapid.SampledFrom([]float64{0.01, 0.05, 0.3}).Draw(t, "work"))
			w.Run = time.Duration(rapid.IntRange(10, 5000).Draw(t, "run")) * ms
			w.Restarted = rapid.Bool().Draw(t, "restarted")
			g.Offer(&w.Request)
			waited := time.Duration(rapid.IntRange(0, 5900).Draw(t, "waited")) * ms
			rank := g.Rank(epoch.Add(arrived+waited), &w.Request, true)
			assert.Assert(t, rank >= 0 && rank <= MaxRank)
			assert.Assert(t, rank == 0 || !w.Restarted && w.Run <= 3000*ms)
			seen[w.Organisation]++
			if rank > 0 {
				behind[w.Organisation]++
			}
		}
		for organisation, n := range behind {
			assert.Assert(t, 2*n <= seen[organisation])
		}
	})
}

// Guards against an engine that serves all late in order of arrival. The load patterns: an
// engine that is full, a third of the requests with ten times the work or all with the same.
func TestRankAtFullEngine(t *testing.T) {
	play := func(ranked bool, little, much float64) (onTime, served int) {
		random, g := rand.New(rand.NewPCG(7, 7)), NewGuard()
		type sent struct {
			*Waiting
			rank int
		}
		var queue []sent
		free := epoch
		for i := range 3000 {
			now := epoch.Add(time.Duration(i) * 20 * ms)
			work := little
			if random.IntN(3) == 0 {
				work = much
			}
			w := waiting("a", now.Sub(epoch), 500*ms, 4000*ms, work)
			w.FirstByte, w.Run = seconds(work), seconds(work)
			g.Offer(&w.Request)
			s := sent{Waiting: w}
			if ranked {
				s.rank = g.Rank(now, &w.Request, len(queue) > 0)
			}
			at := len(queue)
			for at > 0 && queue[at-1].rank > s.rank {
				at--
			}
			queue = slices.Insert(queue, at, s)
			for len(queue) > 0 && free.Before(now) {
				head := queue[0]
				queue = queue[1:]
				if head.SubmittedAt.After(free) {
					free = head.SubmittedAt
				}
				end := free.Add(head.FirstByte)
				if end.After(head.Deadline) {
					g.ObserveMissed(&head.Request, head.rank)
					continue
				}
				g.ObserveFirstByte(end, &head.Request, head.rank)
				free = end
				served++
				if !end.After(head.Goal) {
					onTime++
				}
			}
		}
		return onTime, served
	}
	for _, work := range [][2]float64{{0.008, 0.08}, {0.03, 0.03}} {
		onTimeBefore, servedBefore := play(false, work[0], work[1])
		onTime, served := play(true, work[0], work[1])
		t.Logf("on time %d before, %d after; served %d before, %d after", onTimeBefore, onTime, servedBefore, served)
		assert.Assert(t, onTime > onTimeBefore && served >= servedBefore)
	}
}

// Guards against refused callers that return together, before they can be served, or too
// late to try at all.
func TestRetriesArePaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var returns Returns
		rate := rapid.Float64Range(0.5, 20).Draw(t, "rate")
		var last time.Duration
		for range rapid.IntRange(1, 30).Draw(t, "refusals") {
			left := time.Duration(rapid.IntRange(100, 30_000).Draw(t, "left")) * ms
			w := waiting("a", 0, left, left, rapid.Float64Range(0.01, 1).Draw(t, "work"))
			after, ok := returns.RetryAfter(epoch, &w.Request, 2, rate)
			assert.Assert(t, ok && after <= left/3)
			if after < left/3 {
				assert.Assert(t, after > last && after >= seconds(2/rate))
				last = after
			}
		}
		_, ok := returns.RetryAfter(epoch, &Request{}, 1, 0)
		assert.Assert(t, !ok)
	})
}

// Guards against a daemon that sends long prompts faster than its part of what engines
// prefill after a restart, and against one that never sends a prompt larger than that.
func TestRampBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ramp Ramp
		rate, now, taken, largest := rapid.Float64Range(1000, 100_000).Draw(t, "rate"), epoch, 0.0, 0.0
		for range rapid.IntRange(1, 50).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * ms)
			tokens := rapid.Float64Range(0, 20_000).Draw(t, "tokens")
			largest = max(largest, tokens)
			if ramp.Take(now, tokens, rate) {
				taken += tokens
			}
			assert.Assert(t, taken <= rate*(now.Sub(epoch).Seconds()+rampBurst.Seconds())+largest)
		}
		assert.Assert(t, ramp.Take(now.Add(seconds(largest/rate+1)), largest, rate))
	})
}
