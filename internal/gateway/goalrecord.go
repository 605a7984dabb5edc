package gateway

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/mirror"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/rollout"
	"github.com/verbenabend/verbenabend/internal/storeclock"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// goalRecordKey is the key of the table row that records when versions were
	// requested. It outlives all daemons.
	goalRecordKey = "weights/goals"
	// goalRecordInterval is the interval between writes of the row. A version that was
	// requested right before all daemons were lost, so that none recorded it, counts as
	// older than it is by at most this, besides the time without daemons.
	goalRecordInterval = 2 * time.Second
	// soleRecordLag is how much longer the row may stay as it is where the daemon that reads
	// the store for others writes it: with the time of its last read.
	soleRecordLag = 700 * time.Millisecond
	// goalTakeoverStep is how much longer each next daemon waits before it records a
	// version or renews the row: the time in which the one before writes it and its fact
	// arrives.
	goalTakeoverStep = 500 * time.Millisecond
	// goalRecordCheckInterval is the maximum interval between checks of whether this
	// daemon has to write, since daemons come and go.
	goalRecordCheckInterval = 500 * time.Millisecond
	// maxGoalRecordWait is how long a starting daemon that cannot read the row delays its
	// readiness.
	maxGoalRecordWait = time.Second
	// goalRecordStartDelay and a random part of goalRecordStartSpread is how long a
	// started daemon does not write the row: it does not know its peers yet, nor which
	// versions they saw named. Of daemons that start together, the first to write tells
	// the others.
	goalRecordStartDelay  = time.Second
	goalRecordStartSpread = time.Second
	// goalRetryPerRank is the minimum time between writes that fail, for each daemon that
	// comes before this one, so that the fleet's rate does not grow with its size.
	goalRetryPerRank = 50 * time.Millisecond
	// goalRecordFactTTL is how long the fact of a renewal is spread.
	goalRecordFactTTL = 2 * (goalRecordInterval + maxCompletionAge)
	// maxCompletionAge is how long ago the last answer of the store to the daemon that reads
	// for others may be in calm.
	maxCompletionAge = 2 * time.Second
	// goalRecordTimeout limits one write, including retries.
	goalRecordTimeout = 2 * platform.CallTimeout
	// goalPageRows is the number of goals that are read at once.
	goalPageRows = 500
	// goalRecordPoll is the interval between checks of whether recordMirror has the row,
	// recordMaxWait the pause between its reads: gossip tells of renewals meanwhile.
	goalRecordPoll = 20 * time.Millisecond
	recordMaxWait  = time.Hour
	// maxGoalRecordConflicts limits the attempts of one write that lose to other daemons.
	maxGoalRecordConflicts = 3
)

// goalRecordBackoff is the backoff of reads and writes of the row that fail.
var goalRecordBackoff = backoff.Policy{Min: 50 * time.Millisecond, Max: time.Second}

// goalRecorder is what this daemon knows of the row under goalRecordKey.
type goalRecorder struct {
	// read is set once the row was read, or found missing.
	read atomic.Bool
	// goalsRead is set once the operators' goals were read.
	goalsRead atomic.Bool
	wake      chan struct{}
	// restored is set once the store was seen to be restored. Facts that say that the row contains
	// a goal may then be about a row that it lost.
	restored atomic.Bool
	// startDelay is how long after its start this daemon does not write the row.
	startDelay time.Duration
	// missed holds the versions, by model, that were new at the last read of the goals
	// for the row; only keepGoalRecord uses it.
	missed map[string]int
	// written is the row as this daemon wrote it last, writtenAt its position; zero if that
	// is unknown. Only keepGoalRecord uses them.
	written   rollout.GoalRecord
	writtenAt platform.Position

	mu sync.Mutex
	// asOf is GoalRecord.AsOf of the row as it was last read; rollout.UnknownTime if an
	// earlier clock of the store wrote it.
	asOf platform.StoreTime
	// renewedUntil is the last known GoalRecord.AsOf, also of rows that were not read.
	renewedUntil platform.StoreTime
	// unrecorded holds the goals that may be missing in the row and when this daemon
	// adopted them, by model.
	unrecorded map[string]unrecordedGoal
	// recorded holds the newest version that the row contains, by model.
	recorded map[string]int
}

type unrecordedGoal struct {
	version int
	since   time.Time
	// requestedBefore is a time at which the version was known; 0 if there is none.
	requestedBefore platform.StoreTime
}

func newGoalRecorder() *goalRecorder {
	return &goalRecorder{wake: make(chan struct{}, 1), startDelay: goalRecordStartDelay + mathrand.N(goalRecordStartSpread), asOf: rollout.UnknownTime, unrecorded: map[string]unrecordedGoal{}, recorded: map[string]int{}}
}

// add notes a goal that the row may not contain and that was requested before a time.
func (r *goalRecorder) add(g rollout.Goal, requestedBefore platform.StoreTime) {
	r.mu.Lock()
	known := max(r.unrecorded[g.Model].version, r.recorded[g.Model])
	if requestedBefore > 0 && requestedBefore <= r.renewedUntil {
		known = g.Version
	}
	if known < g.Version {
		r.unrecorded[g.Model] = unrecordedGoal{g.Version, time.Now(), requestedBefore}
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// remove notes that the row contains a version.
func (r *goalRecorder) remove(model string, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded[model] = max(r.recorded[model], version)
	if g, ok := r.unrecorded[model]; ok && g.version <= version {
		delete(r.unrecorded, model)
	}
}

// forgetRecorded forgets what the row contains: the store lost its last writes.
func (r *goalRecorder) forgetRecorded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restored.Store(true)
	clear(r.recorded)
	r.renewedUntil = 0
}

// contains reports whether the row is known to contain a daemon's goal.
func (r *goalRecorder) contains(g rollout.Goal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing, ok := r.unrecorded[g.Model]
	return r.read.Load() && (!ok || missing.version > g.Version)
}

// renewed notes the time of a row that some daemon wrote. It contains all goals that
// were requested before.
func (r *goalRecorder) renewed(asOf platform.StoreTime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewedUntil = max(r.renewedUntil, asOf)
	for model, g := range r.unrecorded {
		if g.requestedBefore > 0 && g.requestedBefore <= asOf {
			delete(r.unrecorded, model)
		}
	}
}

// lastRenewal returns the last known GoalRecord.AsOf.
func (r *goalRecorder) lastRenewal() platform.StoreTime {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.renewedUntil
}

// recordedUntil returns GoalRecord.AsOf of the row as it was last read.
func (r *goalRecorder) recordedUntil() platform.StoreTime {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf
}

// oldest returns when the first goal that the row may not contain was adopted.
func (r *goalRecorder) oldest() (since time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.unrecorded {
		if !ok || g.since.Before(since) {
			since, ok = g.since, true
		}
	}
	return since, ok
}

// keepGoalRecord reads the row, so that versions have their dates although all
// daemons were lost, and then writes it when it is this daemon's turn, until ctx ends.
func (d *Daemon) keepGoalRecord(ctx context.Context) error {
	for !d.goalRecorder.read.Load() {
		if err := backoff.Sleep(ctx, goalRecordPoll); err != nil {
			return err
		}
	}
	// Not only in goalWriteDue, or daemons that start together check at the same times.
	if err := backoff.Sleep(ctx, d.goalRecorder.startDelay-time.Since(d.startedAt)); err != nil {
		return err
	}
	var renewedAt time.Time
	failures := 0
	for {
		if d.goalWriteDue(renewedAt) {
			renewed, err := d.writeGoalRecord(ctx, renewedAt)
			if err != nil {
				if failures++; failures == 1 {
					d.log.Emit(eventlog.GoalRecordFailed, eventlog.Fields{Detail: err.Error()})
				}
				if err := backoff.Sleep(ctx, d.goalRetryPause(failures)); err != nil {
					return err
				}
				continue
			}
			failures = 0
			if renewed {
				renewedAt = time.Now()
			}
		}
		timer := time.NewTimer(goalRecordCheckInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-d.goalRecorder.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// goalRetryPause returns the pause after a number of failed writes.
func (d *Daemon) goalRetryPause(failures int) time.Duration {
	return max(goalRecordBackoff.Delay(failures), time.Duration(d.rank(mirror.ReaderDuty, ""))*goalRetryPerRank)
}

// goalWriteDue reports whether this daemon has to write the row, whose time it last
// renewed at renewedAt: because that is due again, or a goal stays unrecorded. Each next
// daemon in the order of rendezvous hashing does so later.
func (d *Daemon) goalWriteDue(renewedAt time.Time) bool {
	// The writes of more daemons would make a slow store slower.
	turn := time.Duration(d.rank(mirror.ReaderDuty, "")) * (goalTakeoverStep + 2*d.copies.AnswerTime())
	if d.draining.Load() || !d.goalRecorder.goalsRead.Load() || time.Since(d.startedAt) < d.goalRecorder.startDelay+turn {
		return false
	}
	if since, ok := d.goalRecorder.oldest(); ok && time.Since(since) >= turn {
		return true
	}
	if at, ok := d.operatorMirror.CompleteAt(); ok && at <= d.goalRecorder.lastRenewal() {
		return false // it would have the same time
	}
	interval := goalRecordInterval
	if turn > 0 && d.isLargeFleet() {
		interval += soleRecordLag
	}
	now, ok := d.storeClock.Now()
	return ok && time.Since(renewedAt) >= goalRecordInterval && now.Sub(d.goalRecorder.lastRenewal()) >= interval+turn
}

// isLargeFleet reports whether few daemons read the store for the others.
func (d *Daemon) isLargeFleet() bool { return len(d.members.Live()) >= minFollowingFleet }

// readGoalRecord reads the row and applies it. The version is 0 if there is none.
func (d *Daemon) readGoalRecord(ctx context.Context) (record rollout.GoalRecord, at platform.Position, err error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	row, err := d.platform.Table.Get(ctx, goalRecordKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return record, at, err
	}
	if err == nil {
		record = d.decodeGoalRecord(row.Value)
	}
	d.applyGoalRecord(&record)
	return record, platform.Position{Era: row.Era, Version: row.Version}, nil
}

// decodeGoalRecord decodes the row. One that cannot be read is replaced; it dates nothing.
func (d *Daemon) decodeGoalRecord(value []byte) rollout.GoalRecord {
	record, err := rollout.DecodeGoalRecord(value)
	if err != nil {
		d.log.Emit(eventlog.GoalRecordFailed, eventlog.Fields{Detail: err.Error()})
		record = rollout.GoalRecord{}
	}
	return d.recordOnThisClock(record.WithTimes(d.storeClock.FromStore))
}

// applyRecordRows applies the copy of the row, of the store or of a peer.
func (d *Daemon) applyRecordRows(rows map[string]platform.Change) {
	var record rollout.GoalRecord
	if row, ok := rows[goalRecordKey]; ok {
		record = d.decodeGoalRecord(row.Value)
	}
	d.applyGoalRecord(&record)
}

// goalRecordFeed presents the row under goalRecordKey as a table of its own, which tells no
// changes.
type goalRecordFeed struct {
	table platform.Table
	eras  *platform.Eras
}

// ReadTable implements platform.Feed.
func (f goalRecordFeed) ReadTable(ctx context.Context, _ string) (platform.Changes, error) {
	row, err := f.table.Get(ctx, goalRecordKey)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Changes{Whole: true, Version: 1, Era: row.Era}, nil
	}
	if err != nil {
		return platform.Changes{}, err
	}
	return platform.Changes{Whole: true, Version: row.Version, Era: row.Era, ReadAt: row.ReadAt, Rows: []platform.Change{{Key: row.Key, Value: row.Value, Version: row.Version}}}, nil
}

// ReadChanges implements platform.Feed.
func (f goalRecordFeed) ReadChanges(ctx context.Context, _ string, after platform.Position, wait time.Duration) (platform.Changes, error) {
	if era, _ := f.eras.Current(); era != after.Era {
		return platform.Changes{}, platform.ErrRestored
	}
	return platform.Changes{Version: after.Version, Era: after.Era}, backoff.Sleep(ctx, wait)
}

// recordOnThisClock returns what a row still tells if the store's clock went back since
// it was written, as times that are yet to come show: the versions, but not for how long
// no daemon lived to see it.
func (d *Daemon) recordOnThisClock(record rollout.GoalRecord) rollout.GoalRecord {
	now, ok := d.storeClock.Now()
	if !ok || record.LatestTime() <= now.Add(storeclock.MaxError) {
		return record
	}
	d.log.Emit(eventlog.StoreClockSetBack, eventlog.Fields{Detail: "since the record of weight versions was written"})
	record = record.WithoutTimes()
	record.AsOf = d.goalRecorder.recordedUntil() // known if this daemon read the row before
	return record
}

// applyGoalRecord dates versions as the row does. A version that it does not contain
// was requested after it was written.
func (d *Daemon) applyGoalRecord(record *rollout.GoalRecord) {
	r := d.goalRecorder
	d.view.mu.Lock()
	for model, goals := range record.Models {
		for _, g := range goals {
			if g.Bounded {
				d.view.goalHistory(model).RecordBound(g.Version, g.RequestedAt)
			} else {
				d.recordSight(rollout.Goal{Model: model, Version: g.Version}, g.RequestedAt, "the store's record")
			}
		}
	}
	d.boundUndatedGoals(record.AsOf)
	r.mu.Lock()
	r.asOf = max(r.asOf, record.AsOf)
	r.mu.Unlock()
	r.read.Store(true) // not before: adoptGoals then bounds versions that the row does not contain
	d.view.mu.Unlock()
	for model, goals := range record.Models {
		for _, g := range goals {
			r.remove(model, g.Version)
		}
	}
	r.renewed(record.AsOf)
	d.updateServices()
}

// boundUndatedGoals dates goals that nobody recorded. d.view.mu must be held.
func (d *Daemon) boundUndatedGoals(after platform.StoreTime) {
	for model, history := range d.view.goals {
		for _, version := range history.BoundUndated(after) {
			d.logGoalDate(rollout.Goal{Model: model, Version: version}, after, "the last time before it was requested")
		}
	}
}

// writeGoalRecord adds this daemon's goals to the row and renews its time, unless
// another daemon did, as the row tells. It reports whether it renewed the time.
func (d *Daemon) writeGoalRecord(ctx context.Context, renewedAt time.Time) (renewed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, goalRecordTimeout)
	defer cancel()
	for try := 0; ; try++ {
		record, at := d.goalRecorder.written, d.goalRecorder.writtenAt
		if era, _ := d.eras.Current(); at.Version == 0 || at.Era != era {
			if record, at, err = d.readGoalRecord(ctx); err != nil {
				return false, err
			}
		}
		if !d.goalWriteDue(renewedAt) {
			return false, nil
		}
		completeAt, err := d.goalsCompleteAt(ctx, record.AsOf)
		if err != nil {
			return false, err
		}
		if _, ok := d.goalRecorder.oldest(); !ok && completeAt == 0 {
			return false, nil
		}
		next := d.nextGoalRecord(&record, completeAt)
		d.goalRecorder.written = *next
		d.goalRecorder.writtenAt, err = d.commitGoalRecord(ctx, next, at)
		if err == nil {
			d.shareRecordedGoals(next)
			return completeAt > 0, nil
		}
		if !errors.IsAny(err, platform.ErrConflict, platform.ErrEraChanged) || try >= maxGoalRecordConflicts {
			return false, err
		}
	}
}

// commitGoalRecord writes the row if it is at a position, and returns its next one; zero if that
// is not known.
func (d *Daemon) commitGoalRecord(ctx context.Context, record *rollout.GoalRecord, at platform.Position) (platform.Position, error) {
	onStoreClock := record.WithTimes(d.storeClock.ToStore)
	value, err := onStoreClock.Encode()
	if err != nil {
		return platform.Position{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "write the record of weight versions")
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: goalRecordKey, Version: at.Version}},
		Writes:     []platform.Write{{Key: goalRecordKey, Value: value}},
		Era:        at.Era,
	}
	return platform.CommitVersion(ctx, d.platform.Table, txn, func(ctx context.Context) (bool, error) {
		row, err := d.platform.Table.Get(ctx, goalRecordKey)
		if err != nil {
			if errors.Is(err, platform.ErrNotFound) {
				err = nil
			}
			return false, err
		}
		current, err := rollout.DecodeGoalRecord(row.Value)
		return current.Nonce == record.Nonce, err
	})
}

// goalsCompleteAt returns a time at which this daemon knows all requested versions: that of
// its last read if it reads for others, else it reads the operators' goals, since the answer
// to a read that waits for their changes may be lost. The time is 0 if versions are new to it. These may be on their way and are
// dated by their sight, then. Those that are still new at the next call have no sight;
// they were requested after the row's time.
func (d *Daemon) goalsCompleteAt(ctx context.Context, asOf platform.StoreTime) (platform.StoreTime, error) {
	if at, ok := d.operatorMirror.CompleteAt(); ok && at > asOf {
		return at, nil
	}
	before, ok := d.storeClock.Now()
	goals, err := d.readGoals(ctx)
	if err != nil || !ok {
		return 0, err
	}
	d.view.mu.Lock()
	missed := map[string]int{}
	for model, version := range goals {
		if version > d.view.goalHistory(model).Version() {
			missed[model] = version
		}
	}
	d.view.mu.Unlock()
	if len(missed) == 0 {
		d.goalRecorder.missed = nil
		return before, nil
	}
	overdue := map[string]int{}
	for model, version := range missed {
		if d.goalRecorder.missed[model] == version {
			overdue[model] = version
		}
	}
	d.goalRecorder.missed = missed
	if len(overdue) > 0 {
		d.adoptMissedGoals(overdue, asOf)
		d.operatorMirror.Recheck()
	}
	return 0, nil
}

// readGoals reads the operators' goal versions, by model.
func (d *Daemon) readGoals(ctx context.Context) (map[string]int, error) {
	goals := map[string]int{}
	for after := ""; ; {
		rows, err := d.listGoals(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			model, version, ok, err := d.platform.Rows.VersionGoal(row.Key, row.Value)
			if err != nil {
				d.logSkippedRow(platform.Change{Key: row.Key, Version: row.Version}, err)
			} else if ok {
				goals[model] = version
			}
			after = row.Key
		}
		if len(rows) < goalPageRows {
			return goals, nil
		}
	}
}

func (d *Daemon) listGoals(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return d.platform.Operators.List(ctx, d.platform.VersionGoalPrefix, after, goalPageRows)
}

// adoptMissedGoals adopts versions whose sight was lost and that were requested after a
// time.
func (d *Daemon) adoptMissedGoals(goals map[string]int, after platform.StoreTime) {
	now, _ := d.storeClock.Now() // 0 if unknown
	var adopted []rollout.Goal
	d.view.mu.Lock()
	for model, version := range goals {
		if d.view.goalHistory(model).AdoptUndatedGoal(version) {
			adopted = append(adopted, rollout.Goal{Model: model, Version: version})
		}
	}
	d.boundUndatedGoals(after)
	d.view.mu.Unlock()
	for _, g := range adopted {
		d.log.Emit(eventlog.GoalAdopted, eventlog.Fields{Detail: fmt.Sprintf("%s version %d", g.Model, g.Version)})
		d.goalRecorder.add(g, now)
	}
	d.updateServices()
}

// nextGoalRecord returns the row's next content. This daemon knows all versions that were
// requested by completeAt, which is 0 if it does not know such a time.
func (d *Daemon) nextGoalRecord(old *rollout.GoalRecord, completeAt platform.StoreTime) *rollout.GoalRecord {
	asOf := old.AsOf
	if completeAt > 0 {
		asOf = completeAt
	}
	next := &rollout.GoalRecord{AsOf: asOf, Models: map[string][]rollout.RecordedGoal{}, Nonce: rand.Text()}
	now, _ := d.storeClock.Now() // 0 if unknown: nothing is left out
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	for model, history := range d.view.goals {
		if goals := history.Recorded(now.Add(-goalTTL)); len(goals) > 0 {
			next.Models[model] = goals
		}
	}
	return next
}

// shareRecordedGoals tells peers which goals the row contains and its time. One fact
// with the time serves the whole fleet.
func (d *Daemon) shareRecordedGoals(record *rollout.GoalRecord) {
	for _, g := range d.Goals() {
		if !record.Contains(g.Model, g.Version) {
			continue
		}
		wasMissing := !d.goalRecorder.contains(g)
		d.goalRecorder.remove(g.Model, g.Version)
		if wasMissing {
			d.log.Emit(eventlog.GoalRecorded, eventlog.Fields{Detail: fmt.Sprintf("%s version %d", g.Model, g.Version)})
			d.publishGoal(g)
		}
	}
	asOf := d.storeClock.ToStore(record.AsOf)
	if asOf <= 0 {
		return
	}
	d.goalRecorder.renewed(record.AsOf)
	d.gossipNode.Publish(gossip.Fact{Kind: gossip.KindGoalRecord, ID: goalRecordKey, Version: uint64(asOf), TTL: goalRecordFactTTL, Value: d.eraOfFact()})
}

// receiveGoalRecord notes that a peer renewed the row. A time that is yet to come is of a
// clock that went back since.
// So does one of an era before the store was restored, which may have lost that row.
func (d *Daemon) receiveGoalRecord(f gossip.Fact) {
	if !d.isOfCurrentEra(f) {
		return
	}
	asOf := d.storeClock.FromStore(platform.StoreTime(f.Version))
	if now, ok := d.storeClock.Now(); ok && asOf <= now.Add(storeclock.MaxError) {
		d.goalRecorder.renewed(asOf)
	}
}
