package routing

import (
	"math"
	"time"
)

const (
	// preferredUtilisation is the utilisation of preferred engines up to which
	// requests prefer them.
	preferredUtilisation = 0.4
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = 2 * time.Second
)

// preferredSlots counts the slots of the engines of a pool. Engines without a
// CostPenalty are current.
type preferredSlots struct {
	current, reserved, currentReserved, all int
}

// countPreferred counts the slots of each pool.
func (p *Policy) countPreferred() {
	p.preferred = map[string]preferredSlots{}
	for weights, pool := range p.pools {
		var s preferredSlots
		for _, i := range pool.Members {
			e := p.engines[i]
			current := e.ep.CostPenalty == 0
			s.all += e.ep.Slots
			if current {
				s.current += e.ep.Slots
			}
			if e.reserved {
				s.reserved += e.ep.Slots
			}
			if current && e.reserved {
				s.currentReserved += e.ep.Slots
			}
		}
		p.preferred[weights] = s
	}
}

// preference is the group of engines that a request prefers; others cost more.
type preference struct {
	// current prefers engines without a CostPenalty, reserved those reserved for
	// short prompts.
	current, reserved bool
	// yields leaves the engines that are both to requests that prefer both.
	yields bool
}

// preferenceOf returns the preference of a request. A group of engines is preferred
// only by the fraction of all requests that it can carry: without that, a few
// preferred engines would get the requests of all daemons, each of which knows only
// a part of their load.
func (p *Policy) preferenceOf(now time.Time, r *Request) preference {
	if p.knowsPeersAtOnce() {
		return preference{current: true, reserved: true} // costs reflect all loads
	}
	s := p.preferred[r.Weights]
	demand := p.demandSlots(now)
	if s.reserved == 0 {
		return preference{current: s.current == s.all || p.position(r)*demand < preferredUtilisation*float64(s.current)}
	}
	shortFraction := 1.0
	if own := p.ownDemand.at(now); own > 0 {
		shortFraction = p.ownShortDemand.at(now) / own
	}
	currentOthers := float64(s.current - s.currentReserved)
	if r.PromptTokens >= longPromptTokens {
		longFraction := 1 - shortFraction
		return preference{current: s.current == s.all || p.position(r)*demand*longFraction < preferredUtilisation*currentOthers*longFraction}
	}
	at := p.position(r) * demand * shortFraction
	// The groups in the order in which short prompts prefer them, with the slots of
	// each that are there for short prompts.
	for _, group := range []struct {
		preference
		slots float64
	}{
		{preference{current: true, reserved: true}, float64(s.currentReserved)},
		{preference{current: true, yields: true}, currentOthers * shortFraction},
		{preference{reserved: true, yields: true}, float64(s.reserved - s.currentReserved)},
	} {
		if at -= preferredUtilisation * group.slots; at < 0 {
			return group.preference
		}
	}
	return preference{}
}

// yieldPenalty is the additional cost of engines that a preference yields.
const yieldPenalty = unreservedPenalty

// preferencePenalty returns what an engine costs a request more because of its preference.
func (p *Policy) preferencePenalty(e *engine, r *Request, prefers preference) time.Duration {
	penalty := time.Duration(0)
	if prefers.current {
		penalty += e.ep.CostPenalty
	}
	if prefers.reserved {
		penalty += p.segregationPenalty(e, r)
	}
	if prefers.yields && e.reserved && e.ep.CostPenalty == 0 {
		penalty += yieldPenalty
	}
	return penalty
}

// position returns a number from 0 to 1, excluding 1, that is uniform over requests
// and fixed for each.
func (p *Policy) position(r *Request) float64 {
	const positions = 1 << 32
	return float64(p.draw(r, preferenceKey)%positions) / positions
}

// Keys of the draws for a request.
const (
	preferenceKey = 0x5eed_0f_0a1d
	orderKey      = 0x5eed_0f_0a1e
)

// demandSlots estimates how many slots the requests of all daemons take. Daemons
// whose load is not known count as much as the known ones. This one has at least
// the request that it is asked for.
func (p *Policy) demandSlots(now time.Time) float64 {
	known := max(1, p.ownDemand.at(now)) + float64(p.peerRequests)
	return known * float64(max(p.daemonCount, 1+len(p.peers))) / float64(1+len(p.peers))
}

// countDemand records that n more requests like r are in progress.
func (p *Policy) countDemand(now time.Time, r *Request, n int) {
	p.ownDemand.add(now, n)
	if r.PromptTokens < longPromptTokens {
		p.ownShortDemand.add(now, n)
	}
}

// demandAverage is an exponentially weighted moving average of a number of
// requests in progress.
type demandAverage struct {
	value     float64
	count     int
	updatedAt time.Time
}

// add changes the number of requests in progress.
func (d *demandAverage) add(now time.Time, n int) {
	if d.updatedAt.IsZero() {
		d.value = float64(n)
	} else {
		d.value = d.at(now)
	}
	d.count += n
	d.updatedAt = now
}

// at returns the average at a time.
func (d *demandAverage) at(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	keep := math.Exp(-now.Sub(d.updatedAt).Seconds() / demandTimeConstant.Seconds())
	return float64(d.count) + (d.value-float64(d.count))*keep
}
