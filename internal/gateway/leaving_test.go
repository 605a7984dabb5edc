package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/fleet"
)

// Guards against an upstream that gets work again because its registration
// disappeared for a while, also if nothing was read for longer than leavingRetention
// before, and against another start of it that gets none.
func TestLeavingOutlivesRegistration(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	row := []fleet.Registration{{ID: "engine", StartedAt: 1}}
	var l leavingUpstreams
	assert.Assert(t, l.add(startOf(&row[0])))
	assert.Assert(t, !l.add(startOf(&row[0])), "added twice")
	l.prune(now, row)
	for range 3 {
		now = now.Add(2 * leavingRetention)
		l.prune(now, nil)
		now = now.Add(leavingRetention)
		l.prune(now, nil)
		assert.Assert(t, l.contains(startOf(&row[0])), "forgotten while the registration was missing")
		l.prune(now, row)
	}
	assert.Assert(t, !l.contains(upstreamStart{"engine", 2}))
	l.prune(now, nil)
	l.prune(now.Add(leavingRetention+1), nil)
	assert.Assert(t, !l.contains(startOf(&row[0])), "remembered for longer than needed")
}

// Guards against memory that grows with each upstream that ever left: a fleet that is
// replaced each day for a year.
func TestLeavingIsBounded(t *testing.T) {
	const fleetSize, days = 600, 365
	now := time.Unix(1_800_000_000, 0)
	var l leavingUpstreams
	for day := range days {
		registered := make([]fleet.Registration, fleetSize)
		for i := range registered {
			registered[i] = fleet.Registration{ID: fmt.Sprintf("engine-%d-%d", day, i), StartedAt: now.UnixMilli()}
			l.add(startOf(&registered[i]))
		}
		for range 4 {
			l.prune(now, registered)
			now = now.Add(6 * time.Hour)
		}
		assert.Assert(t, len(l.goneSince) <= 2*fleetSize, "day %d: %d upstreams", day, len(l.goneSince))
	}
	assert.Equal(t, len(l.goneSince), fleetSize)
}
