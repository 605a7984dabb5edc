// Package platform holds the ports to the services that the deployment's
// platform provides: a transactional table, an object store and a lagging
// list of instances. An adapter to another platform implements these
// interfaces and nothing else.
package platform

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrNotFound reports that a row or an object does not exist.
var ErrNotFound = errors.New("not found")

// ErrConflict reports that a condition of a transaction did not hold. The
// transaction had no effect.
var ErrConflict = errors.New("a condition of the transaction does not hold")

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Version changes with each write of the row; it is at least 1.
	Version uint64
}

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

// Txn is applied whole or not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the platform's transactional table service.
//
// Errors carry a verdict: verdict.NotRun when a write certainly had no
// effect (ErrConflict, connection refused, explicit refusal), otherwise
// verdict.MayHaveRun. A caller resolves the latter by reading back a nonce
// that it put into the written value.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys start with prefix and follow after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn, or fails with ErrConflict when a condition does not hold.
	Commit(ctx context.Context, txn Txn) error
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object, replacing an earlier one.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns the keys that start with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
}

// InstanceState is what the platform says of an instance.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's lagging list.
type Instance struct {
	// Address is host:port.
	Address string `json:"address"`
	// Service is the service that the instance serves; "entry" for the system's own instances.
	Service    string            `json:"service"`
	DataCentre string            `json:"data_centre"`
	State      InstanceState     `json:"state"`
	Labels     map[string]string `json:"labels,omitempty"`
	// PeerAddress is where an entry instance listens for its peers.
	PeerAddress string `json:"peer_address,omitempty"`
}

// EntryService is the service name under which entry instances are listed.
const EntryService = "entry"

// Instances is the platform's list of live and leaving instances, which lags.
type Instances interface {
	ListInstances(ctx context.Context) ([]Instance, error)
}
