package placement

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	hintWays = 4
	// hintEntryBytes is the size of a hintEntry.
	hintEntryBytes = 16
	// initialRetention is assumed before the first observation.
	initialRetention = 10 * time.Second
	minRetention     = 500 * time.Millisecond
	maxRetention     = 5 * time.Minute
	// retentionRiseGain and retentionFallGain are the fractions of the difference to
	// a hint's age by which the retention changes when the hint is confirmed or
	// refuted.
	retentionRiseGain = 0.2
	retentionFallGain = 0.3
)

// Hints records which prefixes engines hold, in a set-associative table of fixed
// size. The tag of an entry is a hash of the prefix's hash, which is scoped by
// organisation and weights, and of the engine's incarnation, so that an entry never
// matches another organisation, other weights or another incarnation. In a full set
// the oldest entry is replaced.
type Hints struct {
	entries   []hintEntry
	setMask   uint64
	epoch     time.Time
	retention time.Duration
}

type hintEntry struct {
	tag      uint64
	storedAt int64 // nanoseconds since epoch, plus one; zero means empty
}

// NewHints returns a table of the given number of entries, a power of two.
func NewHints(entries int, epoch time.Time) *Hints {
	return &Hints{entries: make([]hintEntry, entries), setMask: uint64(entries/hintWays - 1), epoch: epoch, retention: initialRetention}
}

// EngineKey returns the hash that identifies an incarnation of an engine.
func EngineKey(id, incarnation string) uint64 {
	return prefix.Score(prefix.NodeHash(id), prefix.NodeHash(incarnation))
}

// Bytes returns the memory size of the table.
func (h *Hints) Bytes() int { return HintBytes(len(h.entries)) }

// Retention returns the estimated time for which engines keep a prefix after its
// last use.
func (h *Hints) Retention() time.Duration { return h.retention }

// Store records that the engine holds the prefix now.
func (h *Hints) Store(now time.Time, prefixHash, engineKey uint64) {
	tag := prefix.Score(prefixHash, engineKey)
	set := h.entrySet(tag)
	victim := &set[0]
	for i := range set {
		if set[i].tag == tag {
			victim = &set[i]
			break
		}
		if set[i].storedAt < victim.storedAt {
			victim = &set[i]
		}
	}
	*victim = hintEntry{tag: tag, storedAt: int64(now.Sub(h.epoch)) + 1}
}

// Age returns the time since the engine was last known to hold the prefix, false
// if there is no hint.
func (h *Hints) Age(now time.Time, prefixHash, engineKey uint64) (time.Duration, bool) {
	tag := prefix.Score(prefixHash, engineKey)
	set := h.entrySet(tag)
	for i := range set {
		if set[i].tag == tag && set[i].storedAt != 0 {
			return now.Sub(h.epoch) - time.Duration(set[i].storedAt-1), true
		}
	}
	return 0, false
}

// Holds reports whether the engine is expected to hold the prefix still: there is a
// hint no older than the retention.
func (h *Hints) Holds(now time.Time, prefixHash, engineKey uint64) bool {
	age, ok := h.Age(now, prefixHash, engineKey)
	return ok && age <= h.retention
}

// Confirm records that the prefix of a hint of the given age was still held.
func (h *Hints) Confirm(age time.Duration) {
	if age > h.retention {
		h.setRetention(h.retention + time.Duration(retentionRiseGain*float64(age-h.retention)))
	}
}

// Refute records that the prefix of a hint of the given age was no longer held.
func (h *Hints) Refute(age time.Duration) {
	if age < h.retention {
		h.setRetention(h.retention - time.Duration(retentionFallGain*float64(h.retention-age)))
	}
}

func (h *Hints) setRetention(retention time.Duration) {
	h.retention = min(max(retention, minRetention), maxRetention)
}

func (h *Hints) entrySet(tag uint64) []hintEntry {
	at := (tag & h.setMask) * hintWays
	return h.entries[at : at+hintWays]
}

// HintBytes returns the memory size of a table of the given number of entries.
func HintBytes(entries int) int { return entries * hintEntryBytes }
