package gossip

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// errUnauthentic reports a frame that was changed, replayed or left out.
var errUnauthentic = errors.New("frame is not authentic")

const (
	lengthBytes = 4
	// tagBytes is the length of a frame's truncated HMAC-SHA256.
	tagBytes = 16
	// frameOverhead is what a frame adds to its payload.
	frameOverhead = lengthBytes + tagBytes
)

// sealer authenticates the frames of one direction of a connection: each by
// the direction's key and the frame's sequence number.
type sealer struct {
	key      []byte
	sequence uint64
}

func (s *sealer) tag(payload []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], s.sequence)
	mac.Write(n[:])
	mac.Write(payload)
	return mac.Sum(nil)[:tagBytes]
}

// seal returns the frame of payload: length, payload, tag.
func (s *sealer) seal(payload []byte) []byte {
	frame := appendLength(make([]byte, 0, frameOverhead+len(payload)), len(payload)+tagBytes)
	frame = append(frame, payload...)
	frame = append(frame, s.tag(payload)...)
	s.sequence++
	return frame
}

// open checks the frame's body and returns its payload.
func (s *sealer) open(body []byte) ([]byte, error) {
	if len(body) < tagBytes {
		return nil, errMalformed
	}
	payload, tag := body[:len(body)-tagBytes], body[len(body)-tagBytes:]
	if !hmac.Equal(tag, s.tag(payload)) {
		return nil, errUnauthentic
	}
	s.sequence++
	return payload, nil
}

func appendLength(b []byte, n int) []byte { return binary.BigEndian.AppendUint32(b, uint32(n)) }

// readBody reads one length-prefixed body of at most limit bytes.
func readBody(r *bufio.Reader, limit int) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > uint32(limit) {
		return nil, errors.Wrapf(errMalformed, "%d bytes, at most %d", n, limit)
	}
	body := make([]byte, n)
	_, err := io.ReadFull(r, body)
	return body, err
}
