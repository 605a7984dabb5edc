package measure

import (
	"math/rand/v2"
	"time"
)

// network gives every message a delay. Loss shows as the delay of a repeat.
type network struct {
	rand  *rand.Rand
	load  *workload
	cutOf int
	// cutUntil is when the data centre cutOf is reachable again.
	cutUntil time.Duration
}

const (
	// jitterShare is the mean of the random part over the fixed part.
	jitterShare = 0.25
	// lossShare is the part of messages that are sent again after resendDelay.
	lossShare   = 0.002
	resendDelay = 40 * time.Millisecond
	// clients is the place of callers, near every data centre.
	clients = -1
)

// delay draws the one-way delay of a message between two data centres.
func (n *network) delay(now time.Duration, from, to int) time.Duration {
	base := n.fixed(from, to)
	d := base + exponential(n.rand, time.Duration(float64(base)*jitterShare))
	if n.rand.Float64() < lossShare {
		d += resendDelay
	}
	if n.separated(now, from, to) {
		d += n.cutUntil - now
	}
	return d
}

// fixed returns the delay without jitter.
func (n *network) fixed(from, to int) time.Duration {
	switch {
	case from == clients || to == clients:
		return n.load.client
	case from == to:
		return n.load.local
	default:
		return n.load.delay
	}
}

// separated reports whether a message has to wait until a cut is over.
func (n *network) separated(now time.Duration, from, to int) bool {
	if now >= n.cutUntil || from == clients || to == clients {
		return false
	}
	return (from == n.cutOf) != (to == n.cutOf)
}
