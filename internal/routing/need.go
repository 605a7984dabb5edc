package routing

import (
	"time"
)

// need is what an engine lacks of a prompt.
type need struct {
	// compute is the number of prompt tokens that it has to compute, as far as
	// is known; presumed of them it may hold all the same.
	compute  float64
	presumed float64
	// transfer is the time to fetch the rest from source, an engine or the cache store.
	transfer time.Duration
	source   string
	// held is the number of tokens that it is believed to hold.
	held float64
	// copied is the number of tokens that the fetch stores a second time.
	copied float64
}

// copyShare is the part of the time to compute tokens that a second copy of
// them costs: it pushes out what others need.
const copyShare = 1.0

// holder is where the most of a prompt is, of what was made under one version
// of the weights.
type holder struct {
	version int
	// engine holds found pieces, nil when none was seen to hold any; the cache
	// store keeps stored pieces.
	engine *engine
	found  int
	stored int
}

// need predicts what the engine lacks of r's prompt. h tells where else it is,
// nil when engines can't fetch.
func (p *Policy) need(now time.Time, e *engine, r *Request, rank int, h *holder) need {
	c := &r.Chain
	if len(c.LevelPieces) == 0 || c.Bytes == 0 {
		return need{compute: float64(r.PromptTokens)}
	}
	held := 0
	if p.rules.hints {
		held = p.held(now, e, r)
	}
	if h != nil {
		if n, ok := p.fetched(e, r, h, held); ok {
			return n
		}
	}
	shared := c.LevelPieces[max(0, len(c.LevelPieces)-2)]
	tokens := tokensPerPiece(r)
	n := need{compute: max(0, float64(r.PromptTokens)-float64(held)*tokens), held: float64(held) * tokens}
	if shared > held && p.rules.order {
		n.presumed = min(n.compute, p.prior(now, rank)*float64(shared-held)*tokens)
	}
	return n
}

// fetched is the need of an engine that fetches from another one or from the
// cache store; ok is false when neither holds more than the engine itself.
func (p *Policy) fetched(e *engine, r *Request, h *holder, held int) (best need, ok bool) {
	tokens := tokensPerPiece(r)
	offer := func(source, dataCentre string, found int, perToken time.Duration) {
		if found <= held {
			return
		}
		if dataCentre != e.ep.DataCentre {
			perToken *= farTransfer
		}
		n := need{
			compute:  max(0, float64(r.PromptTokens)-float64(found)*tokens),
			transfer: transferSetup + time.Duration(float64(found-held)*tokens)*perToken,
			source:   source,
			held:     float64(held) * tokens,
			copied:   float64(found-held) * tokens,
		}
		if !ok || n.transfer+p.speed.Tokens(n.compute) < best.transfer+p.speed.Tokens(best.compute) {
			best, ok = n, true
		}
	}
	if h.engine != nil && h.engine != e {
		offer(h.engine.ep.ID, h.engine.ep.DataCentre, h.found, e.ep.TransferPerToken)
	}
	if h.stored > 0 {
		offer(p.store.ID, p.store.DataCentre, h.stored, p.store.TransferPerToken)
	}
	return best, ok
}

// tokensPerPiece returns the number of prompt tokens in a piece.
func tokensPerPiece(r *Request) float64 {
	return float64(r.PromptTokens) * float64(r.Chain.PieceBytes) / float64(r.Chain.Bytes)
}

const (
	// transferSetup is the time to begin a transfer between engines.
	transferSetup = 5 * time.Millisecond
	// farTransfer is how many times longer a transfer takes between data centres.
	farTransfer = 2
)

// findHolders notes for each version of the weights where the most of r's
// prompt is.
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
		h := p.holder(e.version(r.Weights))
		if h == nil {
			v := e.version(r.Weights)
			p.holders = append(p.holders, holder{version: v, stored: p.stored(r, v)})
			h = &p.holders[len(p.holders)-1]
		}
		if e.failures > 0 {
			continue // a dead source holds its reader up
		}
		if n := p.held(now, e, r); n > h.found {
			h.engine, h.found = e, n
		}
	}
}

// holder returns what findHolders noted for a version, nil for nothing.
func (p *Policy) holder(version int) *holder {
	for i := range p.holders {
		if p.holders[i].version == version {
			return &p.holders[i]
		}
	}
	return nil
}

// version returns the version of weights that the engine has loaded, 0 when it
// is not known.
func (e *engine) version(weights string) int {
	for i, w := range e.ep.Weights {
		if w == weights && i < len(e.ep.Versions) {
			return e.ep.Versions[i]
		}
	}
	return 0
}
