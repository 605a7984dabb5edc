package routing

import "time"

// memoryTokens predicts how many tokens of an engine's memory a request needs while it runs.
func (p *Policy) memoryTokens(r *Request) float64 {
	output := p.responseStats.predictOutputTokens(r)
	if r.ExpectedOutputTokens > 0 {
		output = float64(r.ExpectedOutputTokens)
	}
	if r.MaxOutputTokens > 0 {
		output = min(output, float64(r.MaxOutputTokens))
	}
	return float64(r.PromptTokens) + output
}

// usedMemory returns how many tokens of the engine's memory requests are known to need.
// Requests that only the engine's report shows count as short ones.
func (p *Policy) usedMemory(now time.Time, e *engine) float64 {
	p.drainAnnounced(now, e)
	used, known := e.ownMemory, float64(e.ownAttempts)
	for i := range e.announced {
		used += e.announced[i].memoryTokens
		known += e.announced[i].requests
	}
	if unknown := float64(p.reportedRequests(e)) - known; unknown > 0 {
		used += unknown * p.announcing.shortMemory.valueOr(initialOutputTokens)
	}
	return used
}

// lacksMemory reports whether a long prompt does not fit into the engine's memory beside the
// requests there: the engine would preempt one and compute it again. If it fits nowhere, it
// waits in the daemon. One that exceeds the memory of an empty engine is not held back.
func (p *Policy) lacksMemory(now time.Time, e *engine, r *Request) bool {
	if !p.announcing.on || !p.rules.engineMemory || e.ep.MemoryTokens == 0 || r.PromptTokens < longPromptTokens {
		return false
	}
	need, capacity := p.memoryTokens(r), float64(e.ep.MemoryTokens)
	return need <= capacity && p.usedMemory(now, e)+need > capacity
}
