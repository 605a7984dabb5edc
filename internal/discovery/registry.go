// Package discovery lets daemons find each other through a table that all of them follow. It is for
// daemons that neither seeds nor gossip lead to each other: after a restart with seeds that are
// gone, or after a partition that outlasted what two groups knew of each other.
//
// A group of daemons in contact needs one row, that of any of them. Its first daemon by rendezvous
// hashing writes one when there is none, and dials the addresses of the rows that belong to no
// daemon of the group. So rows are written when the fleet loses the last daemon that has one, and
// nothing is read or written otherwise.
package discovery

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/prefix"
)

// RowPrefix is what the keys of daemons' rows begin with; the daemon's name follows.
const RowPrefix = "daemon/"

const (
	// checkInterval is the interval at which the rows are compared with the daemons in contact.
	checkInterval = 250 * time.Millisecond
	// aloneDelay and groupDelay are how long a group must lack a row before one is written: that
	// of a daemon without peers, and that of others, which may still learn of a peer that has one.
	aloneDelay = 750 * time.Millisecond
	groupDelay = 2 * time.Second
	// lostRowTTL is how long a daemon may be out of contact before its row is removed.
	lostRowTTL = 10 * time.Minute
	// maxWrites bounds the writes of one transaction.
	maxWrites = 50
	// maxAddressBytes bounds the address in a row.
	maxAddressBytes = 128
	// duty is the duty by which daemons are ranked.
	duty = "discovery"
)

// retryBackoff is the backoff between writes of which the copy of the table shows nothing yet.
var retryBackoff = backoff.Policy{Min: 2 * time.Second, Max: time.Minute}

// Daemon is a daemon and its gossip address.
type Daemon struct {
	Name    string
	Address string
}

// Config configures a Registry.
type Config struct {
	Self Daemon
	// Others returns the other daemons in contact.
	Others func() []Daemon
	// Synced reports whether the rows that were applied are those of the table.
	Synced func() bool
	Table  platform.Table
	Log    *eventlog.Log
}

// Registry keeps the rows of the daemons. It is safe for concurrent use.
type Registry struct {
	cfg Config

	mu   sync.Mutex
	rows map[string]row // by daemon
	// unregisteredSince is since when no daemon in contact has a row; zero while one has.
	unregisteredSince time.Time
	// lostSince is since when no daemon in contact is at the address of a row.
	lostSince map[string]time.Time
	// addresses are those to dial.
	addresses []string
	// retries counts the writes in a row; the next one is due at nextWriteAt.
	retries     int
	nextWriteAt time.Time
}

type row struct {
	address string
	version uint64
}

// rowValue is the value of a row. Fields are encoded under their names.
type rowValue struct{ Address string }

// New returns a Registry without rows.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, rows: map[string]row{}, lostSince: map[string]time.Time{}}
}

// ApplyRows replaces the rows by those whose keys begin with RowPrefix. Invalid ones are skipped
// and logged once.
func (r *Registry) ApplyRows(rows map[string]platform.Change) {
	decoded := map[string]row{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, change := range rows {
		name := strings.TrimPrefix(key, RowPrefix)
		var v rowValue
		if name == "" || msgpack.Unmarshal(change.Value, &v) != nil || v.Address == "" || len(v.Address) > maxAddressBytes {
			if r.rows[name].version != change.Version {
				r.cfg.Log.Emit(eventlog.RowUnreadable, eventlog.Fields{Detail: "address of a daemon " + key})
			}
			decoded[name] = row{version: change.Version}
			continue
		}
		decoded[name] = row{v.Address, change.Version}
	}
	r.rows = decoded
}

// Addresses returns the addresses that this daemon has to dial to meet daemons that are not in
// contact, as of the last check.
func (r *Registry) Addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addresses
}

// isFirst reports whether this daemon acts for its group.
func (r *Registry) isFirst(others []Daemon) bool {
	key := prefix.NodeHash(duty)
	own := prefix.Score(key, prefix.NodeHash(r.cfg.Self.Name))
	return !slices.ContainsFunc(others, func(d Daemon) bool { return prefix.Score(key, prefix.NodeHash(d.Name)) > own })
}

// Run keeps the rows until ctx ends and returns the context's error.
func (r *Registry) Run(ctx context.Context) error {
	for {
		if err := backoff.Sleep(ctx, checkInterval); err != nil {
			return err
		}
		if r.cfg.Synced() {
			r.check(ctx, time.Now())
		}
	}
}

// check does what is due.
func (r *Registry) check(ctx context.Context, now time.Time) {
	if txn, ok := r.decide(r.cfg.Others(), now); ok {
		r.commit(ctx, txn)
	}
}

// decide sets the addresses to dial and returns the transaction that is due; ok is false if none
// is. others are the other daemons in contact.
func (r *Registry) decide(others []Daemon, now time.Time) (txn platform.Txn, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := map[string]string{r.cfg.Self.Name: r.cfg.Self.Address}
	for _, d := range others {
		addresses[d.Name] = d.Address
	}
	registered := false
	lostSince := map[string]time.Time{}
	for name, row := range r.rows {
		switch since, noted := r.lostSince[name]; {
		case row.address != "" && addresses[name] == row.address:
			registered = true
		case noted:
			lostSince[name] = since
		default:
			lostSince[name] = now
		}
	}
	r.lostSince, r.addresses = lostSince, nil
	switch {
	case registered:
		r.unregisteredSince = time.Time{}
	case r.unregisteredSince.IsZero():
		r.unregisteredSince = now
	}
	if !r.isFirst(others) {
		return txn, false
	}
	for name := range lostSince {
		if address := r.rows[name].address; address != "" && name != r.cfg.Self.Name {
			r.addresses = append(r.addresses, address)
		}
	}
	delay := groupDelay
	if len(others) == 0 {
		delay = aloneDelay
	}
	if !registered && now.Sub(r.unregisteredSince) >= delay {
		value, err := msgpack.Marshal(rowValue{r.cfg.Self.Address})
		if err != nil { // unreachable: a text can be encoded
			return txn, false
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: RowPrefix + r.cfg.Self.Name, Value: value})
	}
	for name, since := range lostSince {
		if now.Sub(since) >= lostRowTTL && name != r.cfg.Self.Name && len(txn.Writes) < maxWrites {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: RowPrefix + name, Version: r.rows[name].version})
			txn.Writes = append(txn.Writes, platform.Write{Key: RowPrefix + name, Delete: true})
		}
	}
	switch {
	case len(txn.Writes) == 0:
		r.retries, r.nextWriteAt = 0, time.Time{}
		return txn, false
	case now.Before(r.nextWriteAt):
		return txn, false
	}
	r.nextWriteAt = now.Add(retryBackoff.Delay(r.retries))
	r.retries++
	return txn, true
}

// commit applies a transaction. If that fails, decide returns what is then due later.
func (r *Registry) commit(ctx context.Context, txn platform.Txn) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	err := r.cfg.Table.Commit(ctx, txn)
	detail := ""
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		detail = ": not written: " + err.Error()
	}
	for _, w := range txn.Writes {
		event := eventlog.DaemonRegistered
		if w.Delete {
			event = eventlog.DaemonUnregistered
		}
		r.cfg.Log.Emit(event, eventlog.Fields{Detail: strings.TrimPrefix(w.Key, RowPrefix) + detail})
	}
}
