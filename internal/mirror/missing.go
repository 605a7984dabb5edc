package mirror

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
)

// Rows that expire are removed by the store when their writers stop renewing them, also if that is
// because the store was down. Those of live writers reappear soon after its return. Until then they
// are kept, but only after an outage of the store that daemons know of by all their answers
// (contact): a row that is missing after a lost link was removed (docs/design/0308).

// expiryIntervals is the number of RenewalIntervals after which a row expires. The last renewal may
// be almost one interval old when an outage begins, and renewals are a quarter of one early or late.
const expiryIntervals, oldestRenewal, renewalJitter = 3, 1, 0.25

// minOutage returns the length of the shortest outage in which rows of live writers may expire.
func minOutage(renewalInterval time.Duration) time.Duration {
	return share(renewalInterval, expiryIntervals-oldestRenewal-renewalJitter)
}

func (m *Mirror) rowsExpire() bool { return m.settings.RenewalInterval > 0 }

// storeNow returns the present time of the store, or of this process if the store tells none.
func (m *Mirror) storeNow() platform.StoreTime {
	if m.settings.Clock != nil {
		if now, ok := m.settings.Clock.Now(); ok {
			return now
		}
	}
	return platform.StoreTime(1).Add(time.Since(m.createdAt))
}

// storeTimeOf returns a time of Clock.Local as a time of the store.
func (m *Mirror) storeTimeOf(local time.Duration) platform.StoreTime {
	return m.storeNow().Add(local - m.local())
}

// observeAnswer notes that the store answered a call about any table.
func (m *Mirror) observeAnswer(sentAt, readAt platform.StoreTime) {
	m.observeStore(func(c *contact) { c.answered(sentAt, readAt) })
}

// observeFailure notes that a call of the store failed, about any table.
func (m *Mirror) observeFailure(at platform.StoreTime) {
	m.observeStore(func(c *contact) { c.failed(at) })
}

// observeStore changes what the copies whose rows expire know of the store.
func (m *Mirror) observeStore(change func(c *contact)) {
	if m.follower != nil {
		m.follower.observeStore(change)
		return
	}
	m.observeOwn(change)
}

// observeOwn changes what this copy knows of the store, and drops rows that it shows to be removed.
func (m *Mirror) observeOwn(change func(c *contact)) {
	if !m.rowsExpire() {
		return
	}
	m.mu.Lock()
	m.observeContact(func() { change(&m.contact) })
	drop := m.mayDropMissing()
	m.mu.Unlock()
	if drop {
		m.dropMissing()
	}
}

// noteContacts notes what other daemons know. m.mu must be held.
func (m *Mirror) noteContacts(others []platform.Contact) {
	if !m.rowsExpire() {
		return
	}
	for _, other := range others {
		m.observeContact(func() { m.contact.relayed(m.fromStore(other)) })
		m.dateRestore(other)
	}
}

// fromStore converts what another daemon told to times of Clock.
func (m *Mirror) fromStore(c platform.Contact) platform.Contact {
	if m.settings.Clock == nil {
		return c
	}
	return c.Map(m.settings.Clock.FromStore)
}

// dateRestore notes when another daemon first was answered in the copy's era. m.mu must be held.
func (m *Mirror) dateRestore(other platform.Contact) {
	if at := m.fromStore(other).RestoredAt; at != 0 && m.restoredAt != 0 && other.Era == m.at.Era {
		m.restoredAt = min(m.restoredAt, at)
	}
}

// observeContact changes m.contact. m.mu must be held.
func (m *Mirror) observeContact(change func()) {
	if m.follower != nil {
		m.contact.self, m.contact.witnesses = m.follower.settings.Self.Name, min(maxWitnesses, 1+m.follower.knownOthers())
	}
	before := m.contact.returnedAt()
	change()
	returned := m.contact.returnedAt()
	if returned > before {
		m.reappearVersion = m.at.Version
	}
	if returned != before {
		m.revision++ // news for followers
	}
}

// statedContact returns what other daemons are told. m.mu must be held.
func (m *Mirror) statedContact() platform.Contact {
	c := m.contact.state()
	c.ReadAt, c.RestoredAt, c.Era = m.copyAt, m.restoredAt, m.at.Era
	if m.settings.Clock != nil {
		c = c.Map(m.settings.Clock.ToStore)
	}
	return c
}

// readTime returns the time of a read by the store's clock.
func (m *Mirror) readTime(readAt platform.StoreTime) platform.StoreTime {
	if readAt == 0 {
		return m.storeNow()
	}
	return readAt
}

// mayHaveMissedOutage reports whether the store may have been down since its last known answer.
// m.mu must be held.
func (m *Mirror) mayHaveMissedOutage(now platform.StoreTime) bool {
	return m.rowsExpire() && m.contact.last != 0 && now.Sub(m.contact.last) >= m.contact.minOutage
}

// mustCompare reports whether there is a gap in which rows may have expired without a trace in the
// history: the copy has to be compared with the whole table. m.mu must be held.
func (m *Mirror) mustCompare() bool {
	g, ok := m.contact.lastGap()
	return m.synced && m.rowsExpire() && ok && g.until > m.comparedUntil
}

// inReappearanceWindow reports whether rows that the copy's last read did not show may reappear. m.mu must be held.
func (m *Mirror) inReappearanceWindow() bool {
	returned := max(m.contact.returnedAt(), m.restoredAt)
	return returned != 0 && m.copyAt.Sub(returned) < reappearanceWindow
}

// askPeersAboutOutage asks peers when the store answered them, since this daemon may have lost its link
// alone, or stood still while the store was down.
func (m *Mirror) askPeersAboutOutage(ctx context.Context) {
	m.mu.Lock()
	g, ok := m.contact.lastGap()
	ask := ok && m.mustCompare() && g.until > m.askedUntil
	m.askedUntil = max(m.askedUntil, g.until)
	m.mu.Unlock()
	if !ask {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reappearancePollInterval)
	defer cancel()
	_ = m.readPeers(ctx, 0) // without a response, this daemon goes by what it knows; event 515 tells it
}

// compareWhole notes the rows that the whole table of a version lacks. The history up to that version
// tells whether they were removed; until it is read they stay. m.mu must be held.
func (m *Mirror) compareWhole(table []platform.Change, version uint64, readAt platform.StoreTime) {
	if g, ok := m.contact.lastGap(); ok {
		m.comparedUntil = g.until
	}
	present := m.notePresent(table)
	m.unaccounted = nil
	for key, row := range m.rows {
		if !present[key] && !m.missing[key] && row.Version <= version {
			if m.unaccounted == nil {
				m.unaccounted = &unaccountedRows{version: version, readAt: readAt}
			}
			m.unaccounted.keys = append(m.unaccounted.keys, key)
		}
	}
}

// unaccountedRows are rows that the whole table of a version, read at a time of the store, lacked after
// a gap.
type unaccountedRows struct {
	keys    []string
	version uint64
	readAt  platform.StoreTime
}

// settleUnaccounted notes that the history was read up to a version at a time of the store, and reports
// whether it marked rows as missing: those that it did not tell of vanished without a trace, as they do
// while the store is down. m.mu must be held.
func (m *Mirror) settleUnaccounted(version uint64, readAt platform.StoreTime) (marked bool) {
	if m.unaccounted == nil || version < m.unaccounted.version && readAt <= m.unaccounted.readAt {
		return false
	}
	for _, key := range m.unaccounted.keys {
		if row, known := m.rows[key]; known && row.Version <= m.unaccounted.version {
			marked = m.markRow(key) || marked
		}
	}
	if marked {
		m.observeContact(m.contact.rowsVanished)
	}
	m.unaccounted = nil
	return marked
}

// massExpiryShare is the share of a copy's rows whose removal at once, after a gap, shows that the store was
// down: all writers fail to renew their rows then. Planned work takes fewer.
const massExpiryShare = 0.5

// noteMassExpiry notes that a history after a gap removes most of the rows. m.mu must be held.
func (m *Mirror) noteMassExpiry(history []platform.Change) {
	removed := map[string]bool{}
	for _, row := range history {
		if old, known := m.rows[row.Key]; known && row.Deleted && row.Version > old.Version {
			removed[row.Key] = true
		} else if !row.Deleted {
			delete(removed, row.Key)
		}
	}
	if float64(len(removed)) > massExpiryShare*float64(len(m.rows)) {
		m.observeContact(m.contact.rowsVanished)
	}
}

// isComplete reports whether the copy shows all changes up to the last answer of the store.
func (m *Mirror) isComplete() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unaccounted == nil
}

// mayReappear reports whether a row that the store does not have may be written again by a live
// writer. m.mu must be held.
func (m *Mirror) mayReappear(row platform.Change) bool {
	return m.inReappearanceWindow() && row.Version <= m.reappearVersion
}

// mayDropMissing reports whether there are missing rows that do not reappear. m.mu must be held.
func (m *Mirror) mayDropMissing() bool {
	for key := range m.missing {
		if !m.mayReappear(m.rows[key]) {
			return true
		}
	}
	return false
}

// markMissing marks the rows that are absent from the whole table of a version as missing, and reports
// whether there were any. Newer rows were written since. Only the store itself shows that a missing row
// is back under its old version. m.mu must be held.
func (m *Mirror) markMissing(table []platform.Change, version uint64, isPeers bool) (marked bool) {
	var present map[string]bool
	if isPeers {
		present = keysOf(table)
	} else {
		present = m.notePresent(table)
	}
	maps.DeleteFunc(m.withheld, func(key string, _ uint64) bool { return !present[key] })
	for key, row := range m.rows {
		if !present[key] && row.Version <= version {
			marked = m.markRow(key) || marked
		}
	}
	return marked
}

// notePresent notes that the store has the rows of a whole table, and returns their keys. m.mu must be
// held.
func (m *Mirror) notePresent(table []platform.Change) map[string]bool {
	for _, row := range table {
		delete(m.missing, row.Key)
	}
	return keysOf(table)
}

func keysOf(table []platform.Change) map[string]bool {
	keys := make(map[string]bool, len(table))
	for _, row := range table {
		keys[row.Key] = true
	}
	return keys
}

// markRow marks a row as missing, and reports whether it was not before. m.mu must be held.
func (m *Mirror) markRow(key string) bool {
	if m.missing[key] {
		return false
	}
	m.missing[key], m.revisions[key] = true, m.revision
	return true
}

// removeGone removes the missing rows that do not reappear, and reports whether there were any.
// m.mu must be held.
func (m *Mirror) removeGone() bool {
	if len(m.missing) == 0 {
		return false
	}
	changed := false
	for key := range m.missing {
		if !m.mayReappear(m.rows[key]) {
			m.remove(key, m.at.Version)
			m.missingRemoved++
			changed = true
		}
	}
	return changed
}

// logMissing logs when rows begin to be kept, and when none is left. m.mu must be held.
func (m *Mirror) logMissing() {
	kept := len(m.missing) > 0
	switch {
	case kept && !m.missingLogged:
		m.missingRemoved = 0
		m.log.Emit(eventlog.MissingRowsKept, eventlog.Fields{Detail: m.settings.Table + ": " + strconv.Itoa(len(m.missing)) + m.describeOutage()})
	case !kept && m.missingLogged:
		m.log.Emit(eventlog.MissingRowsSettled, eventlog.Fields{Detail: fmt.Sprintf("%s: %d removed", m.settings.Table, m.missingRemoved)})
	}
	m.missingLogged = kept
}

// describeOutage returns, for a log line, how long the store was away. m.mu must be held.
func (m *Mirror) describeOutage() string {
	returned := m.contact.returnedAt()
	if returned < m.restoredAt {
		return fmt.Sprintf("; the store was restored %s ago", m.storeNow().Sub(m.restoredAt))
	}
	if g, ok := m.contact.lastOutage(); ok {
		return fmt.Sprintf("; the store gave no answer for %s and returned %s ago; calls sent %s later were answered, failed at %v, rows vanished as in one: %t",
			g.length(), m.storeNow().Sub(returned), g.asked.Sub(g.from), g.failedBy, g.vanished)
	}
	return ""
}

// Missing returns how many rows are kept although the store does not have them.
func (m *Mirror) Missing() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.missing)
}

// dropMissing removes the missing rows that do not reappear.
func (m *Mirror) dropMissing() {
	m.applying.Lock()
	defer m.applying.Unlock()
	m.mu.Lock()
	m.revision++
	m.publish(m.removeGone(), false, Read{Version: m.at.Version, Era: m.at.Era, AfterGap: true, After: m.lastReadAt})
}

// wasRemoved reports whether a row of another daemon's copy is unknown here because it was removed:
// this copy is newer than the row. m.mu must be held.
func (m *Mirror) wasRemoved(row platform.Change) bool {
	_, known := m.rows[row.Key]
	return !known && !row.Deleted && m.synced && row.Version <= m.at.Version
}
