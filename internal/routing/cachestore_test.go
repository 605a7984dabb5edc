package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// storeFleet is a partsFleet whose engines have the given versions of the
// weights, with a store of cached prompts.
func storeFleet(versions ...int) (*Policy, time.Time) {
	p, now := partsFleet(len(versions))
	var list []Endpoint
	for i, e := range p.engines {
		ep := e.ep
		ep.Versions = []int{versions[i]}
		list = append(list, ep)
	}
	p.SetEndpoints(now, list)
	p.SetCacheStore(now, &CacheStore{ID: "store", TransferPerToken: 6 * time.Microsecond})
	p.StoreReset(now, true)
	return p, now
}

// A prompt is saved once while it is on its way, and not at all when it is
// short, kept already, or the store does not answer.
func TestPromptIsSavedOnce(t *testing.T) {
	p, now := storeFleet(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	part := prefix.PartKey("", "case")
	assert.Assert(t, start(t, p, now, partsRequest("a", "case", 13_000, 4_000)).Save)
	assert.Assert(t, !start(t, p, now, partsRequest("b", "case", 13_000, 4_000)).Save, "it is on its way")
	assert.Assert(t, !start(t, p, now, partsRequest("c", "desk", 60, 300)).Save)
	now = now.Add(saveLife)
	assert.Assert(t, start(t, p, now, partsRequest("d", "case", 13_000, 4_000)).Save, "it did not arrive")
	p.Stored(now, part, 1, 13_000)
	now = now.Add(saveLife)
	assert.Assert(t, !start(t, p, now, partsRequest("e", "case", 13_000, 4_000)).Save)
	p.Stored(now, part, 1, 0)
	assert.Assert(t, start(t, p, now, partsRequest("f", "case", 13_000, 4_000)).Save, "it was evicted")
	p.StoreReset(now, false)
	assert.Assert(t, !start(t, p, now, partsRequest("g", "case", 13_000, 4_000)).Save)
}

// Load: a part that all engines have evicted is asked for again. It is fetched
// from the store if it was made under the engine's version, from an engine
// where one holds it, since their links are faster.
func TestEvictedPartIsFetchedFromTheStore(t *testing.T) {
	part := prefix.PartKey("", "case")
	for _, c := range []struct {
		name           string
		stored, cached int // versions under which the part is kept; 0 for not kept
		source         string
	}{
		{"stored", 2, 0, "store"},
		{"stored under other weights", 1, 0, ""},
		{"cached too", 2, 2, "engine-0"},
	} {
		p, now := storeFleet(2, 2, 2, 2)
		p.Stored(now, part, c.stored, 13_000)
		if c.cached > 0 {
			p.Cached(now, "engine-0", "engine-0", part, 13_000)
			p.own, p.engines[0].own = 64, 64 // it has no room
		}
		a := start(t, p, now, partsRequest("a", "case", 13_000, 4_000))
		assert.Equal(t, a.Source, c.source, c.name)
	}
}

// Engines do not fetch from one that made the part under another version, and
// the choice does not count on it.
func TestNothingIsFetchedAcrossVersions(t *testing.T) {
	p, now := storeFleet(1, 2)
	p.Cached(now, "engine-0", "engine-0", prefix.PartKey("", "case"), 13_000)
	p.engines[0].own = 64
	a := start(t, p, now, partsRequest("a", "case", 13_000, 4_000))
	assert.Equal(t, a.Endpoint, "engine-1")
	assert.Equal(t, a.Source, "")
	assert.Equal(t, a.Why.Compute, 17_000)
}

// A scheduler that is made while the store answers uses it at once.
func TestStoreThatServesIsUsedAtOnce(t *testing.T) {
	for _, serving := range []bool{true, false} {
		p, now := storeFleet(1, 1, 1, 1)
		p.SetCacheStore(now, nil)
		p.SetCacheStore(now, &CacheStore{ID: "store", TransferPerToken: 6 * time.Microsecond, Serving: serving})
		assert.Equal(t, start(t, p, now, partsRequest("a", "case", 13_000, 4_000)).Save, serving)
	}
}
