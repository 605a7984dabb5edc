package gossip

import "time"

const (
	// maxLoadAge is the age beyond which load figures are misleading. If the
	// budget does not allow sending them at least that often, none are sent.
	maxLoadAge = 5 * time.Second
	// renewalBytesPerSecondPerDaemon is the traffic that the renewals of one
	// daemon's facts cause at each daemon. Load figures get the rest of the
	// budget, and at least 1/minLoadShareDivisor of it.
	renewalBytesPerSecondPerDaemon = 85
	minLoadShareDivisor            = 4
)

// LoadInterval returns the interval between a daemon's load updates of the given
// size, at least minInterval, and false if the budget requires an interval above
// maxLoadAge. Each daemon relays each update about once, so its cost per second
// is daemons*bytes/interval.
func LoadInterval(daemons, bytes, bytesPerSecond int, minInterval time.Duration) (time.Duration, bool) {
	loadBytesPerSecond := max(bytesPerSecond-daemons*renewalBytesPerSecondPerDaemon, bytesPerSecond/minLoadShareDivisor, 1)
	required := time.Duration(daemons) * time.Duration(bytes) * time.Second / time.Duration(loadBytesPerSecond)
	return max(required, minInterval), required <= maxLoadAge
}

// announcementReserve is the part of the budget for the renewals of one daemon's facts where
// announcements are sent, in bytes a second: without other traffic, fleets of 78 and of 90
// daemons sent 64 and 62 a daemon (docs/CAPACITY.md).
const announcementReserve = 65

// AnnouncementBytes returns how many bytes a second each daemon may publish in place of load
// figures, so that all daemons together use what the budget leaves for these. They keep to it
// by sampling.
func AnnouncementBytes(daemons, bytesPerSecond int) float64 {
	left := max(bytesPerSecond-daemons*announcementReserve, bytesPerSecond/minLoadShareDivisor, 1)
	return float64(left) / float64(max(1, daemons))
}

const (
	// refreshIntervalPerDaemon lengthens the refresh interval in larger fleets. It
	// applies to the default budget; a greater budget shortens it in proportion.
	refreshIntervalPerDaemon = 30 * time.Millisecond
	minRefreshInterval       = time.Second
	maxRefreshInterval       = 10 * time.Second
	// refreshesPerTTL is the TTL of a daemon's fact in refresh intervals: the
	// number of lost renewals after which a daemon is considered down.
	refreshesPerTTL = 4
)

// refreshInterval returns the interval between renewals of a daemon's own fact.
func refreshInterval(daemons, bytesPerSecond int) time.Duration {
	perDaemon := refreshIntervalPerDaemon * DefaultBytesPerSecond / time.Duration(bytesPerSecond)
	return min(max(time.Duration(daemons)*perDaemon, minRefreshInterval), maxRefreshInterval)
}

// daemonTTL returns the TTL of a daemon's own fact.
func daemonTTL(daemons, bytesPerSecond int) time.Duration {
	return refreshesPerTTL * refreshInterval(daemons, bytesPerSecond)
}
