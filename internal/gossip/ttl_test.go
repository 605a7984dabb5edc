package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPeersAcceptMaxTTL sends a fact with the maximum TTL that was stored after the
// writer read the clock and waited for the node's lock. Its remaining time then
// exceeds maxTTL, which peers reject unless the sender clamps it.
func TestPeersAcceptMaxTTL(t *testing.T) {
	writerTime := time.Now()
	putTime := writerTime.Add(3 * time.Millisecond)
	s := newStore()
	f := Fact{Kind: KindDocument, ID: "lamp-bench", Version: 1, Origin: "entry-1", TTL: maxTTL, Value: []byte("x")}
	s.put(f, putTime)
	e := s.byKey[factKey{f.Kind, f.ID}]
	c := &conn{session: &session{version: VersionTouch}}
	for _, forceValue := range []bool{true, false} {
		e.valueUnchanged = !forceValue
		m := &message{Type: messageFacts}
		assert.Assert(t, m.appendEntry(c, e, forceValue, writerTime, maxBatchBytes) > 0)
		_, err := decodeMessage(m.encode(VersionTouch), VersionTouch)
		assert.NilError(t, err)
	}
}
