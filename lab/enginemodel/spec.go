package enginemodel

// Spec describes an engine. Memory of running requests is apart from the
// prefix cache.
type Spec struct {
	// Slots is how many requests run at once.
	Slots int
	// QueueLimit is how many more than Slots the engine takes; beyond them it rejects.
	QueueLimit int
	// CachePieces is the memory of the prefix cache.
	CachePieces int
	// PieceTokens is the size of a piece.
	PieceTokens int
	// PrefillWays is how many prompts are computed at once; they share PrefillRate.
	PrefillWays int
	// PrefillRate is in prompt tokens a second for the whole engine.
	PrefillRate float64
	// DecodeRate is in tokens a second of one answer that runs alone.
	DecodeRate float64
	// BatchSlope is the relative slowing of every answer by each other one.
	BatchSlope float64
	// Interference is the share of the decode rate lost while prompts are computed.
	Interference float64
}

// DecodeRateAt returns the tokens a second of each of n answers that run
// together without prompts being computed.
func (s Spec) DecodeRateAt(n float64) float64 {
	return s.DecodeRate / (1 + s.BatchSlope*max(0, n-1))
}

// Capacity returns the requests a second that one engine sustains with all
// slots taken, when each computes prefill prompt tokens and generates output
// tokens on average. It solves slots = rate x time in a slot by bisection.
func (s Spec) Capacity(prefill, output float64) float64 {
	low, high := 0.0, s.PrefillRate/max(prefill, 1)
	for range capacityBisections {
		rate := (low + high) / 2
		if rate*s.SlotSeconds(prefill, output, rate) > float64(s.Slots) {
			high = rate
		} else {
			low = rate
		}
	}
	return low
}

// SlotSeconds returns how long a request holds a slot of a full engine that
// starts rate requests a second, each computing prefill prompt tokens.
func (s Spec) SlotSeconds(prefill, output, rate float64) float64 {
	compute := prefill / s.PrefillRate
	busy := min(1, rate*compute)
	return compute + output/(s.DecodeRateAt(float64(s.Slots))*(1-s.Interference*busy))
}

const capacityBisections = 60
