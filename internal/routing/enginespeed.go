package routing

import (
	"math"
	"time"
)

const (
	// maxSpeedStep and minSpeedStep bound the step by which a sample moves the logarithm of an
	// engine's relative time towards itself; the first samples move it most.
	maxSpeedStep = 0.3
	minSpeedStep = 0.04
	// minSpeedTokens is the least number of computed tokens of a sample: the time of fewer
	// depends more on the engine's steps than on its speed.
	minSpeedTokens = 3000
	// maxSpeedRatio bounds the ratios that are used, both ways. Where an engine held a prompt's
	// shared levels and was not known to, or the other way round, the ratio is 0.2 or 4.6 for
	// prompts of 13,300 shared and 3,720 own tokens.
	maxSpeedRatio = 2.5
	// speedFitInterval is the least time between two samples of peers that the speed of normal
	// engines is fitted to.
	speedFitInterval = 50 * time.Millisecond
	// maxQueuedSpeeds bounds the samples that wait to be announced.
	maxQueuedSpeeds = 32
	// maxAheadFraction is the most that prompts before it may add to the tokens of a sample.
	maxAheadFraction = 0.1
)

// EngineSpeed is a sample of the time that an engine takes for the prefill of a prompt.
type EngineSpeed struct {
	Endpoint string
	// Tokens is the number of prompt tokens that the engine computed, FirstToken the time to the
	// first token without network delay.
	Tokens     int
	FirstToken time.Duration
}

// relativeTime estimates the time that an engine takes for a prefill, divided by that of a
// normal engine. It is about the median of the samples. Its zero value is a normal engine.
type relativeTime struct {
	logRatio float64
	samples  int
}

func (t *relativeTime) observe(ratio float64) {
	if ratio > maxSpeedRatio || ratio*maxSpeedRatio < 1 {
		return
	}
	sample := math.Log(ratio)
	t.samples++
	step := max(minSpeedStep, maxSpeedStep/math.Sqrt(float64(t.samples)))
	t.logRatio += min(max(sample-t.logRatio, -step), step)
}

func (t *relativeTime) value() float64 { return math.Exp(t.logRatio) }

// observeSpeed learns an engine's speed from the first token of an attempt that computed the
// given number of tokens, if hardly any others are known to have been computed before them. It
// reports whether it did.
func (p *Policy) observeSpeed(now time.Time, a *attempt, observed time.Duration, computedTokens float64) bool {
	if !p.announcing.on || !p.rules.engineSpeeds || computedTokens < minSpeedTokens || a.tokensAhead > maxAheadFraction*computedTokens {
		return false
	}
	s := EngineSpeed{a.engine.ep.ID, int(computedTokens), observed}
	p.applySpeed(now, a.engine, s)
	if len(p.announcing.speeds) < maxQueuedSpeeds {
		p.announcing.speeds = append(p.announcing.speeds, s)
	}
	return true
}

// applySpeed records a sample of this daemon or of a peer. All daemons take the median of the
// samples of all as the speed of a normal engine, so that they agree on it.
func (p *Policy) applySpeed(now time.Time, e *engine, s EngineSpeed) {
	if now.Sub(p.announcing.speedFittedAt) >= speedFitInterval {
		p.announcing.speedFittedAt = now
		p.speed.Observe(float64(s.Tokens), s.FirstToken)
	}
	e.relativeTime.observe(s.FirstToken.Seconds() / p.speed.FirstToken(float64(s.Tokens)).Seconds())
}

// minSpeedSamples is the least number of samples from which a learnt speed is used.
const minSpeedSamples = 3

// learntSlowdown returns the engine's slowdown by what it reports now and by its learnt speed,
// below 1 for a fast engine; ok is false if neither is known.
func (p *Policy) learntSlowdown(now time.Time, e *engine) (s float64, ok bool) {
	if !p.announcing.on || e.relativeTime.samples < minSpeedSamples {
		return 1, false
	}
	s = e.relativeTime.value()
	if reported, _ := e.reportedSlowdown(now); reported > 1 {
		s = max(s, reported)
	}
	if overdue := e.overdueSlowdown(now); overdue > 1 {
		s = max(s, overdue)
	}
	return s, true
}
