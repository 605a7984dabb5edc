package streamorigin

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
)

// How a Keeper reads and writes its rows in the store.

// Run keeps the rows in the store up to date until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for checkedAt := time.Now(); ; {
		timer := time.NewTimer(k.nextCheck())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-k.wake:
			timer.Stop()
		case <-timer.C:
		}
		retire := time.Since(checkedAt) >= checkInterval
		if retire {
			checkedAt = time.Now()
		}
		k.updateHistory(ctx, retire)
		k.writeStreams(ctx)
		if retire {
			k.deleteExpired(ctx)
		}
	}
}

// nextCheck returns the time until the next check without a wake-up.
func (k *Keeper) nextCheck() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unwritten && len(k.mixedServices()) > 0 {
		return max(time.Nanosecond, time.Until(k.writtenAt.Add(k.writePause())))
	}
	return checkInterval
}

// updateHistory reads the history if it is not known, and writes it if the versions differ. Versions
// that are not present any more are noted if retire is set.
func (k *Keeper) updateHistory(ctx context.Context, retire bool) {
	now, clockKnown := k.settings.Now()
	k.mu.Lock()
	next := k.nextHistory(k.recorded, retire && clockKnown, now)
	due := k.observed && (!k.historyKnown || !next.equal(k.recorded))
	k.mu.Unlock()
	if !due {
		return
	}
	rank, _ := k.settings.Rank()
	if backoff.Sleep(ctx, max(time.Nanosecond, time.Duration(rank)*startDelayPerDaemon)) != nil {
		return
	}
	err := k.syncHistory(ctx, retire)
	switch {
	case err == nil || ctx.Err() != nil:
		k.historyFailures = 0
		return
	case !errors.Is(err, platform.ErrConflict): // otherwise another daemon was first
		if k.historyFailures == 0 {
			k.log.Emit(eventlog.StreamOriginsUnwritten, eventlog.Fields{Detail: err.Error()})
		}
		k.historyFailures++
	}
	time.AfterFunc(failureBackoff.Delay(k.historyFailures), k.notify)
}

// nextHistory returns a history with the present versions. k.mu must be held.
func (k *Keeper) nextHistory(h history, retire bool, now platform.StoreTime) history {
	next := h.clone()
	next.add(k.present)
	for id := range k.served {
		next.addMissing(history{id[0]: {id[1]: now}})
	}
	if retire {
		next.retire(k.present, now, k.memory)
	}
	return next
}

// syncHistory reads all rows, and writes the history if the present versions differ from it.
func (k *Keeper) syncHistory(ctx context.Context, retire bool) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	row, stored, err := k.read(ctx)
	if err != nil {
		return err
	}
	now, clockKnown := k.settings.Now()
	era := k.era()
	k.mu.Lock()
	next := historyRow{era, k.uncertainUntil, k.nextHistory(k.recorded, retire && clockKnown, now)}
	k.mu.Unlock()
	if row.Version != 0 && stored.Era == era && next.Services.equal(stored.Services) {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the software versions")
	}
	txn := platform.Txn{Era: era, Conditions: []platform.Condition{{Key: historyKey, Version: row.Version}}, Writes: []platform.Write{{Key: historyKey, Value: value}}}
	if err := k.settings.Table.Commit(ctx, txn); err != nil {
		return err
	}
	k.log.Emit(eventlog.SoftwareRecorded, eventlog.Fields{Detail: string(value)})
	k.adoptHistory(next, true)
	return nil
}

// readOnce reads all rows for a request; requests at the same time share a read, which comes some
// time after the one before.
func (k *Keeper) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result := k.reads.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
		defer cancel()
		if err := backoff.Sleep(ctx, time.Until(k.readAt.Add(min(k.writeInterval(), maxReadInterval)))); err != nil {
			return nil, err
		}
		k.readAt = time.Now()
		_, _, err := k.read(ctx)
		return nil, err
	})
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// read reads all rows and returns that of the history, with the version 0 if there is none, and
// its content.
func (k *Keeper) read(ctx context.Context) (row platform.Row, stored historyRow, err error) {
	select {
	case k.reading <- struct{}{}:
		defer func() { <-k.reading }()
	case <-ctx.Done():
		return platform.Row{}, stored, ctx.Err()
	}
	var all []platform.Row
	for after := ""; ; {
		page, err := k.settings.Table.List(ctx, keyPrefix, after, pageRows)
		if err != nil {
			return platform.Row{}, stored, err
		}
		all = append(all, page...)
		if len(page) < pageRows {
			break
		}
		after = page[len(page)-1].Key
	}
	rows := map[string]platform.Row{}
	for _, r := range all {
		if r.Key == historyKey {
			stored, row = k.decodeHistory(r), r
		} else if strings.HasPrefix(r.Key, streamsPrefix) {
			rows[r.Key] = r
		}
	}
	k.adoptRows(rows)
	adopted := stored
	adopted.Services = stored.Services.clone()
	k.adoptHistory(adopted, row.Version != 0)
	return row, stored, nil
}

// decodeHistory decodes the history. A row that is malformed counts as one without versions, which it
// may have had.
func (k *Keeper) decodeHistory(r platform.Row) historyRow {
	var stored historyRow
	err := json.Unmarshal(r.Value, &stored)
	if err == nil {
		return stored
	}
	k.log.Emit(eventlog.RowUnreadable, eventlog.Fields{Detail: r.Key + ": " + err.Error()})
	now, _ := k.settings.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return historyRow{UncertainUntil: max(1, now.Add(k.memory))}
}

// era returns the newest known era of the store, 0 if it states none.
func (k *Keeper) era() uint64 {
	era, _ := platform.ErasOf(k.settings.Table).Current()
	return era
}

// adoptRows replaces the daemons' streams as they were last read.
func (k *Keeper) adoptRows(read map[string]platform.Row) {
	now, _ := k.settings.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	next := map[string]readRow{}
	for key, r := range read {
		at := platform.Position{Era: r.Era, Version: r.Version}
		if old, known := k.rows[key]; known && old.at == at {
			next[key] = old
			continue
		}
		decoded, err := decodeRow(r.Value)
		if err != nil {
			k.log.Emit(eventlog.RowUnreadable, eventlog.Fields{Detail: key + ": " + err.Error()})
			decoded = row{Until: now} // deleted later, like others that nobody needs
		}
		next[key] = readRow{decoded, at}
	}
	k.rows = next
}

// writeStreams writes this daemon's streams if that is due, removes its row once no service has
// several versions, and the rows of daemons that are gone.
func (k *Keeper) writeStreams(ctx context.Context) {
	storeNow, clockKnown := k.settings.Now()
	now := time.Now()
	key := streamsPrefix + k.settings.Process
	k.mu.Lock()
	k.own.expire(now)
	mixed := k.mixedServices()
	urgent := k.urgent && k.writeFailures == 0
	due := len(mixed) > 0 && k.unwritten && (urgent || now.Sub(k.writtenAt) >= k.writePause())
	txn := platform.Txn{}
	switch {
	case !clockKnown || !k.observed:
	case due:
		own := k.own.row(mixed, now, storeNow)
		if value, err := own.encode(); err == nil { // texts and bytes only
			txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: value})
		}
		k.unwritten, k.urgent = false, false
	case len(mixed) == 0 && k.hasRow && now.Sub(k.writtenAt) >= k.writePause():
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Delete: true})
	}
	k.mu.Unlock()
	if len(txn.Writes) == 0 {
		return
	}
	k.writtenAt = now
	callCtx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	if err := k.settings.Table.Commit(callCtx, txn); err != nil {
		if ctx.Err() == nil && k.writeFailures == 0 {
			k.log.Emit(eventlog.StreamOriginsUnwritten, eventlog.Fields{Detail: err.Error()})
		}
		k.writeFailures++
		k.mu.Lock()
		k.unwritten = true
		k.mu.Unlock()
		return
	}
	k.writeFailures, k.hasRow = 0, due
}

// writePause returns the time from one write of this daemon's streams to the next.
func (k *Keeper) writePause() time.Duration {
	if k.writeFailures == 0 {
		return k.writeInterval()
	}
	return max(k.writeInterval(), failureBackoff.Delay(k.writeFailures))
}

// deleteExpired deletes the rows of daemons that are gone, once nobody can need them. One daemon does
// so for all.
func (k *Keeper) deleteExpired(ctx context.Context) {
	storeNow, clockKnown := k.settings.Now()
	if rank, _ := k.settings.Rank(); rank != 0 || !clockKnown {
		return
	}
	var txns []platform.Txn
	k.mu.Lock()
	for key, r := range k.rows {
		if storeNow.Sub(r.Until) > k.memory {
			delete(k.rows, key)
			// The row may have been written again since it was read.
			txns = append(txns, platform.Txn{Era: r.at.Era, Conditions: []platform.Condition{{Key: key, Version: r.at.Version}}, Writes: []platform.Write{{Key: key, Delete: true}}})
		}
	}
	k.mu.Unlock()
	for _, txn := range txns {
		callCtx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
		err := k.settings.Table.Commit(callCtx, txn)
		cancel()
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return // the next read finds the rows again
		}
	}
}
