package rollout

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

// otherModel is served by the second fleet of twoModels.
const otherModel = "ruby"

// twoModels is a SwitchEnvironment and client of two fleets with different models.
type twoModels struct{ first, second *switchingFleet }

func newTwoModels(size int) *twoModels {
	m := &twoModels{newSwitchingFleet(size), newSwitchingFleet(0)}
	for i := range size {
		id := "other-" + m.first.ids[i]
		m.second.ids = append(m.second.ids, id)
		m.second.engines[id] = &switchingEngine{version: 1, knownVersion: 1}
	}
	return m
}

func (m *twoModels) of(id string) *switchingFleet {
	if m.first.engines[id] != nil {
		return m.first
	}
	return m.second
}

// Goals implements SwitchEnvironment.
func (m *twoModels) Goals() []Goal {
	return append(m.first.Goals(), Goal{Model: otherModel, Version: m.second.Goals()[0].Version})
}

// Engines implements SwitchEnvironment.
func (m *twoModels) Engines(model string) []*fleet.Registration {
	if model == switchModel {
		return m.first.Engines(model)
	}
	list := m.second.Engines(model)
	for _, u := range list {
		u.Models[0].Name = otherModel
	}
	return list
}

// Requests implements SwitchEnvironment.
func (m *twoModels) Requests(id string) (requests, uncomputedTokens int) {
	return m.of(id).Requests(id)
}

// AcceptedOrders implements SwitchEnvironment.
func (m *twoModels) AcceptedOrders(id string, startedAt int64) int {
	return m.of(id).AcceptedOrders(id, startedAt)
}

// Broadcast implements SwitchEnvironment.
func (m *twoModels) Broadcast(n SwitchNotice) { m.of(n.Engine).Broadcast(n) }

// Switch implements upstream.Switches.
func (m *twoModels) Switch(ctx context.Context, o upstream.SwitchOrder) (upstream.SwitchResult, error) {
	return m.of(o.Engine).Switch(ctx, o)
}

// Report implements upstream.Switches.
func (m *twoModels) Report(ctx context.Context, engine, address string) (upstream.SwitchReport, error) {
	r, err := m.of(engine).Report(ctx, engine, address)
	r.Versions[otherModel] = r.Versions[switchModel]
	return r, err
}

// Guards against switches of one model that are dropped while those of another one
// are advanced.
func TestTwoModelsSwitchAtTheSameTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTwoModels(12)
		runWithSwitcher(m, m, func() {
			m.first.setGoal(2)
			m.second.setGoal(2)
			time.Sleep(versionTimeLimit)
			assert.Equal(t, m.first.countOlder(2), 0)
			assert.Equal(t, m.second.countOlder(2), 0)
		})
	})
}

// fleetWithHung is a fleet some of whose engines answer no order and no report.
type fleetWithHung struct {
	*switchingFleet
	hung map[string]bool
}

// Requests implements SwitchEnvironment.
func (h *fleetWithHung) Requests(id string) (requests, uncomputedTokens int) {
	if h.hung[id] {
		return 0, 0
	}
	return h.switchingFleet.Requests(id)
}

// Switch implements upstream.Switches.
func (h *fleetWithHung) Switch(ctx context.Context, o upstream.SwitchOrder) (upstream.SwitchResult, error) {
	if h.hung[o.Engine] {
		<-ctx.Done()
		return upstream.SwitchUnanswered, ctx.Err()
	}
	return h.switchingFleet.Switch(ctx, o)
}

// Report implements upstream.Switches.
func (h *fleetWithHung) Report(ctx context.Context, engine, address string) (upstream.SwitchReport, error) {
	if h.hung[engine] {
		<-ctx.Done()
		return upstream.SwitchReport{}, ctx.Err()
	}
	return h.switchingFleet.Report(ctx, engine, address)
}

// Guards against engines that carry out no orders holding the places of a round again
// and again while others wait.
func TestHungEnginesDoNotHoldUpOthers(t *testing.T) {
	const size, hung = 60, 10
	synctest.Test(t, func(t *testing.T) {
		h := &fleetWithHung{newSwitchingFleet(size), map[string]bool{}}
		for i := range hung {
			h.hung[h.ids[i*size/hung]] = true
		}
		runWithSwitcher(h, h, func() {
			h.setGoal(2)
			time.Sleep(versionTimeLimit)
			assert.Equal(t, h.countOlder(2), hung)
		})
	})
}

// restartedDaemons is a fleet whose engines accepted orders of daemons that are gone.
type restartedDaemons struct {
	*switchingFleet
	conflicts atomic.Int64
}

// AcceptedOrders implements SwitchEnvironment.
func (r *restartedDaemons) AcceptedOrders(string, int64) int { return 0 }

// Switch implements upstream.Switches.
func (r *restartedDaemons) Switch(ctx context.Context, o upstream.SwitchOrder) (upstream.SwitchResult, error) {
	result, err := r.switchingFleet.Switch(ctx, o)
	if result == upstream.SwitchConflict {
		r.conflicts.Add(1)
	}
	return result, err
}

// After the loss of all daemons no engine refuses its first order, although nobody
// remembers how many orders it accepted.
func TestOrdersAfterAllDaemonsRestarted(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprintf("engines-%d", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &restartedDaemons{switchingFleet: newSwitchingFleet(size)}
				for i, id := range r.ids {
					r.engines[id].orders = 1 + i%3
				}
				runWithSwitcher(r, r, func() {
					r.setGoal(2)
					time.Sleep(versionTimeLimit)
					assert.Check(t, r.countOlder(2) == 0, "%d of %d engines have old weights", r.countOlder(2), size)
					assert.Check(t, r.conflicts.Load() == 0, "%d orders were refused", r.conflicts.Load())
				})
			})
		})
	}
}
