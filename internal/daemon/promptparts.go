package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// partRowPrefix is the prefix of the table's keys under which quarantined prompt parts
	// have their rows.
	partRowPrefix = "part/"
	// partRowBatch is the page size of a read of these rows.
	partRowBatch = 256
	// The interval between reads of these rows grows with the number of daemons, from
	// minPartReadInterval to maxPartReadInterval. The rows' version decides who may run a
	// trial, so an old copy only delays trials.
	minPartReadInterval       = 2 * time.Second
	maxPartReadInterval       = 15 * time.Second
	partReadIntervalPerDaemon = 50 * time.Millisecond
	// minPartCrashInterval is the minimum interval between two crashes that count against
	// a prompt part. Less is taken for one failure of several engines.
	minPartCrashInterval = 300 * time.Millisecond
)

// prefixedTable is the part of a table whose keys start with a prefix. Its own keys are
// without the prefix.
type prefixedTable struct {
	table  platform.Table
	prefix string
}

var _ platform.Table = prefixedTable{}

// Get implements platform.Table.
func (t prefixedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := t.table.Get(ctx, t.prefix+key)
	row.Key = strings.TrimPrefix(row.Key, t.prefix)
	return row, err
}

// List implements platform.Table.
func (t prefixedTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if after != "" {
		after = t.prefix + after
	}
	rows, err := t.table.List(ctx, t.prefix+prefix, after, limit)
	for i := range rows {
		rows[i].Key = strings.TrimPrefix(rows[i].Key, t.prefix)
	}
	return rows, err
}

// Commit implements platform.Table.
func (t prefixedTable) Commit(ctx context.Context, txn platform.Txn) error {
	var out platform.Txn
	for _, c := range txn.Conditions {
		c.Key = t.prefix + c.Key
		out.Conditions = append(out.Conditions, c)
	}
	for _, w := range txn.Writes {
		w.Key = t.prefix + w.Key
		out.Writes = append(out.Writes, w)
	}
	return t.table.Commit(ctx, out)
}

// pollParts reads the rows of quarantined prompt parts until ctx ends. While the table
// can't be read, those last read stay in force.
func (d *Daemon) pollParts(ctx context.Context) error {
	failing := false
	for {
		rows, err := listRows(ctx, d.partTable)
		switch {
		case err == nil:
			d.promptParts.ApplyRows(rows, 0)
			if failing {
				d.log.Emit(eventlog.FeedRecovered, eventlog.Fields{Detail: "quarantined prompt parts"})
			}
		case !failing && ctx.Err() == nil:
			d.log.Emit(eventlog.FeedLost, eventlog.Fields{Detail: "quarantined prompt parts: " + err.Error()})
		}
		failing = err != nil
		if !sleep(ctx, backoff.JitterInterval(partReadInterval(len(d.members.Live())))) {
			return ctx.Err()
		}
	}
}

func partReadInterval(daemons int) time.Duration {
	return min(max(minPartReadInterval, time.Duration(daemons)*partReadIntervalPerDaemon), maxPartReadInterval)
}

// listRows reads all rows of a table.
func listRows(ctx context.Context, table platform.Table) (map[string]platform.Change, error) {
	out := map[string]platform.Change{}
	for after := ""; ; {
		rows, err := listBatch(ctx, table, after)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			out[row.Key] = platform.Change{Key: row.Key, Value: row.Value, Version: row.Version}
			after = row.Key
		}
		if len(rows) < partRowBatch {
			return out, nil
		}
	}
}

func listBatch(ctx context.Context, table platform.Table, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return table.List(ctx, "", after, partRowBatch)
}
