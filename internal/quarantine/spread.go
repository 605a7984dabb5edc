package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	rowPrefix = "quarantine/"
	// syncInterval is the pause between two looks at the table.
	syncInterval = 10 * time.Second
	// listRows bounds one read of the table.
	listRows = 256
	// queueLength bounds the records that wait for the table.
	queueLength = 1024
	// mergeTries bounds the tries to merge one record into the table.
	mergeTries = 5
	// permitSweepOneIn is the number of looks at the table, over which one
	// also deletes the permits that daemons left behind when they died.
	permitSweepOneIn = 30
)

// Spreader carries records between daemons, by gossip at once and through the
// table for those that start later. It implements Publisher.
type Spreader struct {
	board  gossip.Board
	table  platform.Table
	log    *eventlog.Log
	ledger *Ledger
	queue  chan Record

	mu      sync.Mutex
	running map[string]bool // permits that this daemon holds
}

// NewSpreader returns a Spreader and the Ledger that it serves.
func NewSpreader(board gossip.Board, table platform.Table, log *eventlog.Log) (*Spreader, *Ledger) {
	s := &Spreader{board: board, table: table, log: log, queue: make(chan Record, queueLength), running: map[string]bool{}}
	s.ledger = NewLedger(s)
	board.Subscribe(gossip.KindSuspect, func(f gossip.Fact) {
		if r, err := decodeRecord(f.Value); err == nil && r.Fingerprint.String() == f.ID {
			s.ledger.Received(r)
		}
	})
	return s, s.ledger
}

// Publish implements Publisher. It does not block: when the table is down for
// long, gossip alone carries the newest records.
func (s *Spreader) Publish(r Record) {
	s.board.Publish(gossip.Fact{Kind: gossip.KindSuspect, ID: r.Fingerprint.String(), Version: r.size(), TTL: Retention, Value: encodeRecord(r)})
	id := eventlog.SuspectRecorded
	if r.state() == Quarantined {
		id = eventlog.RequestIsolated
	}
	s.log.Emit(id, eventlog.Fields{Detail: fmt.Sprintf("request %s: %s, %d deaths", r.Fingerprint, r.state(), len(r.Deaths))})
	select {
	case s.queue <- r:
	default:
	}
}

// Run writes records to the table and reads those of others until ctx ends.
func (s *Spreader) Run(ctx context.Context) error {
	_ = s.readAll(ctx)
	timer := time.NewTimer(backoff.Jitter(syncInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-s.queue:
			_ = s.write(ctx, r.Fingerprint)
		case <-timer.C:
			_ = s.readAll(ctx)
			if rand.IntN(permitSweepOneIn) == 0 {
				s.sweepPermits(ctx)
			}
			timer.Reset(backoff.Around(syncInterval))
		}
	}
}

// readAll merges the table's records into the ledger and deletes expired rows.
func (s *Spreader) readAll(ctx context.Context) error {
	after := ""
	for {
		rows, err := s.list(ctx, after)
		if err != nil {
			return err
		}
		for _, row := range rows {
			s.mergeRow(ctx, row)
		}
		if len(rows) < listRows {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (s *Spreader) list(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return s.table.List(ctx, rowPrefix, after, listRows)
}

func (s *Spreader) mergeRow(ctx context.Context, row platform.Row) {
	v, err := decodeRow(row.Value)
	if err != nil {
		return
	}
	if time.Since(time.UnixMilli(v.AtMillis)) < Retention {
		s.ledger.merge(v.Record)
		return
	}
	// A conflict means that another daemon deleted or renewed it.
	_ = s.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []platform.Write{{Key: row.Key, Delete: true}},
	})
}

// write merges the ledger's record into the table's row.
func (s *Spreader) write(ctx context.Context, fp Fingerprint) (err error) {
	for try := range mergeTries {
		if err = s.writeOnce(ctx, fp); err == nil {
			return nil
		}
		if backoff.Sleep(ctx, writeBackoff.Delay(try)) != nil {
			return err
		}
	}
	return err
}

// writeBackoff spaces the tries to merge a record.
var writeBackoff = backoff.Policy{Min: 100 * time.Millisecond, Max: 2 * time.Second}

func (s *Spreader) writeOnce(ctx context.Context, fp Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	key := rowPrefix + fp.String()
	row, err := s.table.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if v, err := decodeRow(row.Value); row.Version > 0 && err == nil {
		s.ledger.merge(v.Record)
	}
	merged, _ := s.ledger.merge(Record{Fingerprint: fp})
	// A lost answer needs no reading back: merging again changes nothing.
	return s.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: row.Version}},
		Writes:     []platform.Write{{Key: key, Value: encodeRow(tableRow{Record: merged, AtMillis: time.Now().UnixMilli()})}},
	})
}

// tableRow is the value of a row.
type tableRow struct {
	Format   uint8
	Record   Record
	AtMillis int64
}

const format = 1

func encodeRow(r tableRow) []byte {
	r.Format = format
	return mustEncode(&r)
}

func decodeRow(b []byte) (tableRow, error) {
	var r tableRow
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return tableRow{}, errors.Wrap(err, "suspect row")
	}
	if r.Format != format {
		return tableRow{}, errors.Newf("suspect row of format %d", r.Format)
	}
	return r, r.Record.check()
}

func encodeRecord(r Record) []byte { return mustEncode(&r) }

func decodeRecord(b []byte) (Record, error) {
	var r Record
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return Record{}, errors.Wrap(err, "suspect")
	}
	return r, r.check()
}

func (r Record) check() error {
	if len(r.Deaths) > maxDeathsKept || len(r.Acquitted) > maxDeathsKept {
		return errors.New("suspect with too many deaths")
	}
	return nil
}

func mustEncode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // all fields can be encoded
	}
	return b
}
