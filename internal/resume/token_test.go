package resume

import (
	"encoding/base64"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTokensOfPreviousKeysAreAccepted(t *testing.T) {
	p := Position{Organisation: "o", Service: "s", RequestID: "r", Engine: "10.0.0.1:1", Incarnation: "i", StreamID: "t", Weights: "opal@1", Next: 3}
	old := NewKeys("old fleet key", nil).Encode(p)
	got, err := NewKeys("new fleet key", []string{"old fleet key"}).Decode(old)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, p)
	_, err = NewKeys("new fleet key", nil).Decode(old)
	assert.ErrorIs(t, err, ErrInvalid)
}

// FuzzDecode gives the decoder any content with a valid authentication: a
// daemon with a later version may have made it.
func FuzzDecode(f *testing.F) {
	keys := NewKeys("fleet key", nil)
	f.Add([]byte{0x98, 0xa1, 'o', 0xa1, 's', 0xa1, 'r', 0xa1, 'e', 0xa1, 'i', 0xa1, 't', 0xa1, 'w', 0x03})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		token := base64.RawURLEncoding.EncodeToString(append(mac(keys.keys[0], raw), raw...))
		if p, err := keys.Decode(token); err == nil {
			again, err := keys.Decode(keys.Encode(p))
			assert.NilError(t, err)
			assert.DeepEqual(t, again, p)
		}
	})
}
