package routing

import (
	"time"
)

// prefillEstimate is the predicted work of an engine before the first token of a
// prompt.
type prefillEstimate struct {
	// computeTokens is the number of prompt tokens that the engine is not known to
	// hold and cannot fetch; presumedTokens of them it is presumed to hold all the
	// same, because it is the prompt's first home.
	computeTokens  float64
	presumedTokens float64
	// transferTime is the time to fetch cached tokens from source, the ID of an
	// engine or of the cache store; source is empty if nothing is fetched.
	transferTime time.Duration
	source       string
	// heldTokens is the estimated number of tokens that the engine holds.
	heldTokens float64
	// copiedTokens is the number of tokens that the fetch duplicates.
	copiedTokens float64
}

// copyCostFactor is the cost of a further copy of cached tokens, which evicts
// others, in units of the time to compute them.
const copyCostFactor = 1.0

// holder is where the cached blocks of a prompt can be fetched from, for one version
// of the weights.
type holder struct {
	version int
	// engine holds engineBlocks leading blocks, nil if no engine is known to hold
	// any; the cache store keeps storedBlocks.
	engine       *engine
	engineBlocks int
	storedBlocks int
}

// estimatePrefill predicts what the engine has to compute and fetch of r's prompt.
// presumed is set if e is a home that is presumed to hold the prompt; h is where the engine can fetch cached blocks from, nil if it cannot fetch.
func (p *Policy) estimatePrefill(now time.Time, e *engine, r *Request, presumed bool, h *holder) prefillEstimate {
	c := &r.Chain
	if len(c.LevelBlocks) == 0 || c.Bytes == 0 {
		return prefillEstimate{computeTokens: float64(r.PromptTokens)}
	}
	held := 0
	if p.rules.hints {
		held = p.heldBlocks(now, e, r)
	}
	if h != nil {
		if estimate, ok := p.estimateFetch(e, r, h, held); ok {
			return estimate
		}
	}
	sharedBlocks := c.LevelBlocks[max(0, len(c.LevelBlocks)-2)]
	tokens := tokensPerBlock(r)
	estimate := prefillEstimate{computeTokens: max(0, float64(r.PromptTokens)-float64(held)*tokens), heldTokens: float64(held) * tokens}
	if sharedBlocks > held && p.rules.homeOrder {
		estimate.presumedTokens = min(estimate.computeTokens, p.homePrior(now, presumed)*float64(sharedBlocks-held)*tokens)
	}
	return estimate
}

// estimateFetch returns the estimate for an engine that fetches from another one or
// from the cache store, whichever is faster; ok is false if neither holds more than
// the engine itself.
func (p *Policy) estimateFetch(e *engine, r *Request, h *holder, held int) (best prefillEstimate, ok bool) {
	tokens := tokensPerBlock(r)
	consider := func(source, dataCentre string, blocks int, perToken time.Duration) {
		if blocks <= held {
			return
		}
		if dataCentre != e.ep.DataCentre {
			perToken *= crossDataCentreFactor
		}
		estimate := prefillEstimate{
			computeTokens: max(0, float64(r.PromptTokens)-float64(blocks)*tokens),
			transferTime:  transferSetupTime + time.Duration(float64(blocks-held)*tokens)*perToken,
			source:        source,
			heldTokens:    float64(held) * tokens,
			copiedTokens:  float64(blocks-held) * tokens,
		}
		if !ok || estimate.transferTime+p.speed.TokensTime(estimate.computeTokens) < best.transferTime+p.speed.TokensTime(best.computeTokens) {
			best, ok = estimate, true
		}
	}
	if h.engine != nil && h.engine != e {
		consider(h.engine.ep.ID, h.engine.ep.DataCentre, h.engineBlocks, e.ep.TransferPerToken)
	}
	if h.storedBlocks > 0 {
		consider(p.cacheStore.ID, p.cacheStore.DataCentre, h.storedBlocks, p.cacheStore.TransferPerToken)
	}
	return best, ok
}

// tokensPerBlock returns the number of prompt tokens in a cache block.
func tokensPerBlock(r *Request) float64 {
	return float64(r.PromptTokens) * float64(r.Chain.BlockSize) / float64(r.Chain.Bytes)
}

const (
	// transferSetupTime is the fixed time of a transfer between engines.
	transferSetupTime = 5 * time.Millisecond
	// crossDataCentreFactor is how many times longer a transfer between data centres takes.
	crossDataCentreFactor = 2
)

// findHolders records, for each version of the weights, where r's prompt can be
// fetched from; nothing if some engine cannot fetch.
func (p *Policy) findHolders(now time.Time, r *Request) {
	p.holders = p.holders[:0]
	if !p.rules.transfers || !p.rules.hints || len(r.Chain.Levels) == 0 {
		return
	}
	for _, e := range p.engines {
		if e.ep.TransferPerToken == 0 {
			p.holders = p.holders[:0]
			return
		}
		h := p.holderFor(e.version(r.Weights))
		if h == nil {
			v := e.version(r.Weights)
			p.holders = append(p.holders, holder{version: v, storedBlocks: p.storedBlocks(r, v)})
			h = &p.holders[len(p.holders)-1]
		}
		if e.failures > 0 {
			continue // a fetch from a failed engine would block
		}
		if p.announcing.on && e.isReading(now, r.Chain.HomeKey()) {
			continue // it cannot be fetched yet
		}
		if n := p.heldBlocks(now, e, r); n > h.engineBlocks {
			h.engine, h.engineBlocks = e, n
		}
	}
}

// holderFor returns the holder that findHolders recorded for a version, nil if none.
func (p *Policy) holderFor(version int) *holder {
	for i := range p.holders {
		if p.holders[i].version == version {
			return &p.holders[i]
		}
	}
	return nil
}

// version returns the version of weights that the engine has loaded, 0 if unknown.
func (e *engine) version(weights string) int {
	for i, w := range e.ep.Weights {
		if w == weights && i < len(e.ep.Versions) {
			return e.ep.Versions[i]
		}
	}
	return 0
}
