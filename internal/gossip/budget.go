package gossip

import "time"

// priority orders outgoing facts; smaller values are sent first.
type priority uint8

const (
	// priorityUrgent facts skip the flush delay: documents, suspects, prompt parts, weight
	// switches, unresponsive upstreams, goal versions and their record, and revisions of the
	// desired state.
	priorityUrgent priority = iota
	// priorityDaemon is for facts that daemons publish about themselves: the
	// overlay depends on them, and their rate is bounded by the number of daemons.
	priorityDaemon
	// priorityLargeValue is for urgent facts with large values, such as documents with
	// their bodies: they must not delay daemon facts while a daemon catches up.
	priorityLargeValue
	// priorityEngine is for the states of upstreams.
	priorityEngine
	// priorityLoad facts are delayed and dropped first.
	priorityLoad

	priorityCount = int(priorityLoad) + 1
)

// maxUrgentValueBytes is the largest value that is sent at priorityUrgent.
const maxUrgentValueBytes = 1 << 10

func priorityOf(k Kind, valueBytes int) priority {
	switch k {
	case KindDocument, KindSuspect, KindWeightSwitch, KindUnresponsive, KindGoalVersion, KindPartCrash, KindPartBegun, KindStateRevision, KindGoalRecord, KindWitness, KindRateLimit, KindSoftware:
		if valueBytes > maxUrgentValueBytes {
			return priorityLargeValue
		}
		return priorityUrgent
	case KindEngine:
		return priorityEngine
	case KindLoad, KindAnnouncement:
		return priorityLoad
	default:
		return priorityDaemon
	}
}

// isPeriodic reports whether facts of the kind are republished continuously:
// a lost one is soon replaced, so a single copy to each daemon is enough.
func isPeriodic(k Kind) bool { return k == KindDaemon || k == KindLoad || k == KindAnnouncement }

// tokenBucket is a token bucket over the bytes that a daemon sends. The lower a
// fact's priority, the larger the fraction of the burst that it may not use. Daemons'
// own facts and control messages may overdraw the bucket by one burst, urgent facts only
// by half of one: a flood of them must not make daemons forget one another. Heartbeats
// are always sent.
type tokenBucket struct {
	rate, burst, tokens float64
	lastRefill          time.Time
}

func newTokenBucket(rate, burst int, now time.Time) *tokenBucket {
	return &tokenBucket{rate: float64(rate), burst: float64(burst), tokens: float64(burst), lastRefill: now}
}

func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
	}
	b.lastRefill = now
}

// reservedFor returns the number of tokens below which facts of the priority wait.
func (b *tokenBucket) reservedFor(p priority) float64 {
	switch p {
	case priorityUrgent:
		return -b.burst / 2
	case priorityDaemon:
		return -b.burst
	case priorityLargeValue:
		return b.burst / 16
	case priorityEngine:
		return b.burst / 8
	default:
		return b.burst / 2
	}
}

// available returns how many bytes may be sent now at the priority.
func (b *tokenBucket) available(p priority, now time.Time) int {
	b.refill(now)
	return max(0, int(b.tokens-b.reservedFor(p)))
}

func (b *tokenBucket) spend(n int) { b.tokens -= float64(n) }
