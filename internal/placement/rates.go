package placement

import (
	"math"
	"time"
)

const (
	rateWays = 4
	// rateTimeConstant is the time constant of measured rates.
	rateTimeConstant = 10 * time.Second
	// rateEntryBytes is the size of a rateEntry.
	rateEntryBytes = 24
)

// Rates measures the rates of keys in a set-associative table of fixed size: in a
// full set the key with the lowest rate is replaced.
type Rates struct {
	entries []rateEntry
	setMask uint64
	epoch   time.Time
}

type rateEntry struct {
	key          uint64
	decayedCount float64
	updatedAt    float64 // seconds since epoch
}

// NewRates returns a table of the given number of entries, a power of two.
func NewRates(entries int, epoch time.Time) *Rates {
	return &Rates{entries: make([]rateEntry, entries), setMask: uint64(entries/rateWays - 1), epoch: epoch}
}

// Bytes returns the memory size of the table.
func (r *Rates) Bytes() int { return len(r.entries) * rateEntryBytes }

// Observe counts one occurrence of key and returns its rate per second.
func (r *Rates) Observe(now time.Time, key uint64) float64 { return r.ObserveWeighted(now, key, 1) }

// ObserveWeighted counts weight occurrences of key and returns its rate per second.
func (r *Rates) ObserveWeighted(now time.Time, key uint64, weight float64) float64 {
	seconds := now.Sub(r.epoch).Seconds()
	set := r.entrySet(key)
	victim := &set[0]
	lowest := math.Inf(1)
	for i := range set {
		e := &set[i]
		count := e.countAt(seconds)
		if e.key == key {
			e.decayedCount, e.updatedAt = count+weight, seconds
			return e.perSecond(seconds)
		}
		if count < lowest {
			victim, lowest = e, count
		}
	}
	*victim = rateEntry{key: key, decayedCount: weight, updatedAt: seconds}
	return victim.perSecond(seconds)
}

// PerSecond returns the rate of key per second.
func (r *Rates) PerSecond(now time.Time, key uint64) float64 {
	seconds := now.Sub(r.epoch).Seconds()
	set := r.entrySet(key)
	for i := range set {
		if set[i].key == key {
			return set[i].perSecond(seconds)
		}
	}
	return 0
}

func (r *Rates) entrySet(key uint64) []rateEntry {
	at := (key * 0x9e3779b97f4a7c15 >> 20) & r.setMask * rateWays
	return r.entries[at : at+rateWays]
}

func (e *rateEntry) countAt(seconds float64) float64 {
	if e.decayedCount == 0 {
		return 0
	}
	return e.decayedCount * math.Exp((e.updatedAt-seconds)/rateTimeConstant.Seconds())
}

// perSecond returns a conservative rate: the decayed count minus its standard
// deviation, so that a single occurrence does not count as a high rate.
func (e *rateEntry) perSecond(seconds float64) float64 {
	count := e.countAt(seconds)
	return max(0, count-math.Sqrt(count)) / rateTimeConstant.Seconds()
}
