package quarantine

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	permitPrefix = "quarantine-permit/"
	// PermitDuration bounds one run of a suspect. The permit of a daemon that
	// died expires after it, by wall clock.
	PermitDuration = 2 * time.Minute
	// permitTimeout bounds the wait for the table.
	permitTimeout = 3 * time.Second
	// permitRetryAfter is the pause, before jitter, suggested while another suspect runs.
	permitRetryAfter = time.Second
	// PublishWait is how long the answer to a request under which an upstream
	// died must be held back, so that peers know of the suspicion before the
	// caller sends the request again.
	PublishWait = 500 * time.Millisecond
)

// Permit lets one suspect run at one upstream: nowhere else at the same time,
// and beside no other suspect of any daemon. Exactly one of Completed, Died
// and Abandon must be called.
type Permit struct {
	spreader *Spreader
	fp       Fingerprint
	keys     []string
	nonce    string
	// local is set when the table did not answer; only this daemon's
	// suspects are kept apart then.
	local bool
}

// Enter asks for a permit. While the table does not answer, it keeps apart
// the suspects of this daemon only.
//
// Errors are verdict.Error with NotRun: CodeQuarantined when the request must
// not run, CodeOverloaded with a time to retry while another suspect is in
// the way.
func (s *Spreader) Enter(ctx context.Context, fp Fingerprint, upstream string) (*Permit, error) {
	p := &Permit{spreader: s, fp: fp, keys: []string{permitPrefix + fp.String(), permitPrefix + "@" + upstream}, nonce: rand.Text()}
	if !s.enterLocal(p) {
		return nil, inTheWay()
	}
	err := p.enterTable(ctx)
	if err == nil && s.ledger.Check(fp) == Quarantined {
		p.Abandon(ctx)
		return nil, verdict.New(verdict.NotRun, verdict.CodeQuarantined, "upstreams died under this request before; it is not run again")
	}
	if err != nil {
		s.leaveLocal(p)
		return nil, err
	}
	return p, nil
}

func inTheWay() error {
	e := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "another request under suspicion is running")
	e.RetryAfter = backoff.Jitter(permitRetryAfter)
	return e
}

func (s *Spreader) enterLocal(p *Permit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range p.keys {
		if s.running[key] {
			return false
		}
	}
	for _, key := range p.keys {
		s.running[key] = true
	}
	return true
}

func (s *Spreader) leaveLocal(p *Permit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range p.keys {
		delete(s.running, key)
	}
}

// permitRow is the value of a permit's rows.
type permitRow struct {
	Format      uint8
	Nonce       string
	UntilMillis int64
}

func decodePermit(b []byte) (permitRow, error) {
	var r permitRow
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return permitRow{}, errors.Wrap(err, "permit")
	}
	if r.Format != format || r.Nonce == "" {
		return permitRow{}, errors.Newf("permit of format %d", r.Format)
	}
	return r, nil
}

// enterTable takes both rows in one transaction, and learns what the table
// knows of the request after that.
func (p *Permit) enterTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var txn platform.Txn
	value := mustEncode(&permitRow{Format: format, Nonce: p.nonce, UntilMillis: time.Now().Add(PermitDuration).UnixMilli()})
	for _, key := range p.keys {
		row, err := p.spreader.table.Get(ctx, key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			p.local = true
			return nil
		}
		if taken, err := decodePermit(row.Value); row.Version > 0 && err == nil && time.Now().Before(time.UnixMilli(taken.UntilMillis)) {
			return inTheWay()
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: value})
	}
	err := platform.CommitResolved(ctx, p.spreader.table, txn, p.mine)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return inTheWay()
	case err != nil:
		p.local = true
		return nil
	}
	return p.learn(ctx)
}

func (p *Permit) mine(ctx context.Context) (bool, error) {
	row, err := p.spreader.table.Get(ctx, p.keys[0])
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r, err := decodePermit(row.Value)
	return r.Nonce == p.nonce, err
}

// learn reads what earlier runs left in the table before their permits ended.
func (p *Permit) learn(ctx context.Context) error {
	row, err := p.spreader.table.Get(ctx, rowPrefix+p.fp.String())
	if err != nil {
		return nil // gossip is all there is
	}
	if v, err := decodeRow(row.Value); err == nil {
		p.spreader.ledger.merge(v.Record)
	}
	return nil
}

// Completed acquits the request: it ran to its end.
func (p *Permit) Completed(ctx context.Context) {
	p.spreader.ledger.Completed(p.fp)
	p.leave(ctx)
}

// Died records that the upstream died under the request. The permit is kept
// until the table knows of it or the permit expires.
func (p *Permit) Died(ctx context.Context, d Death) {
	p.spreader.ledger.Died(d, []Fingerprint{p.fp})
	if !p.local && p.spreader.write(context.WithoutCancel(ctx), p.fp) != nil {
		p.spreader.leaveLocal(p)
		return
	}
	p.leave(ctx)
}

// Abandon gives the permit back: the request did not run, or did not end.
func (p *Permit) Abandon(ctx context.Context) { p.leave(ctx) }

func (p *Permit) leave(ctx context.Context) {
	p.spreader.leaveLocal(p)
	if p.local {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), permitTimeout)
	defer cancel()
	var txn platform.Txn
	for _, key := range p.keys {
		row, err := p.spreader.table.Get(ctx, key)
		if err != nil {
			return // it expires
		}
		if r, err := decodePermit(row.Value); err != nil || r.Nonce != p.nonce {
			return
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Delete: true})
	}
	_ = p.spreader.table.Commit(ctx, txn)
}

// sweepPermits deletes expired permits.
func (s *Spreader) sweepPermits(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	rows, err := s.table.List(ctx, permitPrefix, "", listRows)
	if err != nil {
		return
	}
	for _, row := range rows {
		r, err := decodePermit(row.Value)
		if err == nil && time.Now().Before(time.UnixMilli(r.UntilMillis).Add(PermitDuration)) {
			continue
		}
		_ = s.table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: row.Key, Version: row.Version}},
			Writes:     []platform.Write{{Key: row.Key, Delete: true}},
		})
	}
}
