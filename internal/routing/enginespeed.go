package routing

import (
	"math"
	"time"
)

const (
	// speedGain is the fraction by which a sample moves the estimate of an engine's speed.
	speedGain = 0.25
	// minSpeedTokens is the least number of computed tokens of a sample: the time of fewer
	// depends more on the engine's steps than on its speed.
	minSpeedTokens = 3000
	// maxSpeedRatio bounds samples, both ways: a slower engine is one in trouble.
	maxSpeedRatio = 4
	// maxQueuedSpeeds bounds the samples that wait to be announced.
	maxQueuedSpeeds = 32
	// maxAheadFraction is the most that prompts before it may add to the tokens of a sample.
	maxAheadFraction = 0.1
)

// EngineSpeed is a sample of the time that an engine takes for the prefill of a prompt.
type EngineSpeed struct {
	Endpoint string
	// Ratio is the time to first token divided by that of a normal engine.
	Ratio float64
}

// relativeTime estimates the time that an engine takes for a prefill, divided by that of a
// normal engine. Its zero value is a normal engine.
type relativeTime struct {
	logRatio float64
	samples  int
}

func (t *relativeTime) observe(ratio float64) {
	sample := math.Log(min(max(ratio, 1.0/maxSpeedRatio), maxSpeedRatio))
	t.samples++
	t.logRatio += max(speedGain, 1/float64(t.samples)) * (sample - t.logRatio)
}

func (t *relativeTime) value() float64 { return math.Exp(t.logRatio) }

// observeSpeed learns an engine's speed from the first token of an attempt that computed the
// given number of tokens, if nothing else is known to have been computed before it.
func (p *Policy) observeSpeed(a *attempt, observed time.Duration, computedTokens float64) {
	if !p.announcing.on || !p.rules.engineSpeeds || computedTokens < minSpeedTokens || a.tokensAhead > maxAheadFraction*computedTokens {
		return
	}
	ratio := observed.Seconds() / p.speed.FirstToken(computedTokens).Seconds()
	a.engine.relativeTime.observe(ratio)
	if len(p.announcing.speeds) < maxQueuedSpeeds {
		p.announcing.speeds = append(p.announcing.speeds, EngineSpeed{a.engine.ep.ID, ratio})
	}
}
