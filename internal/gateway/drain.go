package gateway

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

const (
	// drainPollInterval is how often a draining daemon checks for requests in
	// flight.
	drainPollInterval = 50 * time.Millisecond
	// stopReserve is the part of the platform's grace period that is kept for
	// closing, finalResponseTime the time before it for the responses of aborted
	// requests.
	stopReserve       = 600 * time.Millisecond
	finalResponseTime = 300 * time.Millisecond
	// entryExpiryGrace is how long a draining daemon still accepts requests
	// after the directory entries that callers hold have expired: those under way.
	entryExpiryGrace = 20 * time.Millisecond
	// noNewRequestsTime is the end of the grace period in which no new requests
	// are accepted, so that those in flight can finish.
	noNewRequestsTime = 4 * time.Second
)

// drain removes this daemon from the directory at once. It keeps serving until
// the entries that callers hold have expired and all requests have finished,
// but no longer than the platform's grace period.
func (d *Daemon) drain() {
	d.draining.Store(true)
	d.publishAvailability()
	d.log.Emit(eventlog.DaemonDraining, eventlog.Fields{})
	start := time.Now()
	refuseAt := start.Add(time.Duration(d.settings.EntryMaxAgeMultiple)*d.entryMaxAge() + entryExpiryGrace)
	stopAt := start.Add(d.settings.StopGrace - stopReserve)
	d.forwarder.SetStopTime(stopAt.Add(-finalResponseTime))
	latestRefuseAt := stopAt.Add(-noNewRequestsTime)
	if refuseAt.After(latestRefuseAt) {
		refuseAt = latestRefuseAt
	}
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	refusing := false
	for now := range tick.C {
		if now.After(refuseAt) && !refusing {
			refusing = true
			d.forwarder.RefuseNewRequests()
			d.callerServer.stopAccepting()
		}
		if now.After(stopAt.Add(-finalResponseTime)) {
			d.forwarder.AbortRequests()
		}
		if now.After(stopAt) || refusing && d.inFlight.Load() == 0 {
			return
		}
	}
}
