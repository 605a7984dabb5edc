package gossip

import "time"

// priority orders facts on their way out; smaller goes first.
type priority uint8

const (
	// priorityUrgent facts are sent at once: documents, suspects and engines
	// that must not get work.
	priorityUrgent priority = iota
	// priorityDaemon is for what daemons say of themselves: without it the
	// overlay falls apart, and its rate is bounded by the number of daemons.
	priorityDaemon
	// priorityBody is for urgent facts with long values, such as documents with
	// their bodies: a daemon that catches up must not keep others from being heard.
	priorityBody
	// priorityEngine is for what upstreams say of themselves.
	priorityEngine
	// priorityLoad facts are delayed and dropped first.
	priorityLoad

	priorities = int(priorityLoad) + 1
)

// bodyBytes is the length from which the value of an urgent fact is a body.
const bodyBytes = 1 << 10

func priorityOf(k Kind, valueBytes int) priority {
	switch k {
	case KindDocument, KindSuspect, KindSwitch, KindSilent, KindGoal:
		if valueBytes > bodyBytes {
			return priorityBody
		}
		return priorityUrgent
	case KindEngine:
		return priorityEngine
	case KindLoad:
		return priorityLoad
	default:
		return priorityDaemon
	}
}

// routine reports whether facts of the kind are renewed all the time, so that
// a lost one is soon replaced and one copy to each daemon is enough.
func routine(k Kind) bool { return k == KindDaemon || k == KindLoad }

// bucket is a token bucket over the bytes that a daemon sends. The lower a
// fact's priority, the more of the burst is kept from it; urgent facts and
// heartbeats may even draw the bucket one burst into debt.
type bucket struct {
	rate, burst, tokens float64
	last                time.Time
}

func newBucket(rate, burst int, now time.Time) *bucket {
	return &bucket{rate: float64(rate), burst: float64(burst), tokens: float64(burst), last: now}
}

func (b *bucket) fill(now time.Time) {
	if dt := now.Sub(b.last); dt > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*dt.Seconds())
	}
	b.last = now
}

// reserve is the level below which facts of the priority wait.
func (b *bucket) reserve(p priority) float64 {
	switch p {
	case priorityUrgent:
		return -b.burst
	case priorityDaemon:
		return 0
	case priorityBody:
		return b.burst / 16
	case priorityEngine:
		return b.burst / 8
	default:
		return b.burst / 2
	}
}

// room returns how many bytes of the priority may be sent now.
func (b *bucket) room(p priority, now time.Time) int {
	b.fill(now)
	return max(0, int(b.tokens-b.reserve(p)))
}

func (b *bucket) take(n int) { b.tokens -= float64(n) }
