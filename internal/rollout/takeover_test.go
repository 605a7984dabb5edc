package rollout

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/lease"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
)

const (
	// rolloutTimeLimit is the time in which all engines must have a version.
	rolloutTimeLimit  = 14 * time.Second
	switchLeaseTime   = 3 * time.Second
	powerLossAt       = 2 * time.Second
	powerLossDuration = time.Second
	goalAfterStart    = time.Second
)

// switchingDaemon is a daemon that competes for the lease and sends orders to a fleet.
type switchingDaemon struct {
	client *platformtest.Client
	stop   context.CancelFunc
	done   chan struct{}
}

func startSwitchingDaemon(p *platformtest.Platform, f *switchingFleet, name string, fenced bool) *switchingDaemon {
	ctx, stop := context.WithCancel(context.Background())
	d := &switchingDaemon{client: p.Client(), stop: stop, done: make(chan struct{})}
	switcher := &Switcher{SwitchClient: f, Environment: f, Limits: gatewayLimits, Holder: name, Log: eventlog.Discard()}
	keeper := lease.NewKeeper(d.client, SwitchLease(name, switchLeaseTime, fenced), eventlog.Discard())
	go func() {
		defer close(d.done)
		_ = keeper.Run(ctx, func(work context.Context, held *lease.Lease) {
			for work.Err() == nil {
				switcher.Work(work, held)
				time.Sleep(switchPollInterval)
			}
		})
	}()
	return d
}

// losePower ends the daemon without a release of its lease.
func (d *switchingDaemon) losePower() {
	d.client.Kill()
	d.stop()
}

// Guards against engines that have an older version when the time for all is over, because
// the daemon that sends the orders lost power and waited, after its restart, for its own
// lease to end.
func TestFleetSwitchesThoughAllLosePower(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		for _, size := range []int{12, 72, 130, 600} {
			t.Run(fmt.Sprintf("engines-%d-fenced-%t", size, fenced), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, p := newSwitchingFleet(size), platformtest.New()
					d := startSwitchingDaemon(p, f, "daemon-0", fenced)
					time.Sleep(goalAfterStart)
					f.setGoal(2)
					named := time.Now()
					time.Sleep(powerLossAt)
					d.losePower()
					before := f.countOlder(2)
					time.Sleep(powerLossDuration)
					d = startSwitchingDaemon(p, f, "daemon-0", fenced)
					for f.countOlder(2) > 0 && time.Since(named) < rolloutTimeLimit {
						time.Sleep(switchCheckInterval)
					}
					assert.Check(t, before > 0, "nothing was left to do after the loss")
					assert.Check(t, f.countOlder(2) == 0, "%d of %d engines have old weights after %s", f.countOlder(2), size, time.Since(named))
					t.Logf("%d engines had old weights at the loss; all had new ones after %s", before, time.Since(named))
					d.stop()
					<-d.done
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// Guards against the same when the daemon that sends the orders is lost for good and another
// one, which watches the lease, takes over.
func TestFleetSwitchesThoughHolderIsLost(t *testing.T) {
	for _, lostAfter := range []time.Duration{300 * time.Millisecond, time.Second, powerLossAt} {
		for _, size := range []int{12, 72, 130, 600} {
			t.Run(fmt.Sprintf("engines-%d-lost-after-%s", size, lostAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, p := newSwitchingFleet(size), platformtest.New()
					holder := startSwitchingDaemon(p, f, "daemon-0", false)
					time.Sleep(goalAfterStart)
					successor := startSwitchingDaemon(p, f, "daemon-1", false)
					f.setGoal(2)
					named := time.Now()
					time.Sleep(lostAfter)
					holder.losePower()
					for f.countOlder(2) > 0 && time.Since(named) < rolloutTimeLimit {
						time.Sleep(switchCheckInterval)
					}
					assert.Check(t, f.countOlder(2) == 0, "%d of %d engines have old weights after %s", f.countOlder(2), size, time.Since(named))
					successor.stop()
					<-successor.done
					time.Sleep(time.Minute)
				})
			})
		}
	}
}
