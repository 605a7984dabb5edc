package resume

import (
	"encoding/base64"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTokensOfPreviousKeysAreAccepted(t *testing.T) {
	p := Position{Organisation: "o", Service: "s", RequestID: "r", Engine: "10.0.0.1:1", Incarnation: "i", StreamID: "t", Weights: "opal@1", NextIndex: 3}
	old := NewKeys("old fleet key", nil).Encode(p)
	got, err := NewKeys("new fleet key", []string{"old fleet key"}).Decode(old)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, p)
	_, err = NewKeys("new fleet key", nil).Decode(old)
	assert.ErrorIs(t, err, ErrInvalid)
}

// FuzzDecode decodes arbitrary content with a valid MAC, as a daemon of a later
// version may have produced.
func FuzzDecode(f *testing.F) {
	keys := NewKeys("fleet key", nil)
	f.Add([]byte{0x98, 0xa1, 'o', 0xa1, 's', 0xa1, 'r', 0xa1, 'e', 0xa1, 'i', 0xa1, 't', 0xa1, 'w', 0x03})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, payload []byte) {
		token := base64.RawURLEncoding.EncodeToString(append(computeMAC(keys.keys[0], payload), payload...))
		if p, err := keys.Decode(token); err == nil {
			reencoded, err := keys.Decode(keys.Encode(p))
			assert.NilError(t, err)
			assert.DeepEqual(t, reencoded, p)
		}
	})
}
