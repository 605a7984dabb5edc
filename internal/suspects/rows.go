package suspects

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/platform"
)

// FollowRows makes the registry know the rows by ApplyRows in place of reading them. isAlone
// reports whether facts that this daemon publishes reach no other: then it stores each crash, also
// those that quarantine nothing yet. It is called before Run.
func (r *Registry) FollowRows(isAlone func() bool) { r.isAlone = isAlone }

// ApplyRows applies the rows of a table that this daemon follows, as an era of the store has them.
// A crash of which only a row told is forgotten with the row.
func (r *Registry) ApplyRows(rows map[string]platform.Change, era uint64) {
	now := time.Now()
	applied := map[string]time.Time{}
	var stale []string
	for key, row := range rows {
		expiry := decodeExpiry(row.Value)
		applied[key] = expiry
		request, id, ok := strings.Cut(strings.TrimPrefix(key, RowPrefix), "/")
		if !ok || !isCrashID(request, id) || !now.Before(expiry) || r.isRevoked(key) {
			stale = append(stale, key)
			continue
		}
		r.record(request, id, minTime(expiry, now.Add(CrashTTL)), true)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if era == r.era {
		r.forgetMissing(applied)
	}
	r.rows, r.era = applied, era
	if len(stale) > 0 {
		r.deleteLater(stale)
	}
}

// forgetMissing removes the crashes of which only rows told that are gone. r.mu must be held.
func (r *Registry) forgetMissing(applied map[string]time.Time) {
	for key := range r.rows {
		request, id, _ := strings.Cut(strings.TrimPrefix(key, RowPrefix), "/")
		if _, present := applied[key]; !present && r.crashes[request][id].fromRow {
			r.remove(request, id)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// isRevoked reports whether the crash of a row was revoked.
func (r *Registry) isRevoked(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, revoked := r.revoked[key]
	return revoked
}

// revoke notes that a crash no longer counts, so that its row does not bring it back. It reports
// whether there is a row. r.mu must be held.
func (r *Registry) revoke(request, id string) (hasRow bool) {
	if r.isAlone == nil {
		return false
	}
	now := time.Now()
	if len(r.revoked) >= maxCrashes {
		r.expireRevoked(now)
	}
	key := rowKey(request, id)
	if len(r.revoked) < maxCrashes {
		r.revoked[key] = now.Add(CrashTTL)
	}
	_, hasRow = r.rows[key]
	return hasRow
}

// expireRevoked forgets revocations that are older than the crashes can be. r.mu must be held.
func (r *Registry) expireRevoked(now time.Time) {
	for key, expiry := range r.revoked {
		if now.After(expiry) {
			delete(r.revoked, key)
		}
	}
}

// expireRows removes rows whose crashes have expired, until ctx ends.
func (r *Registry) expireRows(ctx context.Context) error {
	for {
		if err := backoff.Sleep(ctx, backoff.Jitter(rowExpiryInterval)); err != nil {
			return err
		}
		now := time.Now()
		r.mu.Lock()
		r.expireRevoked(now)
		r.expireAll(now)
		var expired []string
		for key, expiry := range r.rows {
			if now.After(expiry) {
				expired = append(expired, key)
			}
		}
		r.mu.Unlock()
		if len(expired) > 0 {
			r.deleteRows(expired)
		}
	}
}

// deleteLater deletes rows that count no longer, unless another daemon has done so. Daemons spread
// that, so that one serves all.
func (r *Registry) deleteLater(keys []string) {
	time.AfterFunc(rand.N(lostRowSpread), func() { r.deleteRows(keys) })
}

// deleteRows deletes the rows that are still there. It gives up after writeTimeout; then the rows
// are removed when they have expired.
func (r *Registry) deleteRows(keys []string) {
	r.mu.Lock()
	keys = slices.DeleteFunc(slices.Clone(keys), func(key string) bool {
		_, present := r.rows[key]
		return !present
	})
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	for part := range slices.Chunk(keys, maxRowsPerWrite) {
		var txn platform.Txn
		for _, key := range part {
			txn.Writes = append(txn.Writes, platform.Write{Key: key, Delete: true})
		}
		for try := 0; r.table.Commit(ctx, txn) != nil; try++ { // a crash has one row, which is not written again
			if tableBackoff.Wait(ctx, try) != nil {
				return
			}
		}
	}
}
