package gossip

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// summaryBuckets is the number of hash buckets per kind; part of the protocol.
	summaryBuckets = 16
	// maxStoreFacts and maxStoreBytes bound the memory that peers can make a
	// daemon use.
	maxStoreFacts = 32 << 10
	maxStoreBytes = 16 << 20
)

// factKey identifies a fact.
type factKey struct {
	kind Kind
	id   string
}

func (k factKey) hash() uint64 {
	return prefix.Score(xxhash.Sum64String(k.id), uint64(k.kind))
}

// entry is a stored fact.
type entry struct {
	fact      Fact
	keyHash   uint64
	valueHash uint32
	expires   time.Time
	// valueUnchanged is set if the newest version only renewed the fact, so
	// that it can be sent as a touch.
	valueUnchanged bool
}

// age returns how long ago the fact was received.
func (e *entry) age(now time.Time) time.Duration { return e.fact.TTL - e.expires.Sub(now) }

func (e *entry) digest() uint32 {
	return uint32(prefix.Score(e.keyHash, e.fact.Version^uint64(e.valueHash)<<32))
}

// withRemainingTTL returns the fact with its remaining TTL.
func (e *entry) withRemainingTTL(now time.Time) Fact {
	f := e.fact
	f.TTL = e.expires.Sub(now)
	return f
}

// putResult is the result of store.put.
type putResult uint8

const (
	putIgnored putResult = iota
	// putExtended means that the expiry of the known version was extended.
	putExtended
	putReplaced
)

// store keeps the newest version of each fact until it expires. It is not
// safe for concurrent use.
type store struct {
	byKey  map[factKey]*entry
	byHash map[uint64]*entry
	// bucketSums holds, for each kind and bucket, the XOR of the entries' digests.
	bucketSums map[Kind]*[summaryBuckets]uint32
	// maxExpiredVersion is the greatest expired version of each kind.
	maxExpiredVersion map[Kind]uint64
	valueBytes        int
}

func newStore() *store {
	return &store{
		byKey: map[factKey]*entry{}, byHash: map[uint64]*entry{},
		bucketSums: map[Kind]*[summaryBuckets]uint32{}, maxExpiredVersion: map[Kind]uint64{},
	}
}

// put stores f if it supersedes the stored fact. The same version with the same
// value only extends the expiry.
func (s *store) put(f Fact, now time.Time) putResult {
	k := factKey{f.Kind, f.ID}
	expires := now.Add(f.TTL)
	value := valueHash(f.Value)
	old, known := s.byKey[k]
	if f.TTL <= 0 {
		return putIgnored
	}
	if known && old.fact.Version == f.Version && bytes.Equal(old.fact.Value, f.Value) {
		return old.extend(expires, now)
	}
	if known && !f.Supersedes(old.fact) {
		return putIgnored
	}
	if !known && (len(s.byKey) >= maxStoreFacts || s.valueBytes+len(f.Value) > maxStoreBytes) {
		return putIgnored
	}
	e := &entry{fact: f, keyHash: k.hash(), valueHash: value, expires: expires}
	if known {
		e.valueUnchanged = bytes.Equal(old.fact.Value, f.Value)
		s.remove(old)
	}
	s.byKey[k] = e
	s.byHash[e.keyHash] = e
	s.valueBytes += len(f.Value)
	s.toggleInBucketSum(e)
	return putReplaced
}

// minExtensionDivisor limits how often an expiry is extended: an extension must
// exceed both 1/minExtensionDivisor of the fact's remaining TTL and the same
// fraction of a second.
const minExtensionDivisor = 4

func (e *entry) extend(expires, now time.Time) putResult {
	extension := expires.Sub(e.expires)
	if extension <= e.expires.Sub(now)/minExtensionDivisor || extension <= time.Second/minExtensionDivisor {
		return putIgnored
	}
	e.expires = expires
	e.valueUnchanged = true
	return putExtended
}

func (s *store) remove(e *entry) {
	s.toggleInBucketSum(e)
	s.valueBytes -= len(e.fact.Value)
	delete(s.byKey, factKey{e.fact.Kind, e.fact.ID})
	delete(s.byHash, e.keyHash)
}

// toggleInBucketSum adds e's digest to its bucket's XOR sum, or removes it again.
func (s *store) toggleInBucketSum(e *entry) {
	sums := s.bucketSums[e.fact.Kind]
	if sums == nil {
		sums = &[summaryBuckets]uint32{}
		s.bucketSums[e.fact.Kind] = sums
	}
	sums[e.keyHash%summaryBuckets] ^= e.digest()
}

// expire removes and returns the expired facts.
func (s *store) expire(now time.Time) []Fact {
	var expired []Fact
	for _, e := range s.byKey {
		if now.Before(e.expires) {
			continue
		}
		s.maxExpiredVersion[e.fact.Kind] = max(s.maxExpiredVersion[e.fact.Kind], e.fact.Version)
		s.remove(e)
		expired = append(expired, e.fact)
	}
	return expired
}

// nextVersion returns a version that is above all known and expired ones of the
// key and at least base.
func (s *store) nextVersion(k factKey, base uint64) uint64 {
	v := max(base, s.maxExpiredVersion[k.kind]+1)
	if e, ok := s.byKey[k]; ok {
		v = max(v, e.fact.Version+1)
	}
	return v
}

// hasFresh reports whether the value of f is stored and valid for more than half
// of f's TTL.
func (s *store) hasFresh(k factKey, f Fact, now time.Time) bool {
	e, ok := s.byKey[k]
	return ok && bytes.Equal(e.fact.Value, f.Value) && e.expires.Sub(now) > f.TTL/2
}

// facts returns the unexpired facts of kind with their remaining TTLs.
func (s *store) facts(kind Kind, now time.Time) []Fact {
	var out []Fact
	for k, e := range s.byKey {
		if k.kind == kind && now.Before(e.expires) {
			out = append(out, e.withRemainingTTL(now))
		}
	}
	return out
}

// summary returns the bucket sums of the kinds for which include returns true.
func (s *store) summary(include func(Kind) bool) []kindSummary {
	var out []kindSummary
	for kind, sums := range s.bucketSums {
		if include(kind) {
			out = append(out, kindSummary{Kind: kind, Buckets: *sums})
		}
	}
	return out
}

// differingBuckets returns the numbers of the buckets in which peerSummary differs
// from the stored facts. Kinds absent from it are compared if include returns true
// for them.
func (s *store) differingBuckets(peerSummary []kindSummary, include func(Kind) bool) []uint16 {
	var out []uint16
	seen := map[Kind]bool{}
	for _, t := range peerSummary {
		seen[t.Kind] = true
		own := s.bucketSums[t.Kind]
		if own == nil {
			own = &[summaryBuckets]uint32{}
		}
		for i, sum := range t.Buckets {
			if own[i] != sum {
				out = append(out, bucketNumber(t.Kind, i))
			}
		}
	}
	for kind, sums := range s.bucketSums {
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

// inBuckets returns the entries in the buckets with the given numbers.
func (s *store) inBuckets(buckets []uint16) []*entry {
	wanted := map[uint16]bool{}
	for _, b := range buckets {
		wanted[b] = true
	}
	var out []*entry
	for _, e := range s.byKey {
		if wanted[bucketNumber(e.fact.Kind, int(e.keyHash%summaryBuckets))] {
			out = append(out, e)
		}
	}
	return out
}

func bucketNumber(kind Kind, index int) uint16 { return uint16(kind)*summaryBuckets + uint16(index) }

func valueHash(value []byte) uint32 { return uint32(xxhash.Sum64(value)) }
