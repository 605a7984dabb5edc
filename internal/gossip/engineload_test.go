package gossip

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Load figures arrive within the rounding, in at most 10 bytes an engine
// beside the head, for ordinary sizes.
func TestLoadsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) EngineLoad {
			return EngineLoad{
				Engine: rapid.Uint32().Draw(t, "engine"), Requests: rapid.IntRange(0, 100).Draw(t, "requests"),
				Outstanding: rapid.IntRange(0, 1<<22).Draw(t, "outstanding"), Slowdown: rapid.Float64Range(0.1, 100).Draw(t, "slowdown"),
			}
		}), 0, 40).Draw(t, "loads")
		value := EncodeLoads(loads)
		assert.Assert(t, len(value) <= 3+10*len(loads))
		got, err := DecodeLoads(value)
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(loads))
		for i, l := range loads {
			assert.Equal(t, got[i].Engine, l.Engine)
			assert.Equal(t, got[i].Requests, l.Requests)
			assert.Assert(t, near(float64(got[i].Outstanding), float64(l.Outstanding), 1))
			assert.Assert(t, near(got[i].Slowdown, l.Slowdown, 0))
		}
		again, err := DecodeLoads(EncodeLoads(got))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, got)
	})
}

func near(a, b, slack float64) bool { return math.Abs(a-b) <= slack+0.09*b }

// FuzzLoads holds that what is accepted is bounded and can be sent again.
func FuzzLoads(f *testing.F) {
	f.Add(EncodeLoads([]EngineLoad{{Engine: 1, Requests: 2, Outstanding: 3000, Slowdown: 5}}))
	f.Fuzz(func(t *testing.T, value []byte) {
		loads, err := DecodeLoads(value)
		if err != nil {
			return
		}
		assert.Assert(t, len(loads) <= maxEngineLoads)
		for _, l := range loads {
			assert.Assert(t, l.Requests >= 0 && l.Outstanding >= 0 && l.Slowdown > 0)
		}
		_, err = DecodeLoads(EncodeLoads(loads))
		assert.NilError(t, err)
	})
}
