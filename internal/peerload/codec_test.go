package peerload

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// engineMap maps engine endpoints to incarnations.
type engineMap map[string]string

// Engine implements EngineFinder.
func (k engineMap) Engine(hash uint32) (endpoint, incarnation string, ok bool) {
	for endpoint, incarnation := range k {
		if Hash(endpoint) == hash {
			return endpoint, incarnation, true
		}
	}
	return "", "", false
}

// Decode returns the loads that were encoded.
func TestRoundTrip(t *testing.T) {
	engines := engineMap{"10.0.0.1:1": "a", "10.0.0.2:1": "b"}
	rapid.Check(t, func(t *rapid.T) {
		var loads []routing.PeerLoad
		for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
			loads = append(loads, routing.PeerLoad{
				Endpoint: address, Incarnation: engines[address],
				PendingTokens: rapid.IntRange(0, 1<<20).Draw(t, "outstanding"), Requests: rapid.IntRange(0, 300).Draw(t, "requests"),
				Slowdown:          float64(rapid.IntRange(0, 900).Draw(t, "slowdown")) / 4,
				MeasuredResponses: rapid.IntRange(0, 9).Draw(t, "measured"), HeldLevels: rapid.SliceOfN(rapid.Uint64(), 1, 9).Draw(t, "held"),
			})
		}
		if organisations := rapid.SliceOfN(rapid.Uint64(), 0, 9).Draw(t, "organisations"); len(organisations) > 0 {
			last := routing.PeerLoad{}
			for i, h := range organisations {
				last.Organisations = append(last.Organisations, routing.OrganisationLoad{Hash: h, Requests: i})
			}
			loads = append(loads, last)
		}
		decoded, err := Decode(Encode(loads), engines)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, loads)
	})
}

// Figures of another incarnation of an engine or of an unknown engine are omitted.
func TestOtherIncarnationsAreOmitted(t *testing.T) {
	message := Encode([]routing.PeerLoad{{Endpoint: "10.0.0.1:1", Incarnation: "old"}, {Endpoint: "10.0.0.9:1", Incarnation: "x"}})
	decoded, err := Decode(message, engineMap{"10.0.0.1:1": "new"})
	assert.NilError(t, err)
	assert.Equal(t, len(decoded), 0)
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode([]routing.PeerLoad{{Endpoint: "10.0.0.1:1", Incarnation: "a", HeldLevels: []uint64{7}}, {Organisations: []routing.OrganisationLoad{{Hash: 1, Requests: 2}}}}))
	f.Add([]byte{0x92, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, message []byte) {
		loads, err := Decode(message, engineMap{"10.0.0.1:1": "a"})
		if err == nil {
			assert.Assert(t, len(loads) <= maxEngines+1)
		}
	})
}

// BenchmarkEncode reports the bytes of a message with 24 engines in use.
func BenchmarkEncode(b *testing.B) {
	var loads []routing.PeerLoad
	for i := range 24 {
		loads = append(loads, routing.PeerLoad{Endpoint: string(rune('a' + i)), Incarnation: "i", PendingTokens: 2000 * i, Requests: 3, Slowdown: 1.2, MeasuredResponses: 2, HeldLevels: []uint64{1 << 60, 1 << 61}})
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		size = len(Encode(loads))
	}
	b.ReportMetric(float64(size), "bytes/message")
	b.ReportMetric(float64(size)/24, "bytes/engine")
}
