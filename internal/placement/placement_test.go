package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// A hint matches only its prefix and the engine's incarnation, and expires.
func TestHintsAreScopedByIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHints(1<<10, epoch)
		hash := rapid.Uint64().Draw(t, "hash")
		old, restarted := EngineKey("10.0.0.1:1", "1"), EngineKey("10.0.0.1:1", "2")
		h.Store(epoch, hash, old)
		assert.Assert(t, h.Holds(epoch, hash, old))
		assert.Assert(t, !h.Holds(epoch, hash, restarted))
		assert.Assert(t, !h.Holds(epoch, hash+1, old))
		assert.Assert(t, !h.Holds(epoch.Add(time.Hour), hash, old))
	})
}

// The table does not grow, and a full set replaces its oldest entry.
func TestHintsBounded(t *testing.T) {
	h := NewHints(hintWays, epoch)
	bytes := h.Bytes()
	for i := range uint64(hintWays + 1) {
		h.Store(epoch.Add(time.Duration(i)*time.Millisecond), i, 7)
	}
	assert.Equal(t, h.Bytes(), bytes)
	assert.Assert(t, !h.Holds(epoch, 0, 7))
	assert.Assert(t, h.Holds(epoch, hintWays, 7))
}

func TestRetentionFollowsObservations(t *testing.T) {
	h := NewHints(hintWays, epoch)
	h.Refute(time.Second)
	assert.Assert(t, h.Retention() < initialRetention)
	low := h.Retention()
	h.Confirm(time.Minute)
	assert.Assert(t, h.Retention() > low)
}

// One slow observation raises the slowdown, one normal observation lowers it less.
func TestSlowdownRisesFasterThanItFalls(t *testing.T) {
	var s Slowdown
	assert.Equal(t, s.Value(epoch), 1.0)
	s.Observe(epoch, 5)
	risen := s.Value(epoch)
	assert.Assert(t, risen > 3)
	s.Observe(epoch, 1)
	assert.Assert(t, s.Value(epoch) > 1+0.75*(risen-1))
	assert.Assert(t, s.Value(epoch.Add(10*slowdownHalfLife)) < 1.01)
}

// A linear time to first token is fitted within 2 %.
func TestPrefillSpeedFitsALine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(1, 100).Draw(t, "base ms")) * time.Millisecond
		perToken := time.Duration(rapid.IntRange(20, 500).Draw(t, "per token us")) * time.Microsecond
		s := NewPrefillSpeed()
		for i := range 40 {
			tokens := 100 + 250*(i%7)
			s.Observe(float64(tokens), base+time.Duration(tokens)*perToken)
		}
		want := base + 1000*perToken
		assert.Assert(t, (s.FirstToken(1000)-want).Abs() < want/50, "%v, not %v", s.FirstToken(1000), want)
	})
}

// During the first samples of a daemon, every estimate for 20,000 tokens is within
// a factor of two of the true 500 ms. The engines compute 40 tokens per ms; one
// prompt in 13 is long, short ones take 20 to 100 ms at random, and one long prompt
// in four waited behind work of other daemons.
func TestPrefillSpeedIsCloseFromTheStart(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		between := func(least, most int) int { return least + random.IntN(most-least+1) }
		s := NewPrefillSpeed()
		for i := range 300 {
			tokens, ms := between(80, 1800), between(20, 100)
			if i%13 == 4 {
				tokens = between(6_000, 40_000)
				ms = 50 + tokens/40
				if random.IntN(4) == 0 {
					ms += between(100, 900)
				}
			}
			s.Observe(float64(tokens), time.Duration(ms)*time.Millisecond)
			long := s.TokensTime(20_000)
			assert.Assert(t, long > 250*time.Millisecond && long < time.Second, "seed %d: 20,000 tokens take %v after %d", seed, long, i)
		}
	}
}

// Slowdown multiplies recomputation and waiting; a slow engine that holds the
// prompt may still cost less than a normal one that does not.
func TestCost(t *testing.T) {
	holder := Candidate{Wait: 100 * time.Millisecond, Recompute: 10 * time.Millisecond, Slowdown: 1}
	empty := Candidate{Recompute: time.Second, Slowdown: 1}
	price := RecomputePrice(0.5)
	assert.Assert(t, holder.Cost(price) < empty.Cost(price))
	holder.Slowdown = 5
	assert.Assert(t, holder.Cost(price) < empty.Cost(price))
	holder.Slowdown = 32
	assert.Assert(t, holder.Cost(price) > empty.Cost(price))
	assert.Assert(t, RecomputePrice(1) > RecomputePrice(0))
}

// The homes of a prompt do not depend on the order of the engines or on engines
// that are not homes of its first level.
func TestHomesStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hashes := rapid.SliceOfNDistinct(rapid.Uint64(), 6, 40, rapid.ID).Draw(t, "engines")
		c := prefix.New(prefix.Scope{}, rapid.SliceOfN(rapid.StringN(1, 9, -1), 1, 5).Draw(t, "levels"), 4)
		homeCounts := []int{5, 4, 3, 3}[:SharedLevels(&c)]
		homes := homesOf(&c, hashes, homeCounts)
		removed := rapid.IntRange(0, len(hashes)-1).Draw(t, "removed")
		remaining := slices.Delete(slices.Clone(hashes), removed, removed+1)
		slices.Reverse(remaining)
		after := homesOf(&c, remaining, homeCounts)
		if !slices.Contains(homesOf(&c, hashes, []int{homeCounts[0]}), hashes[removed]) {
			assert.DeepEqual(t, homes, after)
		}
	})
}

func homesOf(c *prefix.Chain, hashes []uint64, homeCounts []int) []uint64 {
	pool := Pool{Hashes: hashes}
	for i := range hashes {
		pool.Members = append(pool.Members, i)
	}
	var h HomePicker
	var out []uint64
	for _, i := range h.Pick(c, &pool, homeCounts) {
		out = append(out, hashes[i])
	}
	return out
}

// The number of homes of a key rises and falls with its rate.
func TestHomeCountFollowsRate(t *testing.T) {
	r := NewRates(1<<8, epoch)
	now := epoch
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		r.Observe(now, 7)
	}
	hot := r.PerSecond(now, 7)
	assert.Assert(t, hot > 90 && hot < 110, "rate %v", hot)
	assert.Assert(t, HomeCount(hot/10) > 4)
	assert.Equal(t, HomeCount(r.PerSecond(now.Add(time.Minute), 7)/20), 1)
}
