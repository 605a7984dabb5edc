package gossip

import (
	"bufio"
	"bytes"
	"net"
	"reflect"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// drawMessage draws a valid message.
func drawMessage(t *rapid.T) *message {
	m := &message{Type: messageType(rapid.IntRange(1, int(messageGraft)).Draw(t, "type"))}
	m.At = eventlog.Timestamp{Micros: rapid.Int64().Draw(t, "micros"), Counter: rapid.Uint32().Draw(t, "counter")}
	millis := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(0, maxTTL.Milliseconds()).Draw(t, "ttl")) * time.Millisecond
	})
	text := rapid.StringN(1, 20, maxNameBytes)
	kind := rapid.Custom(func(t *rapid.T) Kind { return Kind(rapid.IntRange(1, maxKinds).Draw(t, "kind")) })
	switch m.Type {
	case messageFacts:
		m.Facts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Fact {
			return Fact{
				Kind: kind.Draw(t, "kind"), ID: text.Draw(t, "id"), Version: rapid.Uint64Min(1).Draw(t, "version"),
				Origin: text.Draw(t, "origin"), TTL: millis.Draw(t, "ttl"), Value: rapid.SliceOfN(rapid.Byte(), 1, 30).Draw(t, "value"),
			}
		}), 1, 5).Draw(t, "facts")
		m.Touches = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) touch {
			return touch{KeyHash: rapid.Uint64().Draw(t, "key"), Version: rapid.Uint64().Draw(t, "version"), TTL: millis.Draw(t, "ttl"), ValueHash: rapid.Uint32().Draw(t, "value")}
		}), 1, 5).Draw(t, "touches")
	case messageSummary:
		m.Summary = []kindSummary{{Kind: kind.Draw(t, "kind")}}
		m.Summary[0].Buckets[3] = rapid.Uint32().Draw(t, "bucket")
	case messageDigest:
		m.Buckets = rapid.SliceOfN(rapid.Uint16Max((maxKinds+1)*summaryBuckets-1), 1, 4).Draw(t, "buckets")
		m.Digest = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) digestEntry {
			return digestEntry{KeyHash: rapid.Uint64().Draw(t, "key"), Digest: rapid.Uint32().Draw(t, "hash")}
		}), 1, 4).Draw(t, "digest")
	case messageWant:
		m.Want = rapid.SliceOfN(rapid.Uint64(), 1, 4).Draw(t, "want")
	case messagePrune, messageGraft:
		m.Origins = rapid.SliceOfN(text, 1, 4).Draw(t, "origins")
	}
	return m
}

// Every message survives an encoding round trip.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		version := rapid.Uint8Range(minProtocolVersion, maxProtocolVersion).Draw(t, "version")
		if version >= VersionEcho {
			m.Sent, m.Echo = stamp(rapid.Uint64Max(maxStamp).Draw(t, "sent")), stamp(rapid.Uint64Max(maxStamp).Draw(t, "echo"))
		}
		got, err := decodeMessage(m.encode(version), version)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(m, got), "%+v became %+v", m, got)
	})
}

// A frame that was modified or replayed, or that follows a lost frame, is rejected.
func TestFrameAuthentication(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		send, receive := frameAuth{key: []byte("session")}, frameAuth{key: []byte("session")}
		payload := rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "payload")
		first := send.sign(payload)[lengthPrefixBytes:]
		second := send.sign(payload)[lengthPrefixBytes:]

		tampered := bytes.Clone(first)
		tampered[rapid.IntRange(0, len(first)-1).Draw(t, "at")] ^= rapid.ByteMin(1).Draw(t, "flip")
		_, err := receive.verify(tampered)
		assert.ErrorIs(t, err, errFrameAuthentication)
		_, err = receive.verify(second)
		assert.ErrorIs(t, err, errFrameAuthentication, "accepted a frame after a lost one")

		got, err := receive.verify(first)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, payload))
		_, err = receive.verify(first)
		assert.ErrorIs(t, err, errFrameAuthentication, "accepted a replayed frame")
		_, err = receive.verify(second)
		assert.NilError(t, err)
	})
}

// A frame above the size limit is rejected by its length field.
func TestOversizedFrame(t *testing.T) {
	_, err := readBody(bufio.NewReader(bytes.NewReader([]byte{0x7f, 0xff, 0xff, 0xff})), maxFrameBytes)
	assert.ErrorIs(t, err, errMalformed)
}

// Lengths inside a frame are checked before memory is allocated for them.
func TestHostileLengths(t *testing.T) {
	huge := []byte{0xff, 0xff, 0xff, 0xff}
	const runs = 100
	head := []byte{0x95, byte(messageFacts), 0, 0}
	for name, tail := range map[string][]byte{
		"facts array": append([]byte{0xdd}, huge...),
		"fact id":     append([]byte{0x91, 0x96, 1, 0xdb}, huge...),
		"fact value":  append([]byte{0x91, 0x96, 1, 0xa1, 'x', 1, 0xa1, 'y', 1, 0xc6}, huge...),
	} {
		payload := append(bytes.Clone(head), tail...)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range runs {
			_, err := decodeMessage(payload, VersionTouch)
			assert.ErrorIs(t, err, errMalformed, name)
		}
		runtime.ReadMemStats(&after)
		each := (after.TotalAlloc - before.TotalAlloc) / runs
		assert.Assert(t, each < 64<<10, "%s: %d bytes", name, each)
	}
}

// runHandshake runs both sides of a handshake and returns their results.
func runHandshake(dialer, listener hello, dialerKeys, listenerKeys [][]byte) (d, l *session, derr, lerr error) {
	a, b := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l, lerr = handshake(bufio.NewReader(b), b, false, listener, listenerKeys)
		_ = b.Close()
	}()
	d, derr = handshake(bufio.NewReader(a), a, true, dialer, dialerKeys)
	_ = a.Close()
	<-done
	return d, l, derr, lerr
}

// The handshake negotiates the greatest common version, or fails if there is none.
func TestVersionNegotiation(t *testing.T) {
	for _, x := range []struct{ min1, max1, min2, max2, want uint8 }{
		{1, 1, 1, 1, 1}, {1, 2, 1, 1, 1}, {1, 2, 2, 3, 2}, {2, 3, 2, 4, 3}, {1, 1, 2, 3, 0}, {3, 4, 1, 2, 0},
	} {
		a := hello{Min: x.min1, Max: x.max1, Name: "a"}
		b := hello{Min: x.min2, Max: x.max2, Name: "b"}
		d, l, derr, lerr := runHandshake(a, b, [][]byte{testKey}, [][]byte{testKey})
		if x.want == 0 {
			assert.ErrorIs(t, derr, errNoCommonVersion)
			assert.ErrorIs(t, lerr, errNoCommonVersion)
			continue
		}
		assert.NilError(t, errors.Join(derr, lerr))
		assert.Equal(t, d.version, x.want)
		assert.Equal(t, l.version, x.want)
		assert.Assert(t, bytes.Equal(d.send.key, l.receive.key) && bytes.Equal(d.receive.key, l.send.key))
		assert.Assert(t, !bytes.Equal(d.send.key, d.receive.key))
	}
}

// Neither side accepts a peer without a common key.
func TestWrongKey(t *testing.T) {
	h := hello{Min: 1, Max: 1, Name: "a"}
	_, _, derr, lerr := runHandshake(h, h, [][]byte{[]byte("another fleet's key")}, [][]byte{testKey})
	assert.ErrorIs(t, derr, errNoCommonKey)
	assert.Assert(t, lerr != nil)
}

// Reflection attacks fail: a listener that echoes the dialer's hello and a dialer
// that echoes the listener's proof are rejected.
func TestReflectedProof(t *testing.T) {
	victim := hello{Min: 1, Max: 1, Name: "victim"}
	attacker := hello{Min: 1, Max: 1, Name: "thief"}
	a, b := net.Pipe()
	go func() {
		defer b.Close()
		h, _ := readBody(bufio.NewReader(b), maxHelloBytes)
		_ = writeBody(b, h)
		_ = writeBody(b, encodeProofs([][]byte{derive(testKey[:8], labelListenerProof, h)}))
	}()
	_, err := handshake(bufio.NewReader(a), a, true, victim, [][]byte{testKey})
	assert.ErrorIs(t, err, errNoCommonKey)

	c, d := net.Pipe()
	go func() {
		r := bufio.NewReader(d)
		_ = writeBody(d, attacker.encode())
		_, _ = readBody(r, maxHelloBytes)
		proof, _ := readBody(r, maxHelloBytes)
		_ = writeBody(d, proof)
	}()
	_, err = handshake(bufio.NewReader(c), c, false, victim, [][]byte{testKey})
	assert.ErrorIs(t, err, errNoCommonKey)
}

// A man in the middle that modifies, replays or drops bytes causes the connection
// to be rejected; the daemons reconnect afterwards.
func TestTamperedBytesEndConnection(t *testing.T) {
	for name, corrupt := range map[string]func([]byte) []byte{
		"changed":  func(b []byte) []byte { b[len(b)-tagBytes-1] ^= 1; return b },
		"repeated": func(b []byte) []byte { return append(b, b...) },
		"left out": func([]byte) []byte { return nil },
		"too long": func([]byte) []byte { return []byte{0xff, 0xff, 0xff, 0xff, 0} },
	} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork()
			nodes := testFleet(t, nw, 2, nil)
			defer closeAll(nodes)
			eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
			before := nodes[0].Stats().Rejected + nodes[1].Stats().Rejected
			nw.eachLink(func(k *link) { k.corruptNextWrite(corrupt) })
			eventually(t, 10*time.Second, name+": rejected", func() bool {
				return nodes[0].Stats().Rejected+nodes[1].Stats().Rejected > before
			})
			nodes[0].Publish(Fact{Kind: KindDocument, ID: "lamp-bench", Version: 2, TTL: time.Minute})
			eventually(t, 5*time.Second, name+": connected again", allHaveVersion(nodes, KindDocument, "lamp-bench", 2))
		})
	}
}
