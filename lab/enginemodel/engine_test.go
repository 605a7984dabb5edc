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
		CachePieces: rapid.IntRange(1, 12).Draw(t, "cache"), PieceTokens: 10,
		PrefillWays: rapid.IntRange(1, 2).Draw(t, "ways"), PrefillRate: 1000, DecodeRate: 100, BatchSlope: 0.1, Interference: 0.3,
	}
}

// drawPieces draws one of a few nested chains.
func drawPieces(t *rapid.T) []uint64 {
	family := rapid.Uint64Range(1, 3).Draw(t, "family")
	n := rapid.IntRange(1, 6).Draw(t, "pieces")
	var out []uint64
	for i := range n {
		out = append(out, family*100+uint64(i))
	}
	return out
}

// The cache agrees with a list in order of use, and never exceeds its memory.
func TestCacheAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(6, 12).Draw(t, "size")
		c := NewCache(size)
		var list []uint64 // newest first
		use := func(pieces []uint64) {
			for i := len(pieces) - 1; i >= 0; i-- {
				kept := []uint64{pieces[i]}
				for _, k := range list {
					if k != pieces[i] {
						kept = append(kept, k)
					}
				}
				list = kept[:min(len(kept), size)]
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			pieces := drawPieces(t)
			held := map[uint64]bool{}
			for _, k := range list {
				held[k] = true
			}
			want := 0
			for want < len(pieces) && held[pieces[want]] {
				want++
			}
			assert.Equal(t, c.Match(pieces), want)
			use(pieces[:want])
			c.Insert(pieces)
			use(pieces)
			assert.Equal(t, c.Len(), len(list))
		}
	})
}

// engineOracle follows an engine by its events alone.
type engineOracle struct {
	spec              Spec
	jobs              map[int]Job
	started, finished map[int]bool
	first             map[int]bool
	canceled          map[int]bool
}

func (o *engineOracle) see(t *rapid.T, events []Event) (computed float64) {
	for _, ev := range events {
		j, ok := o.jobs[ev.ID]
		assert.Assert(t, ok && !o.canceled[ev.ID], "event of an unknown job")
		switch ev.Kind {
		case Started:
			assert.Assert(t, !o.started[ev.ID])
			o.started[ev.ID] = true
		case FirstToken:
			assert.Assert(t, o.started[ev.ID] && !o.first[ev.ID])
			assert.Assert(t, ev.CachedTokens <= j.PromptTokens)
			o.first[ev.ID] = true
			computed += float64(j.PromptTokens - ev.CachedTokens)
		case Finished:
			assert.Assert(t, o.first[ev.ID] && !o.finished[ev.ID])
			o.finished[ev.ID] = true
		}
	}
	return computed
}

// Every accepted job runs through its states once and ends, whatever is
// slowed, frozen or canceled; running jobs never exceed the slots; without
// cancels, computed tokens are exactly the ones that were not cached.
func TestEngineConservesJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		e := New(spec)
		o := &engineOracle{spec: spec, jobs: map[int]Job{}, started: map[int]bool{}, finished: map[int]bool{}, first: map[int]bool{}, canceled: map[int]bool{}}
		now := time.Duration(0)
		computed := 0.0
		for id := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			computed += o.see(t, e.Advance(now))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				e.SetSlowdown(now, float64(rapid.IntRange(1, 5).Draw(t, "slowdown")))
			case 1:
				e.SetFrozen(now, rapid.Bool().Draw(t, "frozen"))
			default:
				pieces := drawPieces(t)
				j := Job{ID: id, Pieces: pieces, PromptTokens: len(pieces)*10 + 3, OutputTokens: rapid.IntRange(1, 50).Draw(t, "output"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
				if e.Submit(now, j) {
					o.jobs[id] = j
				}
			}
			running, queued := e.Load()
			assert.Assert(t, running <= spec.Slots)
			assert.Assert(t, running+queued <= spec.Slots+spec.QueueLimit)
			assert.Assert(t, e.cache.Len() <= spec.CachePieces)
		}
		e.SetFrozen(now, false)
		computed += o.see(t, e.Advance(now+time.Hour))
		assert.Equal(t, len(o.finished), len(o.jobs))
		assert.Assert(t, math.Abs(e.ComputedTokens()-computed) < 0.01*float64(1+len(o.jobs)))
	})
}

// A prompt that is cached is not computed again.
func TestCachedPromptIsNotComputed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Spec{Slots: 2, QueueLimit: 2, CachePieces: 6, PieceTokens: 10, PrefillWays: 1, PrefillRate: 1000, DecodeRate: 100})
		pieces := drawPieces(t)
		tokens := len(pieces) * 10
		assert.Assert(t, e.Submit(0, Job{ID: 1, Pieces: pieces, PromptTokens: tokens, OutputTokens: 1}))
		e.Advance(time.Minute)
		before := e.ComputedTokens()
		assert.Assert(t, e.Submit(time.Minute, Job{ID: 2, Pieces: pieces, PromptTokens: tokens, OutputTokens: 1}))
		e.Advance(time.Hour)
		assert.Equal(t, e.ComputedTokens(), before)
		e.Crash(time.Hour)
		assert.Assert(t, e.Submit(time.Hour, Job{ID: 3, Pieces: pieces, PromptTokens: tokens, OutputTokens: 1}))
		e.Advance(2 * time.Hour)
		assert.Assert(t, math.Abs(e.ComputedTokens()-2*before) < 0.01)
	})
}

// A cancelled job ends without events and frees its slot.
func TestCancelFreesSlot(t *testing.T) {
	e := New(Spec{Slots: 1, QueueLimit: 2, CachePieces: 6, PieceTokens: 10, PrefillWays: 1, PrefillRate: 1000, DecodeRate: 100})
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

// At the computed capacity all slots are taken on average, by Little's law.
func TestCapacityFillsSlots(t *testing.T) {
	s := Spec{Slots: 16, PrefillRate: 24000, DecodeRate: 60, BatchSlope: 0.03, Interference: 0.3}
	rate := s.Capacity(2000, 200)
	assert.Assert(t, math.Abs(rate*s.SlotSeconds(2000, 200, rate)-16) < 0.01)
	assert.Assert(t, s.Capacity(4000, 200) < rate)
}
