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

// Key identifies a call that must run at most once.
type Key struct {
	Organisation string
	Service      string
	// Key is the caller's idempotency key.
	Key string
}

const (
	rowPrefix    = "once/"
	objectPrefix = "once/"
)

// row returns the key of the record's row: a digest, so that rows spread
// evenly and hold nothing that a caller wrote.
func (k Key) row() string {
	sum := digest(k.Organisation, k.Service, k.Key)
	return rowPrefix + hex.EncodeToString(sum[:])
}

// Fingerprint identifies the content of a call.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a call's method, path and body.
func FingerprintOf(c *upstream.Call) Fingerprint {
	return digest(c.Method, c.Path, string(c.Body))
}

// digest hashes parts with their lengths, so that no two lists of parts share a text.
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

// state is how far a call has come.
type state uint8

const (
	// claimed calls may be running, or may have run.
	claimed state = 1
	// released calls certainly did not run; the key may be claimed again.
	released state = 2
	// answered calls ran and their reply is kept.
	answered state = 3
	// ran calls ran, but their reply was not kept.
	ran state = 4
	// unknown calls ended without anyone knowing whether they ran.
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
	// ClaimedAt is in microseconds since the Unix epoch, by the clock of the daemon that claimed.
	ClaimedAt int64
	// Reply is set for answered calls unless Object names where it is.
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
		return record{}, errors.Wrap(err, "at-most-once record")
	}
	if r.Format != recordFormat || r.State < claimed || r.State > unknown || r.Nonce == "" {
		return record{}, errors.Newf("at-most-once record of format %d and state %d", r.Format, r.State)
	}
	if r.State == answered && r.Reply == nil && r.Object == "" {
		return record{}, errors.New("at-most-once record without its reply")
	}
	return r, nil
}

func decodeReply(b []byte) (*reply, error) {
	var r reply
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return nil, errors.Wrap(err, "kept reply")
	}
	return &r, nil
}

func newReply(r *upstream.Reply) *reply {
	return &reply{Status: r.Status, Header: r.Header, Body: r.Body}
}

func (r *reply) upstream() *upstream.Reply {
	return &upstream.Reply{Status: r.Status, Header: r.Header, Body: r.Body}
}
