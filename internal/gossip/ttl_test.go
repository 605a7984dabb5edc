package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGreatestTTLIsTakenByPeers sends a fact that was put while the writer,
// which had looked at the clock before, waited for the node.
func TestGreatestTTLIsTakenByPeers(t *testing.T) {
	looked := time.Now()
	put := looked.Add(3 * time.Millisecond)
	s := newStore()
	f := Fact{Kind: KindDocument, ID: "lamp-bench", Version: 1, Origin: "entry-1", TTL: maxTTL, Value: []byte("x")}
	s.put(f, put)
	e := s.byKey[factKey{f.Kind, f.ID}]
	c := &conn{session: &session{version: VersionTouch}}
	for _, whole := range []bool{true, false} {
		e.touched = !whole
		m := &message{Type: messageFacts}
		assert.Assert(t, m.add(c, e, whole, looked, maxBatchBytes) > 0)
		_, err := decodeMessage(m.encode())
		assert.NilError(t, err)
	}
}
