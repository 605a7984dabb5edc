package gossip

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// errFrameAuthentication reports a frame that was modified, replayed or lost.
var errFrameAuthentication = errors.New("frame authentication failed")

const (
	lengthPrefixBytes = 4
	// tagBytes is the length of a frame's truncated HMAC-SHA256.
	tagBytes = 16
	// frameOverhead is the number of bytes that a frame adds to its payload.
	frameOverhead = lengthPrefixBytes + tagBytes
)

// frameAuth authenticates the frames of one direction of a connection with an
// HMAC over the frame's sequence number and payload.
type frameAuth struct {
	key      []byte
	sequence uint64
}

func (s *frameAuth) tag(payload []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], s.sequence)
	mac.Write(n[:])
	mac.Write(payload)
	return mac.Sum(nil)[:tagBytes]
}

// sign returns the frame for payload: length, payload, tag.
func (s *frameAuth) sign(payload []byte) []byte {
	frame := appendLength(make([]byte, 0, frameOverhead+len(payload)), len(payload)+tagBytes)
	frame = append(frame, payload...)
	frame = append(frame, s.tag(payload)...)
	s.sequence++
	return frame
}

// verify checks a frame's body and returns its payload. It returns errMalformed if
// the body is shorter than a tag, errFrameAuthentication if the tag is wrong.
func (s *frameAuth) verify(body []byte) ([]byte, error) {
	if len(body) < tagBytes {
		return nil, errMalformed
	}
	payload, tag := body[:len(body)-tagBytes], body[len(body)-tagBytes:]
	if !hmac.Equal(tag, s.tag(payload)) {
		return nil, errFrameAuthentication
	}
	s.sequence++
	return payload, nil
}

func appendLength(b []byte, n int) []byte { return binary.BigEndian.AppendUint32(b, uint32(n)) }

// readBody reads a length-prefixed body; a length above limit is errMalformed.
func readBody(r *bufio.Reader, limit int) ([]byte, error) {
	var length [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > uint32(limit) {
		return nil, errors.Wrapf(errMalformed, "length of %d bytes exceeds the limit of %d", n, limit)
	}
	body := make([]byte, n)
	_, err := io.ReadFull(r, body)
	return body, err
}
