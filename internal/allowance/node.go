package allowance

import (
	"maps"
	"slices"
	"time"
)

// Node is a daemon's part in all organisations' quotas: it owns some of their buckets and holds
// leases of the others. It is not safe for concurrent use.
type Node struct {
	self          string
	bounds        Bounds
	fleet         fleetView
	refreshedAt   time.Time
	limitsKnown   bool
	organisations map[string]*organisation
	lastTicket    uint64
	lastSeq       uint64
	byTicket      map[uint64]*organisation
}

// organisation is one with a limit.
type organisation struct {
	name  string
	limit Limit
	owner string
	// bucket is nil unless this daemon owns it.
	bucket *Bucket
	lease  lease
}

// New returns the Node of a daemon without limits.
func New(self string, b Bounds) *Node {
	if b.Window <= 0 {
		b.Window = defaultWindow
	}
	return &Node{self: self, bounds: b, fleet: fleetView{self: self}, organisations: map[string]*organisation{}, byTicket: map[uint64]*organisation{}}
}

// SetLimits replaces the limits, by organisation. It returns the decisions on requests that wait
// and are no longer limited, and the organisations whose buckets this daemon owns from now on.
func (n *Node) SetLimits(now time.Time, limits map[string]Limit) (results []Result, owned []string) {
	for name, o := range n.organisations {
		if _, limited := limits[name]; limited {
			continue
		}
		delete(n.organisations, name)
		for _, w := range append(o.lease.waiting, o.lease.sent...) {
			results = n.decide(results, Result{w.ticket, Decision{Kind: Admitted}})
		}
	}
	for name, l := range limits {
		o := n.organisations[name]
		if o == nil {
			o = &organisation{name: name, lease: lease{bounds: n.bounds}}
			n.organisations[name] = o
		}
		o.limit = l
		o.lease.setLimit(l)
		if !n.assign(now, o) {
			continue
		}
		owned = append(owned, name)
		if n.limitsKnown && n.fleet.settled {
			o.bucket.fill() // the limit is new, so no daemon has granted the burst
		}
	}
	n.limitsKnown = true
	return results, owned
}

// SetFleet takes what is known of the daemons. It has to be called several times per
// maxRefreshGap. settled is false while this daemon may not know its
// peers. It returns the organisations whose buckets this daemon owns from now on.
func (n *Node) SetFleet(now time.Time, f Fleet, settled bool) (owned []string) {
	frozen := !n.refreshedAt.IsZero() && now.Sub(n.refreshedAt) > maxRefreshGap
	n.refreshedAt = now
	n.fleet.update(now, f, settled)
	for name, o := range n.organisations {
		if frozen {
			o.bucket = nil // another daemon may have owned it meanwhile
		}
		if n.assign(now, o) {
			owned = append(owned, name)
		}
	}
	return owned
}

// assign determines the owner of an organisation's bucket. It reports whether this daemon
// becomes it.
func (n *Node) assign(now time.Time, o *organisation) (owned bool) {
	owner := n.fleet.owner(o.name)
	if owner != o.owner {
		o.owner = owner
		if l := &o.lease; l.asked != nil {
			l.restore(now, l.asked)
		}
		o.lease.silent = false
	}
	switch {
	case owner != n.self:
		o.bucket = nil
	case o.bucket == nil:
		o.bucket, owned = newBucket(now, o.limit, n.bounds, n.fleet.aliveShare()), true
	case o.bucket.limit != o.limit || o.bucket.share != n.fleet.aliveShare():
		o.bucket.setLimit(now, o.limit, n.fleet.aliveShare())
	}
	return owned
}

// Admit decides on a request of an organisation. One that has no limit is admitted.
func (n *Node) Admit(now time.Time, name string, cost float64) Decision {
	o := n.organisations[name]
	if o == nil {
		return Decision{Kind: Admitted}
	}
	cost = amount(cost)
	if o.lease.take(now, cost) {
		return Decision{Kind: Admitted}
	}
	if n.owns(now, o) {
		return n.admitOwn(now, o, cost)
	}
	if o.owner == "" || o.owner == n.self || o.lease.silent {
		return n.fallback(now, o, cost)
	}
	if d, paused := o.lease.paused(now, cost); paused {
		return d
	}
	n.lastTicket++
	n.byTicket[n.lastTicket] = o
	o.lease.waiting = append(o.lease.waiting, waiter{n.lastTicket, cost})
	return Decision{Kind: Waiting, Ticket: n.lastTicket}
}

// owns reports whether this daemon owns the organisation's bucket. One that was frozen may have
// lost it to another that it does not know of.
func (n *Node) owns(now time.Time, o *organisation) bool {
	return o.bucket != nil && now.Sub(n.refreshedAt) <= maxRefreshGap
}

// admitOwn decides on a request by the bucket that this daemon owns.
func (n *Node) admitOwn(now time.Time, o *organisation, cost float64) Decision {
	l := &o.lease
	q := l.report(now)
	q.Waiting = []float64{cost}
	r := o.bucket.Serve(now, n.self, &q)
	l.silent, l.heardAt = false, now
	if r.RetryMs[0] == 0 {
		l.use(now, cost)
		return Decision{Kind: Admitted}
	}
	return Decision{Kind: Refused, RetryAfter: time.Duration(r.RetryMs[0]) * time.Millisecond}
}

func (n *Node) fallback(now time.Time, o *organisation, cost float64) Decision {
	return o.lease.fallback(now, cost, n.fleet.sharing(), n.fleet.position())
}

// Next returns the request to send to an organisation's owner, if one is due.
func (n *Node) Next(now time.Time, name string) (owner string, q Request, due bool) {
	o := n.organisations[name]
	if o == nil || o.owner == "" || o.owner == n.self || !o.lease.due(now) {
		return "", Request{}, false
	}
	n.lastSeq++
	return o.owner, o.lease.request(now, name, n.lastSeq), true
}

// Serve answers a request of another daemon.
func (n *Node) Serve(now time.Time, daemon string, q *Request) Response {
	o := n.organisations[q.Organisation]
	if o == nil || !n.owns(now, o) {
		return Response{Seq: q.Seq, Status: StatusNotOwner}
	}
	return o.bucket.Serve(now, daemon, q)
}

// Receive applies a response and returns the decisions on requests that waited for it.
func (n *Node) Receive(now time.Time, name, owner string, r *Response) (results []Result) {
	o := n.organisations[name]
	if o == nil || o.owner != owner {
		return nil
	}
	decisions, ok := o.lease.receive(now, r)
	for _, d := range decisions {
		results = n.decide(results, d)
	}
	if !ok {
		results = n.giveUp(now, o, results)
	}
	return results
}

// Lost notes that the connection to an owner failed, or can't be made. Requests that wait for
// it are decided by this daemon's share.
func (n *Node) Lost(now time.Time, owner string) (results []Result) {
	for _, o := range n.organisations {
		if o.owner == owner && o.lease.asked != nil {
			o.lease.restore(now, o.lease.asked)
			results = n.giveUp(now, o, results)
		}
	}
	return results
}

// giveUp decides on all requests that wait for the owner.
func (n *Node) giveUp(now time.Time, o *organisation, results []Result) []Result {
	waiting := o.lease.waiting
	o.lease.waiting = nil
	for _, w := range waiting {
		results = n.decide(results, Result{w.ticket, n.fallback(now, o, w.cost)})
	}
	o.lease.silent = true
	return results
}

// Expire decides on a request that has waited for ResponseTimeout. ok is false if it does not
// wait any longer.
func (n *Node) Expire(now time.Time, ticket uint64) (d Decision, ok bool) {
	o := n.byTicket[ticket]
	if o == nil {
		return Decision{}, false
	}
	delete(n.byTicket, ticket)
	w, ok := o.lease.remove(ticket)
	if !ok {
		return Decision{}, false
	}
	if n.owns(now, o) { // since a short while ago
		return n.admitOwn(now, o, w.cost), true
	}
	d = n.fallback(now, o, w.cost)
	o.lease.silent = true
	return d, true
}

func (n *Node) decide(results []Result, r Result) []Result {
	if r.Ticket == 0 || n.byTicket[r.Ticket] == nil {
		return results
	}
	delete(n.byTicket, r.Ticket)
	return append(results, r)
}

// Charge counts a further attempt of an admitted request, which is never refused.
func (n *Node) Charge(now time.Time, name string, cost float64) {
	if o := n.organisations[name]; o != nil {
		o.lease.charge(now, amount(cost))
	}
}

// Refund gives back what was charged for an attempt that reached no upstream.
func (n *Node) Refund(now time.Time, name string, cost float64) {
	if o := n.organisations[name]; o != nil {
		o.lease.refund(now, amount(cost))
	}
}

// Organisations returns the names of the limited organisations.
func (n *Node) Organisations() []string { return slices.Sorted(maps.Keys(n.organisations)) }

// Held returns what this daemon may spend of an organisation's quota without asking, and the
// owner of its bucket.
func (n *Node) Held(now time.Time, name string) (amount float64, owner string) {
	o := n.organisations[name]
	if o == nil {
		return 0, ""
	}
	o.lease.expire(now)
	amount = o.lease.balance
	if o.bucket != nil {
		level, _ := o.bucket.Level(now)
		amount += max(0, level)
	}
	return amount, o.owner
}

// Silent reports whether the owner of an organisation's bucket does not answer.
func (n *Node) Silent(name string) bool {
	o := n.organisations[name]
	return o != nil && o.bucket == nil && (o.lease.silent || o.owner == "")
}

// EstimateAge returns the greatest time since the last response of an owner, among the
// organisations that used their quota within activeTime.
func (n *Node) EstimateAge(now time.Time) (age time.Duration) {
	for _, o := range n.organisations {
		if o.bucket == nil && !o.lease.usage.at.IsZero() && now.Sub(o.lease.usage.at) < activeTime {
			from := o.lease.heardAt
			if from.IsZero() {
				from = n.refreshedAt
			}
			age = max(age, now.Sub(from))
		}
	}
	return age
}
