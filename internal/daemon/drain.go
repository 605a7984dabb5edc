package daemon

import (
	"context"
	"net/http"
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

// countInFlight counts requests, and tells callers of a draining daemon not to
// use their connection again.
func (d *Daemon) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
