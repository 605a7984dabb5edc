package routing

import (
	"math"
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
	// announcedSpillPenalty replaces it where the backlogs of engines are known from
	// announcements: a further copy evicts others, but a wait for a home is predicted well.
	announcedSpillPenalty = 50 * time.Millisecond
)

// presumedHomes returns the number of homes that are presumed to hold a prompt because all
// daemons choose them alike, the more the more often its shared levels are requested. It is
// 0 where daemons learn from one another which engine holds it, and for a short prompt that
// many engines hold.
func (p *Policy) presumedHomes(now time.Time, r *Request) int {
	if p.daemonCount-1 <= maxFreshPeers || !p.rules.transfers || !p.rules.homeOrder || p.split(r) == nil || sharedTokens(r) < minPresumedTokens {
		return 0
	}
	if p.announcing.on && p.rules.rateHomes && r.PromptTokens >= longPromptTokens {
		return p.announcedHomes(now, r)
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
func (p *Policy) spillPenaltyOf(r *Request, presumed bool, presumedHomes int) time.Duration {
	if presumedHomes == 0 || presumed || r.PromptTokens < longPromptTokens {
		return 0
	}
	if p.announcing.on {
		return announcedSpillPenalty
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

const (
	// homeWaitFraction is the fraction of a prompt's first-token goal that requests may wait
	// on average for the prefill of others with the same shared levels.
	homeWaitFraction = 0.125
	// maxHomeUtilisation bounds the fraction of an engine's time for the prefill of one shared
	// prompt: the engine also reads others.
	maxHomeUtilisation = 0.4
)

// announcedHomes returns the number of homes of a long prompt at the rate at which all
// daemons announce its shared levels, so that requests wait for one another no longer than
// homeWaitFraction of their goal. It assumes requests at random and a prefill of constant
// length s: at utilisation u they wait s u / (2 (1 - u)) on average.
func (p *Policy) announcedHomes(now time.Time, r *Request) int {
	prefill := p.speed.TokensTime(float64(r.PromptTokens) - sharedTokens(r)).Seconds()
	utilisation := maxHomeUtilisation
	if r.FirstTokenGoal > 0 && prefill > 0 {
		x := 2 * homeWaitFraction * r.FirstTokenGoal.Seconds() / prefill
		utilisation = min(utilisation, x/(1+x))
	}
	busy := p.announcing.rates.PerSecond(now, r.Chain.HomeKey()) * prefill
	return min(max(1, int(math.Ceil(busy/utilisation))), placement.MaxHomes)
}
