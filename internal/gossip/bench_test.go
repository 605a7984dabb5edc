package gossip

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// benchNode returns a node, not started, that knows the given numbers of daemons
// and engines. Its six connections only queue what is sent.
func benchNode(b *testing.B, daemons, engines int) (*Node, *conn) {
	nw := newNetwork()
	n, err := New(Config{Name: "self", Address: "self", Keys: [][]byte{testKey}, Listener: nw.listen("self")})
	if err != nil {
		b.Fatal(err)
	}
	var c *conn
	for i := range 2 * DefaultFanOut {
		a, _ := net.Pipe()
		c = newConn(n, a, nil, &session{peer: &hello{Name: testName(i)}, version: maxProtocolVersion}, i%2 == 0)
		n.conns[c.peerName()] = c
	}
	now := time.Now()
	for i := range daemons {
		info := DaemonInfo{Start: 1, DataCentre: "merrimack", PeerAddress: fmt.Sprintf("10.0.%d.%d:7003", i/250, i%250), CallerAddress: "10.0.0.1:7001"}
		n.receiveFact(c, Fact{Kind: KindDaemon, ID: testName(i), Origin: testName(i), Version: 1, TTL: time.Hour, Value: info.Encode()}, map[string]bool{}, now)
	}
	for i := range engines {
		value := make([]byte, 120)
		n.receiveFact(c, Fact{Kind: KindEngine, ID: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Origin: testName(i % daemons), Version: 1, TTL: time.Hour, Value: value}, map[string]bool{}, now)
	}
	return n, c
}

// BenchmarkTick measures the maintenance of facts and connections that a node
// does four times a second.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ daemons, engines int }{{6, 24}, {330, 600}} {
		b.Run(fmt.Sprintf("daemons=%d/engines=%d", size.daemons, size.engines), func(b *testing.B) {
			n, _ := benchNode(b, size.daemons, size.engines)
			now := time.Now()
			for b.Loop() {
				n.expire(now)
				n.graftStale(now)
				n.sendSummaries(now)
				chooseNeighbours(member{name: "self", dataCentre: "kennebec"}, n.members(now), DefaultFanOut, 1)
				n.unknownAddresses(n.members(now), nil)
			}
		})
	}
}

// BenchmarkTouch measures the receipt of one daemon's renewal.
func BenchmarkTouch(b *testing.B) {
	n, c := benchNode(b, 330, 600)
	e := n.store.byKey[factKey{KindDaemon, testName(7)}]
	version, now := uint64(1), time.Now()
	for b.Loop() {
		version++
		n.handleFacts(c, &message{Touches: []touch{{KeyHash: e.keyHash, Version: version, TTL: time.Hour, ValueHash: e.valueHash}}}, now)
	}
}

// BenchmarkFrame measures encoding, signing, verifying and decoding a frame of
// ten renewals.
func BenchmarkFrame(b *testing.B) {
	m := &message{Type: messageFacts, Touches: make([]touch, 10)}
	for i := range m.Touches {
		m.Touches[i] = touch{KeyHash: 1 << 60, Version: 1 << 50, TTL: 10 * time.Second, ValueHash: 1 << 30}
	}
	send, receive := frameAuth{key: testKey}, frameAuth{key: testKey}
	b.ReportAllocs()
	for b.Loop() {
		frame := send.sign(m.encode(maxProtocolVersion))
		b.SetBytes(int64(len(frame)))
		payload, err := receive.verify(frame[lengthPrefixBytes:])
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decodeMessage(payload, maxProtocolVersion); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFacts measures reading all daemons' facts.
func BenchmarkFacts(b *testing.B) {
	n, _ := benchNode(b, 330, 600)
	for b.Loop() {
		n.Facts(KindDaemon)
	}
}
