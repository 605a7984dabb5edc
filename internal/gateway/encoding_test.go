package gateway

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/rollout"
)

// checkFactEncoding checks that the value of a fact and the map that older
// daemons send for it are both decoded, and returns their lengths.
func checkFactEncoding[T comparable](t *testing.T, want T) (length, oldLength int) {
	t.Helper()
	oldValue, err := msgpack.Marshal(&want)
	assert.NilError(t, err)
	value, err := encodeFactValue(&want)
	assert.NilError(t, err)
	for _, encoded := range [][]byte{oldValue, value} {
		var got T
		assert.NilError(t, msgpack.Unmarshal(encoded, &got))
		assert.Equal(t, got, want)
	}
	t.Logf("%T: %d bytes, %d from older daemons", want, len(value), len(oldValue))
	return len(value), len(oldValue)
}

// Switch notices and goals with field names filled the gossip budget during a
// rollout, and load figures were not sent.
func TestFactValuesAreCompact(t *testing.T) {
	for _, n := range []rollout.SwitchNotice{
		{Engine: "10.8.0.17:8000", StartedAt: 1_800_000_000_123, Model: "opal-large", Version: 318, Preparing: true, Orders: 12},
		{Engine: "10.8.0.17:8000", StartedAt: 1_800_000_000_123, Model: "opal-large", Version: 318, Done: true},
	} {
		length, oldLength := checkFactEncoding(t, n)
		assert.Assert(t, 2*length <= oldLength, "%d bytes, %d from older daemons", length, oldLength)
	}
	g := goalFact{Model: "opal-large", Version: 318}
	length, oldLength := checkFactEncoding(t, g)
	assert.Equal(t, oldLength-length, len("Model")+1+len("Version")+1)
	assert.Assert(t, length <= len(g.Model)+5)
}
