package lease

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const rowPrefix = "lease/"

// record is the value of a lease's row. Each write has a new nonce.
type record struct {
	Format uint8
	// Fence is the fencing token; it grows with each change of the holder.
	Fence  uint64
	Holder string
	Nonce  string
	// Millis is the lease's duration from the sending of the write, in milliseconds.
	Millis int64
	// Era is the store's era in which the record was written; 0 if the store states none.
	Era uint64 `msgpack:",omitempty"`
	// Released is set when the holder released the lease.
	Released bool
}

const (
	recordFormat = 1
	// maxDuration bounds the duration that is accepted from a row, since
	// candidates have to wait for it.
	maxDuration = 10 * time.Minute
)

func (r record) leaseDuration() time.Duration { return time.Duration(r.Millis) * time.Millisecond }

func encodeRecord(r record) []byte {
	r.Format = recordFormat
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err) // all fields can be encoded
	}
	return b
}

func decodeRecord(b []byte) (record, error) {
	var r record
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return record{}, errors.Wrap(err, "decode lease row")
	}
	if r.Format != recordFormat || r.Fence == 0 || r.Millis < 0 || r.Millis > maxDuration.Milliseconds() {
		return record{}, errors.Newf("lease row has invalid or unsupported values: format %d, fence %d, duration %d ms", r.Format, r.Fence, r.Millis)
	}
	return r, nil
}
