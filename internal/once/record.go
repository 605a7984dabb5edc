package once

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/upstream"
)

// Key identifies a call that runs at most once.
type Key struct {
	Organisation string
	Service      string
	// IdempotencyKey is the caller's idempotency key.
	IdempotencyKey string
}

const (
	rowPrefix    = "once/"
	objectPrefix = "once/"
)

// rowKey returns the key of the record's row. It is a digest, so that rows are
// spread evenly and contain no text from the caller.
func (k Key) rowKey() string {
	sum := digest(k.Organisation, k.Service, k.IdempotencyKey)
	return rowPrefix + hex.EncodeToString(sum[:])
}

// Fingerprint is a digest of a call's content.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a call's method, path and body.
func FingerprintOf(c *upstream.Call) Fingerprint {
	return digest(c.Method, c.Path, string(c.Body))
}

// digest hashes the parts, each prefixed with its length, so that different lists
// of parts never hash the same bytes.
func digest(parts ...string) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		for i := range n {
			n[i] = byte(len(p) >> (8 * i))
		}
		h.Write(n[:])
		_, _ = io.WriteString(h, p)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// state is the state of a call's record.
type state uint8

const (
	// claimed calls may be running, or may have run.
	claimed state = 1
	// released calls did not run; the key may be claimed again.
	released state = 2
	// answered calls ran and their reply is stored.
	answered state = 3
	// ran calls ran, but their reply was not stored.
	ran state = 4
	// unknown calls ended and may or may not have run.
	unknown state = 5
)

// record is the value of a row.
type record struct {
	// Format is recordFormat.
	Format uint8
	State  state
	// Nonce identifies the attempt that claimed the key.
	Nonce       string
	Fingerprint Fingerprint
	// ClaimedAt is in microseconds since the Unix epoch, by the clock of the
	// claiming daemon.
	ClaimedAt int64
	// Reply is set for answered calls unless Object names the object that holds it.
	Reply  *reply
	Object string
}

const recordFormat = 1

type reply struct {
	Status int
	Header http.Header
	Body   []byte
}

func encodeRecord(r record) []byte {
	r.Format = recordFormat
	return mustEncode(&r)
}

func mustEncode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // all fields can be encoded
	}
	return b
}

func decodeRecord(b []byte) (record, error) {
	var r record
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return record{}, errors.Wrap(err, "decode at-most-once record")
	}
	if r.Format != recordFormat || r.State < claimed || r.State > unknown || r.Nonce == "" {
		return record{}, errors.Newf("invalid at-most-once record: format %d, state %d", r.Format, r.State)
	}
	if r.State == answered && r.Reply == nil && r.Object == "" {
		return record{}, errors.New("at-most-once record has no reply")
	}
	return r, nil
}

func decodeReply(b []byte) (*reply, error) {
	var r reply
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return nil, errors.Wrap(err, "decode stored reply")
	}
	return &r, nil
}

func newReply(r *upstream.Reply) *reply {
	return &reply{Status: r.Status, Header: r.Header, Body: r.Body}
}

func (r *reply) toUpstream() *upstream.Reply {
	return &upstream.Reply{Status: r.Status, Header: r.Header, Body: r.Body}
}
