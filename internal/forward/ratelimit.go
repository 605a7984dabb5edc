package forward

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/ratelimit"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// errRateLimited is the error of a request that was not sent because its upstream stated a
// rate limit meanwhile.
var errRateLimited = errors.New("the upstream takes no more requests at present")

// malformedLogInterval is the minimum interval between lines about malformed rate limits of a
// service.
const malformedLogInterval = 10 * time.Second

// SetRateLimit records what an upstream stated to this daemon or to another. changed reports
// whether the rate is another now.
func (s *Services) SetRateLimit(u *fleet.Registration, limit routing.RateLimit) (changed bool) {
	return s.get(u.Service).setRateLimit(u, limit)
}

// RateLimit returns what is known of an upstream's rate; known is false if it never stated a
// limit.
func (s *Services) RateLimit(u *fleet.Registration) (limit routing.RateLimit, known bool) {
	s.get(u.Service).limitRates(func(k routing.RateLimitKeeper, _ time.Time) {
		limit, known = k.RateLimit(u.ID, u.StartedAt)
	})
	return limit, known
}

// RateLimits returns how many upstreams' rates are limited.
func (s *Services) RateLimits() int {
	n := 0
	for _, svc := range s.all() {
		svc.limitRates(func(k routing.RateLimitKeeper, _ time.Time) { n += k.RateLimits() })
	}
	return n
}

// SetDaemons sets the names of all daemons that share the upstreams, and the time on a clock
// that they share; timeKnown is false without one.
func (s *Services) SetDaemons(self string, daemons []string, shared time.Duration, timeKnown bool) {
	s.mu.Lock()
	s.shares = daemonShares{self, daemons, shared, time.Now(), timeKnown}
	s.mu.Unlock()
	for _, svc := range s.all() {
		svc.setShares(s.daemonShares())
	}
}

// daemonShares is what SetDaemons was told last.
type daemonShares struct {
	self      string
	daemons   []string
	shared    time.Duration
	at        time.Time
	timeKnown bool
}

func (s *Services) daemonShares() daemonShares {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shares
}

func (svc *service) setShares(x daemonShares) {
	svc.limitRates(func(k routing.RateLimitKeeper, now time.Time) {
		k.SetDaemons(now, x.self, x.daemons)
		if x.timeKnown {
			k.SetSharedTime(x.at, x.shared)
		}
	})
}

func (svc *service) limitRates(fn func(routing.RateLimitKeeper, time.Time)) {
	svc.runner.Do(func(sched routing.Scheduler, now time.Time) {
		if k, ok := sched.(routing.RateLimitKeeper); ok {
			fn(k, now)
		}
	})
}

func (svc *service) setRateLimit(u *fleet.Registration, limit routing.RateLimit) (changed bool) {
	if limit.PerSecond == 0 && !svc.rateLimited.Load() {
		return false // none has ever been stated
	}
	svc.limitRates(func(k routing.RateLimitKeeper, now time.Time) {
		changed = k.SetRateLimit(now, u.ID, u.StartedAt, limit)
	})
	if limit.PerSecond > 0 {
		svc.rateLimited.Store(true)
	}
	return changed
}

// admits reports whether the rate limit of its upstream lets an attempt be sent.
func (svc *service) admits(id string, u *fleet.Registration) (ok bool) {
	if !svc.rateLimited.Load() {
		return true
	}
	ok = true
	svc.limitRates(func(k routing.RateLimitKeeper, now time.Time) { ok = k.Admit(now, id, u.ID) })
	return ok
}

// recordRateLimit applies the rate limit that a response states, or that it states none.
func (t *transfer) recordRateLimit(s *service, u *fleet.Registration, metadata ResponseMetadata) {
	limit := routing.RateLimit{PerSecond: metadata.RateLimit, At: time.Now()}
	switch {
	case metadata.Misdirected:
		return
	case metadata.MalformedRateLimit != "":
		t.forwarder.OnMalformedRateLimit()
		if last, now := s.malformedLoggedAt.Load(), limit.At.UnixNano(); now-last >= int64(malformedLogInterval) && s.malformedLoggedAt.CompareAndSwap(last, now) {
			t.forwarder.Log.Emit(eventlog.UpstreamRateMalformed, eventlog.Fields{Service: s.name, Upstream: u.ID, RequestID: t.metadata.ID, Detail: metadata.MalformedRateLimit})
		}
		if limit.PerSecond == 0 {
			return // neither a limit nor the absence of one
		}
	case limit.PerSecond == 0:
		limit.At = t.sentAt
	}
	if limit.PerSecond > 0 {
		limit.PerSecond = ratelimit.RoundRate(limit.PerSecond)
	}
	if s.setRateLimit(u, limit) {
		t.forwarder.Log.Emit(eventlog.UpstreamRateLimited, eventlog.Fields{Service: s.name, Upstream: u.ID, RequestID: t.metadata.ID, Detail: DescribeRateLimit(limit)})
	}
	if limit.PerSecond > 0 || s.rateLimited.Load() {
		t.forwarder.OnRateLimit(u)
	}
}

// DescribeRateLimit returns the detail of a log line about a rate limit.
func DescribeRateLimit(l routing.RateLimit) string {
	if l.PerSecond == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%g requests a second from all daemons", l.PerSecond)
}
