package gateway

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/allowance"
	"github.com/verbenabend/verbenabend/internal/forward"
)

// DynamicSettings are the settings that a running daemon follows.
type DynamicSettings struct {
	// Seeds are PeerListen addresses of some daemons; some may be out of date.
	Seeds []string
	// RegionByDataCentre maps data centres to regions.
	RegionByDataCentre map[string]string
}

// Settings configures a gateway daemon. A platform adapter fills it in.
type Settings struct {
	DynamicSettings

	// Name identifies the daemon among its peers.
	Name       string
	DataCentre string
	// Listen addresses as host:port.
	CallerListen    string
	ReadyListen     string
	DirectoryListen string
	// PeerListen serves this daemon's copies of the store's tables to peers.
	PeerListen string
	// GossipListen accepts gossip connections from peers.
	GossipListen string
	// MetricsListen serves metrics; empty for none.
	MetricsListen string
	// FleetKey is the shared key that authenticates daemons to one another; at
	// least 16 bytes.
	FleetKey string

	// MemoryBytes is the memory available to the process; 0 means no limit.
	MemoryBytes int64
	// MaxDescriptors limits open file descriptors; 0 means no limit.
	MaxDescriptors int

	// SlowReaders is set if callers and engines may read slowly, and engines cut off responses that
	// stay unread for some seconds.
	SlowReaders bool

	// EntryMaxAge is the longest max-age that the directory may give to its
	// entries.
	EntryMaxAge time.Duration
	// EntryMaxAgeMultiple is how many times the max-age callers may keep directory
	// entries.
	EntryMaxAgeMultiple int
	// StopGrace is the time between SIGTERM and the forced end of the process.
	StopGrace time.Duration

	// RetryRatio and RetrySlack limit the retries of all daemons together: in
	// any window of time to RetryRatio times the requests, plus RetrySlack.
	RetryRatio float64
	RetrySlack int

	// Quota holds the tolerances of organisations' quotas.
	Quota allowance.Bounds
	// Triage says at which services requests are delayed and refused by what that costs
	// their callers; default is forward.TriageAuto.
	Triage forward.TriageMode

	// SinceBoot returns the time since the machine booted, including suspended time;
	// default is the system's clock.
	SinceBoot func() time.Duration
	// LeaseDuration is how long the holder of the weight switch lease may act
	// without renewing it.
	LeaseDuration time.Duration
	// FirstStart is set when the whole system starts for the first time: its daemons may
	// wait for each other.
	FirstStart bool
	// FencedOrders is set if engines reject orders with an old fencing token.
	FencedOrders bool
	// ChangeTimeLimit is how long after its acknowledgement a change of the operators' or the
	// upstreams' table has to be in force at each daemon; default is 2 s.
	ChangeTimeLimit time.Duration
	// UpstreamReportInterval is how often upstreams renew their rows, which expire after three
	// intervals without; default is 1.2 s.
	UpstreamReportInterval time.Duration
	// WeightSwitchTimeLimit is the time limit for engines to switch to new weights.
	WeightSwitchTimeLimit time.Duration
}
