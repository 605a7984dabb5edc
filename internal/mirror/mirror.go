// Package mirror keeps copies of the tables in the platform's store. A copy
// follows the store's change feed or, while this daemon can't read the store,
// the copies of peers.
package mirror

import (
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
	// reappearanceWindow is how long after an outage of the store rows may
	// reappear that expired during it. The platform documents about two
	// seconds.
	reappearanceWindow = 2500 * time.Millisecond
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
	// MaxWait is the maximum duration of one long poll.
	MaxWait time.Duration
	// RowsExpire is set if rows are removed when their writers stop renewing
	// them. After an outage, missing rows are kept for the reappearanceWindow.
	RowsExpire bool
	// OnChange is called with all rows after each change; calls do not overlap.
	OnChange func(rows map[string]platform.Change, read Read)
	// OnStoreRead is called after each read of the store, with its error; may
	// be nil.
	OnStoreRead func(err error)
}

// Read describes how the rows of a copy were read.
type Read struct {
	// Version is the store's version.
	Version uint64
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

	mu      sync.Mutex
	rows    map[string]platform.Change
	version uint64
	synced  bool
	changed chan struct{}
	// cancelWait cancels the current long poll at the store; nil if there is
	// none.
	cancelWait context.CancelFunc

	// The fields below are used by Run only.
	storeFailing bool
	failedAt     time.Time
	recoveredAt  time.Time
	lastReadAt   platform.StoreTime
	// missing is unused.
	missing map[string]bool
}

// New returns an empty Mirror. peers reads the copies of peers.
func New(s Settings, store, peers platform.Feed, log *eventlog.Log) *Mirror {
	if s.OnStoreRead == nil {
		s.OnStoreRead = func(error) {}
	}
	return &Mirror{settings: s, store: store, peers: peers, log: log, rows: map[string]platform.Change{}, changed: make(chan struct{}), missing: map[string]bool{}}
}

// Synced reports whether the table has been read.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Recheck replaces a long poll in progress by a read of the whole table. It is
// called when the store was seen to fail or when peers have newer rows, since the
// poll's connection may be dead.
func (m *Mirror) Recheck() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelWait != nil {
		m.cancelWait()
	}
}

// Run follows the table until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for try := 0; ; {
		err := m.followStore(ctx)
		m.settings.OnStoreRead(err)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			try = 0
			if err := backoff.Sleep(ctx, m.settings.MinInterval); err != nil {
				return err
			}
			continue
		}
		m.recordFailure(err)
		peerErr := m.followPeers(ctx)
		if peerErr == nil {
			try = 0
		}
		if err := retryBackoff.Wait(ctx, min(try, 4)); err != nil {
			return err
		}
		try++
	}
}

func (m *Mirror) recordFailure(err error) {
	if errors.Is(err, platform.ErrHistoryLost) {
		return
	}
	if !m.storeFailing {
		m.log.Emit(eventlog.FeedLost, eventlog.Fields{Detail: m.settings.Table + ": " + err.Error()})
	}
	m.storeFailing, m.failedAt = true, time.Now()
}

// followStore reads the table or its changes from the store once.
func (m *Mirror) followStore(ctx context.Context) error {
	m.mu.Lock()
	version, synced := m.version, m.synced
	m.mu.Unlock()
	// After an outage read the whole table: rows that expired meanwhile may be
	// missing in the history.
	if !synced || m.storeFailing || m.inReappearanceWindow() {
		return m.readWholeTable(ctx)
	}
	wait := m.settings.MaxWait
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	m.setCancelWait(cancel)
	start := time.Now()
	changes, err := m.store.ReadChanges(callCtx, m.settings.Table, version, wait)
	took := time.Since(start)
	m.setCancelWait(nil)
	rechecked := err != nil && errors.Is(callCtx.Err(), context.Canceled) && ctx.Err() == nil
	if rechecked || errors.Is(err, platform.ErrHistoryLost) {
		return m.readWholeTable(ctx)
	}
	if err != nil {
		return err
	}
	m.apply(changes, took)
	return nil
}

func (m *Mirror) setCancelWait(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelWait = cancel
}

func (m *Mirror) inReappearanceWindow() bool {
	return m.settings.RowsExpire && !m.recoveredAt.IsZero()
}

func (m *Mirror) readWholeTable(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	changes, err := m.store.ReadTable(callCtx, m.settings.Table)
	if err != nil {
		return err
	}
	took := time.Since(start)
	if m.storeFailing {
		m.storeFailing = false
		m.recoveredAt = time.Now()
		m.log.Emit(eventlog.FeedRecovered, eventlog.Fields{Detail: m.settings.Table})
	}
	m.apply(changes, took)
	if !m.inReappearanceWindow() {
		return nil
	}
	if time.Since(m.recoveredAt) > reappearanceWindow {
		m.recoveredAt = time.Time{}
		return nil
	}
	return backoff.Sleep(ctx, reappearancePollInterval)
}

// followPeers reads the copies of peers, which may be newer.
func (m *Mirror) followPeers(ctx context.Context) error {
	m.mu.Lock()
	version, synced := m.version, m.synced
	m.mu.Unlock()
	wait := peerMaxWait/2 + time.Duration(rand.Int64N(int64(peerMaxWait/2)))
	if !synced {
		wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, err := m.peers.ReadChanges(callCtx, m.settings.Table, version, wait)
	if err != nil {
		return err
	}
	m.apply(changes, 0)
	return nil
}

// readGap returns After and AfterGap of a read that took a time.
func (m *Mirror) readGap(at platform.StoreTime, took time.Duration) (after platform.StoreTime, gap bool) {
	previous := m.lastReadAt
	if at == 0 {
		return previous, true
	}
	m.lastReadAt = at
	if previous != 0 && at.Sub(previous)-took <= maxReadGap {
		return 0, false
	}
	return previous, true
}

// apply applies the changes that a read brought, which took a time, unless they are
// older than the copy.
func (m *Mirror) apply(c platform.Changes, took time.Duration) {
	after, gap := m.readGap(c.ReadAt, took)
	m.mu.Lock()
	if m.synced && c.Version < m.version {
		m.mu.Unlock()
		return
	}
	first := !m.synced
	changed := first
	if c.Whole {
		changed = m.removeMissing(c) || changed
	}
	for _, row := range c.Rows {
		changed = m.applyRow(row) || changed
	}
	m.version, m.synced = c.Version, true
	rows := m.rows
	if changed {
		next := make(map[string]platform.Change, len(m.rows))
		for k, v := range m.rows {
			next[k] = v
		}
		rows = next
		close(m.changed)
		m.changed = make(chan struct{})
	}
	m.mu.Unlock()
	if changed {
		m.settings.OnChange(rows, Read{Version: c.Version, First: first, At: c.ReadAt, AfterGap: gap, After: after})
	}
}

// applyRow applies one change and reports whether it changed the copy.
func (m *Mirror) applyRow(row platform.Change) bool {
	old, known := m.rows[row.Key]
	if row.Deleted {
		delete(m.rows, row.Key)
		return known
	}
	if known && old.Version >= row.Version {
		return false
	}
	m.rows[row.Key] = row
	return true
}

// removeMissing removes rows that are absent from a read of the whole table and
// reports whether there were any. During the reappearanceWindow they are kept.
func (m *Mirror) removeMissing(c platform.Changes) bool {
	present := map[string]bool{}
	for _, row := range c.Rows {
		present[row.Key] = true
	}
	keep := m.inReappearanceWindow() && time.Since(m.recoveredAt) <= reappearanceWindow
	changed := false
	for key := range m.rows {
		if !present[key] && !keep {
			delete(m.rows, key)
			changed = true
		}
	}
	return changed
}

// ReadTable implements platform.Feed for peers.
func (m *Mirror) ReadTable(context.Context, string) (platform.Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced {
		return platform.Changes{}, errNotSynced
	}
	out := platform.Changes{Version: m.version, Whole: true, Rows: make([]platform.Change, 0, len(m.rows))}
	for _, row := range m.rows {
		out.Rows = append(out.Rows, row)
	}
	return out, nil
}

// errNotSynced is returned before the table has been read.
var errNotSynced = errors.New("the table has not been read yet")

// ReadChanges implements platform.Feed for peers. It returns the whole table as
// soon as the copy is newer than version after, or when wait has passed.
func (m *Mirror) ReadChanges(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	timer := time.NewTimer(max(wait, time.Nanosecond))
	defer timer.Stop()
	for {
		m.mu.Lock()
		version, changed := m.version, m.changed
		m.mu.Unlock()
		if version > after {
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
