package suspects

import (
	"context"
	"encoding/binary"
	"strings"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	rowPrefix = "suspect/"
	// rowsAtOnce bounds the rows of one read.
	rowsAtOnce = 256
	// readInterval is the pause, before jitter, between two readings of all rows.
	readInterval = time.Hour
	// writeTimeout bounds the writing of a quarantined request's deaths.
	writeTimeout = 5 * time.Second
)

// readBackoff spaces the first readings while the table is down.
var readBackoff = backoff.Policy{Min: time.Second, Max: time.Minute}

// Run reads the quarantined requests from the table, so that they are known
// also when all daemons have restarted, and deletes rows that have expired,
// until ctx ends.
func (b *Book) Run(ctx context.Context) error {
	for try := 0; ; {
		pause := backoff.Jitter(readInterval)
		if b.readAll(ctx) != nil {
			pause = readBackoff.Delay(try)
			try++
		} else {
			try = 0
		}
		if err := backoff.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

func (b *Book) readAll(ctx context.Context) error {
	after := ""
	for {
		rows, err := b.readRows(ctx, after)
		if err != nil {
			return err
		}
		for _, row := range rows {
			b.readRow(ctx, row)
		}
		if len(rows) < rowsAtOnce {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (b *Book) readRows(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return b.table.List(ctx, rowPrefix, after, rowsAtOnce)
}

// readRow takes in one death, or deletes its row.
func (b *Book) readRow(ctx context.Context, row platform.Row) {
	id := strings.TrimPrefix(row.Key, rowPrefix)
	left := time.Until(decodeUntil(row.Value))
	if left > 0 {
		b.hear(gossip.Fact{Kind: gossip.KindSuspect, ID: id, TTL: left})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	_ = b.table.Commit(ctx, platform.Txn{ // a conflict means that another daemon was first
		Conditions: []platform.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []platform.Write{{Key: row.Key, Delete: true}},
	})
}

// keep writes the deaths of a quarantined request to the table. It is done as
// well as the table allows: gossip carries them meanwhile.
func (b *Book) keep(request string) {
	b.mu.Lock()
	var txn platform.Txn
	for death, until := range b.deaths[request] {
		txn.Writes = append(txn.Writes, platform.Write{Key: rowPrefix + request + "/" + death, Value: encodeUntil(until)})
	}
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	for try := 0; b.table.Commit(ctx, txn) != nil; try++ { // writing the same again does no harm
		if readBackoff.Wait(ctx, try) != nil {
			return
		}
	}
}

func encodeUntil(t time.Time) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(t.UnixMilli()))
}

// decodeUntil returns a time long past for a value that is not one.
func decodeUntil(b []byte) time.Time {
	if len(b) != 8 {
		return time.Time{}
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b)))
}
