package allowance

import (
	"math"
	"time"
)

// Bucket is an organisation's token bucket at its owner. Its level and all leases together
// never exceed the burst plus Bounds.headroom, so that any window of time sees at most that,
// the refill and one request.
type Bucket struct {
	limit  Limit
	bounds Bounds
	// share is the part of the limit that belongs to the daemons known to be alive.
	share float64
	level float64
	at    time.Time
	// startedAt is when it was empty, filled is set once it was full. Until then, for a window
	// at most, a request is admitted whatever its size while the level is not negative: the
	// daemon that owned the bucket before may have granted the burst, but the organisation
	// need not be over its quota.
	startedAt time.Time
	filled    bool
	holders   map[string]*holder
	heldTotal float64
	active    int // daemons that asked within activeTime
	asks      meter
	expiredAt time.Time
	nextRetry time.Time
	// usage is the usage per second of the daemons in holders.
	usage float64
}

// holder is a daemon that asked a short while ago or holds a lease.
type holder struct {
	held    float64
	usage   float64
	expires time.Time
	askedAt time.Time
}

// newBucket returns an empty bucket.
func newBucket(now time.Time, l Limit, b Bounds, share float64) *Bucket {
	return &Bucket{limit: l, bounds: b, share: share, at: now, startedAt: now, holders: map[string]*holder{}}
}

func (b *Bucket) rate() float64 { return b.limit.PerSecond * b.share }

// capacity is the greatest level and lease total.
func (b *Bucket) capacity() float64 { return (b.limit.Burst + b.bounds.headroom(b.limit)) * b.share }

// advance refills the bucket until now.
func (b *Bucket) advance(now time.Time) {
	if now.Sub(b.expiredAt) >= expiryInterval {
		b.expire(now)
	}
	if now.After(b.at) {
		b.level += b.rate() * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.clamp()
}

func (b *Bucket) clamp() {
	if limit := b.capacity() - b.heldTotal; b.level >= limit {
		b.level, b.filled = limit, true
	}
}

// fill fills the bucket.
func (b *Bucket) fill() {
	b.level = b.capacity()
	b.clamp()
}

// expire forgets leases whose time has passed.
func (b *Bucket) expire(now time.Time) {
	b.expiredAt, b.heldTotal, b.usage, b.active = now, 0, 0, 0
	for name, h := range b.holders {
		if !now.Before(h.expires) {
			h.held = 0
		}
		if now.Sub(h.askedAt) < activeTime {
			b.active++
		} else if h.held == 0 {
			delete(b.holders, name)
			continue
		}
		b.heldTotal += h.held
		b.usage += h.usage
	}
}

// setLimit replaces the limit and the share. Leases and debts shrink with the rate.
func (b *Bucket) setLimit(now time.Time, l Limit, share float64) {
	b.advance(now)
	if factor := l.PerSecond / b.limit.PerSecond; factor < 1 {
		for _, h := range b.holders {
			h.held *= factor
		}
		b.heldTotal *= factor
		if b.level < 0 {
			b.level *= factor
		}
		b.nextRetry = time.Time{}
	}
	b.limit, b.share = l, share
	b.clamp()
}

// need returns the level at which a request is admitted.
func (b *Bucket) need(cost float64) float64 {
	if !b.filled && b.at.Sub(b.startedAt) < b.bounds.Window {
		return 0
	}
	return max(0, min(cost, b.limit.Burst*b.share, b.capacity()-b.heldTotal))
}

// Serve answers a daemon's request.
func (b *Bucket) Serve(now time.Time, daemon string, q *Request) Response {
	b.advance(now)
	h := b.holders[daemon]
	if h == nil {
		h = &holder{}
		b.holders[daemon] = h
		b.active++
	}
	h.askedAt = now
	usage := amount(q.Usage)
	b.usage += usage - h.usage
	h.usage = usage
	held := amount(q.Held)
	b.heldTotal += held - h.held
	if h.held = held; held > 0 && !now.Before(h.expires) {
		h.expires = now.Add(leaseTTLFactor * leaseHorizon)
	}
	b.level += amount(q.Returned)
	if spent := amount(q.Spent); spent > 0 {
		b.level = max(b.level-spent, min(b.level, -b.rate()*b.bounds.Window.Seconds()))
	}
	b.clamp()
	pause := minPause
	if b.asks.add(now, 1); b.asks.value(now) > busyAsks {
		pause = max(minPause, time.Duration(b.active)*pausePerDaemon)
	}
	r := Response{Seq: q.Seq, Status: StatusOwner, PauseMs: pause.Milliseconds()}
	for _, cost := range q.Waiting[:min(len(q.Waiting), maxWaiting)] {
		cost = amount(cost)
		if b.level >= b.need(cost) {
			b.level -= cost
			r.RetryMs = append(r.RetryMs, 0)
			continue
		}
		ready, retry := b.retryAfter(now, cost)
		r.RetryMs = append(r.RetryMs, max(1, retry.Milliseconds()))
		r.ReadyMs, r.SpreadMs = ready.Milliseconds(), retry.Milliseconds()
	}
	b.grant(now, h, q, &r)
	return r
}

// grant adds to a daemon's lease.
func (b *Bucket) grant(now time.Time, h *holder, q *Request, r *Response) {
	horizon, ttl := leaseHorizon, leaseTTLFactor*leaseHorizon
	available, total := b.level/4, leaseHorizon.Seconds()*b.rate()
	if b.level >= b.capacity()/2 && b.usage < b.rate()/2 {
		horizon, ttl = easyLeaseHorizon, easyLeaseHorizon
		total = b.capacity() / 3
		available = min((b.level-b.capacity()/2)/2, total/float64(max(1, b.active)))
	}
	mean := amount(q.Mean)
	if mean == 0 || h.usage*horizon.Seconds() < minLeaseRequests*mean {
		return
	}
	granted := min(h.usage*horizon.Seconds()-h.held, available, total-b.heldTotal)
	if granted < mean {
		return
	}
	b.level -= granted
	b.heldTotal += granted
	h.held += granted
	h.expires = now.Add(ttl)
	r.Granted, r.TTLMs = granted, ttl.Milliseconds()
}

// retryAfter returns the time after which the level admits a refused request, and the time after
// which it is to return: consecutive ones are spaced at the organisation's rate, over half a
// window, then from the start again.
func (b *Bucket) retryAfter(now time.Time, cost float64) (ready, retry time.Duration) {
	rate := b.rate()
	ready = seconds((b.need(cost) - b.level) / rate)
	retry = ready
	if next := b.nextRetry.Sub(now); next > ready && next < ready+b.bounds.Window/2 {
		retry = next
	}
	b.nextRetry = now.Add(retry + seconds(cost/rate))
	return ready, min(retry, maxRetryAfter)
}

// Level returns the level, which is negative after a request larger than the bucket, and the
// total of the leases.
func (b *Bucket) Level(now time.Time) (level, held float64) {
	b.advance(now)
	return math.Round(b.level), math.Round(b.heldTotal)
}
