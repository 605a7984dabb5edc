package daemon

import (
	"context"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

const (
	// drainPoll is how often a draining daemon looks whether its requests have ended.
	drainPoll = 50 * time.Millisecond
	// drainSpread is how long peers may go on naming a daemon that drains,
	// until all of them have heard of it.
	drainSpread = 2 * time.Second
)

// drain waits until no caller can still be sent here and no request runs.
func (d *Daemon) drain(hard context.Context) {
	d.draining.Store(true)
	d.announce()
	d.log.Emit(eventlog.DaemonDraining, eventlog.Fields{})
	expired := time.Now().Add(drainSpread + time.Duration(d.settings.EntryMaxAge))
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for time.Now().Before(expired) || d.inFlight.Load() > 0 {
		select {
		case <-tick.C:
		case <-hard.Done():
			return
		}
	}
}
