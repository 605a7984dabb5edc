package gateway

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// encodeFactValue encodes a struct as the value of a frequent fact: as an array,
// without the fields' names. The number and order of the struct's fields are
// thus part of the protocol. msgpack.Unmarshal decodes the array, and the map
// that older daemons send.
func encodeFactValue(v any) ([]byte, error) {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	err := e.Encode(v)
	return buf.Bytes(), err
}
