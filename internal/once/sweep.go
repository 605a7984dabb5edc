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
	// sweepInterval is the pause, before jitter, between two batches.
	sweepInterval = time.Minute
	// sweepBatchRows bounds the rows of a batch, which takes one read and at most
	// one transaction.
	sweepBatchRows = 256
	// maxClockSkew is the clock difference between two daemons up to which no
	// record is deleted before its Retention has passed.
	maxClockSkew = time.Hour
)

// sweep deletes expired records in batches. Each daemon starts at a random place
// in the key space and cycles through it, so that the daemons cover it evenly
// without coordination.
func (r *Records) sweep(ctx context.Context) {
	after := rowPrefix + hex.EncodeToString([]byte{byte(rand.Uint32()), byte(rand.Uint32())})
	for backoff.Sleep(ctx, backoff.Jitter(sweepInterval)) == nil {
		after = r.sweepBatch(ctx, after)
	}
}

// sweepBatch processes the rows that follow the key after and returns the key to
// continue from.
func (r *Records) sweepBatch(ctx context.Context, after string) string {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	rows, err := r.table.List(ctx, rowPrefix, after, sweepBatchRows)
	if err != nil {
		return after
	}
	r.deleteExpired(ctx, rows)
	if len(rows) < sweepBatchRows {
		return rowPrefix
	}
	return rows[len(rows)-1].Key
}

func (r *Records) deleteExpired(ctx context.Context, rows []platform.Row) {
	var txn platform.Txn
	for _, row := range rows {
		rec, err := decodeRecord(row.Value)
		if err != nil || time.Since(time.UnixMicro(rec.ClaimedAt)) < Retention+maxClockSkew {
			continue
		}
		r.deleteObject(ctx, rec)
		txn.Era = row.Era
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) > 0 {
		// On a conflict another daemon has changed a row; the next cycle retries.
		_ = r.table.Commit(ctx, txn)
	}
}

func (r *Records) deleteObject(ctx context.Context, rec record) {
	deleter, ok := r.objects.(platform.ObjectDeleter)
	if ok && rec.Object != "" {
		_ = deleter.Delete(ctx, rec.Object)
	}
}
