package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// maxCachedParts bounds what is remembered of one engine's cache.
const maxCachedParts = 1 << 13

var _ CacheObserver = (*Policy)(nil)

// Cached implements CacheObserver.
func (p *Policy) Cached(now time.Time, endpoint, incarnation string, part uint64, tokens int) {
	p.tick(now)
	e := p.byID[endpoint]
	if e == nil || e.ep.Incarnation != incarnation {
		return
	}
	if e.cached == nil {
		e.cached = map[uint64]int{}
	}
	if tokens == 0 {
		delete(e.cached, part)
		return
	}
	if len(e.cached) < maxCachedParts {
		e.cached[part] = tokens
	}
}

// CacheLost implements CacheObserver.
func (p *Policy) CacheLost(now time.Time, endpoint string) {
	p.tick(now)
	if e := p.byID[endpoint]; e != nil {
		e.cached = nil
	}
}

// holds returns the number of leading pieces of a prompt that the engine
// stores: a part counts only if all parts before it are whole.
func (e *engine) holds(c *prefix.Chain) int {
	return heldPieces(c, func(part uint64) int { return e.cached[part] })
}

// heldPieces returns the number of leading pieces that are stored, given the
// tokens stored of each part.
func heldPieces(c *prefix.Chain, tokens func(part uint64) int) int {
	held := 0
	for i, part := range c.Parts {
		size := c.LevelPieces[i]
		if i > 0 {
			size -= c.LevelPieces[i-1]
		}
		stored := tokens(part)
		held += min(stored, size)
		if stored < size*wholePercent/100 {
			break
		}
	}
	return held
}

// wholePercent is the part of a part's tokens, in percent, from which it
// counts as whole: engines store whole blocks only.
const wholePercent = 90
