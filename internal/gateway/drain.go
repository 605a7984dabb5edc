package gateway

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

const (
	// drainPoll is how often a draining daemon looks whether its requests have ended.
	drainPoll = 50 * time.Millisecond
	// stopReserve is kept of the platform's grace for closing, lastAnswers for
	// the answers of requests that are given up.
	stopReserve = 600 * time.Millisecond
	lastAnswers = 300 * time.Millisecond
	// overstay is how long after their lifetime answers of the directory are
	// still served.
	overstay = 200 * time.Millisecond
	// lastCalls is the end of the grace in which no requests are taken, so that
	// what runs can end.
	lastCalls = 4 * time.Second
)

// drain leaves the directory's answers at once and serves on until callers'
// answers have expired and every request has ended, within the platform's grace.
func (d *Daemon) drain() {
	d.draining.Store(true)
	d.announce()
	d.log.Emit(eventlog.DaemonDraining, eventlog.Fields{})
	begun := time.Now()
	expired := begun.Add(time.Duration(d.settings.EntryLifetimes)*d.entryMaxAge() + overstay)
	last := begun.Add(d.settings.StopGrace - stopReserve)
	d.forwarder.StopAt(last.Add(-lastAnswers))
	quiet := last.Add(-lastCalls)
	if expired.After(quiet) {
		expired = quiet
	}
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	closed := false
	for now := range tick.C {
		if now.After(expired) && !closed {
			closed = true
			d.forwarder.Refuse()
			d.callers.stopAccepting()
		}
		if now.After(last.Add(-lastAnswers)) {
			d.forwarder.End()
		}
		if now.After(last) || closed && d.inFlight.Load() == 0 {
			return
		}
	}
}
