package routing

import (
	"math/bits"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
)

// SetEndpoints implements Scheduler.
func (p *Policy) SetEndpoints(now time.Time, endpoints []Endpoint) {
	p.setNow(now)
	old := p.byID
	p.byID = make(map[string]*engine, len(endpoints))
	p.engines = p.engines[:0]
	p.pools = map[string]*placement.Pool{}
	p.allEngines = placement.Pool{}
	p.totalSlots = 0
	for _, ep := range endpoints {
		e := old[ep.ID]
		if e == nil || e.ep.Incarnation != ep.Incarnation {
			before := e
			if e = newEngine(ep); before != nil {
				e.relativeTime = before.relativeTime // new weights do not change it
			}
		}
		e.ep = ep
		e.present = true
		e.heldOffUntil = p.holdOffs[process{ep.ID, ep.StartedAt}]
		p.totalSlots += ep.Slots
		p.byID[ep.ID] = e
		p.addToPools(len(p.engines), e)
		p.engines = append(p.engines, e)
	}
	p.keepRemoved(old)
	p.applyRateLimits()
	p.sizeTables(now)
	p.countEjected(now)
	p.chooseReserved()
	p.countPreferred()
	p.sumPeers()
	p.engineGeneration++
	p.recheckNow = true
	p.checkHeldOff = true
}

// keepRemoved keeps removed engines that still run this daemon's attempts, so that
// their state is not lost if they come back, and those whose last shared load was
// not empty, until peers are told that it is.
func (p *Policy) keepRemoved(old map[string]*engine) {
	p.removed = p.removed[:0]
	for id, e := range old {
		if p.byID[id] == nil && (e.ownAttempts > 0 || e.sharedBefore) {
			e.present = false
			p.byID[id] = e
			p.removed = append(p.removed, e)
		}
	}
}

// dropRemoved forgets the removed engines without attempts whose last shared load
// was empty.
func (p *Policy) dropRemoved() {
	p.removed = slices.DeleteFunc(p.removed, func(e *engine) bool {
		if e.ownAttempts > 0 || e.sharedBefore {
			return false
		}
		delete(p.byID, e.ep.ID)
		return true
	})
}

func (p *Policy) addToPools(index int, e *engine) {
	addToPool(&p.allEngines, index, e)
	for _, w := range e.ep.Weights {
		pool := p.pools[w]
		if pool == nil {
			pool = &placement.Pool{}
			p.pools[w] = pool
		}
		addToPool(pool, index, e)
	}
}

func addToPool(pool *placement.Pool, index int, e *engine) {
	pool.Members = append(pool.Members, index)
	pool.Hashes = append(pool.Hashes, e.ep.Hash)
}

// sizeTables creates the tables on first use and replaces the hint table by a
// larger one when the fleet has grown.
func (p *Policy) sizeTables(now time.Time) {
	if p.rates == nil {
		p.startedAt = now
		p.rates = placement.NewRates(rateEntries, now)
	}
	want := min(max(minHintEntries, len(p.engines)*hintEntriesPerEngine), maxHintEntries)
	want = 1 << bits.Len(uint(want-1))
	if p.hints == nil || p.hints.Bytes() < placement.HintBytes(want) {
		p.hints = placement.NewHints(want, now)
	}
}

func (p *Policy) countEjected(now time.Time) {
	p.ejectedEngines = 0
	for _, e := range p.engines {
		if e.failures > 0 && now.Before(e.ejectedUntil) {
			p.ejectedEngines++
		}
	}
}
