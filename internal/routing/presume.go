package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
)

const (
	// presumedHomeCount is the number of homes of a prompt in a fleet whose daemons learn
	// little of what engines hold: the fewer, the likelier one of them holds it.
	presumedHomeCount = 2
	// minPresumedTokens is the number of shared tokens from which a prompt is fetched on a
	// presumption: fewer are computed as fast.
	minPresumedTokens = 256
	// spillPenalty is the additional wait that a long prompt accepts for one of its homes.
	spillPenalty = 150 * time.Millisecond
)

// presumedHomes returns the number of homes that are presumed to hold a prompt because all
// daemons choose them alike, the more the more often its shared levels are requested. It is
// 0 where daemons learn from one another which engine holds it, and for a short prompt that
// many engines hold.
func (p *Policy) presumedHomes(now time.Time, r *Request) int {
	if p.daemonCount-1 <= maxFreshPeers || !p.rules.transfers || !p.rules.homeOrder || p.split(r) == nil || sharedTokens(r) < minPresumedTokens {
		return 0
	}
	n := max(presumedHomeCount, p.homeCount(now, r.Chain.HomeKey()))
	if r.PromptTokens < longPromptTokens && n > presumedHomeCount {
		return 0
	}
	return min(n, longPromptHomes)
}

// sharedTokens returns the number of tokens of a prompt that other prompts may share.
func sharedTokens(r *Request) float64 {
	c := &r.Chain
	if len(c.Levels) < 2 || c.Bytes == 0 {
		return 0
	}
	return float64(c.LevelBlocks[placement.SharedLevels(c)-1]) * tokensPerBlock(r)
}

// spillPenaltyOf returns the additional cost of an engine that is no presumed home.
func spillPenaltyOf(r *Request, presumed bool, presumedHomes int) time.Duration {
	if presumedHomes == 0 || presumed || r.PromptTokens < longPromptTokens {
		return 0
	}
	return spillPenalty
}

// presumedSource returns the ID of the home from which an engine should try to fetch a
// prompt's shared levels, empty if it should not. A home that does not hold them costs the
// engine a millisecond.
func presumedSource(e *engine, homes []*engine, r *Request) string {
	if e == nil {
		return ""
	}
	for _, home := range homes {
		if home != e && home.version(r.Weights) == e.version(r.Weights) {
			return home.ep.ID
		}
	}
	return ""
}
