package mirror

import (
	"fmt"
	"time"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// Copies are as old as the store's last answer about them says, at the daemon that reads the
// store and at those that follow it; a call that is still open proves nothing. Each step from a
// lost answer to the next reader's first one has its share of Settings.MaxAge
// (docs/design/0305).

const (
	// pollShare is the share of Settings.MaxAge after which a poll of the store is answered
	// although nothing changed, pollPatience the share for which its answer may be late.
	pollShare, pollPatience = 0.45, 0.25
	// successorShare, relayShare and leafShare are the shares of Settings.MaxAge after which
	// a daemon's copies are stale: that of the daemon next in turn to read the store, of
	// those that others of their data centre follow, and of the others. Each finds the one
	// before reading already, unless it fails too; what is left is for a read of the store.
	successorShare, relayShare, leafShare = 0.6, 0.7, 0.8
	// sourceShare is the share after which another source is followed, which may have
	// become newer meanwhile.
	sourceShare = (relayShare + leafShare) / 2
)

// confirm notes that the copy was complete at a time of Clock.Local.
func (m *Mirror) confirm(at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.confirmed || at > m.confirmedAt {
		m.confirmedAt, m.confirmed = at, true
	}
}

// confirmBySource is confirm by a source's frame.
func (m *Mirror) confirmBySource(at time.Duration) {
	m.confirm(at)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.sourced || at > m.sourcedAt {
		m.sourcedAt, m.sourced = at, true
	}
}

// lastConfirmed returns the latest time, as Clock.Local, at which the copy is known to have
// been complete; ok is false if there is none.
func (m *Mirror) lastConfirmed() (at time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmedAt, m.synced && m.confirmed
}

// Age returns how long ago the copy was last known to be complete; ok is false before the first read.
func (m *Mirror) Age() (age time.Duration, ok bool) {
	at, ok := m.lastConfirmed()
	return max(0, m.local()-at), ok
}

// isAgeLimited reports whether the copy has a maximum age and others depend on this daemon's
// reads, or it on theirs.
func (m *Mirror) isAgeLimited() bool {
	return m.settings.MaxAge > 0 && m.follower != nil && (m.follower.isSole() || m.follower.hasSources() || m.follower.readsForNews())
}

// newsReaders is the number of daemons that limit the age of their copies in a fleet in which all
// read the store. The others learn from their news of changes whose answer they lost; the second
// stands in for the first.
const newsReaders = 2

// readsForNews reports whether this daemon is one of the newsReaders.
func (f *Follower) readsForNews() bool {
	return len(f.settings.StartPolicy.Sources(f.settings.Self, f.settings.Others())) < newsReaders
}

// pollWait returns how long a poll may wait for the copy to be confirmed in time although
// nothing changes.
func (m *Mirror) pollWait() time.Duration {
	wait := share(m.settings.MaxAge, pollShare)
	if at, ok := m.lastConfirmed(); ok {
		wait -= m.local() - at
	}
	return max(0, wait)
}

// local returns the present time of Clock.Local.
func (m *Mirror) local() time.Duration {
	if m.settings.Clock == nil {
		return 0
	}
	return m.settings.Clock.Local()
}

// confirmRead notes that the store read the copy at a time of its clock, in response to a
// call that was sent at a time of Clock.Local. An answer may have been late, so that the
// time of its receipt proves nothing.
func (m *Mirror) confirmRead(readAt platform.StoreTime, sentAt time.Duration) {
	if m.follower == nil {
		return
	}
	at := sentAt
	if now, ok := m.settings.Clock.Now(); ok && readAt != 0 {
		at = max(at, m.local()-max(0, now.Sub(readAt)))
	}
	m.confirm(at)
	m.follower.notifyConfirmed()
}

// maxAge returns the smallest limit of the tables that have one; 0 if none has.
func (f *Follower) maxAge() time.Duration {
	limit := time.Duration(0)
	for _, m := range f.mirrors {
		if age := m.settings.MaxAge; age > 0 && (limit == 0 || age < limit) {
			limit = age
		}
	}
	return limit
}

// share returns a part of a time.
func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// staleAge returns the age from which on the copies of others do not do, so that this daemon
// reads the store. f.mu must be held.
func (f *Follower) staleAge() time.Duration { return f.turnAge() + f.slowness() }

// slowness returns how much longer than the turnAge to wait for a source whose answers of the store are
// as slow as this daemon's own: the store is, and one more reader would only make it slower. Another
// source is waited for as long. f.mu must be held.
func (f *Follower) slowness() time.Duration {
	if !f.hearsSources() {
		return 0
	}
	return min(2*min(f.sourceAnswerTime, f.ownAnswerTime()), f.maxAge())
}

// ownAnswerTime returns how long the store's answers about tables with a maximum age take.
func (f *Follower) ownAnswerTime() time.Duration {
	slowest := time.Duration(0)
	for _, m := range f.mirrors {
		if m.settings.MaxAge > 0 {
			slowest = max(slowest, m.usualAnswerTime())
		}
	}
	return slowest
}

// AnswerTime returns how long the store's answers about the tables with a maximum age take at this daemon,
// or at the one that reads it for this one.
func (f *Follower) AnswerTime() time.Duration {
	own := f.ownAnswerTime()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading || !f.sourced {
		return own
	}
	return f.sourceAnswerTime
}

// turnAge is staleAge while answers of the store are not slow. f.mu must be held.
func (f *Follower) turnAge() time.Duration {
	local := 0
	for _, n := range f.ranked {
		if n.DataCentre == f.settings.Self.DataCentre {
			local++
		}
	}
	switch {
	case len(f.ranked) <= 1:
		return share(f.maxAge(), successorShare)
	case local <= 1:
		return share(f.maxAge(), relayShare)
	default:
		return share(f.maxAge(), leafShare)
	}
}

// maxSourceAge returns the age from which on another source is followed. f.mu must be held.
func (f *Follower) maxSourceAge() time.Duration {
	return min(f.turnAge(), share(f.maxAge(), sourceShare)) + f.slowness()
}

// frameTimeout returns how long to wait for the next frame of a source: not beyond the time
// at which its copies are too old, if there are others.
func (f *Follower) frameTimeout() time.Duration {
	others := len(f.sources(time.Now())) > 1
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.maxSourceAge() - (f.settings.Clock.Local() - f.sourceAt)
	if !f.sourced || !others || left <= 0 {
		return maxFrameInterval
	}
	return min(left, maxFrameInterval)
}

// hasSources reports whether there are daemons that this one may follow, now or later.
func (f *Follower) hasSources() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ranked) > 0
}

// hearsSources reports whether more than one daemon comes before this one in turn, and it has heard one of
// them lately, however old its copies are, and can reach one. f.mu must be held.
func (f *Follower) hearsSources() bool {
	now := time.Now()
	return len(f.ranked) > 1 && f.sourced && now.Sub(f.heardAt) < lateAnswerLimit && len(f.reachable(now)) > 0
}

// isStandIn reports whether this daemon reads the store only as long as those that it follows have no
// newer copies.
func (m *Mirror) isStandIn() bool {
	if m.follower == nil {
		return false
	}
	m.follower.mu.Lock()
	defer m.follower.mu.Unlock()
	return m.follower.hearsSources()
}

// Age returns how long ago the copies of the tables that have a maximum age were last known
// to be complete.
func (f *Follower) Age() time.Duration {
	age, known := f.age()
	if !known {
		return time.Since(f.startedAt)
	}
	return age
}

// age is Age; known is false if a table has not been read.
func (f *Follower) age() (age time.Duration, known bool) {
	at, known := f.lastConfirmed()
	return max(0, f.settings.Clock.Local()-at), known
}

// lastConfirmed returns the time, as Clock.Local, at which the copies of the tables that have
// a maximum age were last known to be complete; known is false if a table has not been read.
func (f *Follower) lastConfirmed() (at time.Duration, known bool) {
	limited := false
	for _, m := range f.mirrors {
		tableAt, ok := m.lastConfirmed()
		if !ok {
			return 0, false
		}
		if m.settings.MaxAge > 0 && (!limited || tableAt < at) {
			at, limited = tableAt, true
		}
	}
	return at, true
}

// notifyConfirmed passes on that the copies were confirmed, if that is news.
func (f *Follower) notifyConfirmed() {
	at, known := f.lastConfirmed()
	f.mu.Lock()
	isNews := known && at >= f.passedOn+minConfirmation
	if isNews {
		f.passedOn = at
	}
	f.mu.Unlock()
	if isNews {
		f.notify()
	}
}

// sourceIsStale reports whether the copies are too old by the source's last frame.
func (f *Follower) sourceIsStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sourced && f.settings.Clock.Local()-f.sourceAt >= f.maxSourceAge()
}

// transit returns how long a frame was on its way, by the store's clock as its sender and
// this daemon estimate it. A sender that stood still, or a link that was cut, may have held
// it up.
func (f *Follower) transit(frame *copyFrame) time.Duration {
	now, ok := f.settings.Clock.Now()
	if !ok || frame.Now == 0 {
		return 0
	}
	return max(0, now.Sub(f.settings.Clock.FromStore(frame.Now)))
}

// describeAge returns, for a log line, how old the copies are held to be, and by table how
// long ago the store last answered by its clock, at this daemon or at one that it follows.
func (f *Follower) describeAge() string {
	age, known := f.age()
	storeNow, read := f.settings.Clock.Now()
	if !known || !read {
		return ""
	}
	out := fmt.Sprintf("; copies %s old, answers of the store take %s, the last:", age.Round(time.Millisecond), f.AnswerTime().Round(time.Millisecond))
	for _, m := range f.mirrors {
		m.mu.Lock()
		if m.lastReadAt != 0 {
			out += fmt.Sprintf(" %s %s", m.settings.Table, storeNow.Sub(m.lastReadAt))
		}
		m.mu.Unlock()
	}
	return out
}
