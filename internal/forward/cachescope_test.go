package forward

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/routetable"
)

func tableWith(t assert.TestingT, isolated map[string]bool, names ...string) *routetable.Table {
	var s routetable.State
	for _, name := range names {
		s.Organisations = append(s.Organisations, routetable.Organisation{Name: name, Keys: []string{"key-of-" + name}, Isolated: isolated[name]})
	}
	table, err := routetable.New(s)
	assert.NilError(t, err)
	return table
}

// Prompts that an organisation had shared before it became isolated stayed in use by others.
// In any history of desired states, with daemons that apply older ones, no request finds a
// prompt across the wall of an organisation that is isolated now.
func TestNoPromptCrossesALaterWall(t *testing.T) {
	names := []string{"a", "b", "c", ".a", "0aZ_-9x", ""}
	rapid.Check(t, func(t *rapid.T) {
		writers := map[string]map[string]bool{} // organisations that wrote into a group
		var history []*routetable.Table
		for range rapid.IntRange(1, 8).Draw(t, "states") {
			isolated := map[string]bool{}
			var present []string
			for _, name := range names[:5] {
				if rapid.IntRange(0, 4).Draw(t, "present") > 0 {
					present = append(present, name)
					isolated[name] = rapid.Bool().Draw(t, "isolated")
				}
			}
			history = append(history, tableWith(t, isolated, present...))
			for range rapid.IntRange(0, 10).Draw(t, "requests") {
				name := rapid.SampledFrom(names).Draw(t, "organisation")
				table := rapid.SampledFrom(history).Draw(t, "state of the daemon") // it may lag
				group := sharingGroup(table, name)
				if writers[group] == nil {
					writers[group] = map[string]bool{}
				}
				writers[group][name] = true
			}
			now := history[len(history)-1]
			for _, reader := range names {
				for writer := range writers[sharingGroup(now, reader)] {
					if writer == reader {
						continue
					}
					for _, name := range []string{reader, writer} {
						o := now.Organisation(name)
						assert.Assert(t, o == nil || !o.Isolated, "%q finds a prompt of %q", reader, writer)
					}
				}
			}
		}
	})
}

// A desired state that changes the isolation of nobody leaves all prompts in use, and the
// others go on sharing when somebody becomes isolated.
func TestPromptsStayInUse(t *testing.T) {
	before := tableWith(t, map[string]bool{"a": true}, "a", "b", "c")
	for i, after := range []*routetable.Table{
		tableWith(t, map[string]bool{"a": true}, "c", "b", "a"),
		tableWith(t, map[string]bool{"a": true}, "a", "b", "c", "new"),
		tableWith(t, map[string]bool{"a": true}, "a", "b"),
	} {
		for _, name := range []string{"a", "b", ""} {
			assert.Equal(t, sharingGroup(after, name), sharingGroup(before, name), fmt.Sprint("state ", i, " organisation ", name))
		}
	}
	after := tableWith(t, map[string]bool{"a": true, "b": true}, "a", "b", "c", "d")
	assert.Equal(t, sharingGroup(after, "a"), sharingGroup(before, "a"), "an isolated organisation finds its own prompts")
	assert.Equal(t, sharingGroup(after, "c"), sharingGroup(after, "d"))
	assert.Equal(t, sharingGroup(after, "c"), sharingGroup(after, ""))
	assert.Assert(t, sharingGroup(after, "c") != sharingGroup(before, "c"))
}

func TestCacheScopeRoundTrip(t *testing.T) {
	for _, group := range []string{"", ownGroup + "a/b", "0aZ_-9x"} {
		got, version, ok := ParseCacheScope(cacheScope(group, 7))
		assert.Assert(t, ok)
		assert.Equal(t, got, group)
		assert.Equal(t, version, 7)
	}
	_, _, ok := ParseCacheScope("of another program")
	assert.Assert(t, !ok)
}
