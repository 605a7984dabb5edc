package measure

import (
	"math/rand/v2"
	"time"
)

// network computes message delays. A lost message is delayed by its retransmission.
type network struct {
	rand                  *rand.Rand
	workload              *workload
	partitionedDataCentre int
	// partitionEnd is when partitionedDataCentre becomes reachable again.
	partitionEnd time.Duration
}

const (
	// jitterFraction is the mean random delay over the base delay.
	jitterFraction = 0.25
	// lossFraction is the fraction of messages that are retransmitted after
	// retransmissionDelay.
	lossFraction        = 0.002
	retransmissionDelay = 40 * time.Millisecond
	// callerLocation stands for the callers in place of a data centre; they are
	// equally far from all data centres.
	callerLocation = -1
)

// delay draws the one-way delay of a message between two data centres.
func (n *network) delay(now time.Duration, from, to int) time.Duration {
	base := n.baseDelay(from, to)
	d := base + exponential(n.rand, time.Duration(float64(base)*jitterFraction))
	if n.rand.Float64() < lossFraction {
		d += retransmissionDelay
	}
	if n.isPartitioned(now, from, to) {
		d += n.partitionEnd - now
	}
	return d
}

// baseDelay returns the one-way delay without jitter, loss and partition.
func (n *network) baseDelay(from, to int) time.Duration {
	switch {
	case from == callerLocation || to == callerLocation:
		return n.workload.callerDelay
	case from == to:
		return n.workload.localDelay
	default:
		return n.workload.interCentreDelay
	}
}

// isPartitioned reports whether a message is held up by the partition.
func (n *network) isPartitioned(now time.Duration, from, to int) bool {
	if now >= n.partitionEnd || from == callerLocation || to == callerLocation {
		return false
	}
	return (from == n.partitionedDataCentre) != (to == n.partitionedDataCentre)
}
