// Package resume makes and checks the tokens with which a caller continues a
// stream at another entry. A token names the engine's stream and the next
// event, is bound to the organisation and service, and is authenticated with
// the fleet's key, so that no state is shared between entries.
package resume

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Position is where a caller's stream stands.
type Position struct {
	Organisation string
	Service      string
	RequestID    string
	Engine       string
	Incarnation  string
	StreamID     string
	Weights      string
	// Next is the index of the first event that the caller lacks.
	Next int
	// Ended says that the caller has the last event.
	Ended bool
}

// ErrInvalid reports a token that no entry of this fleet has made.
var ErrInvalid = errors.New("invalid resume token")

const (
	macBytes      = 16
	maxTokenBytes = 2048
)

// Keys makes and checks tokens.
type Keys struct{ keys [][]byte }

// NewKeys returns Keys that sign with current and accept previous keys too.
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

// Decode checks a token and returns its position, or ErrInvalid.
func (k *Keys) Decode(token string) (Position, error) {
	if len(token) > maxTokenBytes {
		return Position{}, ErrInvalid
	}
	b, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(b) <= macBytes {
		return Position{}, ErrInvalid
	}
	for _, key := range k.keys {
		if hmac.Equal(mac(key, b[macBytes:]), b[:macBytes]) {
			var p Position
			if err := msgpack.Unmarshal(b[macBytes:], &p); err != nil {
				return Position{}, ErrInvalid
			}
			return p, nil
		}
	}
	return Position{}, ErrInvalid
}

func mac(key, raw []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(raw)
	return h.Sum(nil)[:macBytes]
}
