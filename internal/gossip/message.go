package gossip

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// Bounds of what a peer may send. Lengths are checked before memory is taken.
const (
	maxFrameBytes   = 64 << 10
	maxHelloBytes   = 512
	maxFrameFacts   = 1024
	maxFrameEntries = 4096
	maxIDBytes      = 256
	maxKinds        = 32
	maxTTL          = 24 * time.Hour
	nonceBytes      = 32
	macBytes        = 32
)

// errMalformed reports a frame that does not follow the protocol.
var errMalformed = errors.New("malformed frame")

// messageType numbers the kinds of frames; part of the protocol.
type messageType uint8

const (
	// messageHeartbeat carries nothing but its time.
	messageHeartbeat messageType = 1
	// messageFacts carries facts, whole or touched.
	messageFacts messageType = 2
	// messageSummary carries the hashes of all that the sender knows, by bucket.
	messageSummary messageType = 3
	// messageDigest lists the facts in buckets that differ.
	messageDigest messageType = 4
	// messageWant asks for facts by the hash of their key.
	messageWant messageType = 5
	// messagePrune asks not to pass on routine facts of some origins.
	messagePrune messageType = 6
	// messageGraft takes back prunes of some origins.
	messageGraft messageType = 7
)

// message is one frame. Only the fields of its Type are used.
type message struct {
	Type    messageType
	At      eventlog.Timestamp
	Facts   []Fact
	Touches []touch
	Summary []kindSummary
	Buckets []uint16
	Digest  []digestEntry
	Want    []uint64
	Origins []string
}

// touch renews a fact whose value is known to the receiver.
type touch struct {
	Key     uint64
	Version uint64
	TTL     time.Duration
	// Value is the hash of the fact's value.
	Value uint32
}

// kindSummary hashes the facts of one kind.
type kindSummary struct {
	Kind    Kind
	Buckets [summaryBuckets]uint32
}

// digestEntry names one version of a fact.
type digestEntry struct {
	Key  uint64
	Hash uint32
}

func (m *message) encode() []byte {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.UseCompactInts(true)
	// Writes to a bytes.Buffer do not fail.
	_ = e.EncodeArrayLen(m.fields())
	_ = e.EncodeUint(uint64(m.Type))
	_ = e.EncodeInt(m.At.Micros)
	_ = e.EncodeUint(uint64(m.At.Counter))
	switch m.Type {
	case messageFacts:
		encodeFacts(e, m.Facts)
		encodeTouches(e, m.Touches)
	case messageSummary:
		encodeSummary(e, m.Summary)
	case messageDigest:
		encodeBuckets(e, m.Buckets)
		encodeDigest(e, m.Digest)
	case messageWant:
		encodeWant(e, m.Want)
	case messagePrune, messageGraft:
		encodeStrings(e, m.Origins)
	}
	return buf.Bytes()
}

func (m *message) fields() int {
	switch m.Type {
	case messageFacts, messageDigest:
		return 5
	case messageHeartbeat:
		return 3
	default:
		return 4
	}
}

func encodeFacts(e *msgpack.Encoder, facts []Fact) {
	_ = e.EncodeArrayLen(len(facts))
	for _, f := range facts {
		_ = e.EncodeArrayLen(6)
		_ = e.EncodeUint(uint64(f.Kind))
		_ = e.EncodeString(f.ID)
		_ = e.EncodeUint(f.Version)
		_ = e.EncodeString(f.Origin)
		_ = e.EncodeUint(ttlMillis(f.TTL))
		_ = e.EncodeBytes(f.Value)
	}
}

func encodeTouches(e *msgpack.Encoder, touches []touch) {
	_ = e.EncodeArrayLen(len(touches))
	for _, t := range touches {
		_ = e.EncodeArrayLen(4)
		_ = e.EncodeUint(t.Key)
		_ = e.EncodeUint(t.Version)
		_ = e.EncodeUint(ttlMillis(t.TTL))
		_ = e.EncodeUint(uint64(t.Value))
	}
}

func encodeSummary(e *msgpack.Encoder, summary []kindSummary) {
	_ = e.EncodeArrayLen(len(summary))
	for _, s := range summary {
		_ = e.EncodeArrayLen(1 + summaryBuckets)
		_ = e.EncodeUint(uint64(s.Kind))
		for _, b := range s.Buckets {
			_ = e.EncodeUint(uint64(b))
		}
	}
}

func encodeBuckets(e *msgpack.Encoder, buckets []uint16) {
	_ = e.EncodeArrayLen(len(buckets))
	for _, b := range buckets {
		_ = e.EncodeUint(uint64(b))
	}
}

func encodeDigest(e *msgpack.Encoder, digest []digestEntry) {
	_ = e.EncodeArrayLen(len(digest))
	for _, d := range digest {
		_ = e.EncodeArrayLen(2)
		_ = e.EncodeUint(d.Key)
		_ = e.EncodeUint(uint64(d.Hash))
	}
}

func encodeWant(e *msgpack.Encoder, want []uint64) {
	_ = e.EncodeArrayLen(len(want))
	for _, k := range want {
		_ = e.EncodeUint(k)
	}
}

func encodeStrings(e *msgpack.Encoder, list []string) {
	_ = e.EncodeArrayLen(len(list))
	for _, s := range list {
		_ = e.EncodeString(s)
	}
}

// ttlMillis rounds up, so that a fact that still lives is not sent as expired.
// A writer that waited may reckon with a time before the fact was put, and so
// with more than the greatest TTL, which peers would reject.
func ttlMillis(d time.Duration) uint64 {
	return uint64((min(max(d, 0), maxTTL) + time.Millisecond - 1) / time.Millisecond)
}
