package gossip

import (
	"bytes"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// decodeMessage decodes the payload of a frame on a connection with a protocol version; it
// returns errMalformed if the payload is invalid.
func decodeMessage(payload []byte, version uint8) (*message, error) {
	d := newDecoder(payload)
	fieldCount := d.arrayLen(maxFields)
	m := &message{Type: messageType(d.uint(uint64(messageGraft)))}
	m.At.Micros = d.int64()
	m.At.Counter = uint32(d.uint(1<<32 - 1))
	if d.err == nil && fieldCount != m.fieldCount(version) {
		d.fail()
	}
	if version >= VersionEcho {
		m.Sent, m.Echo = stamp(d.uint(maxStamp)), stamp(d.uint(maxStamp))
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

// decoder reads msgpack with a limit on each length. After the first failure
// all reads return zero values.
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

// finish returns errMalformed if a read failed or bytes are left over.
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
	// Each element takes at least one byte, which bounds n by the rest of the frame.
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
		t := touch{KeyHash: d.uint(1<<64 - 1), Version: d.uint(1<<64 - 1)}
		t.TTL = d.ttl()
		t.ValueHash = uint32(d.uint(1<<32 - 1))
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
		out = append(out, digestEntry{KeyHash: d.uint(1<<64 - 1), Digest: uint32(d.uint(1<<32 - 1))})
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
