package rollout

import (
	"context"
	"fmt"
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

const (
	switchModel = "opal"
	// versionTimeLimit is the platform's limit on the use of superseded weights,
	// versionSafetyMargin the part of it in which daemons no longer use them.
	versionTimeLimit    = 10 * time.Second
	versionSafetyMargin = 2500 * time.Millisecond
	// switchLoadTime is how long an engine loads weights while at most one engine
	// in fullSpeedDivisor does so; more than that share the bandwidth.
	switchLoadTime   = time.Second
	fullSpeedDivisor = 5
	loadStep         = 10 * time.Millisecond
	// unfinishedPromptTokens are left at each engine until its promptTime after
	// the first notice of a switch.
	unfinishedPromptTokens = 3 * finishedPromptTokens
	switchCheckInterval    = 20 * time.Millisecond
)

// gatewayLimits are the limits that the gateway sets.
var gatewayLimits = LimitsWithin(versionTimeLimit - versionSafetyMargin)

var fleetSizes = []int{3, 9, 12, 60, 89, 300, 600}

// switchingEngine is a fake engine that replaces its weights in place.
type switchingEngine struct {
	version      int
	knownVersion int // by the daemons
	orders       int
	loading      bool
	promptTime   time.Duration
	// noticeAt is when the current switch was first announced, zero when there
	// is none.
	noticeAt time.Time
}

// switchingFleet is a fake SwitchEnvironment and SwitchClient.
type switchingFleet struct {
	mu      sync.Mutex
	goal    int
	ids     []string
	engines map[string]*switchingEngine
	loading int
	// notified is the number of engines with a switch in progress.
	notified, maxNotified int
}

func newSwitchingFleet(size int) *switchingFleet {
	f := &switchingFleet{goal: 1, engines: map[string]*switchingEngine{}}
	for i := range size {
		id := fmt.Sprintf("engine-%03d", i)
		f.ids = append(f.ids, id)
		f.engines[id] = &switchingEngine{version: 1, knownVersion: 1, promptTime: time.Duration(1+i%4) * 300 * time.Millisecond}
	}
	return f
}

// Goals implements SwitchEnvironment.
func (f *switchingFleet) Goals() []Goal {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []Goal{{Model: switchModel, Version: f.goal}}
}

// Engines implements SwitchEnvironment.
func (f *switchingFleet) Engines(string) []*fleet.Registration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*fleet.Registration
	for _, id := range f.ids {
		out = append(out, &fleet.Registration{ID: id, Address: id, StartedAt: 1, Models: []fleet.LoadedModel{{Name: switchModel, Version: f.engines[id].knownVersion}}})
	}
	return out
}

// Requests implements SwitchEnvironment.
func (f *switchingFleet) Requests(id string) (requests, uncomputedTokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.engines[id]; e.noticeAt.IsZero() || time.Since(e.noticeAt) < e.promptTime {
		return 8, unfinishedPromptTokens
	}
	return 8, 0
}

// AcceptedOrders implements SwitchEnvironment.
func (f *switchingFleet) AcceptedOrders(id string, _ int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[id].orders
}

// Broadcast implements SwitchEnvironment.
func (f *switchingFleet) Broadcast(n SwitchNotice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[n.Engine]
	switch {
	case n.Done:
		e.knownVersion = max(e.knownVersion, n.Version)
		if !e.noticeAt.IsZero() {
			f.notified--
		}
		e.noticeAt = time.Time{}
	case e.noticeAt.IsZero():
		e.noticeAt = time.Now()
		f.notified++
		f.maxNotified = max(f.maxNotified, f.notified)
	}
}

// Switch implements upstream.Switches.
func (f *switchingFleet) Switch(_ context.Context, o upstream.SwitchOrder) (upstream.SwitchResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[o.Engine]
	switch {
	case e.version == o.Version:
		return upstream.SwitchAlreadyLoaded, nil
	case e.loading || e.orders != o.AfterOrders:
		return upstream.SwitchConflict, nil
	}
	e.orders++
	e.loading = true
	f.loading++
	go f.load(e, o.Version)
	return upstream.SwitchAccepted, nil
}

func (f *switchingFleet) load(e *switchingEngine, version int) {
	for remaining := switchLoadTime; remaining > 0; {
		time.Sleep(loadStep)
		f.mu.Lock()
		fullSpeed := max(1, float64(len(f.ids))/fullSpeedDivisor)
		remaining -= time.Duration(float64(loadStep) * min(1, fullSpeed/float64(f.loading)))
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e.version, e.loading = version, false
	f.loading--
}

// Report implements upstream.Switches.
func (f *switchingFleet) Report(_ context.Context, engine, _ string) (upstream.SwitchReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[engine]
	return upstream.SwitchReport{Versions: map[string]int{switchModel: e.version}, Busy: e.loading, Orders: e.orders}, nil
}

func (f *switchingFleet) setGoal(version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.goal = version
}

// countOlder returns how many engines have weights older than a version.
func (f *switchingFleet) countOlder(version int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if e.version < version {
			n++
		}
	}
	return n
}

func (f *switchingFleet) countOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		n += e.orders
	}
	return n
}

// checkMaxNotified checks that half of the engines always took new prompts.
func (f *switchingFleet) checkMaxNotified(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Check(t, f.maxNotified <= max(1, len(f.ids)/2), "%d of %d engines were preparing or without traffic", f.maxNotified, len(f.ids))
}

// runOnSwitchingFleet runs a test with a Switcher for each fleet size.
func runOnSwitchingFleet(t *testing.T, test func(t *testing.T, f *switchingFleet)) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprintf("engines-%d", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSwitchingFleet(size)
				runWithSwitcher(f, f, func() { test(t, f) })
			})
		})
	}
}

// runWithSwitcher runs a test while a Switcher holds the lease and sends orders
// whenever an engine is behind.
func runWithSwitcher(env SwitchEnvironment, client upstream.Switches, test func()) {
	switcher := &Switcher{SwitchClient: client, Environment: env, Limits: gatewayLimits, Holder: "daemon-0", Log: eventlog.Discard()}
	keeper := lease.NewKeeper(platformtest.New().Client(), lease.Settings{Name: "weights", Holder: "daemon-0"}, eventlog.Discard())
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = keeper.Run(ctx, func(work context.Context, held *lease.Lease) {
			for work.Err() == nil {
				if AnyEngineBehind(env) {
					switcher.Work(work, held)
				}
				time.Sleep(switchPollInterval)
			}
		})
	}()
	time.Sleep(time.Second) // until the lease is held
	test()
	stop()
	<-stopped
	time.Sleep(time.Minute) // until the last loads end
}

// A fleet of any size has a new version before daemons stop using the old one,
// and half of the engines take new prompts meanwhile.
func TestFleetSwitchesWithinTimeLimit(t *testing.T) {
	runOnSwitchingFleet(t, func(t *testing.T, f *switchingFleet) {
		f.setGoal(2)
		start := time.Now()
		for f.countOlder(2) > 0 && time.Since(start) < versionTimeLimit-versionSafetyMargin {
			time.Sleep(switchCheckInterval)
		}
		t.Logf("%d of %d engines have old weights after %s", f.countOlder(2), len(f.ids), time.Since(start))
		assert.Check(t, f.countOlder(2) == 0, "%d of %d engines have old weights after %s", f.countOlder(2), len(f.ids), time.Since(start))
		f.checkMaxNotified(t)
	})
}

// When versions are named faster than the fleet can switch to each, no engine
// keeps weights beyond the time limit since the next version was named, and none
// gets more orders than there are versions.
func TestFleetFollowsFrequentVersions(t *testing.T) {
	const (
		versions      = 5
		versionPeriod = 4 * time.Second
	)
	runOnSwitchingFleet(t, func(t *testing.T, f *switchingFleet) {
		start := time.Now()
		namedAt := func(version int) time.Duration { return time.Duration(version-2) * versionPeriod }
		stale, staleVersion, staleAt := 0, 0, time.Duration(0)
		for last := namedAt(versions+1) + versionTimeLimit; time.Since(start) <= last; time.Sleep(switchCheckInterval) {
			now := time.Since(start)
			for version := 2; version <= versions+1 && namedAt(version) <= now; version++ {
				f.setGoal(version)
				if n := f.countOlder(version); now-namedAt(version) >= versionTimeLimit && n > stale {
					stale, staleVersion, staleAt = n, version, now-namedAt(version)
				}
			}
		}
		t.Logf("%d orders for %d versions and %d engines", f.countOrders(), versions, len(f.ids))
		assert.Check(t, stale == 0, "%d of %d engines had weights older than version %d after %s", stale, len(f.ids), staleVersion, staleAt)
		assert.Check(t, f.countOrders() <= versions*len(f.ids))
		f.checkMaxNotified(t)
	})
}
