package placement

import (
	"math"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// MinHomes is the number of homes of a rarely requested key, including the
	// spare ones.
	MinHomes = 5
	// targetHomeLoad is the load per home that HomeCount aims at; 1 keeps one
	// engine busy.
	targetHomeLoad = 1.5
	// MaxHomes bounds the homes of one key.
	MaxHomes = 64
)

// Pool is a list of engines among which homes are picked.
type Pool struct {
	// Members are indexes into the caller's list of engines.
	Members []int
	// Hashes are the members' node hashes for rendezvous hashing.
	Hashes []uint64
}

// HomeCount returns the number of homes for a key whose requests keep the given
// number of engines busy.
func HomeCount(busyEngines float64) int {
	return min(MaxHomes, max(1, int(math.Ceil(busyEngines/targetHomeLoad))))
}

// HomePicker selects the homes of a prompt from a pool. It reuses its buffers
// between calls and is not safe for concurrent use.
type HomePicker struct {
	scored []prefix.Scored // Index is a position in the pool
	picked []int
}

// Pick returns the homes in order of preference, as members of the pool.
// homeCounts holds the number of homes for each shared level. The first level
// selects the engines that score highest for it, at least MinHomes. Each further
// level reorders only the first engines, as many as the counts of the levels before
// it allow; the rest follow as spares. Prompts that share their first levels thus
// share homes, the more the higher their rate, and a growing conversation keeps
// its homes. The slice is valid until the next call.
func (h *HomePicker) Pick(c *prefix.Chain, pool *Pool, homeCounts []int) []int {
	h.reset(pool)
	reorderable := h.scored
	for level, homeCount := range homeCounts {
		h.score(SharedKey(c, level), pool, reorderable)
		if level == 0 {
			h.scored = prefix.SelectTop(h.scored, max(homeCount, MinHomes))
			reorderable = h.scored
		} else {
			prefix.SelectTop(reorderable, len(reorderable))
		}
		reorderable = reorderable[:min(homeCount, len(reorderable))]
		if len(reorderable) <= 1 {
			break
		}
	}
	return h.members(pool)
}

// PickByHomeKey returns the engines that score highest for the prompt's home key,
// n but at least MinHomes of them. The slice is valid until the next call.
func (h *HomePicker) PickByHomeKey(c *prefix.Chain, pool *Pool, n int) []int {
	h.reset(pool)
	h.score(c.HomeKey(), pool, h.scored)
	h.scored = prefix.SelectTop(h.scored, max(n, MinHomes))
	return h.members(pool)
}

// SharedLevels returns how many levels of a prompt other prompts may share: all but
// the last, but at least one.
func SharedLevels(c *prefix.Chain) int { return max(1, len(c.Levels)-1) }

// SharedKey returns the key by which homes are chosen at a shared level.
func SharedKey(c *prefix.Chain, level int) uint64 {
	if len(c.Levels) < 2 {
		return c.HomeKey()
	}
	return c.Levels[level]
}

func (h *HomePicker) reset(pool *Pool) {
	h.scored = h.scored[:0]
	for i := range pool.Members {
		h.scored = append(h.scored, prefix.Scored{Index: i})
	}
}

func (h *HomePicker) score(key uint64, pool *Pool, scored []prefix.Scored) {
	for i := range scored {
		s := &scored[i]
		s.Score = prefix.Score(key, pool.Hashes[s.Index])
	}
}

func (h *HomePicker) members(pool *Pool) []int {
	h.picked = h.picked[:0]
	for _, s := range h.scored {
		h.picked = append(h.picked, pool.Members[s.Index])
	}
	return h.picked
}
