package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// longPromptTokens is the number of tokens from which a prompt is long: its
	// prefill delays short prompts at the same engine (head-of-line blocking).
	longPromptTokens = 4000
	// reservedPercent is the percentage of the engines reserved for short prompts.
	reservedPercent = 28
	// unreservedPenalty is added to the cost of a short prompt at an engine that is
	// not reserved for short ones.
	unreservedPenalty = 100 * time.Millisecond
	// unreservedTokenPenalty is added for each token of the response: an engine
	// generates only one token per 0.1 s while it computes long prompts.
	unreservedTokenPenalty = 4 * time.Millisecond
)

// segregationPenalty returns the cost penalty that keeps short prompts from waiting
// behind long ones.
func (p *Policy) segregationPenalty(e *engine, r *Request) time.Duration {
	if p.split(r) == nil || r.PromptTokens >= longPromptTokens || e.reserved {
		return 0
	}
	return unreservedPenalty + time.Duration(r.ExpectedOutputTokens)*unreservedTokenPenalty
}

// stoppingPenalty is added to the cost of a long prompt at an engine that stops
// serving soon: the prompt would have to be computed again elsewhere.
const stoppingPenalty = 2 * time.Second

// stoppingSoonPenalty returns the cost penalty that keeps long prompts from engines
// that stop serving before they could complete them.
func (p *Policy) stoppingSoonPenalty(e *engine, r *Request) time.Duration {
	if !e.ep.StoppingSoon || r.PromptTokens < longPromptTokens {
		return 0
	}
	return stoppingPenalty
}

// splitPool is a pool divided into engines reserved for short prompts and others.
type splitPool struct {
	reserved placement.Pool
	others   placement.Pool
}

// split returns the divided pool of a request, nil if its pool is not divided.
func (p *Policy) split(r *Request) *splitPool {
	if !p.rules.segregation || r.PromptTokens == 0 {
		return nil
	}
	s := p.splitPools[r.Weights]
	if s == nil || len(s.reserved.Members) == 0 || len(s.others.Members) == 0 {
		return nil
	}
	return s
}

// chooseReserved chooses the engines reserved for short prompts, from those that can
// fetch cached prompts. They stay the same while weights are switched one engine
// after the other, because an engine that has just got long prompts would delay
// short ones.
func (p *Policy) chooseReserved() {
	p.splitPools = map[string]*splitPool{}
	for weights, pool := range p.pools {
		var fetchCapable []prefix.Scored
		for _, i := range pool.Members {
			e := p.engines[i]
			e.reserved = false
			if e.ep.TransferPerToken > 0 {
				fetchCapable = append(fetchCapable, prefix.Scored{Index: i, Score: prefix.Score(reservedEnginesKey, e.ep.Hash)})
			}
		}
		for _, s := range prefix.SelectTop(fetchCapable, len(fetchCapable)*reservedPercent/100) {
			p.engines[s.Index].reserved = true
		}
		split := &splitPool{}
		for _, i := range pool.Members {
			if e := p.engines[i]; e.reserved {
				addToPool(&split.reserved, i, e)
			} else {
				addToPool(&split.others, i, e)
			}
		}
		p.splitPools[weights] = split
	}
}

// reservedEnginesKey is the key by which rendezvous hashing chooses reserved engines.
const reservedEnginesKey = 0x5eed_0f_5407

// exceedsPrefillLimit reports whether a long prompt would wait too long for the
// prefill of others at the engine, which also delays the decoding of responses there.
// A prompt with little left to compute may wait longer, since elsewhere it would
// be computed whole; so may any prompt where announcements tell of the prompts before it.
func (p *Policy) exceedsPrefillLimit(e *engine, r *Request, backlog, computeTokens float64) bool {
	if !p.rules.prefillLimit || r.FirstTokenGoal == 0 || r.PromptTokens < longPromptTokens {
		return false
	}
	wait := p.speed.TokensTime(backlog)
	if p.announcing.on {
		wait = p.engineTokensTime(p.now, e, backlog)
	}
	if p.announcing.on || computeTokens < longPromptTokens {
		return wait > time.Duration(heldPrefillWaitFraction*float64(r.FirstTokenGoal))
	}
	return e.prefillUtilisation.fraction >= maxPrefillUtilisation && p.takenSlots(e) >= prefillLimitMinRunning || wait > time.Duration(prefillWaitFraction*float64(r.FirstTokenGoal))
}

const (
	// prefillWaitFraction is the fraction of a long prompt's first-token goal that
	// the prefill of prompts before it may take.
	prefillWaitFraction = 0.1
	// heldPrefillWaitFraction replaces prefillWaitFraction where the engine holds or
	// fetches most of the prompt.
	heldPrefillWaitFraction = 0.5
)
