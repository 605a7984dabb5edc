package gossip

import (
	"bufio"
	"bytes"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzMessage checks that every accepted message is within the limits and
// survives an encoding round trip.
func FuzzMessage(f *testing.F) {
	for version := minProtocolVersion; version <= maxProtocolVersion; version++ {
		for _, m := range []*message{
			{Type: messageHeartbeat, Sent: 7, Echo: 5},
			{Type: messageFacts, Facts: []Fact{{Kind: KindEngine, ID: "e", Version: 1, Origin: "d", TTL: 1000000, Value: []byte{1}}}, Touches: []touch{{KeyHash: 1}}},
			{Type: messageSummary, Summary: []kindSummary{{Kind: KindDaemon}}},
			{Type: messageDigest, Buckets: []uint16{17}, Digest: []digestEntry{{KeyHash: 5, Digest: 6}}},
			{Type: messageWant, Want: []uint64{7}},
			{Type: messagePrune, Origins: []string{"d"}},
		} {
			f.Add(m.encode(version))
		}
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		for version := minProtocolVersion; version <= maxProtocolVersion; version++ {
			m, err := decodeMessage(payload, version)
			if err != nil {
				continue
			}
			size := 0
			for _, fact := range m.Facts {
				assert.Assert(t, len(fact.ID) <= maxIDBytes && len(fact.Origin) <= maxNameBytes && len(fact.Value) <= MaxValueBytes)
				assert.Assert(t, fact.TTL >= 0 && fact.TTL <= maxTTL && fact.Kind > 0 && fact.Kind <= maxKinds)
				size += len(fact.ID) + len(fact.Origin) + len(fact.Value)
			}
			assert.Assert(t, size <= len(payload))
			assert.Assert(t, m.Sent <= maxStamp && m.Echo <= maxStamp)
			again, err := decodeMessage(m.encode(version), version)
			assert.NilError(t, err)
			assert.Assert(t, reflect.DeepEqual(m, again), "%+v became %+v", m, again)
		}
	})
}

// FuzzHello checks the same for the handshake's hello.
func FuzzHello(f *testing.F) {
	f.Add((&hello{Min: 1, Max: 2, Name: "d", DataCentre: "merrimack", Start: 1}).encode())
	f.Fuzz(func(t *testing.T, body []byte) {
		h, err := decodeHello(body)
		if err != nil {
			return
		}
		assert.Assert(t, h.Name != "" && len(h.Name) <= maxNameBytes && len(h.DataCentre) <= maxNameBytes && h.Min <= h.Max)
		again, err := decodeHello(h.encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, h, again)
	})
}

// FuzzProofs checks that at most maxKeys proofs of exact length are accepted.
func FuzzProofs(f *testing.F) {
	f.Add(encodeProofs([][]byte{make([]byte, macBytes)}))
	f.Fuzz(func(t *testing.T, body []byte) {
		proofs, err := decodeProofs(body)
		if err != nil {
			return
		}
		assert.Assert(t, len(proofs) <= maxKeys)
		for _, p := range proofs {
			assert.Equal(t, len(p), macBytes)
		}
	})
}

// FuzzDaemonInfo checks that every accepted value survives an encoding round trip.
func FuzzDaemonInfo(f *testing.F) {
	f.Add(DaemonInfo{Start: 1, DataCentre: "armenia", PeerAddress: "10.0.0.1:70", CallerAddress: "10.0.0.1:80", Draining: true}.Encode())
	f.Fuzz(func(t *testing.T, value []byte) {
		info, err := DecodeDaemonInfo(value)
		if err != nil {
			return
		}
		again, err := DecodeDaemonInfo(info.Encode())
		assert.NilError(t, err)
		assert.Equal(t, info, again)
	})
}

// FuzzFrame checks that no frame with a tag of another key is accepted, whatever
// its length field.
func FuzzFrame(f *testing.F) {
	f.Add((&frameAuth{key: testKey}).sign([]byte{0x93, 1, 0, 0}))
	f.Fuzz(func(t *testing.T, stream []byte) {
		body, err := readBody(bufio.NewReader(bytes.NewReader(stream)), maxFrameBytes+tagBytes)
		if err != nil {
			return
		}
		assert.Assert(t, len(body) <= len(stream))
		_, err = (&frameAuth{key: []byte("a key that the stream was not made with")}).verify(body)
		assert.Assert(t, err != nil)
	})
}
