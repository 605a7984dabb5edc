package routing

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/ratelimit"
)

const (
	// idleWeight is the weight of a daemon without requests in the shares of a rate; each
	// request that it runs adds 1.
	idleWeight = 0.25
	// shareInterval is the minimum interval between updates of the shares.
	shareInterval = 100 * time.Millisecond
	// rateLimitRetention is how long the limit of an engine that is not listed is kept. It
	// may come back after a failure of the store.
	rateLimitRetention = 10 * time.Minute
)

// rateLimits holds the rates that engines state, and this daemon's part of them.
type rateLimits struct {
	byProcess map[process]*rateState
	// limited is how many of them are limits.
	limited int
	// group is the daemons among which the rates are divided, as of updatedAt.
	group     ratelimit.Group
	updatedAt time.Time
	names     []string
	// ownRequests is the number of requests that peers were told last.
	ownRequests int
	// sharedAt is when the shared clock told shared.
	sharedAt time.Time
	shared   time.Duration
}

// rateState is what is known of one run of an engine's process.
type rateState struct {
	limit RateLimit
	// limiter is nil while there is no limit.
	limiter *ratelimit.Limiter
}

var _ RateLimitKeeper = (*Policy)(nil)

// now returns a time on the shared clock.
func (l *rateLimits) now(now time.Time) time.Duration {
	if l.sharedAt.IsZero() {
		return time.Duration(now.UnixNano())
	}
	return l.shared + now.Sub(l.sharedAt)
}

// SetSharedTime implements RateLimitKeeper.
func (p *Policy) SetSharedTime(now time.Time, shared time.Duration) {
	p.setNow(now)
	p.rateLimits.sharedAt, p.rateLimits.shared = now, shared
}

// SetDaemons implements RateLimitKeeper.
func (p *Policy) SetDaemons(now time.Time, self string, daemons []string) {
	p.setNow(now)
	p.rateLimits.group.Self, p.rateLimits.names, p.rateLimits.updatedAt = prefix.NodeHash(self), slices.Clone(daemons), time.Time{}
}

// SetRateLimit implements RateLimitKeeper. A limit survives changes of the list of engines and
// of weights, and applies to no later run of the engine's process.
func (p *Policy) SetRateLimit(now time.Time, endpoint string, startedAt int64, limit RateLimit) (changed bool) {
	p.setNow(now)
	run := process{endpoint, startedAt}
	state := p.rateLimits.byProcess[run]
	switch {
	case state == nil && limit.PerSecond <= 0:
		return false
	case state == nil:
		state = &rateState{}
		p.rateLimits.byProcess[run] = state
	case !limit.At.After(state.limit.At):
		return false
	}
	changed = state.limit.PerSecond != limit.PerSecond
	state.limit = limit
	if !changed {
		return false
	}
	state.limiter = nil
	if limit.PerSecond > 0 {
		state.limiter = ratelimit.New(prefix.NodeHash(endpoint), limit.PerSecond, p.rateLimits.now(now))
	}
	p.applyRateLimits()
	p.recheckNow, p.checkHeldOff = true, true
	return true
}

// RateLimit implements RateLimitKeeper.
func (p *Policy) RateLimit(endpoint string, startedAt int64) (limit RateLimit, known bool) {
	state := p.rateLimits.byProcess[process{endpoint, startedAt}]
	if state == nil {
		return RateLimit{}, false
	}
	return state.limit, true
}

// RateLimits implements RateLimitKeeper.
func (p *Policy) RateLimits() int { return p.rateLimits.limited }

// applyRateLimits sets the limiters of the present engines, and forgets the limits of engines
// that were started again or are gone for long.
func (p *Policy) applyRateLimits() {
	for run, state := range p.rateLimits.byProcess {
		e := p.byID[run.endpoint]
		if e != nil && e.present && e.ep.StartedAt != run.startedAt || (e == nil || !e.present) && p.now.Sub(state.limit.At) > rateLimitRetention {
			delete(p.rateLimits.byProcess, run)
		}
	}
	p.rateLimits.limited = 0
	for _, e := range p.engines {
		e.limiter = nil
		if state := p.rateLimits.byProcess[process{e.ep.ID, e.ep.StartedAt}]; state != nil && state.limiter != nil {
			e.limiter = state.limiter
			p.rateLimits.limited++
		}
	}
	p.engineGeneration++
}

// rateGroup returns the daemons among which rates are divided. Their weights follow the
// requests that they run, as long as all know each other's at once.
func (p *Policy) rateGroup() *ratelimit.Group {
	l := &p.rateLimits
	if !l.updatedAt.IsZero() && p.now.Sub(l.updatedAt) < shareInterval {
		return &l.group
	}
	l.updatedAt = p.now
	l.group.Members = l.group.Members[:0]
	weighted := p.knowsPeersAtOnce()
	for _, name := range l.names {
		m := ratelimit.Member{Hash: prefix.NodeHash(name), Weight: 1}
		if weighted {
			m.Weight = idleWeight
			if m.Hash == l.group.Self {
				m.Weight += float64(l.ownRequests)
			} else if state := p.peers[name]; state != nil {
				m.Weight += float64(state.requests())
			}
		}
		l.group.Members = append(l.group.Members, m)
	}
	return &l.group
}

// requests returns how many requests a peer runs.
func (s *peerState) requests() int {
	n := 0
	for i := range s.loads {
		n += s.loads[i].Requests
	}
	return n
}

// lacksAllowance reports whether a rate limit lets this daemon send the engine no request now.
func (p *Policy) lacksAllowance(now time.Time, e *engine) bool {
	if e.limiter == nil {
		return false
	}
	e.limiter.Advance(p.rateLimits.now(now), p.rateGroup())
	return !e.limiter.Allows()
}

// Admit implements RateLimitKeeper.
func (p *Policy) Admit(now time.Time, id, endpoint string) bool {
	p.setNow(now)
	a := p.attempt(id, endpoint)
	if a == nil || a.admitted || a.engine.limiter == nil {
		return true
	}
	if p.lacksAllowance(now, a.engine) {
		return false
	}
	a.admitted = a.engine.limiter.Take()
	return a.admitted
}

// allowanceWait predicts how long a request waits for an allowance, of a rate in requests per
// second, after those that wait already.
func (p *Policy) allowanceWait(perSecond float64) time.Duration {
	return time.Duration(float64(p.queue.Len()+1) / perSecond * float64(time.Second))
}
