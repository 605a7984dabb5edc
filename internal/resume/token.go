// Package resume encodes and decodes the tokens with which a caller resumes a
// stream at another entry. A token identifies the engine's stream and the next
// event, is bound to the organisation and service, and is authenticated with the
// fleet key, so that entries need not share state.
package resume

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Position is a caller's position in a stream.
type Position struct {
	Organisation string
	Service      string
	RequestID    string
	Engine       string
	Incarnation  string
	StreamID     string
	Weights      string
	// NextIndex is the index of the next event that the caller needs.
	NextIndex int
	// Ended is set once the caller has received the last event.
	Ended bool
}

// ErrInvalid is returned for a token that is malformed or was not authenticated
// with a key of this fleet.
var ErrInvalid = errors.New("invalid resume token")

const (
	macBytes      = 16
	maxTokenBytes = 2048
)

// Keys holds the keys that authenticate tokens. It is safe for concurrent use.
type Keys struct{ keys [][]byte }

// NewKeys returns Keys that authenticate new tokens with the current fleet key and
// also accept tokens of previous ones.
func NewKeys(current string, previous []string) *Keys {
	k := &Keys{}
	for _, s := range append([]string{current}, previous...) {
		sum := sha256.Sum256([]byte("resume token\x00" + s))
		k.keys = append(k.keys, sum[:])
	}
	return k
}

// Encode returns the token of p.
func (k *Keys) Encode(p Position) string {
	return string(k.Encoder().Append(nil, &p))
}

// Decode verifies a token and returns its position. Its only error is ErrInvalid.
func (k *Keys) Decode(token string) (Position, error) {
	if len(token) > maxTokenBytes {
		return Position{}, ErrInvalid
	}
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) <= macBytes {
		return Position{}, ErrInvalid
	}
	for _, key := range k.keys {
		if hmac.Equal(computeMAC(key, raw[macBytes:]), raw[:macBytes]) {
			var p Position
			if err := msgpack.Unmarshal(raw[macBytes:], &p); err != nil {
				return Position{}, ErrInvalid
			}
			return p, nil
		}
	}
	return Position{}, ErrInvalid
}

func computeMAC(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}
