package routing

import (
	"math"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/placement"
)

const (
	// priorAtStart and priorLater are the presumed shares of a prompt's shared
	// levels that the first home holds when no hint tells: a daemon that has
	// just started knows nothing, later one it has most hints.
	priorAtStart = 0.9
	priorLater   = 0.2
	// priorFade is the time constant from the one to the other.
	priorFade = 3 * time.Second
	// slowIgnored is the slowdown taken as chance.
	slowIgnored = 1.3
	// deferrablePart is the part of an engine's slots up to which deferrable work starts.
	deferrablePart = 0.7
	// maxMarks bounds the levels of a prompt that hints are kept of.
	maxMarks = 8
)

// demand is what a request is expected to take.
type demand struct {
	organisation uint64
	// stay is how long it holds a slot, in seconds.
	stay float64
}

func (p *Policy) demand(now time.Time, r *Request) demand {
	return demand{
		organisation: p.organisations.arrived(now, r.Organisation, r.Share),
		stay:         p.learned.outputTokens(r) * p.learned.pace.or(paceStart.Seconds()),
	}
}

// choice is the outcome of choosing among a request's homes.
type choice struct {
	engine    *engine // nil when no home has room
	cost      float64
	uncached  float64 // tokens
	source    string  // that the engine fetches from, empty for none
	rank      int
	homes     int
	held      float64 // tokens
	candidate placement.Candidate
	// busyCost is the least cost of a home without room, infinite when there is none.
	busyCost float64
	// any reports whether some home may run the request at all.
	any bool
}

// choose returns the best home for a request. exclude, if not nil, is left out.
func (p *Policy) choose(now time.Time, r *Request, homes []int, d *demand, exclude *engine) choice {
	price := p.price(r)
	p.findHolders(now, r)
	over := p.rules.headroom && p.organisations.over(d.organisation, p.slots)
	out := choice{cost: math.Inf(1), busyCost: math.Inf(1)}
	full := p.rules.loadPrice && p.load() >= fullLoad
	for rank, i := range homes {
		if full && rank >= fullHomes && out.any {
			break
		}
		e := p.engines[i]
		if e == exclude || p.barred(now, e, r) {
			continue
		}
		out.any = true
		backlog := p.backlog(now, e)
		e.prefill.observe(now, backlog >= computingTokens)
		n := p.need(now, e, r, rank, p.holder(e.version(r.Weights)))
		c := p.candidate(now, e, backlog, n.compute-n.presumed)
		c.Transfer = n.transfer
		c.Recompute += time.Duration(copyShare * float64(p.speed.Tokens(n.copied)))
		room := p.room(e, r) && !p.crowded(e, r, backlog, n.compute) && !(over && p.taken(e) >= int(overSharePart*float64(e.ep.Slots)))
		c.Slot = p.slotWait(e)
		c.Crowd = p.crowd(e, d.stay)
		cost := c.Cost(price) + (e.ep.Handicap + p.segregation(e, r) + p.finishing(e, r)).Seconds()
		switch {
		case !room:
			out.busyCost = min(out.busyCost, cost)
		case cost < out.cost:
			out.engine, out.cost, out.uncached, out.candidate, out.source = e, cost, n.compute, c, n.source
			out.rank, out.homes, out.held = rank, len(homes), n.held
		}
	}
	return out
}

// crowdWeight scales the price of a slot.
const crowdWeight = 0.2

// crowd returns the price of holding a slot for stay seconds: the wait that
// it is expected to cause to later requests, which grows steeply as the
// engine's slots fill.
func (p *Policy) crowd(e *engine, stay float64) time.Duration {
	if !p.rules.crowd {
		return 0
	}
	full := float64(p.taken(e)) / float64(max(1, e.ep.Slots))
	return time.Duration(crowdWeight * stay * full * full * full * full * float64(time.Second))
}

// taken returns the slots of the engine that are known to be taken.
func (p *Policy) taken(e *engine) int {
	if !p.rules.peerLoad {
		return e.own
	}
	return e.own + e.peers.requests
}

// slotWait predicts the wait for a slot when all are taken.
func (p *Policy) slotWait(e *engine) time.Duration {
	before := p.taken(e) + 1 - e.ep.Slots
	if before <= 0 {
		return 0
	}
	turnover := p.learned.stay.or(stayStart.Seconds()) / float64(max(1, e.ep.Slots))
	return time.Duration(float64(before) * turnover * float64(time.Second))
}

const (
	// fullLoad is the load of the fleet from which a request may only go to
	// the first fullHomes of its homes: copies elsewhere cost what is short.
	fullLoad  = 0.9
	fullHomes = 3
)

// deferrablePrice multiplies the price of recomputation for work that can
// wait for the engine that holds its prompt.
const deferrablePrice = 3

// price returns the price of recomputation for a request.
func (p *Policy) price(r *Request) float64 {
	if !p.rules.price {
		return 1
	}
	load := 0.0
	if p.rules.loadPrice {
		load = p.load()
	}
	price := placement.Price(load)
	if p.tuning.RecomputePrice > 0 {
		price *= p.tuning.RecomputePrice
	}
	if r.Class.Deferrable && p.rules.deferral {
		price *= deferrablePrice
	}
	return price
}

// load returns the share of all slots that is taken, as far as is known.
func (p *Policy) load() float64 {
	if p.slots == 0 {
		return 0
	}
	return float64(p.own+p.peerRequests) / float64(p.slots)
}

// candidate is the engine as a place for a request of which it has to compute
// uncached tokens after those of its backlog.
func (p *Policy) candidate(now time.Time, e *engine, backlog, uncached float64) placement.Candidate {
	c := placement.Candidate{
		Wait:      p.speed.Tokens(backlog),
		Recompute: p.speed.Tokens(uncached),
		Slowdown:  p.slowdown(now, e),
		Delay:     2 * e.ep.Delay,
	}
	c.Wait += time.Duration(p.taken(e)) * p.tuning.BatchDelay
	if p.rules.waiting {
		c.Overrun = e.overrun(now, c.Slowdown)
	}
	return c
}

// backlog returns the prompt tokens that the engine must compute first.
func (p *Policy) backlog(now time.Time, e *engine) float64 {
	tokens := p.ownBacklog(now, e)
	if p.rules.peerLoad {
		tokens += float64(e.peers.tokens)
	}
	return tokens
}

// ownBacklog returns the prompt tokens of the daemon's requests that the
// engine has not computed yet at its present speed: it computes prompts one
// after another.
func (p *Policy) ownBacklog(now time.Time, e *engine) float64 {
	if len(e.unanswered) == 0 {
		return 0
	}
	head := e.unanswered[0]
	since := head.sent.Add(head.delay / 2)
	if e.lastFirst.After(since) {
		since = e.lastFirst
	}
	done := p.speed.Computed(now.Sub(since)) / p.slowdown(now, e)
	if peers := float64(e.peers.tokens); p.rules.peerLoad && peers > 0 {
		done *= e.ownTokens / (e.ownTokens + peers)
	}
	return e.ownTokens - min((1-unfinishedPart)*head.tokens, max(0, done))
}

// unfinishedPart is the part of a prompt that counts as not computed until the
// first token comes: an engine may be slower than it is known to be.
const unfinishedPart = 0.25

// slowdown returns the engine's slowdown as used in decisions. What running
// answers measure, here and at peers, goes before what is inferred from times
// to first token, which unknown work before a request lengthens too.
func (p *Policy) slowdown(now time.Time, e *engine) float64 {
	if !p.rules.slowdown {
		return 1
	}
	if s, ok := e.stated(now); ok {
		return max(s, e.overdue(now))
	}
	s, answers := p.ownSlowdown(now, e)
	if p.rules.peerSlow {
		s = withPeers(s, answers, &e.peers)
	}
	if s < slowIgnored {
		return 1
	}
	return s
}

// overdueFrom is how many times its prediction an attempt must have waited
// before it counts against an engine that states no slowdown.
const overdueFrom = 3

// overdue returns the slowdown that unanswered attempts prove, 1 while they
// may have waited behind work that the daemon does not know of.
func (e *engine) overdue(now time.Time) float64 {
	if s := e.waitingSlowdown(now); s >= overdueFrom {
		return s
	}
	return 1
}

func withPeers(own float64, answers int, peers *peerSums) float64 {
	if answers+peers.answers == 0 {
		return max(own, peers.inferred)
	}
	return (own*float64(answers) + peers.measured) / float64(answers+peers.answers)
}

// ownSlowdown returns the slowdown that the daemon sees itself and the number
// of running answers that it was measured by, 0 when it was inferred.
func (p *Policy) ownSlowdown(now time.Time, e *engine) (float64, int) {
	if p.rules.progress {
		if perToken, ok := e.pace.PerToken(now); ok {
			return max(1, p.normalPace.Ratio(perToken)), max(1, e.own-len(e.unanswered))
		}
	}
	s := e.slow.Value(now)
	if p.rules.waiting {
		s = max(s, e.waitingSlowdown(now))
	}
	return s, 0
}

// prior returns the presumed share of the shared levels that a home holds
// though no hint tells.
func (p *Policy) prior(now time.Time, rank int) float64 {
	switch {
	case rank > 0:
		return 0
	case p.tuning.HomePrior > 0:
		return p.tuning.HomePrior
	case !p.rules.peerHints || !p.rules.hints:
		return priorAtStart
	}
	fade := math.Exp(-now.Sub(p.started).Seconds() / priorFade.Seconds())
	return priorLater + (priorAtStart-priorLater)*fade
}

// held returns the number of leading pieces that the engine says it holds, or
// was seen to hold.
func (p *Policy) held(now time.Time, e *engine, r *Request) int {
	c := &r.Chain
	if e.cached != nil && c.Parts != nil {
		return e.holds(c)
	}
	for level := len(c.Levels) - 1; level >= max(0, len(c.Levels)-maxMarks); level-- {
		if p.hints.Holds(now, c.Levels[level], e.hintKey) {
			return c.LevelPieces[level]
		}
	}
	return 0
}

// remember records that the engine holds the whole prompt.
func (p *Policy) remember(now time.Time, e *engine, r *Request) {
	c := &r.Chain
	for level := max(0, len(c.Levels)-maxMarks); level < len(c.Levels); level++ {
		if c.LevelPieces[level] == 0 {
			continue
		}
		// The last level is the prompt's own; peers will not meet it again soon.
		if level < len(c.Levels)-1 {
			p.noteHeld(now, e, c.Levels[level])
		}
		p.hints.Store(now, c.Levels[level], e.hintKey)
	}
}

// barred reports whether the engine must not get the request.
func (p *Policy) barred(now time.Time, e *engine, r *Request) bool {
	if slices.Contains(r.Avoid, e.ep.ID) || r.Alone && e.ownAlone > 0 {
		return true
	}
	return p.rules.ejection && p.ejected(now, e)
}

// ejected reports whether the engine rests after failures. When its pause is
// over, one attempt probes it.
func (p *Policy) ejected(now time.Time, e *engine) bool {
	if e.failures == 0 || p.resting > len(p.engines)/ejectDivisor {
		return false
	}
	return now.Before(e.ejected) || e.probing
}

// ejectDivisor bounds ejected engines to a part of all.
const ejectDivisor = 2

// room reports whether the engine may run one more request of this kind.
func (p *Policy) room(e *engine, r *Request) bool {
	if p.rules.limits && e.own >= e.limit.Allowed(e.ep.Slots, p.daemons, p.known(e)) {
		return false
	}
	if !p.rules.limits && e.own >= e.ep.Slots {
		return false
	}
	if r.Class.Deferrable && p.rules.deferral {
		return p.taken(e) < max(1, int(deferrablePart*float64(e.ep.Slots)))
	}
	return true
}

// known returns how many requests others run at the engine, -1 when unknown.
func (p *Policy) known(e *engine) int {
	if p.rules.peerLoad && (len(p.peers) > 0 || p.daemons == 1) {
		return e.peers.requests
	}
	if p.rules.reports && !e.report.At.IsZero() && p.now.Sub(e.report.At) < reportLife {
		return max(0, e.report.Running+e.report.Queued-e.own)
	}
	return -1
}
