// Package mirror keeps copies of tables of the platform's store. A copy
// follows the store's feed of changes; while the store does not serve this
// daemon, it follows the copies of peers.
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
	// callTimeout bounds a read that does not wait, and what a feed's answer
	// may take beyond its wait.
	callTimeout = 1500 * time.Millisecond
	// peerWait is the longest wait for a change at a peer; the store is tried again after it.
	peerWait = time.Second
	// settleTime is how long after an outage of the store rows may still come
	// back that expired meanwhile; the platform states about two seconds.
	settleTime = 2500 * time.Millisecond
	// settlePoll is the pause between two readings while rows may come back.
	settlePoll = 500 * time.Millisecond
)

// retryBackoff spaces tries while neither the store nor a peer answers.
var retryBackoff = backoff.Policy{Min: 50 * time.Millisecond, Max: time.Second}

// Settings configures a Mirror.
type Settings struct {
	// Table is the name of the table.
	Table string
	// Pause is the least time between two reads of changes; it bounds the calls
	// for a table that changes all the time.
	Pause time.Duration
	// Wait is the longest wait for a change in one call.
	Wait time.Duration
	// Expiring says that rows are removed when their writers fall silent. After
	// an outage, rows that are missing are kept for settleTime.
	Expiring bool
	// Adopted is called after each change with all rows, one call at a time.
	Adopted func(rows map[string]platform.Change, version uint64)
	// Reached is called after each read of the store, with its error.
	Reached func(err error)
}

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
	// endWait ends the present wait for changes at the store; nil without one.
	endWait context.CancelFunc

	// The rest is used by Run alone.
	failing     bool
	failedAt    time.Time
	recoveredAt time.Time
	// missing are rows that were not there after an outage.
	missing map[string]bool
}

// New returns an empty Mirror. peers gives the copies of peers.
func New(s Settings, store, peers platform.Feed, log *eventlog.Log) *Mirror {
	if s.Reached == nil {
		s.Reached = func(error) {}
	}
	return &Mirror{settings: s, store: store, peers: peers, log: log, rows: map[string]platform.Change{}, changed: make(chan struct{}), missing: map[string]bool{}}
}

// Synced reports whether the table was read once.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Recheck reads the table anew instead of waiting longer for a change: the store
// was seen to fail, and the connection of the wait may be dead without a sign.
func (m *Mirror) Recheck() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endWait != nil {
		m.endWait()
	}
}

// Run follows the table until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for try := 0; ; {
		err := m.followStore(ctx)
		m.settings.Reached(err)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			try = 0
			if err := backoff.Sleep(ctx, m.settings.Pause); err != nil {
				return err
			}
			continue
		}
		m.noteFailure(err)
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

func (m *Mirror) noteFailure(err error) {
	if errors.Is(err, platform.ErrHistoryLost) {
		return
	}
	if !m.failing {
		m.log.Emit(eventlog.FeedLost, eventlog.Fields{Detail: m.settings.Table + ": " + err.Error()})
	}
	m.failing, m.failedAt = true, time.Now()
}

// followStore reads the table, or what changed in it, from the store.
func (m *Mirror) followStore(ctx context.Context) error {
	m.mu.Lock()
	version, synced := m.version, m.synced
	m.mu.Unlock()
	// After an outage the whole table is read: what expired meanwhile may not be in the history.
	if !synced || m.failing || m.settling() {
		return m.readWhole(ctx)
	}
	wait := m.settings.Wait
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	m.setWait(cancel)
	changes, err := m.store.ReadChanges(callCtx, m.settings.Table, version, wait)
	m.setWait(nil)
	rechecked := err != nil && errors.Is(callCtx.Err(), context.Canceled) && ctx.Err() == nil
	if rechecked || errors.Is(err, platform.ErrHistoryLost) {
		return m.readWhole(ctx)
	}
	if err != nil {
		return err
	}
	m.apply(changes)
	return nil
}

func (m *Mirror) setWait(end context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endWait = end
}

func (m *Mirror) settling() bool {
	return m.settings.Expiring && !m.recoveredAt.IsZero()
}

func (m *Mirror) readWhole(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes, err := m.store.ReadTable(callCtx, m.settings.Table)
	if err != nil {
		return err
	}
	if m.failing {
		m.failing = false
		m.recoveredAt = time.Now()
		m.log.Emit(eventlog.FeedRegained, eventlog.Fields{Detail: m.settings.Table})
	}
	m.apply(changes)
	if !m.settling() {
		return nil
	}
	if time.Since(m.recoveredAt) > settleTime {
		m.recoveredAt = time.Time{}
		return nil
	}
	return backoff.Sleep(ctx, settlePoll)
}

// followPeers reads what peers know, which may be newer.
func (m *Mirror) followPeers(ctx context.Context) error {
	m.mu.Lock()
	version, synced := m.version, m.synced
	m.mu.Unlock()
	wait := peerWait/2 + time.Duration(rand.Int64N(int64(peerWait/2)))
	if !synced {
		wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, err := m.peers.ReadChanges(callCtx, m.settings.Table, version, wait)
	if err != nil {
		return err
	}
	m.apply(changes)
	return nil
}

// apply takes over changes that are newer than the copy.
func (m *Mirror) apply(c platform.Changes) {
	m.mu.Lock()
	if m.synced && c.Version < m.version {
		m.mu.Unlock()
		return
	}
	changed := !m.synced
	if c.Whole {
		changed = m.dropMissing(c) || changed
	}
	for _, row := range c.Rows {
		changed = m.applyRow(row) || changed
	}
	m.version, m.synced = c.Version, true
	rows, version := m.rows, m.version
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
		m.settings.Adopted(rows, version)
	}
}

// applyRow reports whether a row changed.
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

// dropMissing removes rows that are not in a reading of the whole table.
// While rows may still come back after an outage, they are kept.
func (m *Mirror) dropMissing(c platform.Changes) bool {
	present := map[string]bool{}
	for _, row := range c.Rows {
		present[row.Key] = true
	}
	keep := m.settling() && time.Since(m.recoveredAt) <= settleTime
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

// errNotSynced reports that the table was not read yet.
var errNotSynced = errors.New("the table was not read yet")

// ReadChanges implements platform.Feed for peers: it returns the whole table
// as soon as the copy is newer than after.
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
