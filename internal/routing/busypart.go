package routing

import (
	"math"
	"time"
)

const (
	// maxPrefillPart is the part of its time for which an engine may compute prompts
	// before long ones are kept from it: answers are generated in the rest.
	maxPrefillPart = 0.9
	// manyAnswers is how many requests an engine must run for that.
	manyAnswers = 8
	// computingTokens is the backlog from which an engine counts as computing prompts.
	computingTokens = 1000
	// busyMemory is the time constant of that part.
	busyMemory = 1500 * time.Millisecond
)

// busyPart is the part of its time for which an engine computed prompts.
type busyPart struct {
	part float64
	busy bool
	at   time.Time
}

// observe notes whether the engine has prompts to compute now.
func (b *busyPart) observe(now time.Time, busy bool) {
	if !b.at.IsZero() && now.After(b.at) {
		state := 0.0
		if b.busy {
			state = 1
		}
		keep := math.Exp(-now.Sub(b.at).Seconds() / busyMemory.Seconds())
		b.part = state + (b.part-state)*keep
	}
	b.busy, b.at = busy, now
}
