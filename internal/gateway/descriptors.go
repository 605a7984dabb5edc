package gateway

import (
	"fmt"
	"time"

	"github.com/verbenabend/verbenabend/internal/descriptor"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/telemetry"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
)

const (
	// fileDescriptors are left to files and the runtime.
	fileDescriptors = 200
	// descriptorCheckInterval is the interval between checks of the descriptors in use.
	descriptorCheckInterval = time.Second
	// shortageLogInterval is the minimum interval between log lines about a shortage.
	shortageLogInterval = 10 * time.Second
	// storeConns and connsPerPeer are the connections that a daemon keeps to the store, and
	// to and from each peer: gossip and copies.
	storeConns   = 8
	connsPerPeer = 4
)

// Groups of accepted connections. A directory lookup is repeated more cheaply than a request,
// so its connections go first. The others need few descriptors, and the daemon is lost
// without them.
var (
	directoryConns = descriptor.Group{Name: "directory", ReclaimOrder: 1}
	metricsConns   = descriptor.Group{Name: "metrics", ReclaimOrder: 2}
	callerConns    = descriptor.Group{Name: "callers", ReclaimOrder: 3}
	readinessConns = descriptor.Group{Name: "readiness", UsesReserve: true}
	copyConns      = descriptor.Group{Name: "copies", UsesReserve: true}
	gossipConns    = descriptor.Group{Name: "gossip", UsesReserve: true}
)

// NewDescriptorBudget returns the budget of the connections of a daemon with these settings.
func (s *Settings) NewDescriptorBudget() *descriptor.Budget {
	return descriptor.NewBudget(max(s.MaxDescriptors-fileDescriptors, s.MaxDescriptors/2))
}

// descriptorWatch is what the log tells of shortages so far.
type descriptorWatch struct {
	logged   descriptor.Stats
	loggedAt time.Time
}

// checkDescriptors adapts the reserve to the number of upstreams and peers, and logs a
// shortage since the last line.
func (d *Daemon) checkDescriptors() {
	budget := d.network.Descriptors
	budget.SetReserve(storeConns + connsPerPeer*len(d.members.Live()) + httpconn.MaxIdleConnsPerTarget*len(d.registry.Snapshot().ByID))
	stats, w := budget.Stats(), &d.descriptors
	reclaimed, refused, failed := stats.Reclaimed-w.logged.Reclaimed, stats.Refused-w.logged.Refused, stats.Failed-w.logged.Failed
	if reclaimed+refused+failed == 0 || time.Since(w.loggedAt) < shortageLogInterval {
		return
	}
	w.logged, w.loggedAt = stats, time.Now()
	cause := "callers use all descriptors that are not reserved"
	if refused+failed > 0 {
		cause = stats.LastCause
	}
	d.log.Emit(eventlog.DescriptorsShort, eventlog.Fields{Detail: fmt.Sprintf("%s: %d of %d in use, %v; %d idle connections closed, %d new ones refused, %d failures to accept or connect",
		cause, stats.Open, budget.Limit(), stats.Accepted, reclaimed, refused, failed)})
}

// registerDescriptorGauges registers the metrics of the descriptors.
func (d *Daemon) registerDescriptorGauges() {
	for name, value := range map[string]func(descriptor.Stats) int64{
		telemetry.NameDescriptorsOpen:     func(s descriptor.Stats) int64 { return int64(s.Open) },
		telemetry.NameConnsReclaimed:      func(s descriptor.Stats) int64 { return s.Reclaimed },
		telemetry.NameConnsRefused:        func(s descriptor.Stats) int64 { return s.Refused },
		telemetry.NameDescriptorShortages: func(s descriptor.Stats) int64 { return s.Failed },
	} {
		d.metrics.RegisterGauge(name, func() float64 { return float64(value(d.network.Descriptors.Stats())) })
	}
}
