package gateway

import "time"

// Settings configures a gateway daemon. An adapter to a platform fills it in.
type Settings struct {
	// Name identifies the daemon among its peers.
	Name       string
	DataCentre string
	// RegionOf gives the region of each data centre.
	RegionOf map[string]string

	// Listen addresses, host:port.
	CallerListen    string
	ReadyListen     string
	DirectoryListen string
	// PeerListen serves the copies of the store's tables to peers.
	PeerListen string
	// GossipListen accepts gossip from peers.
	GossipListen string
	// MetricsListen is empty when no metrics are served.
	MetricsListen string
	// Seeds are PeerListen addresses of some daemons; they may be stale.
	Seeds []string
	// FleetKey authenticates daemons to one another; at least 16 bytes.
	FleetKey string

	// MemoryBytes is what the process may use; 0 means no bound.
	MemoryBytes int64
	// MaxDescriptors bounds open sockets; 0 means no bound.
	MaxDescriptors int

	// EntryMaxAge is the longest age that an answer of the directory may state.
	EntryMaxAge time.Duration
	// EntryLifetimes is how many times the stated age callers may keep an answer.
	EntryLifetimes int
	// StopGrace is the time from SIGTERM until the platform ends the process.
	StopGrace time.Duration

	// RetryRatio and RetrySlack bound retries of all daemons together, in any
	// window of time, to a part of the requests and a fixed number.
	RetryRatio float64
	RetrySlack int

	// LeaseDuration is how long a holder of the orders' lease may act without a renewal.
	LeaseDuration time.Duration
	// FencedOrders says that engines refuse orders with an old fencing number.
	FencedOrders bool
	// VersionWithin is the time in which engines must have new weights.
	VersionWithin time.Duration
}
