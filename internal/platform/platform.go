// Package platform defines the interfaces to the services of the deployment's
// platform: a transactional table, an object store and an eventually consistent
// list of instances. An adapter to another platform implements only these.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotFound reports that a row or an object does not exist.
var ErrNotFound = errors.New("not found")

// ErrConflict reports that a condition of a transaction did not hold; the
// transaction had no effect.
var ErrConflict = errors.New("a condition of the transaction does not hold")

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Version changes with each write of the row; it is at least 1.
	Version uint64
	// ReadAt is when the store read the row; 0 if it did not say.
	ReadAt StoreTime
	// Era is the era of the store in which the row was read, also with ErrNotFound; 0 if it
	// states none.
	Era uint64
}

// StoreTime is a time on the store's clock, in milliseconds. That clock is steady,
// the same for all daemons, and unrelated to the time of day.
type StoreTime int64

// Add returns t plus d.
func (t StoreTime) Add(d time.Duration) StoreTime { return t + StoreTime(d.Milliseconds()) }

// Sub returns the time from u to t.
func (t StoreTime) Sub(u StoreTime) time.Duration { return time.Duration(t-u) * time.Millisecond }

// Condition requires a row to have a version; 0 requires that it does not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is an atomic transaction: all writes are applied if all conditions hold,
// otherwise none.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	// Era is the era in which the versions of Conditions were read. Commit fails with
	// ErrEraChanged if the store is in another one. 0 is not checked.
	Era uint64
}

// Table is the platform's transactional table service.
//
// Errors carry a verdict: verdict.NotRun when a write had no effect
// (ErrConflict, connection refused, explicit refusal), otherwise
// verdict.MayHaveRun. Callers resolve the latter by reading whether the row has
// the nonce that they put into the written value.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows in key order whose keys start with prefix and
	// are greater than after.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn, or fails with ErrConflict when a condition does not hold.
	Commit(ctx context.Context, txn Txn) error
}

// VersionedTable is a Table that tells the version of the rows that a transaction wrote, so
// that a writer need not read them before it writes again.
type VersionedTable interface {
	Table
	// CommitVersion is Commit; the result is zero if it is not known.
	CommitVersion(ctx context.Context, txn Txn) (Position, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object, replacing any earlier one.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns the keys that start with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
}

// InstanceState is an instance's state in the platform's instance list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	// Address is host:port.
	Address string `json:"address"`
	// Service is the service that the instance serves, EntryService for the
	// instances of this system.
	Service    string            `json:"service"`
	DataCentre string            `json:"data_centre"`
	State      InstanceState     `json:"state"`
	Labels     map[string]string `json:"labels,omitempty"`
	// PeerAddress is the address at which an entry instance listens for its peers.
	PeerAddress string `json:"peer_address,omitempty"`
}

// EntryService is the service name under which entry instances are listed.
const EntryService = "entry"

// Instances is the platform's eventually consistent list of live and leaving
// instances.
type Instances interface {
	ListInstances(ctx context.Context) ([]Instance, error)
}
