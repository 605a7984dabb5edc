package enginemodel

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func drawSpec(t *rapid.T) Spec {
	return Spec{
		Slots: rapid.IntRange(1, 4).Draw(t, "slots"), QueueLimit: rapid.IntRange(0, 4).Draw(t, "queue"),
		CacheBlocks: rapid.IntRange(1, 12).Draw(t, "cache"), BlockTokens: 10,
		MaxPrefills: rapid.IntRange(1, 2).Draw(t, "prefills"), PrefillRate: 1000, DecodeRate: 100, BatchSlowdown: 0.1, PrefillInterference: 0.3,
	}
}

// drawBlocks draws a prefix of one of three chains.
func drawBlocks(t *rapid.T) []uint64 {
	chain := rapid.Uint64Range(1, 3).Draw(t, "chain")
	n := rapid.IntRange(1, 6).Draw(t, "blocks")
	var out []uint64
	for i := range n {
		out = append(out, chain*100+uint64(i))
	}
	return out
}

// The cache behaves like a list in order of use that is cut off at its capacity.
func TestCacheMatchesList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(6, 12).Draw(t, "size")
		c := NewCache(size)
		var list []uint64 // most recently used first
		use := func(blocks []uint64) {
			for i := len(blocks) - 1; i >= 0; i-- {
				kept := []uint64{blocks[i]}
				for _, k := range list {
					if k != blocks[i] {
						kept = append(kept, k)
					}
				}
				list = kept[:min(len(kept), size)]
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			blocks := drawBlocks(t)
			cached := map[uint64]bool{}
			for _, k := range list {
				cached[k] = true
			}
			want := 0
			for want < len(blocks) && cached[blocks[want]] {
				want++
			}
			assert.Equal(t, c.Match(blocks), want)
			use(blocks[:want])
			c.Insert(blocks)
			use(blocks)
			assert.Equal(t, c.Len(), len(list))
		}
	})
}

// eventChecker tracks the jobs' states from an engine's events.
type eventChecker struct {
	spec              Spec
	jobs              map[int]Job
	started, finished map[int]bool
	firstToken        map[int]bool
	canceled          map[int]bool
}

func (c *eventChecker) check(t *rapid.T, events []Event) (computed float64) {
	for _, ev := range events {
		j, ok := c.jobs[ev.ID]
		assert.Assert(t, ok && !c.canceled[ev.ID], "event of an unknown job")
		switch ev.Kind {
		case Started:
			assert.Assert(t, !c.started[ev.ID])
			c.started[ev.ID] = true
		case FirstToken:
			assert.Assert(t, c.started[ev.ID] && !c.firstToken[ev.ID])
			assert.Assert(t, ev.CachedTokens <= j.PromptTokens)
			c.firstToken[ev.ID] = true
			computed += float64(j.PromptTokens - ev.CachedTokens)
		case Finished:
			assert.Assert(t, c.firstToken[ev.ID] && !c.finished[ev.ID])
			c.finished[ev.ID] = true
		}
	}
	return computed
}

// Every accepted job passes through each state once and finishes, despite
// slowdowns and freezes. Running jobs never exceed the slots, and the computed
// tokens are those that were not cached.
func TestEngineConservesJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		e := New(spec)
		checker := &eventChecker{spec: spec, jobs: map[int]Job{}, started: map[int]bool{}, finished: map[int]bool{}, firstToken: map[int]bool{}, canceled: map[int]bool{}}
		now := time.Duration(0)
		computed := 0.0
		for id := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			computed += checker.check(t, e.Advance(now))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				e.SetSlowdown(now, float64(rapid.IntRange(1, 5).Draw(t, "slowdown")))
			case 1:
				e.SetFrozen(now, rapid.Bool().Draw(t, "frozen"))
			default:
				blocks := drawBlocks(t)
				j := Job{ID: id, Blocks: blocks, PromptTokens: len(blocks)*10 + 3, OutputTokens: rapid.IntRange(1, 50).Draw(t, "output"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
				if e.Submit(now, j) {
					checker.jobs[id] = j
				}
			}
			running, queued := e.Load()
			assert.Assert(t, running <= spec.Slots)
			assert.Assert(t, running+queued <= spec.Slots+spec.QueueLimit)
			assert.Assert(t, e.cache.Len() <= spec.CacheBlocks)
		}
		e.SetFrozen(now, false)
		computed += checker.check(t, e.Advance(now+time.Hour))
		assert.Equal(t, len(checker.finished), len(checker.jobs))
		assert.Assert(t, math.Abs(e.ComputedTokens()-computed) < 0.01*float64(1+len(checker.jobs)))
	})
}

// A cached prompt is not computed again until a crash has dropped the cache.
func TestCachedPromptIsNotComputed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Spec{Slots: 2, QueueLimit: 2, CacheBlocks: 6, BlockTokens: 10, MaxPrefills: 1, PrefillRate: 1000, DecodeRate: 100})
		blocks := drawBlocks(t)
		tokens := len(blocks) * 10
		assert.Assert(t, e.Submit(0, Job{ID: 1, Blocks: blocks, PromptTokens: tokens, OutputTokens: 1}))
		e.Advance(time.Minute)
		before := e.ComputedTokens()
		assert.Assert(t, e.Submit(time.Minute, Job{ID: 2, Blocks: blocks, PromptTokens: tokens, OutputTokens: 1}))
		e.Advance(time.Hour)
		assert.Equal(t, e.ComputedTokens(), before)
		e.Crash(time.Hour)
		assert.Assert(t, e.Submit(time.Hour, Job{ID: 3, Blocks: blocks, PromptTokens: tokens, OutputTokens: 1}))
		e.Advance(2 * time.Hour)
		assert.Assert(t, math.Abs(e.ComputedTokens()-2*before) < 0.01)
	})
}

// A cancelled job ends without an event and frees its slot for the waiting job with
// the highest priority.
func TestCancelFreesSlot(t *testing.T) {
	e := New(Spec{Slots: 1, QueueLimit: 2, CacheBlocks: 6, BlockTokens: 10, MaxPrefills: 1, PrefillRate: 1000, DecodeRate: 100})
	assert.Assert(t, e.Submit(0, Job{ID: 1, PromptTokens: 100000, OutputTokens: 1}))
	assert.Assert(t, e.Submit(0, Job{ID: 2, PromptTokens: 10, OutputTokens: 1, Priority: 0}))
	assert.Assert(t, e.Submit(0, Job{ID: 3, PromptTokens: 10, OutputTokens: 1, Priority: 1}))
	e.Cancel(time.Second, 1)
	var order []int
	for _, ev := range e.Advance(time.Minute) {
		if ev.Kind == Finished {
			order = append(order, ev.ID)
		}
	}
	assert.DeepEqual(t, order, []int{3, 2})
}

// At the computed capacity all slots are taken on average, by Little's law, and longer
// prefills lower the capacity.
func TestCapacityFillsSlots(t *testing.T) {
	s := Spec{Slots: 16, PrefillRate: 24000, DecodeRate: 60, BatchSlowdown: 0.03, PrefillInterference: 0.3}
	rate := s.Capacity(2000, 200)
	assert.Assert(t, math.Abs(rate*s.SlotSeconds(2000, 200, rate)-16) < 0.01)
	assert.Assert(t, s.Capacity(4000, 200) < rate)
}
