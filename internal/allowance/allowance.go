// Package allowance keeps organisations within their quotas across all daemons. One daemon,
// the owner, holds an organisation's token bucket; the others hold small leases of it, and use
// a share of their own while the owner does not answer. The package does no I/O and reads no
// clock.
package allowance

import (
	"math"
	"time"
)

const (
	// defaultWindow replaces a Bounds.Window of 0.
	defaultWindow = 8 * time.Second
	// ResponseTimeout is how long a request waits for the owner's response.
	ResponseTimeout = 150 * time.Millisecond
	// memberRetention is how long a daemon that is lost keeps its share: it may only be
	// partitioned from this one.
	memberRetention = 30 * time.Second
	// maxRefreshGap is the longest time between two calls of Node.SetFleet after which the
	// daemon still owns its buckets: peers count a silent daemon as lost after 1 s.
	maxRefreshGap = 1500 * time.Millisecond
	// SettleTime is how long a started daemon owns no bucket: it may not know its peers.
	SettleTime = time.Second
	// unsettledFleet is the number of daemons that one assumes that may not know its peers.
	unsettledFleet = 100

	// leaseHorizon is how much of a daemon's usage a lease covers. A tenth of the rate must
	// not lie unused in leases: all together hold half a second of it at most.
	leaseHorizon = 500 * time.Millisecond
	// easyLeaseHorizon replaces it while the organisation uses less than half of its rate.
	easyLeaseHorizon = 4 * time.Second
	// leaseTTLFactor is the life of a lease in horizons. An easy lease lives one horizon.
	leaseTTLFactor = 2
	// minLeaseRequests is the size of the smallest lease, in mean requests. A smaller one
	// would seldom hold the next request.
	minLeaseRequests = 2
	// minPause is how long a daemon sends no more requests to the owner after a refusal. An
	// owner that gets more than busyAsks per second for an organisation asks for pausePerDaemon
	// times the daemons that send them, which leaves 500 to 800 per second.
	minPause       = 10 * time.Millisecond
	pausePerDaemon = 2 * time.Millisecond
	busyAsks       = 250
	// expiryInterval is the interval between checks for expired leases.
	expiryInterval = 50 * time.Millisecond
	// activeTime is how long a daemon counts as one that queries the owner.
	activeTime = time.Second
	// maxShareRetryAfter bounds retry times while the owner does not answer: another daemon
	// owns the bucket within 2 s.
	maxShareRetryAfter = 2 * time.Second
	// maxRetryAfter bounds suggested retry times; callers ignore long ones.
	maxRetryAfter = time.Minute

	// probeInterval is the interval between requests to an owner that does not answer.
	probeInterval = 250 * time.Millisecond
	// reportInterval is the minimum interval between requests that only report usage.
	reportInterval = 100 * time.Millisecond
	// shareMemory is how long after its last use a daemon's own share is still in use.
	shareMemory = 2 * time.Second
	// spentPeriod is half the time after which usage without the owner is no longer reported.
	spentPeriod = time.Second
	// meterTime is the time constant of usage estimates.
	meterTime = time.Second
	// costMemory is the weight of a new request in the mean cost.
	costMemory = 1.0 / 16
	// maxAmount bounds the amounts in messages.
	maxAmount = 1e15
)

// Limit is an organisation's quota, in tokens or requests.
type Limit struct {
	// PerSecond is greater than 0.
	PerSecond float64
	Burst     float64
}

// Bounds are the platform's tolerances: in any Window an organisation may use (rate x Window +
// burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// headroom returns by how much the bucket exceeds the burst, leases included. It keeps the rate
// usable while leases are out or the next query is on its way, at half of the overage.
func (b Bounds) headroom(l Limit) float64 { return b.Overage / 2 * l.PerSecond * b.Window.Seconds() }

// meter estimates a rate per second.
type meter struct {
	perSecond float64
	at        time.Time
}

func (m *meter) add(now time.Time, amount float64) {
	m.perSecond = m.value(now) + amount/meterTime.Seconds()
	m.at = now
}

func (m *meter) value(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.perSecond * math.Exp(-max(0, now.Sub(m.at).Seconds())/meterTime.Seconds())
}

// seconds converts a number of seconds to a duration of at most maxRetryAfter.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(0, s), maxRetryAfter.Seconds()) * float64(time.Second))
}

// amount returns 0 for a value that is no amount.
func amount(v float64) float64 {
	if !(v >= 0) { // NaN is not
		return 0
	}
	return min(v, maxAmount)
}
