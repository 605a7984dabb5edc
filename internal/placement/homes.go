package placement

import (
	"math"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// MinHomes is the number of homes of a key that is rarely asked for, the
	// reserve included.
	MinHomes = 5
	// homeUtilisation is the load of a home that the growth of homes aims at.
	homeUtilisation = 1.5
	// MaxHomes bounds the homes of one key.
	MaxHomes = 64
)

// Pool is an immutable list of engines that hold the same weights.
type Pool struct {
	// Members are indexes into the caller's list of engines.
	Members []int
	// Hashes are the members' hashes for rendezvous hashing.
	Hashes []uint64
}

// Width returns over how many homes a key's requests are spread when they
// keep the given number of engines busy.
func Width(busyEngines float64) int {
	return min(MaxHomes, max(1, int(math.Ceil(busyEngines/homeUtilisation))))
}

// Homes narrows a pool to the homes of one prompt. It keeps buffers between
// calls and is not safe for concurrent use.
type Homes struct {
	scored []prefix.Scored // Index is a position in the pool
	picked []int
}

// Pick returns the homes in order of preference, as members of the pool. The
// first shared level keeps the engines that score highest for it, as many as
// widths says but at least MinHomes. Each next level orders anew those first
// ones that the widths of the levels before spread their prompts over, and
// the rest stay behind as a reserve. Prompts that share their first levels
// thus share homes, more of them the more often they are asked for, and a
// conversation that grows keeps its own. The slice is valid until the next call.
func (h *Homes) Pick(c *prefix.Chain, pool *Pool, widths []int) []int {
	h.reset(pool)
	spread := h.scored
	for level, width := range widths {
		h.score(SharedKey(c, level), pool, spread)
		if level == 0 {
			h.scored = prefix.Top(h.scored, max(width, MinHomes))
			spread = h.scored
		} else {
			prefix.Top(spread, len(spread))
		}
		spread = spread[:min(width, len(spread))]
		if len(spread) <= 1 {
			break
		}
	}
	return h.members(pool)
}

// PickFlat returns the n engines that score highest for the prompt's home key.
func (h *Homes) PickFlat(c *prefix.Chain, pool *Pool, n int) []int {
	h.reset(pool)
	h.score(c.HomeKey(), pool, h.scored)
	h.scored = prefix.Top(h.scored, max(n, MinHomes))
	return h.members(pool)
}

// SharedLevels returns how many levels of a prompt others may share: all but
// the last, and one for a prompt without levels.
func SharedLevels(c *prefix.Chain) int { return max(1, len(c.Levels)-1) }

// SharedKey returns the hash by which homes are chosen at a shared level.
func SharedKey(c *prefix.Chain, level int) uint64 {
	if len(c.Levels) < 2 {
		return c.HomeKey()
	}
	return c.Levels[level]
}

func (h *Homes) reset(pool *Pool) {
	h.scored = h.scored[:0]
	for i := range pool.Members {
		h.scored = append(h.scored, prefix.Scored{Index: i})
	}
}

func (h *Homes) score(key uint64, pool *Pool, scored []prefix.Scored) {
	for i := range scored {
		s := &scored[i]
		s.Score = prefix.Score(key, pool.Hashes[s.Index])
	}
}

func (h *Homes) members(pool *Pool) []int {
	h.picked = h.picked[:0]
	for _, s := range h.scored {
		h.picked = append(h.picked, pool.Members[s.Index])
	}
	return h.picked
}
