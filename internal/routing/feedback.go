package routing

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
)

// FirstToken implements Scheduler.
func (p *Policy) FirstToken(now time.Time, id, endpoint string, cachedTokens int) {
	p.tick(now)
	a := p.attempt(id, endpoint)
	if a == nil || a.answered {
		return
	}
	a.engine.answered(a)
	a.engine.lastFirst = now
	a.first, a.progressAt = now, now
	a.engine.healthy()
	p.countResting(now)
	observed := now.Sub(a.sent) - a.delay
	tokens := a.ahead + a.tokens
	if cachedTokens != CachedUnknown {
		tokens = a.ahead + max(0, float64(a.request.PromptTokens-cachedTokens))
	}
	a.engine.slow.Observe(now, placement.Ratio(observed, p.speed.FirstToken(tokens)))
	if p.slowdown(now, a.engine) < slowIgnored {
		p.speed.Observe(tokens, observed)
	}
	p.judgeHint(a, cachedTokens)
	p.remember(now, a.engine, a.request)
	p.dirty = true
}

// judgeHint compares the hint that an attempt relied on with what was cached.
func (p *Policy) judgeHint(a *attempt, cachedTokens int) {
	c := &a.request.Chain
	if a.hinted < 0 || c.Bytes == 0 || cachedTokens == CachedUnknown {
		return
	}
	predicted := float64(a.hintedPieces*c.PieceBytes) / float64(c.Bytes) * float64(a.request.PromptTokens)
	if float64(cachedTokens) >= hintTolerance*predicted {
		p.hints.Confirm(a.hinted)
	} else {
		p.hints.Refute(a.hinted)
	}
}

// hintTolerance is the part of the predicted tokens that confirms a hint.
const hintTolerance = 0.8

// Finished implements Scheduler.
func (p *Policy) Finished(now time.Time, id, endpoint string, outcome Outcome, outputTokens int) {
	p.tick(now)
	f := p.flights[id]
	if f == nil {
		return
	}
	a := f.at(endpoint)
	if a == nil {
		return
	}
	e := a.engine
	p.judgeWait(now, a, outcome)
	e.remove(a)
	p.own--
	f.remove(a)
	p.organisations.get(a.organisation).own--
	if len(f.attempts) == 0 {
		delete(p.flights, id)
	}
	p.judgeOutcome(now, a, outcome, outputTokens)
	if !e.present && e.own == 0 && p.byID[e.ep.ID] == e {
		delete(p.byID, e.ep.ID)
	}
	p.countResting(now)
	p.dirty = true
}

// judgeWait keeps the evidence of an attempt that ends without a first token.
func (p *Policy) judgeWait(now time.Time, a *attempt, outcome Outcome) {
	if a.answered || outcome != Canceled || !p.rules.waiting {
		return
	}
	ratio := placement.Ratio(now.Sub(a.sent)-a.delay, a.expected)
	if ratio > a.engine.slow.Value(now) {
		a.engine.slow.Observe(now, ratio)
	}
}

func (p *Policy) judgeOutcome(now time.Time, a *attempt, outcome Outcome, outputTokens int) {
	switch outcome {
	case Completed:
		a.engine.healthy()
		a.engine.limit.Completed()
		p.learned.completed(a.request, outputTokens, now.Sub(a.first), now.Sub(a.sent))
		p.remember(now, a.engine, a.request)
	case Rejected:
		a.engine.limit.Refused(now)
		a.engine.probing = false
	case Failed:
		a.engine.failed(now)
	case Canceled:
		a.engine.probing = false
	}
}

// Progress implements ProgressObserver.
func (p *Policy) Progress(now time.Time, id, endpoint string, outputTokens int) {
	p.tick(now)
	a := p.attempt(id, endpoint)
	if a == nil || !a.answered || !p.rules.progress {
		return
	}
	elapsed := now.Sub(a.progressAt)
	if elapsed < progressLeast {
		return
	}
	e := a.engine
	e.pace.Observe(now, outputTokens-a.progress, elapsed)
	if perToken, ok := e.pace.PerToken(now); ok {
		p.normalPace.Observe(perToken)
	}
	a.progressAt, a.progress = now, outputTokens
}

// progressLeast is the least time between two samples of an answer's pace.
const progressLeast = ProgressInterval / 2

// Report implements Scheduler.
func (p *Policy) Report(now time.Time, r LoadReport) {
	p.tick(now)
	if e := p.byID[r.Endpoint]; e != nil && r.At.After(e.report.At) {
		e.report = r
	}
}
