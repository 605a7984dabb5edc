package daemon

import (
	"context"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

const (
	// drainPollInterval is how often a draining daemon checks whether its requests have ended.
	drainPollInterval = 50 * time.Millisecond
	// drainPropagationDelay bounds the time until all peers know that this daemon
	// drains; until then they may still list it in GET /v1/entries.
	drainPropagationDelay = 2 * time.Second
)

// drain marks the daemon as draining, and waits until no caller can hold an
// unexpired list of entries that names it and no request runs. When hardStop
// ends, it returns at once.
func (d *Daemon) drain(hardStop context.Context) {
	d.draining.Store(true)
	d.announceAvailability()
	d.log.Emit(eventlog.DaemonDraining, eventlog.Fields{})
	entriesExpireAt := time.Now().Add(drainPropagationDelay + time.Duration(d.settings.EntryMaxAge))
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Now().Before(entriesExpireAt) || d.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-hardStop.Done():
			return
		}
	}
}
