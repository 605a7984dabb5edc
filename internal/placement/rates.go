package placement

import (
	"math"
	"time"
)

const (
	rateWays = 4
	// rateDecay is the time constant of measured rates.
	rateDecay = 10 * time.Second
	// rateEntryBytes is the size of one entry.
	rateEntryBytes = 24
)

// Rates measures how often keys occur, in occurrences a second, in a table of
// fixed size: when a set is full, the key with the lowest rate gives way.
type Rates struct {
	entries []rateEntry
	mask    uint64
	epoch   time.Time
}

type rateEntry struct {
	key    uint64
	weight float64
	at     float64 // seconds since epoch
}

// NewRates returns a table of the given number of entries, a power of two.
func NewRates(entries int, epoch time.Time) *Rates {
	return &Rates{entries: make([]rateEntry, entries), mask: uint64(entries/rateWays - 1), epoch: epoch}
}

// Bytes returns the memory of the table.
func (r *Rates) Bytes() int { return len(r.entries) * rateEntryBytes }

// Observe counts one occurrence of key and returns its rate a second.
func (r *Rates) Observe(now time.Time, key uint64) float64 {
	t := now.Sub(r.epoch).Seconds()
	set := r.set(key)
	victim := &set[0]
	lowest := math.Inf(1)
	for i := range set {
		e := &set[i]
		w := e.decayed(t)
		if e.key == key {
			e.weight, e.at = w+1, t
			return e.rate(t)
		}
		if w < lowest {
			victim, lowest = e, w
		}
	}
	*victim = rateEntry{key: key, weight: 1, at: t}
	return victim.rate(t)
}

// Rate returns the rate of key a second.
func (r *Rates) Rate(now time.Time, key uint64) float64 {
	t := now.Sub(r.epoch).Seconds()
	set := r.set(key)
	for i := range set {
		if set[i].key == key {
			return set[i].rate(t)
		}
	}
	return 0
}

func (r *Rates) set(key uint64) []rateEntry {
	at := (key * 0x9e3779b97f4a7c15 >> 20) & r.mask * rateWays
	return r.entries[at : at+rateWays]
}

func (e *rateEntry) decayed(t float64) float64 {
	if e.weight == 0 {
		return 0
	}
	return e.weight * math.Exp((e.at-t)/rateDecay.Seconds())
}

// rate is a cautious estimate: the decayed count less its standard deviation,
// so that a key seen once is not taken to be frequent.
func (e *rateEntry) rate(t float64) float64 {
	w := e.decayed(t)
	return max(0, w-math.Sqrt(w)) / rateDecay.Seconds()
}
