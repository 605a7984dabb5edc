package resume

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"hash"

	"github.com/vmihailenco/msgpack/v5"
)

// Encoder encodes the tokens of one stream and reuses its buffers. It is not safe
// for concurrent use.
type Encoder struct {
	hmac    hash.Hash
	buf     bytes.Buffer
	encoder *msgpack.Encoder
	macSum  []byte
}

// Encoder returns an Encoder that authenticates tokens with the current key.
func (k *Keys) Encoder() *Encoder {
	e := &Encoder{hmac: hmac.New(sha256.New, k.keys[0])}
	e.encoder = msgpack.NewEncoder(&e.buf)
	e.encoder.UseArrayEncodedStructs(true)
	return e
}

// Append appends the token of p to dst and returns the extended slice.
func (e *Encoder) Append(dst []byte, p *Position) []byte {
	var macPlaceholder [macBytes]byte
	e.buf.Reset()
	e.buf.Write(macPlaceholder[:])
	if err := e.encoder.Encode(p); err != nil {
		panic(err) // every Position can be encoded
	}
	b := e.buf.Bytes()
	e.hmac.Reset()
	e.hmac.Write(b[macBytes:])
	e.macSum = e.hmac.Sum(e.macSum[:0])
	copy(b, e.macSum[:macBytes])
	return base64.RawURLEncoding.AppendEncode(dst, b)
}
