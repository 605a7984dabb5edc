package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// storeFleet is like partsFleet with a cache store and one engine for each of
// the given versions of the weights.
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

// A prompt is not saved again while its save is in progress, and not at all if
// it is short, stored already, or the store is unavailable.
func TestPromptIsSavedOnce(t *testing.T) {
	p, now := storeFleet(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	part := prefix.PartKey("", "case")
	assert.Assert(t, start(t, p, now, partsRequest("a", "case", 13_000, 4_000)).Save)
	assert.Assert(t, !start(t, p, now, partsRequest("b", "case", 13_000, 4_000)).Save, "the save is in progress")
	assert.Assert(t, !start(t, p, now, partsRequest("c", "desk", 60, 300)).Save)
	now = now.Add(saveTimeout)
	assert.Assert(t, start(t, p, now, partsRequest("d", "case", 13_000, 4_000)).Save, "the save has timed out")
	p.PartStored(now, part, 1, 13_000)
	now = now.Add(saveTimeout)
	assert.Assert(t, !start(t, p, now, partsRequest("e", "case", 13_000, 4_000)).Save)
	p.PartStored(now, part, 1, 0)
	assert.Assert(t, start(t, p, now, partsRequest("f", "case", 13_000, 4_000)).Save, "it was evicted")
	p.StoreReset(now, false)
	assert.Assert(t, !start(t, p, now, partsRequest("g", "case", 13_000, 4_000)).Save)
}

// A part that all engines have evicted is fetched from the store if it was
// computed under the engine's version. An engine that holds it is preferred as
// the source, since links between engines are faster.
func TestEvictedPartIsFetchedFromTheStore(t *testing.T) {
	part := prefix.PartKey("", "case")
	for _, c := range []struct {
		name           string
		stored, cached int // versions of the weights that computed the part; 0 for none
		source         string
	}{
		{"stored", 2, 0, "store"},
		{"stored under other weights", 1, 0, ""},
		{"cached too", 2, 2, "engine-0"},
	} {
		p, now := storeFleet(2, 2, 2, 2)
		p.PartStored(now, part, c.stored, 13_000)
		if c.cached > 0 {
			p.PartCached(now, "engine-0", "engine-0", part, 13_000)
			p.ownAttempts, p.engines[0].ownAttempts = 64, 64 // the engine has no room
		}
		a := start(t, p, now, partsRequest("a", "case", 13_000, 4_000))
		assert.Equal(t, a.Source, c.source, c.name)
	}
}

// Engines do not fetch a part that was computed under another version of the
// weights, and the choice counts it as uncached.
func TestNothingIsFetchedAcrossVersions(t *testing.T) {
	p, now := storeFleet(1, 2)
	p.PartCached(now, "engine-0", "engine-0", prefix.PartKey("", "case"), 13_000)
	p.engines[0].ownAttempts = 64
	a := start(t, p, now, partsRequest("a", "case", 13_000, 4_000))
	assert.Equal(t, a.Endpoint, "engine-1")
	assert.Equal(t, a.Source, "")
	assert.Equal(t, a.Reasons.ComputeTokens, 17_000)
}

// A scheduler uses a store that is available when it is set without waiting for a
// StoreReset.
func TestStoreThatServesIsUsedAtOnce(t *testing.T) {
	for _, serving := range []bool{true, false} {
		p, now := storeFleet(1, 1, 1, 1)
		p.SetCacheStore(now, nil)
		p.SetCacheStore(now, &CacheStore{ID: "store", TransferPerToken: 6 * time.Microsecond, Serving: serving})
		assert.Equal(t, start(t, p, now, partsRequest("a", "case", 13_000, 4_000)).Save, serving)
	}
}
