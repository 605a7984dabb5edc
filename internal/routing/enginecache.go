package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// maxCachedPartsPerEngine bounds the parts recorded for one engine's cache.
const maxCachedPartsPerEngine = 1 << 13

var _ CacheObserver = (*Policy)(nil)

// PartCached implements CacheObserver.
func (p *Policy) PartCached(now time.Time, endpoint, incarnation string, part uint64, tokens int) {
	p.setNow(now)
	e := p.byID[endpoint]
	if e == nil || e.ep.Incarnation != incarnation {
		return
	}
	if e.tokensByPart == nil {
		e.tokensByPart = map[uint64]int{}
	}
	if tokens == 0 {
		delete(e.tokensByPart, part)
		return
	}
	if len(e.tokensByPart) < maxCachedPartsPerEngine {
		e.tokensByPart[part] = tokens
	}
}

// CacheLost implements CacheObserver.
func (p *Policy) CacheLost(now time.Time, endpoint string) {
	p.setNow(now)
	if e := p.byID[endpoint]; e != nil {
		e.tokensByPart = nil
	}
}

// cachedBlocks returns the number of leading blocks of a prompt that the engine
// reports as cached. A part counts only if all parts before it are complete.
func (e *engine) cachedBlocks(c *prefix.Chain) int {
	return leadingBlocks(c, func(part uint64) int { return e.tokensByPart[part] })
}

// leadingBlocks returns the number of leading blocks that are stored, given the
// number of tokens stored of each part.
func leadingBlocks(c *prefix.Chain, storedTokens func(part uint64) int) int {
	held := 0
	for i, part := range c.Parts {
		size := c.LevelBlocks[i]
		if i > 0 {
			size -= c.LevelBlocks[i-1]
		}
		stored := storedTokens(part)
		held += min(stored, size)
		if stored < size*completePartPercent/100 {
			break
		}
	}
	return held
}

// completePartPercent is the percentage of a part's tokens from which the part
// counts as complete: engines store whole blocks only.
const completePartPercent = 90
