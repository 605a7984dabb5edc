package rollout

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/lease"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

// lateRequestSite is one engine to which a peer sends a prompt when the notice that
// stops traffic is on its way. It implements SwitchEnvironment and upstream.Switches.
type lateRequestSite struct {
	engine *fleet.Registration
	// loadDelay is the time from that notice until the prompt is known, prefill the
	// time from the notice until it is computed.
	loadDelay, prefill time.Duration

	mu                             sync.Mutex
	notifiedAt, stoppedAt, ordered time.Time
}

func (x *lateRequestSite) Goals() []Goal { return []Goal{{Model: "opal", Version: 2}} }

func (x *lateRequestSite) Engines(string) []*fleet.Registration {
	return []*fleet.Registration{x.engine}
}

func (x *lateRequestSite) Requests(string) (requests, uncomputedTokens int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if since := time.Since(x.stoppedAt); !x.stoppedAt.IsZero() && since >= x.loadDelay && since < x.prefill {
		return 1, 13_000
	}
	return 0, 0
}

func (x *lateRequestSite) AcceptedOrders(string, int64) int { return 0 }

func (x *lateRequestSite) Broadcast(n SwitchNotice) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case n.Preparing:
		x.notifiedAt = time.Now()
	case !n.Done:
		x.stoppedAt = time.Now()
	}
}

func (x *lateRequestSite) Switch(context.Context, upstream.SwitchOrder) (upstream.SwitchResult, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ordered = time.Now()
	return upstream.SwitchAccepted, nil
}

func (x *lateRequestSite) Report(context.Context, string, string) (upstream.SwitchReport, error) {
	return upstream.SwitchReport{Busy: true}, nil
}

// A prompt that a peer sent right before it learnt that traffic is stopped was
// aborted by the order. The order waits for it, within maxPrepareTime.
func TestOrderWaitsForPromptSentBeforeTrafficStopped(t *testing.T) {
	for _, c := range []struct {
		name                      string
		prefill, minWait, maxWait time.Duration // waits from the stop of traffic
	}{
		{"no prompt", 0, switchLeadTime, switchLeadTime + switchPollInterval},
		{"prompt of 0.4 s", 400 * time.Millisecond, 400 * time.Millisecond, 400*time.Millisecond + switchPollInterval},
		{"prompt without end", time.Hour, maxPrepareTime, maxPrepareTime + switchPollInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				x := &lateRequestSite{
					engine:    &fleet.Registration{ID: "engine-0", StartedAt: 1, Models: []fleet.LoadedModel{{Name: "opal", Version: 1}}},
					loadDelay: 5 * time.Millisecond, prefill: c.prefill,
				}
				s := &Switcher{SwitchClient: x, Environment: x, Limits: SwitchLimits{Rounds: 1}, Holder: "d", Log: eventlog.Discard()}
				k := lease.NewKeeper(platformtest.New().Client(), lease.Settings{Name: "weights", Holder: "d"}, eventlog.Discard())
				go func() { _ = k.Run(ctx, s.Work) }()
				time.Sleep(4 * time.Second)
				cancel()
				synctest.Wait()
				assert.Assert(t, !x.ordered.IsZero(), "no order was sent")
				assert.Equal(t, x.stoppedAt, x.notifiedAt)
				waited := x.ordered.Sub(x.stoppedAt)
				assert.Assert(t, waited >= c.minWait && waited <= c.maxWait, "ordered %s after traffic was stopped", waited)
			})
		})
	}
}
