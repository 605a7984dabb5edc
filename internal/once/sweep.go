package once

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// sweepInterval is the pause, before jitter, between two looks for expired records.
	sweepInterval = time.Minute
	// sweepRows bounds the rows of one look: one read, and at most one write.
	sweepRows = 256
	// clockAllowance is how far the clocks of two daemons may differ without a
	// record being deleted before its Retention.
	clockAllowance = time.Hour
)

// sweep deletes expired records, a few at a time. Each daemon starts at a
// random place in the key space and walks round, so that all of them together
// cover it evenly without knowing of each other.
func (r *Records) sweep(ctx context.Context) {
	after := rowPrefix + hex.EncodeToString([]byte{byte(rand.Uint32()), byte(rand.Uint32())})
	for backoff.Sleep(ctx, backoff.Jitter(sweepInterval)) == nil {
		after = r.sweepFrom(ctx, after)
	}
}

// sweepFrom looks at the rows that follow after and returns where to go on.
func (r *Records) sweepFrom(ctx context.Context, after string) string {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	rows, err := r.table.List(ctx, rowPrefix, after, sweepRows)
	if err != nil {
		return after
	}
	r.deleteExpired(ctx, rows)
	if len(rows) < sweepRows {
		return rowPrefix
	}
	return rows[len(rows)-1].Key
}

func (r *Records) deleteExpired(ctx context.Context, rows []platform.Row) {
	var txn platform.Txn
	for _, row := range rows {
		rec, err := decodeRecord(row.Value)
		if err != nil || time.Since(time.UnixMicro(rec.ClaimedAt)) < Retention+clockAllowance {
			continue
		}
		r.deleteObject(ctx, rec)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) > 0 {
		// A conflict means that another daemon was first; the next round looks again.
		_ = r.table.Commit(ctx, txn)
	}
}

func (r *Records) deleteObject(ctx context.Context, rec record) {
	deleter, ok := r.objects.(platform.ObjectDeleter)
	if ok && rec.Object != "" {
		_ = deleter.Delete(ctx, rec.Object)
	}
}
