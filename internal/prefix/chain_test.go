package prefix

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Equal text in the same scope has equal block hashes however it is divided into
// levels; with another organisation or other weights all hashes differ.
func TestChainScope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		levels := rapid.SliceOfN(rapid.StringN(0, 40, -1), 1, 5).Draw(t, "levels")
		blockBytes := rapid.IntRange(1, 16).Draw(t, "block bytes")
		scope := Scope{Organisation: "hollow", Weights: "opal@1"}
		a := New(scope, levels, blockBytes)
		b := New(scope, []string{strings.Join(levels, "")}, blockBytes)
		assert.DeepEqual(t, a.Blocks, b.Blocks)
		for _, other := range []Scope{{"quindio", "opal@1"}, {"hollow", "opal@2"}, {"hollowo", "pal@1"}} {
			for i, h := range New(other, levels, blockBytes).Blocks {
				assert.Assert(t, h != a.Blocks[i])
			}
		}
	})
}

// Removing a node that is not a home of a key does not change the key's homes.
func TestTopScoresStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.Uint64(), 3, 20, rapid.ID).Draw(t, "nodes")
		key := rapid.Uint64().Draw(t, "key")
		homes := TopScores(nil, key, nodes, 2)
		last := nodes[len(nodes)-1]
		if nodes[homes[0]] == last || nodes[homes[1]] == last {
			return
		}
		after := TopScores(nil, key, nodes[:len(nodes)-1], 2)
		assert.DeepEqual(t, homes, after)
	})
}
