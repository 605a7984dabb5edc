package gossip

import (
	"bytes"
	"io"
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
func ttlMillis(d time.Duration) uint64 {
	return uint64((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}

// decodeMessage decodes a frame's payload.
func decodeMessage(payload []byte) (*message, error) {
	d := newDecoder(payload)
	fields := d.arrayLen(5)
	m := &message{Type: messageType(d.uint(uint64(messageGraft)))}
	m.At.Micros = d.int64()
	m.At.Counter = uint32(d.uint(1<<32 - 1))
	if d.err == nil && fields != m.fields() {
		d.fail()
	}
	switch m.Type {
	case messageHeartbeat:
	case messageFacts:
		m.Facts = d.facts()
		m.Touches = d.touches()
	case messageSummary:
		m.Summary = d.summary()
	case messageDigest:
		m.Buckets = d.buckets()
		m.Digest = d.digest()
	case messageWant:
		m.Want = d.want()
	case messagePrune, messageGraft:
		m.Origins = d.strings()
	default:
		d.fail()
	}
	return m, d.finish()
}

// decoder reads msgpack with a bound on each length. After a failure all
// further reads return zero values.
type decoder struct {
	d   *msgpack.Decoder
	r   *bytes.Reader
	err error
}

func newDecoder(payload []byte) *decoder {
	r := bytes.NewReader(payload)
	return &decoder{d: msgpack.NewDecoder(r), r: r}
}

func (d *decoder) fail() {
	if d.err == nil {
		d.err = errMalformed
	}
}

// finish reports whether the payload was read whole and without a fault.
func (d *decoder) finish() error {
	if d.err == nil && d.r.Len() != 0 {
		d.fail()
	}
	return d.err
}

func (d *decoder) arrayLen(limit int) int {
	if d.err != nil {
		return 0
	}
	n, err := d.d.DecodeArrayLen()
	// Each element takes at least one byte, so no array outgrows its frame.
	if err != nil || n < 0 || n > limit || n > d.r.Len() {
		d.fail()
		return 0
	}
	return n
}

func (d *decoder) array(n int) {
	if got := d.arrayLen(n); d.err == nil && got != n {
		d.fail()
	}
}

func (d *decoder) uint(limit uint64) uint64 {
	if d.err != nil {
		return 0
	}
	v, err := d.d.DecodeUint64()
	if err != nil || v > limit {
		d.fail()
		return 0
	}
	return v
}

func (d *decoder) int64() int64 {
	if d.err != nil {
		return 0
	}
	v, err := d.d.DecodeInt64()
	if err != nil {
		d.fail()
	}
	return v
}

func (d *decoder) bytes(limit int) []byte {
	if d.err != nil {
		return nil
	}
	n, err := d.d.DecodeBytesLen()
	if err != nil || n > limit || n > d.r.Len() {
		d.fail()
		return nil
	}
	if n <= 0 {
		return nil
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(d.r, b); err != nil {
		d.fail()
		return nil
	}
	return b
}

func (d *decoder) string(limit int) string { return string(d.bytes(limit)) }

func (d *decoder) ttl() time.Duration {
	return time.Duration(d.uint(uint64(maxTTL/time.Millisecond))) * time.Millisecond
}

func (d *decoder) kind() Kind {
	k := Kind(d.uint(maxKinds))
	if k == 0 {
		d.fail()
	}
	return k
}

func (d *decoder) facts() []Fact {
	var out []Fact
	for range d.arrayLen(maxFrameFacts) {
		if d.err != nil {
			return nil
		}
		d.array(6)
		f := Fact{Kind: d.kind(), ID: d.string(maxIDBytes)}
		f.Version = d.uint(1<<64 - 1)
		f.Origin = d.string(maxNameBytes)
		f.TTL = d.ttl()
		f.Value = d.bytes(MaxValueBytes)
		if f.ID == "" || f.Origin == "" || f.Version == 0 {
			d.fail()
		}
		out = append(out, f)
	}
	return out
}

func (d *decoder) touches() []touch {
	var out []touch
	for range d.arrayLen(maxFrameFacts) {
		if d.err != nil {
			return nil
		}
		d.array(4)
		t := touch{Key: d.uint(1<<64 - 1), Version: d.uint(1<<64 - 1)}
		t.TTL = d.ttl()
		t.Value = uint32(d.uint(1<<32 - 1))
		out = append(out, t)
	}
	return out
}

func (d *decoder) summary() []kindSummary {
	var out []kindSummary
	for range d.arrayLen(maxKinds) {
		if d.err != nil {
			return nil
		}
		d.array(1 + summaryBuckets)
		s := kindSummary{Kind: d.kind()}
		for i := range s.Buckets {
			s.Buckets[i] = uint32(d.uint(1<<32 - 1))
		}
		out = append(out, s)
	}
	return out
}

func (d *decoder) buckets() []uint16 {
	var out []uint16
	for range d.arrayLen((maxKinds + 1) * summaryBuckets) {
		out = append(out, uint16(d.uint((maxKinds+1)*summaryBuckets-1)))
	}
	return out
}

func (d *decoder) digest() []digestEntry {
	var out []digestEntry
	for range d.arrayLen(maxFrameEntries) {
		if d.err != nil {
			return nil
		}
		d.array(2)
		out = append(out, digestEntry{Key: d.uint(1<<64 - 1), Hash: uint32(d.uint(1<<32 - 1))})
	}
	return out
}

func (d *decoder) want() []uint64 {
	var out []uint64
	for range d.arrayLen(maxFrameEntries) {
		out = append(out, d.uint(1<<64-1))
	}
	return out
}

func (d *decoder) strings() []string {
	var out []string
	for range d.arrayLen(maxFrameFacts) {
		if d.err != nil {
			return nil
		}
		out = append(out, d.string(maxNameBytes))
	}
	return out
}
