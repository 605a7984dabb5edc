package once

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// restoredDaemon is a daemon on a platform in its first era that has settled.
type restoredDaemon struct {
	client  *platformtest.Client
	records *Records
}

func startOnEra(ctx context.Context, p *platformtest.Platform) *restoredDaemon {
	c := p.Client()
	d := &restoredDaemon{c, New(c, c.Objects(), eventlog.Discard())}
	go func() { _ = d.records.Run(ctx) }()
	_, _ = c.Get(ctx, "any")
	return d
}

// call runs a call that takes a time, and counts its runs.
func (d *restoredDaemon) call(ctx context.Context, runs *int, takes time.Duration) (replayed bool, err error) {
	_, replayed, err = d.records.Do(ctx, Key{"hollow", "orders", "key"}, digest("body"), func(context.Context) (*upstream.Reply, error) {
		*runs++
		time.Sleep(takes)
		return &upstream.Reply{Status: 200, Body: []byte("done")}, nil
	})
	return replayed, err
}

// Guards against a call that runs again because a restored store lost its record: one that had
// ended, one that is running, and with two restores in a row.
func TestCallsRunOnceAcrossRestores(t *testing.T) {
	for name, takes := range map[string]time.Duration{"ended": 0, "running": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				p := platformtest.New()
				p.SetEra(1)
				a, b := startOnEra(ctx, p), startOnEra(ctx, p)
				time.Sleep(settleTime + 5*time.Second)
				older := p.Snapshot()
				runs := 0
				ended := make(chan error, 1)
				go func() {
					_, err := a.call(ctx, &runs, takes)
					ended <- err
				}()
				time.Sleep(time.Second)
				p.Restore(older)
				for i := range 2 {
					_, _ = a.client.Get(ctx, "any") // as other parts of the daemon do
					replayed, err := b.call(ctx, &runs, 0)
					e, ok := err.(*verdict.Error)
					rejected := ok && e.Verdict == verdict.NotRun && e.RetryAfter > 0
					assert.Assert(t, rejected || err == nil && replayed, "after restore %d: %v", i, err)
					if i == 0 {
						time.Sleep(500 * time.Millisecond)
						p.Restore(older)
					}
				}
				assert.NilError(t, <-ended)
				time.Sleep(settleTime + 10*time.Second)
				replayed, err := b.call(ctx, &runs, 0)
				assert.NilError(t, err)
				assert.Check(t, replayed)
				assert.Equal(t, runs, 1)
				// A daemon that starts now need not wait.
				started := startOnEra(ctx, p)
				time.Sleep(2 * settlePoll)
				replayed, err = started.call(ctx, &runs, 0)
				assert.NilError(t, err)
				assert.Check(t, replayed && runs == 1)
				stop()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}
