package routetable

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func route(host, prefix string, targets ...Target) Route {
	return Route{Name: host + prefix, Host: host, PathPrefix: prefix, Targets: targets}
}

// The route with the longest matching prefix of a host is chosen, whatever the
// order of the routes.
func TestLongestPrefixWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"/", "/a/", "/a/b/", "/a/b/c/", "/ab/"}), 1, 5, rapid.ID).Draw(t, "prefixes")
		var s State
		for _, p := range prefixes {
			s.Routes = append(s.Routes, route("one.example", p, Target{"s", 1}))
		}
		table, err := New(s)
		assert.NilError(t, err)
		path := rapid.SampledFrom([]string{"/a/b/c/d", "/a/b/", "/a/b", "/ab/x", "/", "/q"}).Draw(t, "path")
		want := ""
		for _, p := range prefixes {
			if strings.HasPrefix(path, p) && len(p) > len(want) {
				want = p
			}
		}
		got := table.Match("ONE.example:8080", path)
		if want == "" {
			assert.Assert(t, got == nil)
			return
		}
		assert.Equal(t, got.PathPrefix, want)
		assert.Assert(t, table.Match("two.example", path) == nil)
	})
}

func TestFaultyStatesAreRejected(t *testing.T) {
	for _, r := range []Route{route("", "/a/", Target{"s", 1}), route("h", "a/", Target{"s", 1}), route("h", "/a", Target{"s", 1}), route("h", "/a/")} {
		_, err := New(State{Routes: []Route{r}})
		assert.Assert(t, err != nil, "%+v", r)
	}
}

// A request ID always gets the same service, and all requests together follow
// the weights.
func TestSplit(t *testing.T) {
	r := route("h", "/", Target{"a", 90}, Target{"b", 10}, Target{"c", 0})
	count := map[string]int{}
	for i := range 1000 {
		id := fmt.Sprint("request-", i)
		s := r.ChooseService(id)
		assert.Equal(t, s, r.ChooseService(id))
		count[s]++
	}
	assert.Assert(t, count["c"] == 0 && count["b"] > 50 && count["b"] < 150, "%v", count)
}

func TestKeys(t *testing.T) {
	table, err := New(State{Organisations: []Organisation{{Name: "trust", Keys: []string{"k1", "k2"}}}})
	assert.NilError(t, err)
	assert.Equal(t, table.OrganisationByKey("k2").Name, "trust")
	assert.Assert(t, table.OrganisationByKey("") == nil && table.OrganisationByKey("k3") == nil)
}
