package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/forward"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/telemetry"
)

// countOutcome counts a request that has ended.
func (d *Daemon) countOutcome(o forward.Outcome) {
	d.metrics.Forwarded(o.Route, string(o.Class), o.Verdict.String(), o.Result, o.Duration, o.FirstByte, o.Queued)
}

// registerGauges adds the metrics that are read from the daemon's state.
func (d *Daemon) registerGauges() {
	for name, value := range map[string]func() float64{
		telemetry.NameInFlight:      func() float64 { return float64(d.inFlight.Load()) },
		telemetry.NamePlatformUp:    func() float64 { return indicator(!d.storeFailed.Load()) },
		telemetry.NamePeers:         func() float64 { return float64(len(d.node.Peers())) },
		telemetry.NameGossipSent:    func() float64 { return float64(d.node.Stats().SentBytes) },
		telemetry.NameGossipRecv:    func() float64 { return float64(d.node.Stats().ReceivedBytes) },
		telemetry.NameGossipFacts:   func() float64 { return float64(d.node.Stats().Facts) },
		telemetry.NameEnginesBehind: func() float64 { return float64(d.enginesBehind()) },
		telemetry.NameLeaseHeld:     func() float64 { return indicator(d.leaseHeld.Load()) },
		telemetry.NameStateRevision: func() float64 {
			if table := d.view.table.Load(); table != nil {
				return float64(table.Revision)
			}
			return 0
		},
	} {
		d.metrics.Gauge(name, value)
	}
}

func indicator(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// enginesBehind returns how many engines have older weights than operators want.
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

// timedTable is a platform.Table whose calls are measured.
type timedTable struct {
	platform.Table
	metrics *telemetry.Metrics
}

// Get implements platform.Table.
func (t timedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	begun := time.Now()
	row, err := t.Table.Get(ctx, key)
	t.record("read", begun, err)
	return row, err
}

// List implements platform.Table.
func (t timedTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	begun := time.Now()
	rows, err := t.Table.List(ctx, prefix, after, limit)
	t.record("list", begun, err)
	return rows, err
}

// Commit implements platform.Table.
func (t timedTable) Commit(ctx context.Context, txn platform.Txn) error {
	begun := time.Now()
	err := t.Table.Commit(ctx, txn)
	t.record("commit", begun, err)
	return err
}

// record counts a missing row and a conflict as answers.
func (t timedTable) record(call string, begun time.Time, err error) {
	if errors.IsAny(err, platform.ErrNotFound, platform.ErrConflict) {
		err = nil
	}
	t.metrics.StoreCall(call, time.Since(begun), err)
}
