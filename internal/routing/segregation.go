package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// longPrompt is the number of tokens from which a prompt is long: computing
	// it holds up the short ones beside it.
	longPrompt = 4000
	// shortPercent is the part of the engines, in percent, kept for short prompts.
	shortPercent = 28
	// sharedPrice is the handicap for a short prompt of an engine that is not
	// kept for short ones.
	sharedPrice = 100 * time.Millisecond
	// sharedTokenPrice is added for each token of the answer: an engine that
	// computes long prompts generates a token each 0.1 s meanwhile.
	sharedTokenPrice = 4 * time.Millisecond
)

// segregation is the handicap that keeps short prompts from waiting behind
// long ones.
func (p *Policy) segregation(e *engine, r *Request) time.Duration {
	if p.split(r) == nil || r.PromptTokens >= longPrompt || e.reserved {
		return 0
	}
	return sharedPrice + time.Duration(r.ExpectedTokens)*sharedTokenPrice
}

// finishingPrice is the handicap for a long prompt of an engine that stops
// serving soon: the prompt would be computed in vain, and elsewhere again.
const finishingPrice = 2 * time.Second

// finishing is the handicap that keeps long prompts from engines that could not
// finish them.
func (p *Policy) finishing(e *engine, r *Request) time.Duration {
	if !e.ep.Finishing || r.PromptTokens < longPrompt {
		return 0
	}
	return finishingPrice
}

// splitPool is a pool divided by what its engines are kept for.
type splitPool struct {
	reserved placement.Pool // for short prompts
	others   placement.Pool
}

// split returns the divided pool of a request; nil when it is not divided.
func (p *Policy) split(r *Request) *splitPool {
	if !p.rules.segregation || r.PromptTokens == 0 {
		return nil
	}
	s := p.splits[r.Weights]
	if s == nil || len(s.reserved.Members) == 0 || len(s.others.Members) == 0 {
		return nil
	}
	return s
}

// reserve chooses the engines that are kept for short prompts. They stay the
// same while weights are switched one engine after the other: an engine that
// has just computed long prompts is no good one for short ones.
func (p *Policy) reserve() {
	p.splits = map[string]*splitPool{}
	for weights, pool := range p.pools {
		var able []prefix.Scored
		for _, i := range pool.Members {
			e := p.engines[i]
			e.reserved = false
			if e.ep.TransferPerToken > 0 {
				able = append(able, prefix.Scored{Index: i, Score: prefix.Score(reserveKey, e.ep.Hash)})
			}
		}
		for _, s := range prefix.Top(able, len(able)*shortPercent/100) {
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
		p.splits[weights] = split
	}
}

// reserveKey is the key by which rendezvous hashing chooses reserved engines.
const reserveKey = 0x5eed_0f_5407

// crowded reports whether a long prompt would have to wait for others at the
// engine for too long: each prompt that is computed there holds up the answers
// that the engine generates. A prompt of which little is left to compute may
// wait longer, since elsewhere it would be computed whole.
func (p *Policy) crowded(e *engine, r *Request, backlog, compute float64) bool {
	if !p.rules.prefill || r.Goal == 0 || r.PromptTokens < longPrompt {
		return false
	}
	wait := p.speed.Tokens(backlog)
	if compute < longPrompt {
		return wait > time.Duration(heldPrefillPart*float64(r.Goal))
	}
	return e.prefill.part >= maxPrefillPart && p.taken(e) >= manyAnswers || wait > time.Duration(prefillPart*float64(r.Goal))
}

const (
	// prefillPart is the part of a long prompt's goal that prompts before it may take.
	prefillPart = 0.1
	// heldPrefillPart is the same where the engine holds or fetches most of the prompt.
	heldPrefillPart = 0.5
)
