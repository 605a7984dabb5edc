package suspects

import (
	"bytes"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// suspicionPrefix precedes the part in the keys of suspicions. Daemons that don't know
	// them ignore such rows.
	suspicionPrefix = "suspicion/"
	// maxSuspicionRows bounds the suspicions in the table. When it is reached, the oldest
	// are dropped for new ones.
	maxSuspicionRows = 1 << 10
	// maxSuspicionsPerWrite bounds the suspicions that one call writes or deletes. The
	// platform bounds the entries of a transaction.
	maxSuspicionsPerWrite = 48
	// suspicionWriteSpread is the time over which daemons spread their writes after a crash,
	// so that one daemon's rows serve all.
	suspicionWriteSpread = 150 * time.Millisecond
	// suspicionWriteInterval is the minimum interval between a daemon's writes of suspicions.
	suspicionWriteInterval = 2 * time.Second
)

// suspicionValue is the value of a suspicion's row. Fields are encoded under their names.
type suspicionValue struct {
	Crash   string // digest
	Request string // digest
	Depth   int
	// Proven is set if the part began answers shortly before its first crash.
	Proven bool
}

// suspicionRow is the row of a crash that does not quarantine the part. Daemons write one
// if gossip may not tell all others of the crash.
type suspicionRow struct {
	suspicionValue
	version uint64
	// since is when this daemon first saw this version of the row. It counts as the time
	// of the crash, so that no clock is compared.
	since time.Time
}

// pendingSuspicion is a crash with a part that is to be written to the table.
type pendingSuspicion struct{ part, crash string }

// setSuspicions replaces the suspicions in the table. Crashes that are known from rows
// only are forgotten with the last of them: a peer has begun an answer on the part, or the
// row was old.
func (s *partState) setSuspicions(rows map[string]suspicionRow) {
	s.suspicionRows = len(rows)
	for part, r := range s.parts {
		if _, present := rows[part]; present || r.suspicion == nil {
			continue
		}
		r.suspicion = nil
		for crash, c := range r.crashes {
			if c.fromRow {
				s.removeCrash(part, crash)
			}
		}
		s.dropIfUnused(part)
	}
	for part, row := range rows {
		r := s.record(part)
		if r == nil || r.suspicion != nil && r.suspicion.version == row.version {
			continue
		}
		s.store(part, r)
		r.suspicion = &row
		if row.Proven && !s.isQuarantined(part) && r.quarantineDepth() != provenPartDepth {
			s.begin(part, r.firstCrashAt(row.since).Add(-1)) // voids no known crash
		}
		s.addCrash(part, row.Crash, partCrash{request: row.Request, at: row.since, depth: min(row.Depth, provenPartDepth), fromRow: true})
	}
}

// suspicionToWrite returns the value of the row that tells of a crash with a part; ok is
// false if none is needed.
func (s *partState) suspicionToWrite(part, crash string) (v suspicionValue, ok bool) {
	r := s.parts[part]
	if r == nil || s.isQuarantined(part) {
		return v, false
	}
	c, known := r.crashes[crash]
	if !known || r.suspicionCounts() && r.suspicion.Depth >= c.depth {
		return v, false
	}
	return suspicionValue{Crash: crash, Request: c.request, Depth: c.depth, Proven: r.quarantineDepth() == provenPartDepth}, true
}

// suspicionCounts reports whether the table has a suspicion of the part that no begin has
// voided.
func (r *partRecord) suspicionCounts() bool {
	return r.suspicion != nil && r.suspicion.since.After(r.begunAt) && !slices.Contains(r.voided, r.suspicion.Crash)
}

// suspicionsToEvict returns the parts whose suspicions have to make room for n new ones.
func (s *partState) suspicionsToEvict(n int) []string {
	n = min(n, s.suspicionRows+n-maxSuspicionRows)
	if n <= 0 {
		return nil
	}
	var parts []string
	for part, r := range s.parts {
		if r.suspicion != nil {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b string) int { return s.parts[a].suspicion.since.Compare(s.parts[b].suspicion.since) })
	return parts[:min(n, len(parts))]
}

// suspicionVersions returns the versions of the suspicions of parts.
func (s *partState) suspicionVersions(parts []string) map[string]uint64 {
	versions := map[string]uint64{}
	for _, part := range parts {
		if r := s.parts[part]; r != nil && r.suspicion != nil {
			versions[part] = r.suspicion.version
		}
	}
	return versions
}

// oldSuspicions returns the parts whose suspicions have been known since before a time.
func (s *partState) oldSuspicions(before time.Time) []string {
	var out []string
	for part, r := range s.parts {
		if r.suspicion != nil && r.suspicion.since.Before(before) {
			out = append(out, part)
		}
	}
	return out
}

// decodeSuspicion returns the part and the suspicion of a row; ok is false if it is none.
func decodeSuspicion(row platform.Change, now time.Time) (part string, s suspicionRow, ok bool) {
	name, found := strings.CutPrefix(row.Key, suspicionPrefix)
	key, err := hex.DecodeString(name)
	if !found || err != nil || len(key) != digestBytes || msgpack.Unmarshal(row.Value, &s.suspicionValue) != nil ||
		len(s.Crash) != digestBytes || len(s.Request) != digestBytes || s.Depth < 1 {
		return "", s, false
	}
	s.version, s.since = row.Version, now
	return string(key), s, true
}

// applySuspicions applies the suspicions in the table. p.mu must be held.
func (p *Parts) applySuspicions(rows map[string]suspicionRow) {
	for part := range rows {
		if at, ok := p.recent.latest(part); ok {
			p.state.begin(part, at)
		}
	}
	p.state.setSuspicions(rows)
}

// queueSuspicions starts to write rows for the parts of a crash, for peers that gossip does
// not reach. Parts beyond maxPartsPerCrash are left out.
func (p *Parts) queueSuspicions(crash string, parts []crashedPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range parts[:min(len(parts), maxPartsPerCrash-len(p.pending))] {
		p.pending = append(p.pending, pendingSuspicion{c.Part, crash})
	}
	if !p.writingSuspicions {
		p.writingSuspicions = true
		go p.writeSuspicions()
	}
}

// writeSuspicions writes the pending suspicions that the table still lacks.
func (p *Parts) writeSuspicions() {
	for delay := rand.N(suspicionWriteSpread); ; delay = suspicionWriteInterval {
		if backoff.Sleep(p.ctx, delay) != nil {
			return
		}
		p.mu.Lock()
		p.pending = slices.DeleteFunc(p.pending, func(s pendingSuspicion) bool {
			_, needed := p.state.suspicionToWrite(s.part, s.crash)
			return !needed
		})
		n := min(len(p.pending), maxSuspicionsPerWrite)
		batch := slices.Clone(p.pending[:n])
		p.pending = slices.Delete(p.pending, 0, n)
		p.writingSuspicions = n > 0
		p.mu.Unlock()
		if n == 0 {
			return
		}
		p.commit(batch[0].part, func() (platform.Txn, bool) { return p.state.suspicionTxn(batch) })
	}
}

// suspicionTxn returns the transaction that writes those of the suspicions that the table
// lacks; ok is false if there are none. It has no conditions: the row of any crash with the
// part serves, and daemons that write at once need not repeat it.
func (s *partState) suspicionTxn(batch []pendingSuspicion) (txn platform.Txn, ok bool) {
	added := 0
	for _, b := range batch {
		v, needed := s.suspicionToWrite(b.part, b.crash)
		if !needed {
			continue
		}
		if s.parts[b.part].suspicion == nil {
			added++
		}
		var buf bytes.Buffer
		_ = msgpack.NewEncoder(&buf).Encode(&v) // strings and integers can be encoded
		txn.Writes = append(txn.Writes, platform.Write{Key: suspicionPrefix + partName(b.part), Value: buf.Bytes()})
	}
	for _, part := range s.suspicionsToEvict(added) {
		key := suspicionPrefix + partName(part)
		if !slices.ContainsFunc(txn.Writes, func(w platform.Write) bool { return w.Key == key }) {
			txn.Writes = append(txn.Writes, platform.Write{Key: key, Delete: true})
		}
	}
	return txn, len(txn.Writes) > 0
}

// deleteSuspicions deletes the suspicions of parts in the background, those that still have
// the given versions.
func (p *Parts) deleteSuspicions(versions map[string]uint64) {
	var parts []string
	for part := range versions {
		parts = append(parts, part)
	}
	for batch := range slices.Chunk(parts, maxSuspicionsPerWrite) {
		go p.commit(batch[0], func() (txn platform.Txn, needed bool) {
			for part, version := range p.state.suspicionVersions(batch) {
				if version == versions[part] {
					key := suspicionPrefix + partName(part)
					txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: version})
					txn.Writes = append(txn.Writes, platform.Write{Key: key, Delete: true})
				}
			}
			return txn, len(txn.Writes) > 0
		})
	}
}
