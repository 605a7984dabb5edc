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
	// transfer is the time to fetch the rest from source.
	transfer time.Duration
	source   *engine
	// held is the number of tokens that it is believed to hold.
	held float64
	// copied is the number of tokens that the fetch stores a second time.
	copied float64
}

// copyShare is the part of the time to compute tokens that a second copy of
// them costs: it pushes out what others need.
const copyShare = 1.0

// need predicts what the engine lacks of r's prompt. best is the engine that
// holds most of it, which found tells.
func (p *Policy) need(now time.Time, e *engine, r *Request, rank int, best *engine, found int) need {
	c := &r.Chain
	if len(c.LevelPieces) == 0 || c.Bytes == 0 {
		return need{compute: float64(r.PromptTokens)}
	}
	held := 0
	if p.rules.hints {
		held = p.held(now, e, r)
	}
	if p.rules.transfers && e.ep.TransferPerToken > 0 && best != nil && best != e && found > held {
		return p.fetched(e, r, best, held, found)
	}
	shared := c.LevelPieces[max(0, len(c.LevelPieces)-2)]
	tokens := tokensPerPiece(r)
	n := need{compute: max(0, float64(r.PromptTokens)-float64(held)*tokens), held: float64(held) * tokens}
	if shared > held && p.rules.order {
		n.presumed = min(n.compute, p.prior(now, rank)*float64(shared-held)*tokens)
	}
	return n
}

// fetched is the need of an engine that fetches from another one.
func (p *Policy) fetched(e *engine, r *Request, from *engine, held, found int) need {
	tokens := tokensPerPiece(r)
	perToken := e.ep.TransferPerToken
	if from.ep.DataCentre != e.ep.DataCentre {
		perToken *= farTransfer
	}
	return need{
		compute:  max(0, float64(r.PromptTokens)-float64(found)*tokens),
		transfer: transferSetup + time.Duration(float64(found-held)*tokens)*perToken,
		source:   from,
		held:     float64(held) * tokens,
		copied:   float64(found-held) * tokens,
	}
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

// bestHolder returns the engine that holds most of r's prompt and how many
// pieces it holds, nil when none was seen to hold any.
func (p *Policy) bestHolder(now time.Time, r *Request) (*engine, int) {
	if !p.rules.transfers || !p.rules.hints || len(r.Chain.Levels) == 0 {
		return nil, 0
	}
	var best *engine
	most := 0
	for _, e := range p.engines {
		if e.ep.TransferPerToken == 0 {
			return nil, 0
		}
		if e.failures > 0 {
			continue // a dead source holds its reader up
		}
		if n := p.held(now, e, r); n > most {
			best, most = e, n
		}
	}
	return best, most
}
