package resume

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"hash"

	"github.com/vmihailenco/msgpack/v5"
)

// Encoder makes the tokens of one stream, without new memory for each. It is
// used by one goroutine.
type Encoder struct {
	mac     hash.Hash
	raw     bytes.Buffer
	encoder *msgpack.Encoder
	sum     []byte
}

// Encoder returns an Encoder that signs with the current key.
func (k *Keys) Encoder() *Encoder {
	e := &Encoder{mac: hmac.New(sha256.New, k.keys[0])}
	e.encoder = msgpack.NewEncoder(&e.raw)
	e.encoder.UseArrayEncodedStructs(true)
	return e
}

// Append appends the token of p to dst.
func (e *Encoder) Append(dst []byte, p *Position) []byte {
	var room [macBytes]byte
	e.raw.Reset()
	e.raw.Write(room[:])
	if err := e.encoder.Encode(p); err != nil {
		panic(err) // every position can be encoded
	}
	b := e.raw.Bytes()
	e.mac.Reset()
	e.mac.Write(b[macBytes:])
	e.sum = e.mac.Sum(e.sum[:0])
	copy(b, e.sum[:macBytes])
	return base64.RawURLEncoding.AppendEncode(dst, b)
}
