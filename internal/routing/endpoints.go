package routing

import (
	"math/bits"
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
)

// SetEndpoints implements Scheduler.
func (p *Policy) SetEndpoints(now time.Time, endpoints []Endpoint) {
	p.tick(now)
	old := p.byID
	p.byID = make(map[string]*engine, len(endpoints))
	p.engines = p.engines[:0]
	p.pools = map[string]*placement.Pool{}
	p.all = placement.Pool{}
	p.slots = 0
	for _, ep := range endpoints {
		e := old[ep.ID]
		if e == nil || e.ep.Incarnation != ep.Incarnation {
			e = newEngine(ep)
		}
		e.ep = ep
		e.present = true
		p.slots += ep.Slots
		p.byID[ep.ID] = e
		p.addToPools(len(p.engines), e)
		p.engines = append(p.engines, e)
	}
	p.keepBusy(old)
	p.sizeTables(now)
	p.countResting(now)
	p.reserve()
	p.sumPeers()
	p.generation++
	p.dirty = true
}

// keepBusy keeps engines that are gone but still run the daemon's attempts,
// so that they are known again if they come back.
func (p *Policy) keepBusy(old map[string]*engine) {
	for id, e := range old {
		if p.byID[id] == nil && e.own > 0 {
			e.present = false
			p.byID[id] = e
		}
	}
}

func (p *Policy) addToPools(index int, e *engine) {
	addToPool(&p.all, index, e)
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

// sizeTables makes the tables on first use and grows the hints with the fleet.
func (p *Policy) sizeTables(now time.Time) {
	if p.rates == nil {
		p.started = now
		p.rates = placement.NewRates(rateEntries, now)
	}
	want := min(max(hintEntriesMin, len(p.engines)*hintsPerEngine), hintEntriesMax)
	want = 1 << bits.Len(uint(want-1))
	if p.hints == nil || p.hints.Bytes() < placement.HintBytes(want) {
		p.hints = placement.NewHints(want, now)
	}
}

func (p *Policy) countResting(now time.Time) {
	p.resting = 0
	for _, e := range p.engines {
		if e.failures > 0 && now.Before(e.ejected) {
			p.resting++
		}
	}
}
