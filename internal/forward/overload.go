package forward

import (
	"sync/atomic"
	"time"

	"github.com/verbenabend/verbenabend/internal/admission/triage"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// TriageMode says at which services requests are delayed and refused by what that costs
// their callers.
type TriageMode int8

const (
	// TriageAuto is at model services whose routes have goals and different priorities.
	TriageAuto TriageMode = iota
	// TriageOn is at all model services with a route that has a goal.
	TriageOn
	// TriageOff is at none.
	TriageOff
)

// applies reports whether requests of a service are triaged.
func (m TriageMode) applies(table *routetable.Table, service *routetable.Service) bool {
	if m == TriageOff || service.Engine == nil {
		return false
	}
	priorities := map[int]bool{}
	for i := range table.Routes {
		r := &table.Routes[i]
		if r.FirstByteGoal > 0 && targets(r, service.Name) {
			priorities[clampPriority(r.Priority)] = true
		}
	}
	return len(priorities) > 1 || m == TriageOn && len(priorities) > 0
}

func targets(r *routetable.Route, service string) bool {
	for _, target := range r.Targets {
		if target.Service == service {
			return true
		}
	}
	return false
}

// SetTriageMode sets the mode; it must be called before Update.
func (s *Services) SetTriageMode(m TriageMode) { s.triageMode = m }

// setTriage turns triage on or off.
func (svc *service) setTriage(on bool) {
	if svc.triaged.Swap(on) == on {
		return
	}
	svc.runner.Do(func(sched routing.Scheduler, now time.Time) {
		if u, ok := sched.(routing.TriageUser); ok {
			u.SetTriage(now, on)
		}
	})
}

// enginePriorities is the number of priorities that engines distinguish.
const enginePriorities = 10

// priorityBands holds the priorities at engines that the requests of each service use by
// their routes and organisations. Ranks use the ones between, so that no rank puts a
// request behind one of a less urgent kind.
type priorityBands struct {
	table *routetable.Table
	inUse map[string]*[enginePriorities]bool
}

// priorityBandCache holds the bands of the desired state in force.
type priorityBandCache struct{ current atomic.Pointer[priorityBands] }

// ranked returns the priority at the engine of a request of a kind with a priority, which
// goes behind others of this kind by its rank as far as there are priorities left for it.
func (c *priorityBandCache) ranked(table *routetable.Table, service string, priority, rank int) int {
	if rank <= 0 || table == nil {
		return priority
	}
	bands := c.current.Load()
	if bands == nil || bands.table != table {
		bands = newPriorityBands(table)
		c.current.Store(bands)
	}
	inUse := bands.inUse[service]
	if inUse == nil {
		return priority
	}
	for range min(rank, triage.MaxRank) {
		if priority+1 >= enginePriorities || inUse[priority+1] {
			break
		}
		priority++
	}
	return priority
}

func newPriorityBands(table *routetable.Table) *priorityBands {
	b := &priorityBands{table: table, inUse: map[string]*[enginePriorities]bool{}}
	for i := range table.Routes {
		r := &table.Routes[i]
		for _, target := range r.Targets {
			inUse := b.inUse[target.Service]
			if inUse == nil {
				inUse = &[enginePriorities]bool{}
				b.inUse[target.Service] = inUse
			}
			inUse[kindPriority(r, nil)] = true
			for j := range table.Organisations {
				inUse[kindPriority(r, &table.Organisations[j])] = true
			}
		}
	}
	return b
}
