package gossip

import "time"

const (
	// maxLoadInterval is the age past which load figures mislead; if the
	// budget allows none that often, none are sent.
	maxLoadInterval = 5 * time.Second
	// daemonBytesPerSecond is what the renewals of one daemon's own facts cost
	// each daemon; load figures have the rest of the budget, but at least a
	// quarter of it.
	daemonBytesPerSecond = 85
	leastLoadShare       = 4
)

// LoadInterval returns the pause between a daemon's load figures of the given
// size in a fleet of so many daemons, and false if they can't be sent often
// enough to be of use. Each daemon passes each figure on about once, so the
// cost is daemons*bytes/interval and the interval grows with both, from least on.
func LoadInterval(daemons, bytes, bytesPerSecond int, least time.Duration) (time.Duration, bool) {
	room := max(bytesPerSecond-daemons*daemonBytesPerSecond, bytesPerSecond/leastLoadShare, 1)
	need := time.Duration(daemons) * time.Duration(bytes) * time.Second / time.Duration(room)
	return max(need, least), need <= maxLoadInterval
}

const (
	// refreshPerDaemon makes daemons renew their own facts less often in a larger fleet.
	refreshPerDaemon = 30 * time.Millisecond
	minRefresh       = time.Second
	maxRefresh       = 10 * time.Second
	// refreshesPerTTL is how many renewals may be lost before a daemon counts as gone.
	refreshesPerTTL = 4
)

// refreshInterval returns the pause between two renewals of a daemon's own fact.
func refreshInterval(daemons int) time.Duration {
	return min(max(time.Duration(daemons)*refreshPerDaemon, minRefresh), maxRefresh)
}
