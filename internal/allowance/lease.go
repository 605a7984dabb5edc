package allowance

import (
	"math"
	"slices"
	"time"
)

// Kind is the kind of a Decision.
type Kind uint8

// Kinds of decisions.
const (
	Admitted Kind = iota
	Refused
	// Waiting requests are decided by the owner's response, or by Node.Expire.
	Waiting
)

// Decision tells whether a request is within its organisation's quota.
type Decision struct {
	Kind Kind
	// Ticket identifies a request that waits.
	Ticket uint64
	// RetryAfter is set for a refused request.
	RetryAfter time.Duration
}

// Result is the decision on a request that waited.
type Result struct {
	Ticket   uint64
	Decision Decision
}

type waiter struct {
	ticket uint64
	cost   float64
}

// lease is what a daemon holds of an organisation's quota.
type lease struct {
	limit  Limit
	bounds Bounds

	balance float64
	granted float64 // balance after the last grant
	expires time.Time
	// usage is what was admitted, mean the mean cost, largest the largest recent cost.
	usage         meter
	mean, largest float64

	waiting []waiter
	// asked is the request in flight; nil if there is none. sent are the waiters in it.
	asked   *Request
	askedAt time.Time
	sent    []waiter
	// After a refusal requests that cost refusedCost or more are refused until pausedUntil,
	// with retry times from retryFrom to retryTo. renewAt is when the lease may be renewed.
	refusedCost          float64
	pausedUntil, renewAt time.Time
	retryFrom, retryTo   time.Time
	refusals             uint64
	// returned and spent are reported with the next request; spent has the amounts of this
	// period and of the one before.
	returned float64
	spent    [2]float64
	spentAt  time.Time

	// silent is set while the owner does not answer.
	silent  bool
	heardAt time.Time
	// own is the level of this daemon's share of the limit, in use until ownAt.
	own   float64
	ownAt time.Time
}

// setLimit replaces the limit; the lease shrinks with the rate.
func (l *lease) setLimit(limit Limit) {
	if limit == l.limit {
		return
	}
	if l.limit.PerSecond > 0 {
		if factor := limit.PerSecond / l.limit.PerSecond; factor < 1 {
			l.balance *= factor
			if l.own < 0 {
				l.own *= factor
			}
		} else {
			l.pausedUntil = time.Time{}
		}
	}
	l.limit = limit
}

// expire ends a lease whose time has passed.
func (l *lease) expire(now time.Time) {
	if l.balance > 0 && !now.Before(l.expires) {
		l.returned += l.balance
		l.balance, l.granted = 0, 0
	}
}

// use counts an admitted request.
func (l *lease) use(now time.Time, cost float64) {
	l.usage.add(now, cost)
	if l.mean == 0 {
		l.mean = cost
	}
	l.mean += (cost - l.mean) * costMemory
}

// take admits a request from the lease.
func (l *lease) take(now time.Time, cost float64) bool {
	l.expire(now)
	l.largest = max(cost, l.largest*(1-costMemory/16))
	if cost > l.balance {
		return false
	}
	l.balance -= cost
	l.use(now, cost)
	return true
}

// paused refuses a request if one that costs no more was refused just now.
func (l *lease) paused(now time.Time, cost float64) (Decision, bool) {
	if cost < l.refusedCost || !now.Before(l.pausedUntil) {
		return Decision{}, false
	}
	retry := l.retryFrom.Sub(now) + time.Duration(l.spreadPart()*float64(l.retryTo.Sub(l.retryFrom)))
	return Decision{Kind: Refused, RetryAfter: max(time.Millisecond, retry)}, true
}

// spreadPart returns a number from 0 to 1. Those of consecutive refusals are spread evenly.
func (l *lease) spreadPart() float64 {
	const goldenRatio = 0.6180339887498949
	l.refusals++
	_, part := math.Modf(float64(l.refusals) * goldenRatio)
	return part
}

// spend counts usage without the owner.
func (l *lease) spend(now time.Time, cost float64) {
	l.ageSpent(now)
	l.spent[0] += cost
}

func (l *lease) ageSpent(now time.Time) {
	for range 2 {
		if now.Sub(l.spentAt) < spentPeriod {
			return
		}
		l.spent = [2]float64{0, l.spent[0]}
		l.spentAt = l.spentAt.Add(spentPeriod)
	}
	l.spentAt = now
}

// fallback decides by this daemon's own share: 1 of known daemons, at a position among them.
func (l *lease) fallback(now time.Time, cost float64, known int, position float64) Decision {
	rate := l.limit.PerSecond / float64(known)
	if now.After(l.ownAt) {
		if !l.ownAt.IsZero() {
			l.own = min(0, l.own+rate*now.Sub(l.ownAt).Seconds())
		}
		if l.ownAt.IsZero() || now.Sub(l.ownAt) > shareMemory && !l.silentSince() {
			// Each daemon may overdraw its share by one request. Their debts begin in steps,
			// so that together they do not exceed the quota at once.
			if float64(known)*l.largest > l.bounds.Slack/2 {
				l.own = min(l.own, -l.largest*position)
			}
		}
		l.ownAt = now
	}
	if l.own < 0 {
		retry := min(seconds(-l.own/rate), maxShareRetryAfter)
		return Decision{Kind: Refused, RetryAfter: max(time.Millisecond, retry/2+time.Duration(l.spreadPart()*float64(retry)))}
	}
	l.own -= cost
	l.use(now, cost)
	l.spend(now, cost)
	return Decision{Kind: Admitted}
}

// silentSince reports whether the owner has been silent since the share was last used.
func (l *lease) silentSince() bool { return l.silent && l.heardAt.Before(l.ownAt) }

// due reports whether a request to the owner is due.
func (l *lease) due(now time.Time) bool {
	if l.asked != nil {
		return false
	}
	if l.silent {
		return now.Sub(l.askedAt) >= probeInterval
	}
	if len(l.waiting) > 0 {
		return true
	}
	if l.spent[0]+l.spent[1] > 0 && now.Sub(l.askedAt) >= reportInterval {
		return true
	}
	return l.granted > 0 && l.balance < l.granted/2 && !now.Before(l.renewAt)
}

// report returns a request without those that wait. What it reports is not reported again.
func (l *lease) report(now time.Time) Request {
	l.expire(now)
	l.ageSpent(now)
	q := Request{Held: l.balance, Returned: l.returned, Spent: l.spent[0] + l.spent[1], Usage: l.usage.value(now)}
	l.returned, l.spent = 0, [2]float64{}
	return q
}

// request returns the next request to the owner and notes that it is sent.
func (l *lease) request(now time.Time, organisation string, seq uint64) Request {
	q := l.report(now)
	q.Seq, q.Organisation, q.Mean = seq, organisation, l.mean
	n := min(len(l.waiting), maxWaiting)
	l.sent = l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	for _, w := range l.sent {
		q.Waiting = append(q.Waiting, w.cost)
	}
	l.asked, l.askedAt = &q, now
	return q
}

// receive applies the owner's response to the request in flight and returns the decisions on
// those that waited. ok is false if the responder is not the owner.
func (l *lease) receive(now time.Time, r *Response) (results []Result, ok bool) {
	if l.asked == nil || r.Seq != l.asked.Seq {
		return nil, true
	}
	asked := l.asked
	l.asked = nil
	if r.Status != StatusOwner || len(r.RetryMs) != len(asked.Waiting) {
		l.restore(now, asked)
		return nil, false
	}
	l.silent, l.heardAt = false, now
	l.expire(now)
	refused := -1
	for i, w := range l.sent {
		switch retry := time.Duration(max(0, r.RetryMs[i])) * time.Millisecond; {
		case w.ticket == 0 && retry == 0:
			l.returned += w.cost // decided without the owner meanwhile
		case w.ticket == 0:
		case retry == 0:
			l.use(now, w.cost)
			results = append(results, Result{w.ticket, Decision{Kind: Admitted}})
		default:
			results = append(results, Result{w.ticket, Decision{Kind: Refused, RetryAfter: min(retry, maxRetryAfter)}})
			if refused < 0 || w.cost < l.sent[refused].cost {
				refused = i
			}
		}
	}
	pause := min(time.Duration(max(0, r.PauseMs))*time.Millisecond, time.Second)
	l.renewAt = now.Add(pause)
	if refused >= 0 {
		l.refusedCost, l.pausedUntil = l.sent[refused].cost, now.Add(pause)
		from := min(time.Duration(max(0, r.ReadyMs))*time.Millisecond, maxRetryAfter)
		spread := min(time.Duration(max(0, r.SpreadMs))*time.Millisecond, maxRetryAfter)
		l.retryFrom, l.retryTo = now.Add(from), now.Add(max(from, spread))
	}
	l.sent = nil
	if granted := amount(r.Granted); granted > 0 {
		l.balance += granted
		l.granted = l.balance
		l.expires = l.askedAt.Add(min(time.Duration(r.TTLMs)*time.Millisecond, easyLeaseHorizon))
	}
	return results, true
}

// restore takes back a request without a response. What it reported as spent is reported
// again, what it returned may have been credited and is not.
func (l *lease) restore(now time.Time, asked *Request) {
	l.waiting = append(slices.DeleteFunc(slices.Clone(l.sent), func(w waiter) bool { return w.ticket == 0 }), l.waiting...)
	l.sent, l.asked = nil, nil
	l.spend(now, asked.Spent)
}

// remove removes a request that waits and returns it.
func (l *lease) remove(ticket uint64) (w waiter, found bool) {
	if i := slices.IndexFunc(l.waiting, func(w waiter) bool { return w.ticket == ticket }); i >= 0 {
		w = l.waiting[i]
		l.waiting = slices.Delete(slices.Clone(l.waiting), i, i+1)
		return w, true
	}
	for i := range l.sent {
		if w = l.sent[i]; w.ticket == ticket {
			l.sent[i].ticket = 0
			return w, true
		}
	}
	return waiter{}, false
}

// charge counts a further attempt of an admitted request.
func (l *lease) charge(now time.Time, cost float64) {
	l.expire(now)
	if l.balance >= cost {
		l.balance -= cost
		return
	}
	l.spend(now, cost)
}

// refund gives back what a request did not use.
func (l *lease) refund(now time.Time, cost float64) {
	l.expire(now)
	l.balance += cost
	if end := now.Add(leaseHorizon); l.expires.Before(end) {
		l.expires = end
	}
}
