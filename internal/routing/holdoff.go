package routing

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/admission"
	"github.com/verbenabend/verbenabend/internal/placement"
)

// process identifies one run of an engine's process.
type process struct {
	endpoint  string
	startedAt int64
}

var _ HoldOffKeeper = (*Policy)(nil)

// HoldOff implements HoldOffKeeper. A hold-off survives changes of the list of engines
// and of weights, and applies to no later run of the engine's process.
func (p *Policy) HoldOff(now time.Time, endpoint string, startedAt int64, until time.Time) bool {
	p.setNow(now)
	run := process{endpoint, startedAt}
	previous := p.holdOffs[run]
	if !until.After(now) || !until.After(previous) {
		return false
	}
	p.holdOffs[run] = until
	p.holdOffsEndAt = earlier(p.holdOffsEndAt, until)
	if e := p.byID[endpoint]; e != nil && e.ep.StartedAt == startedAt {
		e.heldOffUntil = until
	}
	p.engineGeneration++
	p.recheckNow, p.checkHeldOff = true, true
	return !now.Before(previous)
}

// HeldOff implements HoldOffKeeper.
func (p *Policy) HeldOff(now time.Time, endpoint string, startedAt int64) bool {
	return now.Before(p.holdOffs[process{endpoint, startedAt}])
}

// endHoldOffs forgets the hold-offs that have ended and lets queued requests have
// their engines.
func (p *Policy) endHoldOffs(now time.Time) {
	if p.holdOffsEndAt.IsZero() || now.Before(p.holdOffsEndAt) {
		return
	}
	p.holdOffsEndAt = time.Time{}
	for run, until := range p.holdOffs {
		if now.Before(until) {
			p.holdOffsEndAt = earlier(p.holdOffsEndAt, until)
		} else {
			delete(p.holdOffs, run)
		}
	}
	p.engineGeneration++
	p.recheckNow = true
}

// maxSpares bounds the engines that stand in for homes that are held off.
const maxSpares = 16

// replaceHeldOff returns the homes of a request, or other engines of its pool while
// hold-offs and rate limits leave it none of its homes.
func (p *Policy) replaceHeldOff(now time.Time, r *Request, pool *placement.Pool, homes []int) []int {
	if len(p.holdOffs) == 0 && p.rateLimits.limited == 0 {
		return homes
	}
	heldOff := false
	for _, i := range homes {
		e := p.engines[i]
		if !p.excluded(now, e, r) {
			return homes
		}
		heldOff = heldOff || now.Before(e.heldOffUntil) || p.lacksAllowance(now, e)
	}
	if !heldOff {
		return homes
	}
	p.sparesBuffer = appendPermuted(p.sparesBuffer[:0], pool.Members, p.draw(r, orderKey))
	spares := slices.DeleteFunc(p.sparesBuffer, func(i int) bool { return p.excluded(now, p.engines[i], r) })
	if len(spares) == 0 {
		return homes
	}
	return spares[:min(len(spares), maxSpares)]
}

// refuseHeldOff refuses the queued requests that hold-offs and rate limits have left without
// an engine.
func (p *Policy) refuseHeldOff(now time.Time) {
	if !p.checkHeldOff {
		return
	}
	p.checkHeldOff = false
	if len(p.holdOffs) == 0 && p.rateLimits.limited == 0 {
		return
	}
	for _, it := range p.queue.Items() {
		if p.refuseIfHeldOff(now, it) {
			p.queue.Remove(it.ID)
		}
	}
}

// refuseIfHeldOff refuses a request if all engines that could run it are held off, or take
// nothing because of their rate limits, for longer than it may wait, and reports whether it did.
func (p *Policy) refuseIfHeldOff(now time.Time, it *admission.Item[*queuedRequest]) bool {
	r := it.Value.request
	pool := p.pool(r)
	if pool == nil || len(p.holdOffs)+p.rateLimits.limited == 0 || len(p.holdOffs)+p.rateLimits.limited+len(r.ExcludedEndpoints) < len(pool.Members) {
		return false // some engine takes requests
	}
	var end time.Time
	perSecond := 0.0
	for _, i := range pool.Members {
		e := p.engines[i]
		excluded := slices.Contains(r.ExcludedEndpoints, e.ep.ID)
		switch {
		case now.Before(e.heldOffUntil):
			end = earlier(end, e.heldOffUntil)
			if !excluded && !e.heldOffUntil.After(it.ExpiresAt) {
				return false
			}
		case excluded:
		case p.lacksAllowance(now, e):
			perSecond += e.limiter.PerSecond(p.rateGroup())
		default:
			return false
		}
	}
	rateLimited := perSecond > 0
	if rateLimited {
		free := now.Add(p.allowanceWait(perSecond))
		if !free.After(it.ExpiresAt) {
			return false
		}
		end = earlier(end, free)
	}
	if end.IsZero() {
		return false
	}
	p.refuseItem(it, end.Sub(now))
	p.actions[len(p.actions)-1].HeldOff, p.actions[len(p.actions)-1].RateLimited = true, rateLimited
	return true
}
