package once

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// A store that returns from an older copy (platform.Eras) has lost the records of the last seconds.
// Each daemon keeps the records that it wrote of late and writes those again that are missing. Until
// all daemons had time for that no key is claimed. Then a row says that the era is settled, for
// daemons that start later.

const (
	// settledKey is the key of the row with the newest settled era. It sorts before the records.
	settledKey = "once-settled-era"
	// recentLifetime is how long a daemon keeps a record that it wrote: longer than the age of the
	// copies from which the store returns, which is some seconds.
	recentLifetime = time.Minute
	// maxRecentRecords and maxRecentReplyBytes bound the kept records. Beyond the latter a record
	// is kept without its reply.
	maxRecentRecords    = 1000
	maxRecentReplyBytes = 4 << 20
	// rewriteTime is the time over which a daemon spreads the reads of its recent records.
	rewriteTime = 5 * time.Second
	// settleTime is how long after a daemon first saw an era no key is claimed: the others see it
	// with their next read of the table, at most some seconds later, and then write their records.
	settleTime = 20 * time.Second
	// settlePoll is the pause between checks whether the era is settled.
	settlePoll = time.Second
)

// recentRecord is the newest record of a key that this daemon wrote.
type recentRecord struct {
	key Key
	rec record
	at  time.Time
}

// recentRecords holds the records that this daemon wrote of late.
type recentRecords struct {
	mu         sync.Mutex
	byRow      map[string]recentRecord
	order      []string // rows, the oldest write first; may hold a row several times
	replyBytes int
}

func (r *recentRecords) add(key Key, rec record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := key.rowKey()
	r.remove(row)
	if rec.Reply != nil && r.replyBytes+len(rec.Reply.Body) > maxRecentReplyBytes {
		rec.Reply, rec.State = nil, ran
	}
	if rec.Reply != nil {
		r.replyBytes += len(rec.Reply.Body)
	}
	r.byRow[row] = recentRecord{key, rec, now}
	r.order = append(r.order, row)
	for len(r.order) > 0 {
		oldest, known := r.byRow[r.order[0]]
		if known && len(r.order) <= maxRecentRecords && now.Sub(oldest.at) < recentLifetime {
			return
		}
		r.remove(r.order[0])
	}
}

// remove removes a row's record and its entry in the order. r.mu must be held.
func (r *recentRecords) remove(row string) {
	old, known := r.byRow[row]
	if known && old.rec.Reply != nil {
		r.replyBytes -= len(old.rec.Reply.Body)
	}
	delete(r.byRow, row)
	for i, x := range r.order {
		if x == row {
			r.order = append(r.order[:i], r.order[i+1:]...)
			return
		}
	}
}

// newestFirst returns the records that are not older than recentLifetime.
func (r *recentRecords) newestFirst(now time.Time) []recentRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []recentRecord
	for i := len(r.order) - 1; i >= 0; i-- {
		if x := r.byRow[r.order[i]]; now.Sub(x.at) < recentLifetime {
			out = append(out, x)
		}
	}
	return out
}

// holds reports whether this daemon wrote a record of the key of late.
func (r *recentRecords) holds(key Key, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, known := r.byRow[key.rowKey()]
	return known && now.Sub(x.at) < recentLifetime
}

// unsettled returns the error of a call whose record may have been lost with an older era; nil if
// the era is settled or the store states none.
func (r *Records) unsettled() error {
	era, since := r.eras.Current()
	if era == r.settledEra.Load() {
		return nil
	}
	e := verdict.New(verdict.NotRun, verdict.CodePlatformUnavailable, "the table of at-most-once records was restored from an older copy")
	e.RetryAfter = backoff.Jitter(max(settleTime-time.Since(since), unavailableRetryAfter))
	return e
}

// settleEras writes the recent records again after each restore of the store, and then notes that
// the era is settled, until ctx ends.
func (r *Records) settleEras(ctx context.Context) {
	rewritten := uint64(0)
	for backoff.Sleep(ctx, settlePoll) == nil {
		era, since := r.eras.Current()
		if era == r.settledEra.Load() {
			continue
		}
		if rewritten != era && r.rewriteRecent(ctx, era) {
			rewritten = era
		}
		settled, at, err := r.readSettledEra(ctx)
		switch {
		case err != nil || rewritten != era || at.Era != era:
		case settled == era:
			r.settledEra.Store(era)
		case time.Since(since) >= settleTime && r.writeSettledEra(ctx, era, at):
			r.settledEra.Store(era)
		}
	}
}

// isSettling reports whether no daemon may run calls yet because of the store's era.
func (r *Records) isSettling() bool {
	_, since := r.eras.Current()
	return r.unsettled() != nil && time.Since(since) < settleTime
}

// rewriteRecent writes the recent records that the table lacks. It reports false if it has to be
// tried again.
func (r *Records) rewriteRecent(ctx context.Context, era uint64) bool {
	recent := r.recent.newestFirst(time.Now())
	for _, x := range recent {
		if !r.rewrite(ctx, x) {
			return false
		}
		if current, _ := r.eras.Current(); current != era {
			return false
		}
		if backoff.Sleep(ctx, rewriteTime/time.Duration(len(recent))) != nil {
			return false
		}
	}
	return true
}

// rewrite writes a record again if its row is missing or shows an earlier state of the attempt, or
// of one that it followed.
func (r *Records) rewrite(ctx context.Context, x recentRecord) bool {
	found, at, err := r.read(ctx, x.key)
	if err != nil {
		return false
	}
	if found != nil && found.State == claimed && found.Nonce != x.rec.Nonce && r.isSettling() {
		return false // by a daemon that learns of the era from the answer, and releases the key
	}
	if found != nil && found.State != released && (found.Nonce != x.rec.Nonce || found.State != claimed || x.rec.State == claimed) {
		return true
	}
	if found != nil && found.Nonce == x.rec.Nonce && found.State == x.rec.State {
		return true
	}
	return r.write(ctx, x.key, at, x.rec) == nil // after a conflict it is read again
}

// readSettledEra returns the newest settled era that the table tells, and the row's position.
func (r *Records) readSettledEra(ctx context.Context) (era uint64, at platform.Position, err error) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	row, err := r.table.Get(ctx, settledKey)
	at = platform.Position{Era: row.Era, Version: row.Version}
	if errors.Is(err, platform.ErrNotFound) {
		return 0, at, nil
	}
	if err != nil {
		return 0, at, err
	}
	era, _ = strconv.ParseUint(string(row.Value), 10, 64) // 0 if it is not a number: written anew
	return era, at, nil
}

func (r *Records) writeSettledEra(ctx context.Context, era uint64, at platform.Position) bool {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	return r.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: settledKey, Version: at.Version}},
		Writes:     []platform.Write{{Key: settledKey, Value: strconv.AppendUint(nil, era, 10)}},
		Era:        era,
	}) == nil
}
