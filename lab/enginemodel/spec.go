package enginemodel

// Spec describes an engine. The memory of running requests is separate from the
// prefix cache.
type Spec struct {
	// Slots is the number of requests that run at once.
	Slots int
	// QueueLimit is the number of requests accepted beyond Slots; the engine
	// rejects further ones.
	QueueLimit int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// BlockTokens is the size of a block in tokens.
	BlockTokens int
	// MaxPrefills limits concurrent prefills, which share PrefillRate.
	MaxPrefills int
	// PrefillRate is in prompt tokens per second for the whole engine.
	PrefillRate float64
	// DecodeRate is in output tokens per second of a request that runs alone.
	DecodeRate float64
	// BatchSlowdown is the relative increase of the time per output token for
	// each further request that is decoding.
	BatchSlowdown float64
	// PrefillInterference is the fraction of the decode rate lost during prefills.
	PrefillInterference float64
}

// DecodeRateAt returns the output tokens per second of each of n requests that
// decode together without concurrent prefills.
func (s Spec) DecodeRateAt(n float64) float64 {
	return s.DecodeRate / (1 + s.BatchSlowdown*max(0, n-1))
}

// Capacity returns the requests per second that one engine sustains with all slots
// taken, if each computes prefill prompt tokens and generates output tokens on
// average. It solves Little's law, slots = rate x time in a slot, by bisection.
func (s Spec) Capacity(prefill, output float64) float64 {
	lowRate, highRate := 0.0, s.PrefillRate/max(prefill, 1)
	for range capacityBisections {
		rate := (lowRate + highRate) / 2
		if rate*s.SlotSeconds(prefill, output, rate) > float64(s.Slots) {
			highRate = rate
		} else {
			lowRate = rate
		}
	}
	return lowRate
}

// SlotSeconds returns how long a request holds a slot of a full engine that starts
// rate requests per second, each with prefill computed prompt and output tokens.
func (s Spec) SlotSeconds(prefill, output, rate float64) float64 {
	prefillSeconds := prefill / s.PrefillRate
	prefillUtilisation := min(1, rate*prefillSeconds)
	return prefillSeconds + output/(s.DecodeRateAt(float64(s.Slots))*(1-s.PrefillInterference*prefillUtilisation))
}

const capacityBisections = 60
