package gossip

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// Limits on received messages. Lengths are checked before memory is allocated.
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

// errMalformed reports a message that violates the protocol.
var errMalformed = errors.New("malformed frame")

// messageType identifies a message; the numbers are part of the protocol.
type messageType uint8

const (
	// messageHeartbeat carries only a timestamp.
	messageHeartbeat messageType = 1
	// messageFacts carries facts and touches.
	messageFacts messageType = 2
	// messageSummary carries a hash of each bucket of the sender's facts.
	messageSummary messageType = 3
	// messageDigest lists the sender's facts in the buckets that differ.
	messageDigest messageType = 4
	// messageWant requests facts by key hash.
	messageWant messageType = 5
	// messagePrune asks the peer to stop relaying periodic facts of some origins.
	messagePrune messageType = 6
	// messageGraft reverts prunes of some origins.
	messageGraft messageType = 7
)

// message is the payload of a frame. Only the fields of its Type are used.
type message struct {
	Type messageType
	At   eventlog.Timestamp
	// Sent is when the frame was sent, Echo the Sent of the frame last received from the peer,
	// each on its sender's own clock; 0 if there is none. They are sent from VersionEcho on.
	Sent, Echo stamp
	Facts      []Fact
	Touches    []touch
	Summary    []kindSummary
	Buckets    []uint16
	Digest     []digestEntry
	Want       []uint64
	Origins    []string
}

// touch renews a fact without sending its value.
type touch struct {
	KeyHash uint64
	Version uint64
	TTL     time.Duration
	// ValueHash is the hash of the fact's value.
	ValueHash uint32
}

// kindSummary holds the bucket hashes of one kind.
type kindSummary struct {
	Kind    Kind
	Buckets [summaryBuckets]uint32
}

// digestEntry identifies one version of a fact by hashes.
type digestEntry struct {
	KeyHash uint64
	Digest  uint32
}

// encode encodes a message for a connection with a protocol version.
func (m *message) encode(version uint8) []byte {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.UseCompactInts(true)
	// Writes to a bytes.Buffer do not fail.
	_ = e.EncodeArrayLen(m.fieldCount(version))
	_ = e.EncodeUint(uint64(m.Type))
	_ = e.EncodeInt(m.At.Micros)
	_ = e.EncodeUint(uint64(m.At.Counter))
	if version >= VersionEcho {
		_ = e.EncodeUint(uint64(m.Sent))
		_ = e.EncodeUint(uint64(m.Echo))
	}
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

// echoFields and maxFields are the fields from VersionEcho on, and the most of any message.
const (
	echoFields = 2
	maxFields  = 5 + echoFields
)

func (m *message) fieldCount(version uint8) int {
	n := 4
	switch m.Type {
	case messageFacts, messageDigest:
		n = 5
	case messageHeartbeat:
		n = 3
	}
	if version >= VersionEcho {
		n += echoFields
	}
	return n
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
		_ = e.EncodeUint(t.KeyHash)
		_ = e.EncodeUint(t.Version)
		_ = e.EncodeUint(ttlMillis(t.TTL))
		_ = e.EncodeUint(uint64(t.ValueHash))
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
		_ = e.EncodeUint(d.KeyHash)
		_ = e.EncodeUint(uint64(d.Digest))
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

// ttlMillis rounds up, so that a fact that has not expired is not sent with a TTL
// of 0. It clamps to maxTTL, because a writer that waited for the lock may compute
// the remaining time from a time before the fact was stored; peers reject a
// larger TTL.
func ttlMillis(d time.Duration) uint64 {
	return uint64((min(max(d, 0), maxTTL) + time.Millisecond - 1) / time.Millisecond)
}
