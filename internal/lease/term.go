package lease

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const rowPrefix = "lease/"

// term is the value of a lease's row. Each write of the row has a new nonce.
type term struct {
	Format uint8
	// Fence grows with each change of the holder.
	Fence  uint64
	Holder string
	Nonce  string
	// Millis is how long the holder may act after it sent the write, in milliseconds.
	Millis int64
	// Released is set when the holder stopped before its time.
	Released bool
}

const (
	format = 1
	// maxDuration bounds what a row may ask others to wait.
	maxDuration = 10 * time.Minute
)

func (t term) duration() time.Duration { return time.Duration(t.Millis) * time.Millisecond }

func encodeTerm(t term) []byte {
	t.Format = format
	b, err := msgpack.Marshal(&t)
	if err != nil {
		panic(err) // all fields can be encoded
	}
	return b
}

func decodeTerm(b []byte) (term, error) {
	var t term
	if err := msgpack.Unmarshal(b, &t); err != nil {
		return term{}, errors.Wrap(err, "lease row")
	}
	if t.Format != format || t.Fence == 0 || t.Millis < 0 || t.Millis > maxDuration.Milliseconds() {
		return term{}, errors.Newf("lease row of format %d, fence %d, %d ms", t.Format, t.Fence, t.Millis)
	}
	return t, nil
}
