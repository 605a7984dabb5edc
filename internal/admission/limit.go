package admission

import "time"

const (
	minFactor      = 0.25
	maxFactor      = 1.0
	decreaseFactor = 0.7
	increaseStep   = 0.02
	// minDecreaseInterval keeps several rejections in one overload from reducing the
	// limit several times.
	minDecreaseInterval = 200 * time.Millisecond
	// minPause and maxPause bound how long a daemon sends nothing to an engine.
	minPause = 100 * time.Millisecond
	maxPause = 1600 * time.Millisecond
)

// Limit is an adaptive concurrency limit for one daemon's requests at one engine.
// It is the number of slots that other daemons are known to leave free, at least
// this daemon's fair share, times a factor that decreases multiplicatively when the
// engine rejects a request and increases additively as requests complete.
type Limit struct {
	reduction float64 // 1 minus the factor, so that the zero value has no reduction
	reducedAt time.Time
	// pause is the duration of the last pause, 0 if the last request was completed.
	pause       time.Duration
	pausedUntil time.Time
}

// Allowed returns the limit, at least 1. peers is how many requests other daemons
// run at the engine, or -1 if unknown.
func (l *Limit) Allowed(slots, daemons, peers int) int {
	share := max(1, slots/max(1, daemons))
	limit := share
	if peers >= 0 {
		limit = max(share, slots-peers)
	}
	return max(1, int(float64(limit)*(1-l.reduction)+0.5))
}

// Paused reports whether the daemon must not send to the engine at all. Where daemons
// outnumber slots, a limit of one request each is no limit for the engine.
func (l *Limit) Paused(now time.Time) bool { return now.Before(l.pausedUntil) }

// Rejected reduces the limit after the engine rejected a request. With pause set the
// daemon also pauses, twice as long after each further rejection.
func (l *Limit) Rejected(now time.Time, pause bool) {
	if pause && !l.Paused(now) {
		l.pause = min(max(2*l.pause, minPause), maxPause)
		l.pausedUntil = now.Add(l.pause)
	}
	if now.Sub(l.reducedAt) < minDecreaseInterval {
		return
	}
	factor := max(minFactor, (1-l.reduction)*decreaseFactor)
	l.reduction, l.reducedAt = 1-factor, now
}

// Completed raises the limit after a request was completed.
func (l *Limit) Completed() {
	l.reduction = 1 - min(maxFactor, 1-l.reduction+increaseStep)
	l.pause = 0
}
