package placement

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	hintWays = 4
	// hintEntryBytes is the size of one entry.
	hintEntryBytes = 16
	// retentionStart is the retention assumed before anything was observed.
	retentionStart = 10 * time.Second
	retentionMin   = 500 * time.Millisecond
	retentionMax   = 5 * time.Minute
	// retentionRise and retentionFall move the retention after a confirmed
	// and after a refuted hint.
	retentionRise = 0.2
	retentionFall = 0.3
)

// Hints remembers which prefixes engines hold, in a table of fixed size. The
// key of an entry joins the prefix's hash, which is scoped by organisation
// and weights, and the engine's incarnation, so that an entry is never found
// for another of any of them. The oldest entry of a full set gives way.
type Hints struct {
	entries   []hintEntry
	mask      uint64
	epoch     time.Time
	retention time.Duration
}

type hintEntry struct {
	tag uint64
	at  int64 // nanoseconds since epoch, plus one; zero means empty
}

// NewHints returns a table of the given number of entries, a power of two.
func NewHints(entries int, epoch time.Time) *Hints {
	return &Hints{entries: make([]hintEntry, entries), mask: uint64(entries/hintWays - 1), epoch: epoch, retention: retentionStart}
}

// EngineKey returns the hash that stands for an incarnation of an engine.
func EngineKey(id, incarnation string) uint64 {
	return prefix.Score(prefix.NodeHash(id), prefix.NodeHash(incarnation))
}

// Bytes returns the memory of the table.
func (h *Hints) Bytes() int { return HintBytes(len(h.entries)) }

// Retention returns how long after its last use engines keep a prefix, as observed.
func (h *Hints) Retention() time.Duration { return h.retention }

// Store records that the engine holds the prefix now.
func (h *Hints) Store(now time.Time, hash, engine uint64) {
	tag := prefix.Score(hash, engine)
	set := h.set(tag)
	victim := &set[0]
	for i := range set {
		if set[i].tag == tag {
			victim = &set[i]
			break
		}
		if set[i].at < victim.at {
			victim = &set[i]
		}
	}
	*victim = hintEntry{tag: tag, at: int64(now.Sub(h.epoch)) + 1}
}

// Age returns how long ago the engine was known to hold the prefix.
func (h *Hints) Age(now time.Time, hash, engine uint64) (time.Duration, bool) {
	tag := prefix.Score(hash, engine)
	set := h.set(tag)
	for i := range set {
		if set[i].tag == tag && set[i].at != 0 {
			return now.Sub(h.epoch) - time.Duration(set[i].at-1), true
		}
	}
	return 0, false
}

// Holds reports whether the engine is expected to hold the prefix still.
func (h *Hints) Holds(now time.Time, hash, engine uint64) bool {
	age, ok := h.Age(now, hash, engine)
	return ok && age <= h.retention
}

// Confirm records that a prefix of the given age was still held.
func (h *Hints) Confirm(age time.Duration) {
	if age > h.retention {
		h.setRetention(h.retention + time.Duration(retentionRise*float64(age-h.retention)))
	}
}

// Refute records that a prefix of the given age was no longer held.
func (h *Hints) Refute(age time.Duration) {
	if age < h.retention {
		h.setRetention(h.retention - time.Duration(retentionFall*float64(h.retention-age)))
	}
}

func (h *Hints) setRetention(d time.Duration) {
	h.retention = min(max(d, retentionMin), retentionMax)
}

func (h *Hints) set(tag uint64) []hintEntry {
	at := (tag & h.mask) * hintWays
	return h.entries[at : at+hintWays]
}

// HintBytes returns the memory of a table of the given number of entries.
func HintBytes(entries int) int { return entries * hintEntryBytes }
