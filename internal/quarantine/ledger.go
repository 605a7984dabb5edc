// Package quarantine limits the harm of requests that crash the upstreams
// that run them. When an upstream dies, all that it was running become
// suspects. A suspect may run again, but never beside another suspect; when a
// second upstream dies under it, it is quarantined everywhere.
//
// What is known of a request is a set of deaths and a set of acquittals. Both
// only grow until they expire, so that daemons that learn of them in any
// order, more than once or through each other come to the same answer.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// MaxDeaths is how many upstreams may die under one request.
	MaxDeaths = 2
	// Retention is how long a death is remembered.
	Retention = time.Hour
	// MaxRecords bounds the requests remembered; the oldest are forgotten first.
	MaxRecords = 16_384
	// maxDeathsKept bounds the deaths and acquittals kept of one request.
	maxDeathsKept = 8
)

// Fingerprint identifies a request by its organisation, service and body.
type Fingerprint [16]byte

// FingerprintOf returns a request's fingerprint.
func FingerprintOf(organisation, service string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{organisation, service} {
		_, _ = io.WriteString(h, part)
		h.Write([]byte{0}) // names hold no zero bytes
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil))
}

// String returns the hexadecimal form.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint is the inverse of String.
func ParseFingerprint(s string) (f Fingerprint, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, false
	}
	return Fingerprint(b), true
}

// State says how a request may be run.
type State int8

const (
	// Clear requests run like any other.
	Clear State = iota
	// Suspect requests never run beside another suspect.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// String implements fmt.Stringer.
func (s State) String() string { return [...]string{"clear", "suspect", "quarantined"}[s] }

// Death is one upstream that died: its address and incarnation. Daemons that
// see the same death name it alike.
type Death struct {
	Upstream    string
	Incarnation string
}

// Record is what is known of one request.
type Record struct {
	Fingerprint Fingerprint
	Deaths      []Death
	// Acquitted lists deaths after which the request completed elsewhere alone.
	Acquitted []Death
}

// state returns how the request may be run.
func (r Record) state() State {
	n := 0
	for _, d := range r.Deaths {
		if !slices.Contains(r.Acquitted, d) {
			n++
		}
	}
	return State(min(n, MaxDeaths))
}

// merge adds what other knows and reports whether that was anything new.
func (r *Record) merge(other Record) bool {
	grown := false
	for _, d := range other.Deaths {
		grown = add(&r.Deaths, d) || grown
	}
	for _, d := range other.Acquitted {
		grown = add(&r.Acquitted, d) || grown
	}
	return grown
}

func add(list *[]Death, d Death) bool {
	if slices.Contains(*list, d) || len(*list) >= maxDeathsKept {
		return false
	}
	// Copied, because records are handed out.
	*list = append(slices.Clone(*list), d)
	return true
}

// size grows with what is known; it serves as the version of the record's fact.
func (r Record) size() uint64 { return uint64(len(r.Deaths) + len(r.Acquitted)) }

// Publisher spreads what a Ledger learned itself. It must not block.
type Publisher interface {
	Publish(Record)
}

// Ledger is one daemon's knowledge of suspects. It is safe for concurrent use.
type Ledger struct {
	publisher Publisher
	mu        sync.Mutex
	records   map[Fingerprint]*entry
}

type entry struct {
	Record
	expires time.Time
}

// NewLedger returns an empty Ledger. publisher may be nil.
func NewLedger(publisher Publisher) *Ledger {
	return &Ledger{publisher: publisher, records: map[Fingerprint]*entry{}}
}

// Check returns how a request may be run now.
func (l *Ledger) Check(fp Fingerprint) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.records[fp]
	if e == nil || time.Now().After(e.expires) {
		return Clear
	}
	return e.state()
}

// Died records that an upstream died while it ran the given requests.
func (l *Ledger) Died(d Death, running []Fingerprint) {
	for _, fp := range running {
		l.learn(Record{Fingerprint: fp, Deaths: []Death{d}})
	}
}

// Completed records that a request ran to its end. It is acquitted of what
// this daemon suspected it of, unless it is quarantined already.
func (l *Ledger) Completed(fp Fingerprint) {
	l.mu.Lock()
	e := l.records[fp]
	if e == nil || e.state() != Suspect {
		l.mu.Unlock()
		return
	}
	acquitted := slices.Clone(e.Deaths)
	l.mu.Unlock()
	l.learn(Record{Fingerprint: fp, Acquitted: acquitted})
}

// learn merges what this daemon saw itself and publishes the result.
func (l *Ledger) learn(r Record) {
	if merged, grown := l.merge(r); grown && l.publisher != nil {
		l.publisher.Publish(merged)
	}
}

// Received merges what a peer or the table told. When this daemon knew more,
// it publishes the union, so that of two records that met the greater spreads.
func (l *Ledger) Received(r Record) {
	merged, _ := l.merge(r)
	if merged.size() > r.size() && l.publisher != nil {
		l.publisher.Publish(merged)
	}
}

func (l *Ledger) merge(r Record) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.records[r.Fingerprint]
	if e == nil || time.Now().After(e.expires) {
		e = &entry{Record: Record{Fingerprint: r.Fingerprint}}
	}
	if !e.Record.merge(r) {
		return e.Record, false
	}
	e.expires = time.Now().Add(Retention)
	l.records[r.Fingerprint] = e
	l.evict()
	return e.Record, true
}

// evict forgets expired records and, beyond the bound, the oldest.
func (l *Ledger) evict() {
	if len(l.records) <= MaxRecords {
		return
	}
	now := time.Now()
	var oldest *entry
	for fp, e := range l.records {
		if now.After(e.expires) {
			delete(l.records, fp)
		} else if oldest == nil || e.expires.Before(oldest.expires) {
			oldest = e
		}
	}
	if len(l.records) > MaxRecords {
		delete(l.records, oldest.Fingerprint)
	}
}

// Records returns all that is remembered, for operators and the table.
func (l *Ledger) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Record
	for _, e := range l.records {
		if time.Now().Before(e.expires) {
			list = append(list, e.Record)
		}
	}
	return list
}
