package gossip

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// summaryBuckets is how finely a kind's facts are compared; part of the protocol.
	summaryBuckets = 16
	// maxStoreFacts and maxStoreBytes bound what peers can make a daemon keep.
	maxStoreFacts = 32 << 10
	maxStoreBytes = 16 << 20
)

// factKey names a fact.
type factKey struct {
	kind Kind
	id   string
}

func (k factKey) hash() uint64 {
	return prefix.Score(xxhash.Sum64String(k.id), uint64(k.kind))
}

// entry is a stored fact.
type entry struct {
	fact    Fact
	key     uint64
	value   uint32
	expires time.Time
	// touched tells that the value did not change with the newest version.
	touched bool
}

func (e *entry) digest() uint32 {
	return uint32(prefix.Score(e.key, e.fact.Version^uint64(e.value)<<32))
}

// remaining returns the fact with the time that it has left.
func (e *entry) remaining(now time.Time) Fact {
	f := e.fact
	f.TTL = e.expires.Sub(now)
	return f
}

// verdict of store.put.
type putResult uint8

const (
	putIgnored putResult = iota
	// putRenewed means that a known version lives longer.
	putRenewed
	putReplaced
)

// store keeps the newest version of each fact until it expires. It is not
// safe for concurrent use.
type store struct {
	byKey  map[factKey]*entry
	byHash map[uint64]*entry
	// sums holds, for each kind and bucket, the XOR of the digests.
	sums map[Kind]*[summaryBuckets]uint32
	// floor is the greatest version that expired, by kind.
	floor map[Kind]uint64
	bytes int
}

func newStore() *store {
	return &store{
		byKey: map[factKey]*entry{}, byHash: map[uint64]*entry{},
		sums: map[Kind]*[summaryBuckets]uint32{}, floor: map[Kind]uint64{},
	}
}

// put stores f if it supersedes what is known. The same version with the same
// value only lengthens the life of the fact.
func (s *store) put(f Fact, now time.Time) putResult {
	k := factKey{f.Kind, f.ID}
	expires := now.Add(f.TTL)
	value := valueHash(f.Value)
	old, known := s.byKey[k]
	if f.TTL <= 0 {
		return putIgnored
	}
	if known && old.fact.Version == f.Version && bytes.Equal(old.fact.Value, f.Value) {
		return old.renew(expires, now)
	}
	if known && !f.Supersedes(old.fact) {
		return putIgnored
	}
	if !known && (len(s.byKey) >= maxStoreFacts || s.bytes+len(f.Value) > maxStoreBytes) {
		return putIgnored
	}
	e := &entry{fact: f, key: k.hash(), value: value, expires: expires}
	if known {
		e.touched = bytes.Equal(old.fact.Value, f.Value)
		s.drop(old)
	}
	s.byKey[k] = e
	s.byHash[e.key] = e
	s.bytes += len(f.Value)
	s.mix(e)
	return putReplaced
}

// renewShare is the part of a fact's remaining time by which a repeated
// announcement must lengthen it before it is passed on.
const renewShare = 4

func (e *entry) renew(expires, now time.Time) putResult {
	gain := expires.Sub(e.expires)
	if gain <= e.expires.Sub(now)/renewShare || gain <= time.Second/renewShare {
		return putIgnored
	}
	e.expires = expires
	e.touched = true
	return putRenewed
}

// drop forgets e.
func (s *store) drop(e *entry) {
	s.mix(e)
	s.bytes -= len(e.fact.Value)
	delete(s.byKey, factKey{e.fact.Kind, e.fact.ID})
	delete(s.byHash, e.key)
}

// mix adds e to its bucket's sum, or takes it out again.
func (s *store) mix(e *entry) {
	sums := s.sums[e.fact.Kind]
	if sums == nil {
		sums = &[summaryBuckets]uint32{}
		s.sums[e.fact.Kind] = sums
	}
	sums[e.key%summaryBuckets] ^= e.digest()
}

// expire drops the facts that are no longer to be believed and returns them.
func (s *store) expire(now time.Time) []Fact {
	var gone []Fact
	for _, e := range s.byKey {
		if now.Before(e.expires) {
			continue
		}
		s.floor[e.fact.Kind] = max(s.floor[e.fact.Kind], e.fact.Version)
		s.drop(e)
		gone = append(gone, e.fact)
	}
	return gone
}

// nextVersion returns a version above all that were seen for the key, and not
// below base.
func (s *store) nextVersion(k factKey, base uint64) uint64 {
	v := max(base, s.floor[k.kind]+1)
	if e, ok := s.byKey[k]; ok {
		v = max(v, e.fact.Version+1)
	}
	return v
}

// fresh reports whether the value of f is known and lives for at least half
// of f's TTL.
func (s *store) fresh(k factKey, f Fact, now time.Time) bool {
	e, ok := s.byKey[k]
	return ok && bytes.Equal(e.fact.Value, f.Value) && e.expires.Sub(now) > f.TTL/2
}

// facts returns the facts of kind with the time that they have left.
func (s *store) facts(kind Kind, now time.Time) []Fact {
	var out []Fact
	for k, e := range s.byKey {
		if k.kind == kind && now.Before(e.expires) {
			out = append(out, e.remaining(now))
		}
	}
	return out
}

// summary returns the sums of the kinds that include reports true for.
func (s *store) summary(include func(Kind) bool) []kindSummary {
	var out []kindSummary
	for kind, sums := range s.sums {
		if include(kind) {
			out = append(out, kindSummary{Kind: kind, Buckets: *sums})
		}
	}
	return out
}

// differing returns the buckets in which theirs differs from what is stored.
// A bucket's number is kind*summaryBuckets + index.
func (s *store) differing(theirs []kindSummary, include func(Kind) bool) []uint16 {
	var out []uint16
	seen := map[Kind]bool{}
	for _, t := range theirs {
		seen[t.Kind] = true
		own := s.sums[t.Kind]
		if own == nil {
			own = &[summaryBuckets]uint32{}
		}
		for i, sum := range t.Buckets {
			if own[i] != sum {
				out = append(out, bucketNumber(t.Kind, i))
			}
		}
	}
	for kind, sums := range s.sums {
		if seen[kind] || !include(kind) {
			continue
		}
		for i, sum := range sums {
			if sum != 0 {
				out = append(out, bucketNumber(kind, i))
			}
		}
	}
	return out
}

// inBuckets returns the entries of the given buckets.
func (s *store) inBuckets(buckets []uint16) []*entry {
	wanted := map[uint16]bool{}
	for _, b := range buckets {
		wanted[b] = true
	}
	var out []*entry
	for _, e := range s.byKey {
		if wanted[bucketNumber(e.fact.Kind, int(e.key%summaryBuckets))] {
			out = append(out, e)
		}
	}
	return out
}

func bucketNumber(kind Kind, index int) uint16 { return uint16(kind)*summaryBuckets + uint16(index) }

func valueHash(value []byte) uint32 { return uint32(xxhash.Sum64(value)) }
