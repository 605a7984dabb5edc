package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
)

func TestCountModelVersions(t *testing.T) {
	m := servicedoc.Model{Name: "opal", Version: "3"}
	engines := func(weights ...[]string) (out []routing.Endpoint) {
		for _, w := range weights {
			out = append(out, routing.Endpoint{Weights: w})
		}
		return out
	}
	v := countModelVersions(m, engines([]string{"opal@2", "opal@3"}, []string{"opal@2"}, []string{"opal@2"}, []string{"opal@1"}, []string{"ruby@2"}))
	assert.Equal(t, v.currentEngines, 1)
	assert.Equal(t, v.otherEngines, 3)
	assert.Equal(t, v.mostCommonOther.Weights(), "opal@2")

	v = countModelVersions(m, engines([]string{"opal@2+lids"}, []string{"opal@3"}))
	assert.Equal(t, v.otherEngines, 0, "another adapter is another model")
	id, ok := servicedoc.ParseWeights("opal@3+lids")
	assert.Assert(t, ok && id == servicedoc.WeightsID{Name: "opal", Version: "3", Adapter: "lids"})
}
