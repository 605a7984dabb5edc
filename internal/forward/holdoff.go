package forward

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// errHeldOff is the error of a request that was not sent because its upstream has
// asked for none.
var errHeldOff = errors.New("the upstream asked for no requests at present")

// holdOff keeps requests from an upstream for d and reports whether they were let
// through before.
func (svc *service) holdOff(u *fleet.Registration, d time.Duration) (begins bool) {
	svc.runner.Do(func(sched routing.Scheduler, now time.Time) {
		if k, ok := sched.(routing.HoldOffKeeper); ok {
			until := now.Add(d)
			begins = k.HoldOff(now, u.ID, u.StartedAt, until)
			if end := svc.holdOffsEnd.Load(); end == nil || until.After(*end) {
				svc.holdOffsEnd.Store(&until)
			}
		}
	})
	return begins
}

// heldOff reports whether an upstream has asked for no requests at present. Unless some
// upstream of the service may have, it does not wait for the scheduler.
func (svc *service) heldOff(u *fleet.Registration) (held bool) {
	if end := svc.holdOffsEnd.Load(); end == nil || !time.Now().Before(*end) {
		return false
	}
	svc.runner.Do(func(sched routing.Scheduler, now time.Time) {
		if k, ok := sched.(routing.HoldOffKeeper); ok {
			held = k.HeldOff(now, u.ID, u.StartedAt)
		}
	})
	return held
}
