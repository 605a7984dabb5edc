// Package mirror keeps copies of the tables in the platform's store. A copy
// follows the store's change feed or, while this daemon can't read the store,
// the copies of peers.
package mirror

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// callTimeout limits a call without a long poll, the time that a long poll
	// may take beyond its wait, and the write of a response to a peer.
	callTimeout = 1500 * time.Millisecond
	// peerMaxWait limits a long poll at a peer; then the store is tried again.
	peerMaxWait = time.Second
	// reappearanceWindow is how long after the store's return from an outage rows may
	// reappear that expired during it. The platform documents about two
	// seconds.
	reappearanceWindow = 2250 * time.Millisecond
	// catchUpInterval is the interval between the reads that tell what happened in a gap.
	catchUpInterval = 20 * time.Millisecond
	// reappearancePollInterval is the interval between reads during the
	// reappearanceWindow.
	reappearancePollInterval = 500 * time.Millisecond
)

// MaxRetryInterval is the maximum interval between two reads of the store while it
// fails: a long poll at a peer, its timeout and the backoff.
const MaxRetryInterval = peerMaxWait + callTimeout + maxRetryBackoff

// maxRetryBackoff limits retryBackoff.
const maxRetryBackoff = time.Second

// retryBackoff is the backoff while neither the store nor a peer responds.
var retryBackoff = backoff.Policy{Min: 50 * time.Millisecond, Max: maxRetryBackoff}

// Settings configures a Mirror.
type Settings struct {
	// Table is the table's name in the feed.
	Table string
	// MinInterval is the minimum interval between reads of changes. It limits
	// the calls for a table that changes all the time.
	MinInterval time.Duration
	// SoleMinInterval is MinInterval while other daemons follow this one.
	SoleMinInterval time.Duration
	// MaxWait is the maximum duration of one long poll.
	MaxWait time.Duration
	// MaxAge is the time in which a change has to be known everywhere: how old the copy may
	// become where few daemons read the store, and at two daemons where all do. 0 means no limit.
	MaxAge time.Duration
	// RenewalInterval is set if rows are removed when their writers stop renewing them: the
	// interval of the renewals. After an outage of the store in which live writers may have
	// lost rows, missing rows are kept for the reappearanceWindow.
	RenewalInterval time.Duration
	// IsNewer reports whether a row of the copy is newer than the row of a store that was
	// restored from an older copy. It then stays until the row is written again. nil if the
	// rows do not tell.
	IsNewer func(kept, restored platform.Change) bool
	// OnChange is called with all rows after each change; calls do not overlap.
	OnChange func(rows map[string]platform.Change, read Read)
	// OnStoreRead is called after each read of the store, with its error, and with nil
	// after each frame of a followed daemon; may be nil.
	OnStoreRead func(err error)
	// Clock dates rows that other daemons saw; nil without a Follower.
	Clock Clock
}

// Read describes how the rows of a copy were read.
type Read struct {
	// Version is the store's version, Era its era.
	Version, Era uint64
	// First is set for the first read: changes before it were not seen.
	First bool
	// At is when the store read the rows; 0 if they are a peer's copy.
	At platform.StoreTime
	// AfterGap is set if the changes may have been made long before the read: no read
	// waited for them for a while, or they are a peer's, which may have read them so.
	AfterGap bool
	// After is the time of the store's read before, if AfterGap is set: the changes were
	// made after it. It is 0 if there was none.
	After platform.StoreTime
	// Sights holds, by key, what a followed daemon told of the rows' first sights.
	Sights map[string]Sight
}

// Sight is when a daemon that waited for changes read a row's version.
type Sight struct {
	// At is on the store's clock.
	At platform.StoreTime
	// Age is how long ago that was, or less.
	Age time.Duration
	// By is the daemon that told it.
	By string
}

// maxReadGap is how long no read may have waited for changes for those that are then read
// to count as new.
const maxReadGap = 100 * time.Millisecond

// Mirror is a copy of one table. It is safe for concurrent use.
type Mirror struct {
	settings Settings
	store    platform.Feed
	peers    platform.Feed
	log      *eventlog.Log

	mu   sync.Mutex
	rows map[string]platform.Change
	// at is the store's position of the copy.
	at     platform.Position
	synced bool
	// withheld holds the versions of restored rows that are left out, by key: they were removed
	// before the store was restored. They count again once they are written again.
	withheld map[string]uint64
	// contact tells outages of the store from those of links, if rows expire.
	contact contact
	// missing holds the rows that the store does not have, by key, which are kept as they may
	// reappear. A row with a version above reappearVersion was written after the store's return.
	missing         map[string]bool
	reappearVersion uint64
	// comparedUntil is the end of the latest gap after which the copy was compared with the whole
	// table, unaccounted what it then lacked; nil if nothing. askedUntil is that of the latest
	// gap of which peers were asked.
	comparedUntil, askedUntil platform.StoreTime
	unaccounted               *unaccountedRows
	// missingLogged is set if it was logged that there are missing rows, missingRemoved counts
	// those that were removed since.
	missingLogged  bool
	missingRemoved int
	// restoredAt is the first known answer of the era if a copy whose rows expire changed to it;
	// 0 before.
	restoredAt platform.StoreTime
	createdAt  time.Time
	changed    chan struct{}
	// interrupt ends the wait for the current long poll at the store; nil if there is
	// none.
	interrupt context.CancelFunc
	// open are the calls that are not answered, the oldest first. answerTime is how long answers
	// took lately, as of answerTimeAt.
	open         []*openRead
	answerTime   time.Duration
	answerTimeAt time.Time
	// recheck requests a read of the store although another daemon is followed.
	recheck chan struct{}
	// storeOK is set after a read of the store until one fails or another daemon is
	// followed.
	storeOK bool
	// confirmedAt is the latest time, as Clock.Local, at which the copy is known to have been
	// complete, by an answer of the store to this daemon or to one that it follows; confirmed
	// is unset before the first.
	confirmedAt time.Duration
	confirmed   bool
	// sourcedAt and sourced are the same by a source's frame alone.
	sourcedAt time.Duration
	sourced   bool
	// lastReadAt is the store's time of the last read, this daemon's or its source's.
	lastReadAt platform.StoreTime
	// copyAt is when the store read what the copy shows, for this daemon, its source or a peer.
	copyAt platform.StoreTime
	// completeAt is the store's time of the last read whose changes were passed to OnChange.
	completeAt platform.StoreTime
	// revision counts the changes, revisions holds that of each row's last one.
	revision  uint64
	revisions map[string]uint64
	// tombstones are the deleted rows. Those up to droppedRevision, with versions up to
	// droppedVersion, are forgotten.
	tombstones                      map[string]tombstone
	droppedRevision, droppedVersion uint64
	// sights holds when the rows' versions were first seen, as far as that is known.
	sights map[string]sight

	// historyLost is set until the whole table is read after the store has discarded its history.
	historyLost bool

	// applying serializes changes of the copy, with the calls of OnChange.
	applying sync.Mutex
	// follower is nil if the copy follows no other daemon.
	follower *Follower

	calls sync.WaitGroup
	// answeredLate tells Run of an answer that it does not wait for.
	answeredLate chan struct{}

	// The fields below are used by Run only. storeFailing is set while this daemon's reads of
	// the store fail, wholeNext if the next one has to be of the whole table.
	storeFailing, wholeNext bool
}

// tombstone is a deleted row.
type tombstone struct{ version, revision uint64 }

// sight is when a row's version was first seen: at a time of the store's clock, a given age
// before it was noted here.
type sight struct {
	at    platform.StoreTime
	age   time.Duration
	noted time.Duration // as Clock.Local
}

// New returns an empty Mirror. peers reads the copies of peers.
func New(s Settings, store, peers platform.Feed, log *eventlog.Log) *Mirror {
	if s.OnStoreRead == nil {
		s.OnStoreRead = func(error) {}
	}
	return &Mirror{
		settings: s, store: store, peers: peers, log: log, contact: contact{minOutage: minOutage(s.RenewalInterval)}, createdAt: time.Now(), changed: make(chan struct{}), recheck: make(chan struct{}, 1), answeredLate: make(chan struct{}, 1),
		rows: map[string]platform.Change{}, revisions: map[string]uint64{}, missing: map[string]bool{}, tombstones: map[string]tombstone{}, sights: map[string]sight{}, withheld: map[string]uint64{},
	}
}

// Synced reports whether the table has been read.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Recheck replaces a long poll in progress by a read of the whole table, or reads the store
// although another daemon is followed. It is called when the store was seen to fail or when
// peers have newer rows, since the poll's connection may be dead.
func (m *Mirror) Recheck() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.interrupt != nil {
		m.interrupt()
		return
	}
	select {
	case m.recheck <- struct{}{}:
	default:
	}
}

// pauseReading notes that the store is not read for a while: another daemon's copy is followed.
// A failure of this daemon's last read then says nothing of the next one.
func (m *Mirror) pauseReading() {
	m.setFailing(nil)
	m.wholeNext = false
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeOK = false
}

// setFailing notes whether this daemon's reads of the store fail, err being the last one's error.
func (m *Mirror) setFailing(err error) {
	switch {
	case err != nil && !m.storeFailing:
		m.log.Emit(eventlog.FeedLost, eventlog.Fields{Detail: m.settings.Table + ": " + err.Error()})
	case err == nil && m.storeFailing:
		m.log.Emit(eventlog.FeedRecovered, eventlog.Fields{Detail: m.settings.Table})
	}
	m.storeFailing = err != nil
}

// copyPosition returns the position of the copy, zero if there is none or anew is set.
func (m *Mirror) copyPosition(anew bool) platform.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	if anew || !m.synced {
		return platform.Position{}
	}
	return m.at
}

// Run follows the table until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	defer m.calls.Wait()
	for try := 0; ; {
		if m.follower != nil {
			if err := m.follower.waitTurn(ctx, m); err != nil {
				return err
			}
		}
		err := m.followStore(ctx)
		m.recordRead(err)
		m.settings.OnStoreRead(err)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			try = 0
			if err := backoff.Sleep(ctx, m.readInterval()); err != nil {
				return err
			}
			continue
		}
		m.recordFailure(err)
		answered, err := m.awaitOthers(ctx, min(try, 4))
		if err != nil {
			return err
		}
		if try++; answered {
			try = 0
		}
	}
}

// CompleteAt returns the store's time of the last read if this daemon reads the store for
// others: all changes until then were passed to OnChange.
func (m *Mirror) CompleteAt() (at platform.StoreTime, ok bool) {
	if m.follower == nil || !m.follower.isSole() {
		return 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.completeAt, m.storeOK && m.completeAt != 0
}

func (m *Mirror) recordRead(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeOK = err == nil
}

func (m *Mirror) recordFailure(err error) {
	if isStoresError(err) {
		return
	}
	m.setFailing(err)
}

// followPeers waits for newer copies of peers.
func (m *Mirror) followPeers(ctx context.Context) error {
	m.mu.Lock()
	synced := m.synced
	m.mu.Unlock()
	if !synced {
		return m.readPeers(ctx, 0)
	}
	return m.readPeers(ctx, peerMaxWait/2+time.Duration(rand.Int64N(int64(peerMaxWait/2))))
}

// readPeers reads the copies of peers, which may be newer, and waits for a change if they are
// not.
func (m *Mirror) readPeers(ctx context.Context, wait time.Duration) error {
	m.mu.Lock()
	at := m.at
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, err := m.peers.ReadChanges(callCtx, m.settings.Table, at, wait)
	if err != nil {
		return err
	}
	if m.follower != nil {
		m.follower.observeEra(changes.Era)
	}
	m.applyRead(changes, 0, true)
	m.dropMissing()
	return nil
}

// readGap returns After and AfterGap of a read that took a time.
func (m *Mirror) readGap(at platform.StoreTime, took time.Duration) (after platform.StoreTime, gap bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.lastReadAt
	if at == 0 {
		return previous, true
	}
	m.lastReadAt = max(previous, at)
	if previous != 0 && at.Sub(previous)-took <= maxReadGap {
		return 0, false
	}
	return previous, true
}

// apply applies the changes that a read of the store brought, which took a time, unless they are
// older than the copy.
func (m *Mirror) apply(c platform.Changes, took time.Duration) { m.applyRead(c, took, false) }

// applyRead is apply for reads of the store and of peers.
func (m *Mirror) applyRead(c platform.Changes, took time.Duration, isPeers bool) {
	m.applying.Lock()
	defer m.applying.Unlock()
	if era := m.copyPosition(false).Era; c.Era < era || c.Era > era && !c.Whole {
		return
	}
	after, gap := m.readGap(c.ReadAt, took)
	m.mu.Lock()
	if isPeers {
		m.noteContacts(c.Contacts)
	}
	if m.synced && c.At().Before(m.at) {
		m.mu.Unlock()
		return
	}
	if isPeers {
		for _, other := range c.Contacts {
			m.copyAt = max(m.copyAt, m.fromStore(other).ReadAt)
		}
	} else {
		m.copyAt = max(m.copyAt, m.readTime(c.ReadAt))
	}
	first := !m.synced
	changed, marked, at := first, false, c.At()
	m.revision++
	rows := c.Rows
	if !c.Whole && !isPeers && m.mustCompare() {
		m.noteMassExpiry(rows)
	}
	compare := c.Whole && !isPeers && (m.mustCompare() || m.unaccounted != nil) && !m.historyLost
	m.historyLost = m.historyLost && !c.Whole
	switch {
	case m.synced && c.Era > m.at.Era:
		gap = true // lost writes and their repetitions may lie in between
		changed, rows = m.replaceRestored(rows, c.At(), c.ReadAt, c.Contacts...), nil
	case compare:
		m.compareWhole(rows, c.Version, c.ReadAt)
		at = m.at
	case c.Whole:
		marked = m.markMissing(rows, c.Version, isPeers)
		if m.synced && m.at.Before(c.At()) {
			// Followers may know rows that were written and removed between the two versions.
			m.droppedRevision, m.droppedVersion = m.revision, c.Version
			marked = true
		}
	}
	for _, row := range rows {
		if old, known := m.rows[row.Key]; row.Deleted && known && m.mayReappear(old) {
			marked = m.markRow(row.Key) || marked // it may have expired while the store returned
			continue
		}
		if isPeers && m.wasRemoved(row) || !m.applyRow(row) {
			continue
		}
		changed = true
		if !gap && !first && !row.Deleted && m.settings.Clock != nil {
			m.sights[row.Key] = sight{at: m.settings.Clock.ToStore(c.ReadAt), noted: m.settings.Clock.Local()}
		}
	}
	m.at, m.synced = at, true
	if !c.Whole && !isPeers {
		marked = m.settleUnaccounted(c.Version, c.ReadAt) || marked
	}
	changed = m.removeGone() || changed
	m.publish(changed, marked, Read{Version: at.Version, Era: at.Era, First: first, At: c.ReadAt, AfterGap: gap, After: after})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completeAt = max(m.completeAt, c.ReadAt)
}

// publish ends a change of the copy: it releases m.mu and calls OnChange. marked is set if
// there is news for followers only.
func (m *Mirror) publish(changed, marked bool, read Read) {
	m.logMissing()
	if !changed {
		if !marked {
			m.revision--
		}
		m.mu.Unlock()
		if marked && m.follower != nil {
			m.follower.notify()
		}
		return
	}
	rows := make(map[string]platform.Change, len(m.rows))
	for k, v := range m.rows {
		rows[k] = v
	}
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.settings.OnChange(rows, read)
	if m.follower != nil {
		m.follower.notify()
	}
}

// applyCopied applies the rows of a followed daemon. It reports false if the copy then has
// other rows than that daemon.
func (m *Mirror) applyCopied(t *copiedTable, source string) bool {
	m.applying.Lock()
	defer m.applying.Unlock()
	clock := m.settings.Clock
	m.mu.Lock()
	if m.synced && (t.Era < m.at.Era || t.Era > m.at.Era && !t.Whole) {
		defer m.mu.Unlock()
		return t.Era < m.at.Era // the source learns of the era soon
	}
	m.noteContacts(t.knownContacts())
	restored := m.synced && t.Era > m.at.Era
	at := platform.Position{Era: t.Era, Version: t.Version}
	if m.synced && at.Before(m.at) {
		at = m.at
	}
	read := Read{Version: at.Version, Era: at.Era, First: !m.synced, AfterGap: true, After: m.lastReadAt, Sights: map[string]Sight{}}
	changed, marked := read.First, false
	m.revision++
	switch {
	case restored:
		changed = m.replaceRestored(t.presentRows(), at, 0, t.Contacts...)
	case t.Whole && t.Version >= m.at.Version:
		marked = m.markMissing(t.presentRows(), t.Version, true)
	}
	for _, row := range t.Rows {
		old, known := m.rows[row.Key]
		if row.Missing {
			marked = known && old.Version <= row.Version && m.markRow(row.Key) || marked
			continue
		}
		if !restored && (m.wasRemoved(row.change()) || !m.applyRow(row.change())) {
			continue
		}
		changed = changed || !restored
		if applied := m.rows[row.Key]; row.SeenAt != 0 && applied.Version == row.Version && bytes.Equal(applied.Value, row.Value) {
			age := time.Duration(max(0, row.SeenAgeMs)) * time.Millisecond
			m.sights[row.Key] = sight{at: row.SeenAt, age: age, noted: clock.Local()}
			read.Sights[row.Key] = Sight{At: row.SeenAt, Age: age, By: source}
		}
	}
	if t.ReadAt != 0 {
		m.lastReadAt = max(m.lastReadAt, clock.FromStore(t.ReadAt))
		m.copyAt = max(m.copyAt, m.lastReadAt)
	}
	m.at, m.synced = at, true
	changed = m.removeGone() || changed
	present := len(m.rows) - len(m.missing)
	same := t.Version < m.at.Version || t.Count >= present && t.Count <= present+len(m.withheld) || m.inReappearanceWindow()
	m.publish(changed, marked, read)
	m.settings.OnStoreRead(nil)
	return same
}

// applyRow applies one change and reports whether it changed the copy. m.mu must be held.
func (m *Mirror) applyRow(row platform.Change) bool {
	old, known := m.rows[row.Key]
	if version, withheld := m.withheld[row.Key]; withheld {
		if !row.Deleted && row.Version <= version {
			return false
		}
		delete(m.withheld, row.Key)
	}
	if row.Deleted {
		if row.Version >= old.Version {
			m.remove(row.Key, row.Version) // followers may know a row that is unknown here
		}
		return known && row.Version >= old.Version
	}
	if known && old.Version >= row.Version {
		return false
	}
	m.rows[row.Key] = row
	m.revisions[row.Key] = m.revision
	delete(m.sights, row.Key)
	delete(m.tombstones, row.Key)
	delete(m.missing, row.Key)
	return true
}

// remove removes a row, which was deleted by a version. m.mu must be held.
func (m *Mirror) remove(key string, version uint64) {
	delete(m.rows, key)
	delete(m.revisions, key)
	delete(m.sights, key)
	delete(m.missing, key)
	if len(m.tombstones) >= maxTombstones {
		for _, t := range m.tombstones {
			m.droppedRevision, m.droppedVersion = max(m.droppedRevision, t.revision), max(m.droppedVersion, t.version)
		}
		clear(m.tombstones)
	}
	m.tombstones[key] = tombstone{max(version, m.tombstones[key].version), m.revision}
}

// replaceRestored replaces the copy by all rows of a store that was restored from an older copy.
// Rows that are older than the copy's do not replace them until they are written again: those of
// which the copy is newer, and of tables whose writers renew their rows all that the copy may have
// seen change, or be removed, in the older era. readAt is when the store read them; 0 if they are
// other daemons', of which others tells. It reports whether the rows changed. m.mu must be held.
func (m *Mirror) replaceRestored(restored []platform.Change, at platform.Position, readAt platform.StoreTime, others ...platform.Contact) bool {
	previous, last := m.rows, m.at.Version
	m.rows, m.revisions, m.withheld = make(map[string]platform.Change, len(restored)), map[string]uint64{}, map[string]uint64{}
	clear(m.tombstones)
	clear(m.missing)
	m.unaccounted = nil
	m.droppedRevision, m.droppedVersion = m.revision, 0
	m.at.Era = at.Era
	if m.rowsExpire() {
		m.reappearVersion = at.Version
		m.restoredAt = m.readTime(readAt)
		for _, other := range others {
			m.dateRestore(other)
		}
	}
	changed := false
	for _, row := range restored {
		old, known := previous[row.Key]
		mayBeOld := m.rowsExpire() && row.Version <= last
		if !known && mayBeOld {
			m.withheld[row.Key] = row.Version
			continue
		}
		if known && (mayBeOld || m.settings.IsNewer != nil && m.settings.IsNewer(old, row)) {
			row.Value = old.Value
		}
		if !known || !bytes.Equal(old.Value, row.Value) {
			changed = true
			delete(m.sights, row.Key)
		}
		m.rows[row.Key], m.revisions[row.Key] = row, m.revision
	}
	for key, row := range previous {
		if _, present := m.rows[key]; present {
			continue
		}
		if m.rowsExpire() {
			row.Version = 0 // any write replaces it
			m.rows[key], m.revisions[key], m.missing[key] = row, m.revision, true
			continue
		}
		changed = true
		delete(m.sights, key)
	}
	return changed
}

// ReadTable implements platform.Feed for peers. Rows that the store does not have are left out.
func (m *Mirror) ReadTable(context.Context, string) (platform.Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced {
		return platform.Changes{}, errNotSynced
	}
	out := platform.Changes{Version: m.at.Version, Era: m.at.Era, Whole: true, Rows: make([]platform.Change, 0, len(m.rows))}
	for key, row := range m.rows {
		if !m.missing[key] {
			out.Rows = append(out.Rows, row)
		}
	}
	out.Contacts = []platform.Contact{m.statedContact()}
	return out, nil
}

// errNotSynced is returned before the table has been read.
var errNotSynced = errors.New("the table has not been read yet")

// ReadChanges implements platform.Feed for peers. It returns the whole table as
// soon as the copy is newer than position after, or when wait has passed.
func (m *Mirror) ReadChanges(ctx context.Context, table string, after platform.Position, wait time.Duration) (platform.Changes, error) {
	timer := time.NewTimer(max(wait, time.Nanosecond))
	defer timer.Stop()
	for {
		m.mu.Lock()
		at, changed := m.at, m.changed
		m.mu.Unlock()
		if after.Before(at) {
			return m.ReadTable(ctx, table)
		}
		select {
		case <-changed:
		case <-timer.C:
			return m.ReadTable(ctx, table)
		case <-ctx.Done():
			return platform.Changes{}, ctx.Err()
		}
	}
}
