// Package ratelimit divides a rate that binds several daemons together among them, without
// messages: time is divided into turns, and each turn belongs to one daemon. All daemons that
// know the same time and the same members agree on it.
package ratelimit

import (
	"math"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// minTurn is the least length of a turn; at higher rates a turn allows several requests.
	minTurn = 20 * time.Millisecond
	// minValidity is how long an allowance may be used at least. It lets a daemon that has no
	// request in its turn use it soon after, and bounds the requests that may come at once.
	minValidity = time.Second
	// MinRate is the lowest rate, in requests per second, that is kept. Without any request,
	// the end of a limit would not be noticed.
	MinRate = 0.1
	// MaxRate is the rate from which on a limit is kept as one of MaxRate.
	MaxRate = 1e5
	// rateStep is the step of rates: members that hear of a rate in different ways must have
	// the same turns.
	rateStep = 0.1
)

// RoundRate returns the rate that is kept for a stated one, in requests per second: a multiple
// of 0.1, from MinRate to MaxRate.
func RoundRate(perSecond float64) float64 {
	const tolerance = 1e-6 // of the binary representation
	return max(1, math.Floor(min(perSecond, MaxRate)/rateStep+tolerance)) / (1 / rateStep)
}

// Member is a daemon that takes part.
type Member struct {
	// Hash is the hash of its name, as returned by prefix.NodeHash.
	Hash uint64
	// Weight is its need for requests in proportion to the other members'.
	Weight float64
}

// Group is the members that share a rate, as one of them knows them.
type Group struct {
	// Self is the hash of this daemon's name.
	Self uint64
	// Members includes this daemon.
	Members []Member
}

// owner returns the hash of the member that a turn belongs to, by weighted rendezvous hashing: a
// member that is known to some only, or with another weight, changes few turns.
func (g *Group) owner(turn uint64) uint64 {
	owner, best := g.Self, math.Inf(-1)
	for _, m := range g.Members {
		// uniform is in (0, 1).
		uniform := (float64(prefix.Score(turn, m.Hash)>>11) + 0.5) / (1 << 53)
		if score := math.Log(uniform) / m.Weight; score > best {
			owner, best = m.Hash, score
		}
	}
	return owner
}

// share returns this daemon's part of the turns, on average.
func (g *Group) share() float64 {
	own, total := 0.0, 0.0
	for _, m := range g.Members {
		total += m.Weight
		if m.Hash == g.Self {
			own += m.Weight
		}
	}
	if total == 0 {
		return 1
	}
	return own / total
}

// Limiter holds one daemon's allowance of a rate. Times are those of a clock that all members
// share. It is not safe for concurrent use.
type Limiter struct {
	key  uint64
	rate float64
	turn time.Duration
	// next is the first turn that was not dealt yet.
	next   int64
	grants []grant // unused ones, oldest first
}

// grant is a number of requests that may be sent until a time.
type grant struct {
	until    time.Duration
	requests int
}

// New returns a Limiter of a rate in requests per second, without an allowance yet. key tells
// the rates of several upstreams apart; it is the same at all members.
func New(key uint64, perSecond float64, now time.Duration) *Limiter {
	rate := RoundRate(perSecond)
	l := &Limiter{key: key, rate: rate, turn: max(time.Duration(float64(time.Second)/rate), minTurn)}
	l.next = int64(now/l.turn) + 1
	return l
}

// validity returns how long an allowance may be used.
func (l *Limiter) validity() time.Duration { return max(minValidity, l.turn) }

// PerSecond returns this daemon's share of the rate, on average.
func (l *Limiter) PerSecond(g *Group) float64 { return l.rate * g.share() }

// Advance deals the turns that have begun by now.
func (l *Limiter) Advance(now time.Duration, g *Group) {
	for len(l.grants) > 0 && l.grants[0].until <= now {
		l.grants = l.grants[1:]
	}
	current := int64(now / l.turn)
	if l.next > current+1 { // the clock went back
		l.next, l.grants = current+1, nil
	}
	l.next = max(l.next, int64((now-l.validity())/l.turn)+1)
	for ; l.next <= current; l.next++ {
		requests := l.requestsIn(l.next)
		if requests > 0 && g.owner(l.key^uint64(l.next)*0x9e3779b97f4a7c15) == g.Self {
			l.grants = append(l.grants, grant{time.Duration(l.next)*l.turn + l.validity(), requests})
		}
	}
}

// requestsIn returns how many requests a turn allows: turns of minTurn share the rate evenly.
func (l *Limiter) requestsIn(turn int64) int {
	perTurn := l.rate * l.turn.Seconds()
	if l.turn > minTurn {
		return 1
	}
	return int(math.Floor(float64(turn+1)*perTurn) - math.Floor(float64(turn)*perTurn))
}

// Allows reports whether a request may be sent, as of the last Advance.
func (l *Limiter) Allows() bool { return len(l.grants) > 0 }

// Take uses the oldest allowance for one request, if there is one.
func (l *Limiter) Take() bool {
	if len(l.grants) == 0 {
		return false
	}
	if l.grants[0].requests--; l.grants[0].requests == 0 {
		l.grants = l.grants[1:]
	}
	return true
}
