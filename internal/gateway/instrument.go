package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/storeclock"
	"github.com/verbenabend/verbenabend/internal/telemetry"
)

// countOutcome records a finished request in the metrics.
func (d *Daemon) countOutcome(o forward.Outcome) {
	d.metrics.RecordForwarded(o.Route, string(o.Class), o.Verdict.String(), o.Result, o.Duration, o.FirstByte, o.QueueTime)
}

// countTriage counts a request that triage delayed or refused.
func (d *Daemon) countTriage(refused bool, reason routing.TriageReason) {
	d.metrics.CountTriaged(refused, string(reason))
}

// registerGauges registers the metrics that are computed from the daemon's
// state.
func (d *Daemon) registerGauges() {
	for name, value := range map[string]func() float64{
		telemetry.NameInFlightRequests: func() float64 { return float64(d.inFlight.Load()) },
		telemetry.NameAttempts:         func() float64 { return float64(d.services.Attempts()) },
		telemetry.NameBodyBytes: func() float64 {
			bodies, _ := d.forwarder.HeldBytes()
			return float64(bodies)
		},
		telemetry.NameResponseBytes: func() float64 {
			_, responses := d.forwarder.HeldBytes()
			return float64(responses)
		},
		telemetry.NamePlatformUp: func() float64 { return boolGauge(d.storeFailedSince.Load() == nil) },
		telemetry.NameStoreEra: func() float64 {
			era, _ := d.eras.Current()
			return float64(era)
		},
		telemetry.NameStreamOrigins: func() float64 {
			streams, _ := d.origins.Counts()
			return float64(streams)
		},
		telemetry.NameMixedServices: func() float64 {
			_, services := d.origins.Counts()
			return float64(services)
		},
		telemetry.NameCopiesAge:       func() float64 { return d.copies.Age().Seconds() },
		telemetry.NameStoreAnswerTime: func() float64 { return d.copies.AnswerTime().Seconds() },
		telemetry.NameStoreReader: func() float64 {
			reading, _ := d.copies.Reading()
			return boolGauge(reading)
		},
		telemetry.NameMissingUpstreams:     func() float64 { return float64(d.upstreamMirror.Missing()) },
		telemetry.NamePeers:                func() float64 { return float64(len(d.gossipNode.Peers())) },
		telemetry.NameGossipSent:           func() float64 { return float64(d.gossipNode.Stats().SentBytes) },
		telemetry.NameGossipReceived:       func() float64 { return float64(d.gossipNode.Stats().ReceivedBytes) },
		telemetry.NameGossipFacts:          func() float64 { return float64(d.gossipNode.Stats().Facts) },
		telemetry.NameEnginesBehind:        func() float64 { return float64(d.enginesBehind()) },
		telemetry.NameEnginesExpired:       func() float64 { return float64(d.expiredEngines.Load()) },
		telemetry.NameGoalsUndated:         func() float64 { return float64(d.undatedGoals()) },
		telemetry.NameSuspectedParts:       func() float64 { return float64(d.promptParts.SuspectedCount()) },
		telemetry.NameQuarantinedParts:     func() float64 { return float64(d.promptParts.QuarantinedCount()) },
		telemetry.NameRateLimitedUpstreams: func() float64 { return float64(d.services.RateLimits()) },
		telemetry.NameQuotaAge:             func() float64 { return d.allowances.estimateAge().Seconds() },
		telemetry.NameLeaseHeld:            func() float64 { return boolGauge(d.leaseHeld.Load()) },
		telemetry.NameStateRevision: func() float64 {
			if table := d.view.table.Load(); table != nil {
				return float64(table.Revision)
			}
			return 0
		},
	} {
		d.metrics.RegisterGauge(name, value)
	}
}

func boolGauge(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// enginesBehind returns how many engines have weights older than the goal
// version.
func (d *Daemon) enginesBehind() int {
	n := 0
	for _, g := range d.Goals() {
		for _, u := range d.Engines(g.Model) {
			if u.Version(g.Model) < g.Version {
				n++
			}
		}
	}
	return n
}

// undatedGoals returns how many goal versions have an unknown age.
func (d *Daemon) undatedGoals() int {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	n := 0
	for _, history := range d.view.goals {
		n += history.Undated()
	}
	return n
}

// timedTable records the latency of calls to a platform.Table, and the store's time.
type timedTable struct {
	platform.Table
	metrics *telemetry.Metrics
	clock   *storeclock.Clock
	// answered is told of each answer, with when its call was sent, as Clock.Local, and when the
	// store read it.
	answered func(sentAt time.Duration, readAt platform.StoreTime)
}

// maxUndatedAnswerTime is the longest time that a call may take for its answer to tell when the store
// was in order although it bears no time.
const maxUndatedAnswerTime = 100 * time.Millisecond

// noteAnswer passes on that the store answered; readAt is 0 if it did not say when.
func (t timedTable) noteAnswer(sentAt time.Duration, readAt platform.StoreTime, err error) {
	if err != nil && !errors.IsAny(err, platform.ErrNotFound, platform.ErrConflict) {
		return
	}
	if now, ok := t.clock.Now(); readAt == 0 {
		took := t.clock.Local() - sentAt
		if !ok || took > maxUndatedAnswerTime {
			return
		}
		readAt = now.Add(-took)
	}
	t.answered(sentAt, readAt)
}

// Get implements platform.Table.
func (t timedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	start, sentAt := time.Now(), t.clock.Local()
	row, err := t.Table.Get(ctx, key)
	row.ReadAt = t.clock.Observe(row.ReadAt, sentAt)
	t.noteAnswer(sentAt, row.ReadAt, err)
	t.record("read", start, err)
	return row, err
}

// List implements platform.Table.
func (t timedTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	start, sentAt := time.Now(), t.clock.Local()
	rows, err := t.Table.List(ctx, prefix, after, limit)
	t.noteAnswer(sentAt, 0, err)
	t.record("list", start, err)
	return rows, err
}

// Commit implements platform.Table.
func (t timedTable) Commit(ctx context.Context, txn platform.Txn) error {
	start, sentAt := time.Now(), t.clock.Local()
	err := t.Table.Commit(ctx, txn)
	t.noteAnswer(sentAt, 0, err)
	t.record("commit", start, err)
	return err
}

// CommitVersion implements platform.VersionedTable.
func (t timedTable) CommitVersion(ctx context.Context, txn platform.Txn) (platform.Position, error) {
	table, ok := t.Table.(platform.VersionedTable)
	if !ok {
		return platform.Position{}, t.Commit(ctx, txn)
	}
	start, sentAt := time.Now(), t.clock.Local()
	written, err := table.CommitVersion(ctx, txn)
	t.noteAnswer(sentAt, 0, err)
	t.record("commit", start, err)
	return written, err
}

// Eras implements platform.EraTable.
func (t timedTable) Eras() *platform.Eras { return platform.ErasOf(t.Table) }

// clockedFeed records the store's time in its responses. ReadAt is a time of the clock.
type clockedFeed struct {
	platform.Feed
	clock *storeclock.Clock
}

// ReadTable implements platform.Feed.
func (f clockedFeed) ReadTable(ctx context.Context, table string) (platform.Changes, error) {
	sentAt := f.clock.Local()
	changes, err := f.Feed.ReadTable(ctx, table)
	f.date(&changes, sentAt, 0)
	return changes, err
}

// ReadChanges implements platform.Feed.
func (f clockedFeed) ReadChanges(ctx context.Context, table string, after platform.Position, wait time.Duration) (platform.Changes, error) {
	sentAt := f.clock.Local()
	changes, err := f.Feed.ReadChanges(ctx, table, after, wait)
	f.date(&changes, sentAt, wait)
	return changes, err
}

// maxReadingDelay is how long after it was due a response may come for its time to be a reading of the
// store's clock.
const maxReadingDelay = 1500 * time.Millisecond

// date converts ReadAt of a response to a call that was sent at a time of Clock.Local and may have waited.
func (f clockedFeed) date(c *platform.Changes, sentAt, wait time.Duration) {
	if f.clock.Local()-sentAt > wait+maxReadingDelay {
		c.ReadAt = f.clock.ObserveLate(c.ReadAt, sentAt)
		return
	}
	c.ReadAt = f.clock.Observe(c.ReadAt, sentAt)
}

// record does not count a missing row or a conflict as an error.
func (t timedTable) record(call string, start time.Time, err error) {
	if errors.IsAny(err, platform.ErrNotFound, platform.ErrConflict) {
		err = nil
	}
	t.metrics.RecordStoreCall(call, time.Since(start), err)
}
