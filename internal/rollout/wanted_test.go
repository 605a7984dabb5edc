package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The age of old weights runs from the first newer version. On a day with a new
// version each 10 s, engines with old weights were taken for fresh again at each.
func TestOldWeightsAgeFromTheFirstNewerVersion(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	var w Wanted
	_, old := w.Superseded(1)
	assert.Assert(t, !old)
	assert.Assert(t, w.Name(2, at(4)))
	assert.Assert(t, w.Name(3, at(6)))
	assert.Assert(t, !w.Name(2, at(7)), "an older version is never wanted again")
	assert.Assert(t, w.Name(5, at(16)))
	assert.Equal(t, w.Version(), 5)
	for version, want := range map[int]int{1: 4, 2: 6, 3: 16, 4: 16} {
		since, old := w.Superseded(version)
		assert.Assert(t, old && since.Equal(at(want)), "version %d: since %s", version, since)
	}
	_, old = w.Superseded(5)
	assert.Assert(t, !old)
	for v := range 10 * maxNamings {
		w.Name(v, at(20+v))
	}
	since, old := w.Superseded(1)
	assert.Assert(t, old && since.Before(at(20+10*maxNamings)))
}

// A daemon that starts learns from its peers when versions were named, before
// or after it reads them itself; what peers tell makes no version wanted.
func TestPeersTellWhenVersionsWereNamed(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	for _, order := range []string{"peers first", "operators first"} {
		var w Wanted
		hear := func() {
			w.Heard(4, at(15))
			w.Heard(4, at(18))
			w.Heard(3, at(6))
			w.Heard(9, at(1))
		}
		if order == "peers first" {
			hear()
			assert.Equal(t, w.Version(), 0)
			_, old := w.Superseded(2)
			assert.Assert(t, !old)
		}
		assert.Assert(t, w.Name(4, at(18)))
		if order == "operators first" {
			hear()
		}
		assert.Equal(t, w.Version(), 4)
		for version, want := range map[int]int{3: 15, 2: 6} {
			since, old := w.Superseded(version)
			assert.Assert(t, old && since.Equal(at(want)), "%s, version %d: since %s", order, version, since)
		}
		_, old := w.Superseded(4)
		assert.Assert(t, !old, order)
	}
}
