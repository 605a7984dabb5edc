package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryLost reports that changes after the version asked for are no
// longer kept; the table has to be read anew.
var ErrHistoryLost = errors.New("the history of changes is lost")

// Change is a row as it was written last, or its removal.
type Change struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// Changes is a part of a table's history, or the whole table.
type Changes struct {
	Rows []Change
	// Version is the store's newest version as of which Rows hold.
	Version uint64
	// Whole says that Rows are all rows of the table.
	Whole bool
}

// Feed gives the contents of tables and tells of changes. Versions come from
// one counter and grow with each transaction.
type Feed interface {
	// ReadTable returns all rows of a table as of one moment.
	ReadTable(ctx context.Context, table string) (Changes, error)
	// ReadChanges returns what changed in a table after a version. It waits up
	// to wait for a change. The error is ErrHistoryLost when the table has to
	// be read anew.
	ReadChanges(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}
