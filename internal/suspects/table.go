package suspects

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform"
)

// RowPrefix is what the keys of the rows of requests begin with.
const RowPrefix = "suspect/"

const (
	// readBatchRows is the page size of a table read.
	readBatchRows = 256
	// readInterval is the pause, before jitter, between two reads of all rows.
	readInterval = time.Hour
	// rowExpiryInterval is the interval at which expired rows of a followed table are removed.
	rowExpiryInterval = time.Minute
	// writeTimeout bounds the writing of suspected requests' crashes, including retries.
	writeTimeout = 5 * time.Second
	// maxRowsPerWrite bounds the rows that one transaction writes or deletes.
	maxRowsPerWrite = 50
)

// tableBackoff is the backoff between tries while the table is unavailable.
var tableBackoff = backoff.Policy{Min: time.Second, Max: time.Minute}

// Run reads the quarantined requests from the table, unless FollowRows was called, so that they
// are known even after all daemons have restarted. It deletes expired rows. It returns the
// context's error when ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	if r.isAlone != nil {
		return r.expireRows(ctx)
	}
	for try := 0; ; {
		pause := backoff.Jitter(readInterval)
		if r.readAll(ctx) != nil {
			pause = tableBackoff.Delay(try)
			try++
		} else {
			try = 0
		}
		if err := backoff.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

func (r *Registry) readAll(ctx context.Context) error {
	after := ""
	for {
		rows, err := r.readRows(ctx, after)
		if err != nil {
			return err
		}
		for _, row := range rows {
			r.applyRow(ctx, row)
		}
		if len(rows) < readBatchRows {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (r *Registry) readRows(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return r.table.List(ctx, RowPrefix, after, readBatchRows)
}

// applyRow records the crash of a row, or deletes the row if it has expired.
func (r *Registry) applyRow(ctx context.Context, row platform.Row) {
	id := strings.TrimPrefix(row.Key, RowPrefix)
	ttl := time.Until(decodeExpiry(row.Value))
	if ttl > 0 {
		r.receiveFact(gossip.Fact{Kind: gossip.KindSuspect, ID: id, TTL: ttl})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	_ = r.table.Commit(ctx, platform.Txn{ // on a conflict another daemon has changed the row
		Conditions: []platform.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []platform.Write{{Key: row.Key, Delete: true}},
	})
}

// persist writes the crashes of requests to the table. It gives up after writeTimeout; gossip
// still distributes the crashes.
func (r *Registry) persist(requests []string) {
	var writes []platform.Write
	r.mu.Lock()
	for _, request := range requests {
		for crash, c := range r.crashes[request] {
			key := rowKey(request, crash)
			if _, written := r.rows[key]; !written {
				writes = append(writes, platform.Write{Key: key, Value: encodeExpiry(c.expiry)})
			}
		}
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	for part := range slices.Chunk(writes, maxRowsPerWrite) {
		for try := 0; r.table.Commit(ctx, platform.Txn{Writes: part}) != nil; try++ { // the write is idempotent
			if tableBackoff.Wait(ctx, try) != nil {
				return
			}
		}
	}
}

// persistLost writes the rows of quarantined requests again that a restored store lacks. Daemons
// spread that, so that the rows of one serve all. It does not block.
func (r *Registry) persistLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for request, crashes := range r.crashes {
		if r.countSpaced(request) < quarantineCrashes {
			continue
		}
		var keys []string
		for crash := range crashes {
			keys = append(keys, rowKey(request, crash))
		}
		time.AfterFunc(rand.N(lostRowSpread), func() {
			if !r.hasRows(keys) {
				r.persist([]string{request})
			}
		})
	}
}

// hasRows reports whether the table has all rows.
func (r *Registry) hasRows(keys []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), platform.CallTimeout)
	defer cancel()
	for _, key := range keys {
		if _, err := r.table.Get(ctx, key); err != nil {
			return false
		}
	}
	return true
}

func rowKey(request, crash string) string { return RowPrefix + request + "/" + crash }

func encodeExpiry(t time.Time) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(t.UnixMilli()))
}

// decodeExpiry returns the zero time for an invalid value, so that its row
// counts as expired.
func decodeExpiry(b []byte) time.Time {
	if len(b) != 8 {
		return time.Time{}
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b)))
}
