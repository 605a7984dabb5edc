package allowance

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Request asks the owner of an organisation's bucket. Frames are arrays of the fields in order,
// so new ones go to the end. All amounts are in tokens or requests.
type Request struct {
	// Seq is repeated in the response.
	Seq          uint64
	Organisation string
	// Waiting holds the costs of requests that wait for the response.
	Waiting []float64
	// Held is the daemon's lease, Returned the part of earlier ones that expired unused.
	Held, Returned float64
	// Spent is what the daemon used without the owner.
	Spent float64
	// Usage is the daemon's usage per second, Mean the mean cost of its requests.
	Usage, Mean float64
}

// Status tells whether the responder counts the organisation's usage.
type Status uint8

// Values of Status.
const (
	// StatusOwner is set in the response of the owner.
	StatusOwner Status = iota
	// StatusNotOwner is set if the responder does not own the bucket, or knows no limit.
	StatusNotOwner
)

// Response answers a Request.
type Response struct {
	Seq    uint64
	Status Status
	// RetryMs is, for each waiting request, 0 if it is admitted, otherwise the time after
	// which to retry.
	RetryMs []int64
	// Granted is added to the lease, which then lives for TTLMs from the request on.
	Granted float64
	TTLMs   int64
	// PauseMs is how long not to ask again without need.
	PauseMs int64
	// After a refusal, retries are spread over the times from ReadyMs to SpreadMs from now.
	ReadyMs, SpreadMs int64
}

const (
	// maxWaiting bounds Request.Waiting.
	maxWaiting = 64
	// maxFrameBytes bounds frames; 64 waiting requests take 600 bytes.
	maxFrameBytes = 4 << 10
)

// WriteFrame writes a message, such as a Request or Response.
func WriteFrame(w io.Writer, v any) error {
	frame := bytes.NewBuffer(make([]byte, 4, 128))
	e := msgpack.NewEncoder(frame)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return errors.Wrap(err, "encode frame")
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(frame.Len()-4))
	_, err := w.Write(frame.Bytes())
	return err
}

// ReadFrame reads a message, such as a Request or Response.
func ReadFrame(r io.Reader, v any) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return errors.Newf("frame of %d bytes exceeds the limit of %d", n, maxFrameBytes)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return errors.Wrap(msgpack.Unmarshal(body, v), "decode frame")
}
