package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
)

// FirstToken implements Scheduler.
func (p *Policy) FirstToken(now time.Time, id, endpoint string, cachedTokens int) {
	p.setNow(now)
	a := p.attempt(id, endpoint)
	if a == nil || a.gotFirstToken {
		return
	}
	a.engine.markFirstToken(a)
	a.engine.lastFirstTokenAt = now
	a.firstTokenAt, a.lastProgressAt = now, now
	p.observeFirstToken(now, p.inFlight[id], a)
	a.engine.recordSuccess()
	p.countEjected(now)
	observed := now.Sub(a.sentAt) - a.roundTripDelay
	computedTokens := a.tokensAhead + a.uncachedTokens
	if cachedTokens != CachedUnknown {
		computedTokens = a.tokensAhead + max(0, float64(a.request.PromptTokens-cachedTokens))
	}
	a.engine.observedSlowdown.Observe(now, placement.Ratio(observed, p.speed.FirstToken(computedTokens)))
	if !p.observeSpeed(now, a, observed, computedTokens) && p.slowdown(now, a.engine) < slowdownThreshold {
		p.speed.Observe(computedTokens, observed)
	}
	p.updateRetention(a, cachedTokens)
	p.recordHeld(now, a.engine, a.request)
	p.recheckNow = true
}

// updateRetention adjusts the retention of hints: it compares the hint that an
// attempt relied on with the reported number of cached tokens.
func (p *Policy) updateRetention(a *attempt, cachedTokens int) {
	c := &a.request.Chain
	if a.hintAge < 0 || c.Bytes == 0 || cachedTokens == CachedUnknown {
		return
	}
	predicted := float64(a.hintedBlocks*c.BlockSize) / float64(c.Bytes) * float64(a.request.PromptTokens)
	if float64(cachedTokens) >= hintConfirmFraction*predicted {
		p.hints.Confirm(a.hintAge)
	} else {
		p.hints.Refute(a.hintAge)
	}
}

// hintConfirmFraction is the fraction of the predicted cached tokens from which a
// hint counts as confirmed.
const hintConfirmFraction = 0.8

// Finished implements Scheduler.
func (p *Policy) Finished(now time.Time, id, endpoint string, outcome Outcome, outputTokens int) {
	p.setNow(now)
	f := p.inFlight[id]
	if f == nil {
		return
	}
	a := f.attemptAt(endpoint)
	if a == nil {
		return
	}
	e := a.engine
	p.recordCanceledWait(now, a, outcome)
	p.observeEnd(f, a, outcome)
	e.remove(a)
	p.ownAttempts--
	p.countDemand(now, f.request, -1)
	f.remove(a)
	p.organisations.get(a.organisationHash).ownAttempts--
	if len(f.attempts) == 0 {
		delete(p.inFlight, id)
	}
	p.recordOutcome(now, a, outcome, outputTokens)
	p.dropRemoved()
	p.countEjected(now)
	p.recheckNow = true
}

// recordCanceledWait records the slowdown implied by the wait of an attempt that is
// canceled before its first token.
func (p *Policy) recordCanceledWait(now time.Time, a *attempt, outcome Outcome) {
	if a.gotFirstToken || outcome != Canceled || !p.rules.waitingEvidence {
		return
	}
	ratio := placement.Ratio(now.Sub(a.sentAt)-a.roundTripDelay, a.expectedFirstToken)
	if ratio > a.engine.observedSlowdown.Value(now) {
		a.engine.observedSlowdown.Observe(now, ratio)
	}
}

func (p *Policy) recordOutcome(now time.Time, a *attempt, outcome Outcome, outputTokens int) {
	switch outcome {
	case Completed:
		a.engine.recordSuccess()
		a.engine.limit.Completed()
		p.responseStats.observe(a.request, outputTokens, now.Sub(a.firstTokenAt), now.Sub(a.sentAt))
		p.announcing.observe(a, now.Sub(a.sentAt))
		p.recordHeld(now, a.engine, a.request)
	case Rejected:
		// A limit of one request each is none where daemons outnumber slots.
		a.engine.limit.Rejected(now, a.engine.ownAttempts == 0 && p.daemonCount > a.engine.ep.Slots)
		a.engine.probing = false
	case Failed:
		a.engine.recordFailure(now)
	case Canceled:
		a.engine.probing = false
	}
}

// Progress implements ProgressObserver.
func (p *Policy) Progress(now time.Time, id, endpoint string, outputTokens int) {
	p.setNow(now)
	a := p.attempt(id, endpoint)
	if a == nil || !a.gotFirstToken || !p.rules.progressEvidence {
		return
	}
	elapsed := now.Sub(a.lastProgressAt)
	if elapsed < minProgressInterval {
		return
	}
	e := a.engine
	e.tokenLatency.Observe(now, outputTokens-a.reportedTokens, elapsed)
	if perToken, ok := e.tokenLatency.PerToken(now); ok {
		p.normalTokenLatency.Observe(perToken)
	}
	a.lastProgressAt, a.reportedTokens = now, outputTokens
}

// minProgressInterval is the least time between two samples of a response's token
// latency.
const minProgressInterval = ProgressInterval / 2

// ApplyLoadReport implements Scheduler.
func (p *Policy) ApplyLoadReport(now time.Time, r LoadReport) {
	p.setNow(now)
	if e := p.byID[r.Endpoint]; e != nil && r.At.After(e.report.At) {
		e.report = r
		p.announceReport(now, e)
	}
}
