package platform

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryLost reports that the store no longer keeps the changes after the
// requested version; read the whole table again.
var ErrHistoryLost = errors.New("the store no longer keeps the requested changes")

// ErrRestored reports that the store is in another era than that of the requested version; read
// the whole table again.
var ErrRestored = errors.New("the store was restored from an older copy")

// Change is the newest value of a row, or its deletion.
type Change struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// Changes is a part of a table's history, or the whole table.
type Changes struct {
	Rows []Change
	// Version is the store's version at which Rows were read.
	Version uint64
	// Era is the store's era; 0 if it states none.
	Era uint64
	// Whole is set when Rows are all rows of the table.
	Whole bool
	// ReadAt is when the store read Rows; 0 if it did not say, as in the copies of peers.
	ReadAt StoreTime
	// Contacts tells of peers' copies when the store answered those peers.
	Contacts []Contact
}

// Contact is what a daemon knows of when the store answered calls, its own or others', to tell why rows
// of a table are missing.
// Times are on the store's clock.
type Contact struct {
	// Since and Last are the first and the last known answer; 0 if there is none.
	Since StoreTime `msgpack:",omitempty"`
	Last  StoreTime `msgpack:",omitempty"`
	// Gaps are the times between them without a known answer that are long enough for rows to
	// expire, the latest last.
	Gaps []Gap `msgpack:",omitempty"`
	// Failures are failed calls after Last, the latest of each daemon; not of all daemons.
	Failures []Failure `msgpack:",omitempty"`
	// ReadAt is when the store read what the daemon's copy shows; 0 if unknown.
	ReadAt StoreTime `msgpack:",omitempty"`
	// RestoredAt is the first known answer in Era, to which the store was restored from an older
	// copy; 0 if it was not, or nobody noticed.
	RestoredAt StoreTime `msgpack:",omitempty"`
	Era        uint64    `msgpack:",omitempty"`
}

// Gap is the time between two answers.
type Gap struct {
	From, Until StoreTime
	// Asked is when the first call was sent that the store is known to have answered at Until or
	// later; 0 if unknown.
	Asked StoreTime `msgpack:",omitempty"`
	// FailedBy names daemons that had a call fail in the gap; not all of them.
	FailedBy []string `msgpack:",omitempty"`
	// Vanished is set if rows vanished in the gap as they do when the store was down: without a
	// trace in its history, or most of them at once.
	Vanished bool `msgpack:",omitempty"`
}

// Failure is a call of a daemon to the store that failed.
type Failure struct {
	By string
	At StoreTime
}

// Map returns c with its times converted.
func (c Contact) Map(convert func(StoreTime) StoreTime) Contact {
	c.Gaps, c.Failures = slices.Clone(c.Gaps), slices.Clone(c.Failures)
	times := []*StoreTime{&c.Since, &c.Last, &c.ReadAt, &c.RestoredAt}
	for i := range c.Gaps {
		times = append(times, &c.Gaps[i].From, &c.Gaps[i].Until, &c.Gaps[i].Asked)
	}
	for i := range c.Failures {
		times = append(times, &c.Failures[i].At)
	}
	for _, t := range times {
		if *t != 0 {
			*t = convert(*t)
		}
	}
	return c
}

// Feed reads tables and their changes. Versions come from one counter for all
// tables and grow with each transaction of an era.
type Feed interface {
	// ReadTable returns a consistent snapshot of all rows of a table.
	ReadTable(ctx context.Context, table string) (Changes, error)
	// ReadChanges returns the changes of a table after a position; when there are
	// none, it waits for one, at most for wait. The error is ErrHistoryLost, or
	// ErrRestored, when the whole table has to be read again.
	ReadChanges(ctx context.Context, table string, after Position, wait time.Duration) (Changes, error)
}

// At returns the position at which the changes were read.
func (c *Changes) At() Position { return Position{Era: c.Era, Version: c.Version} }
