package sitepath

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/lab/site"
)

// maxGoalWrites is the number of writes of the record of versions that one version may
// cause in a deployment of any size.
const maxGoalWrites = 2

// runWithoutRollout runs a test in which daemons may write to the store but cannot
// acquire the lease: engines keep their weights.
func runWithoutRollout(t *testing.T, daemonCount int, test func(d *deployment, g *versionGoals)) {
	runOnDeploymentOf(t, daemonCount, engines, func(d *deployment) {
		for i := range 2 * daemonCount {
			d.store.SetFault(fmt.Sprintf("daemon-%d", i), site.Fault{RefuseWritesTo: "lease/"})
		}
		time.Sleep(3 * time.Second) // until all peers are connected and the record is written
		test(d, d.nameVersions())
	})
}

// countOldRuns returns how many runs began on weights older than a version in a time.
func (d *deployment) countOldRuns(version int, from, to time.Time) int {
	n := 0
	for _, e := range d.engines {
		for _, r := range e.Runs() {
			if r.Version < version && !r.StartedAt.Before(from) && r.StartedAt.Before(to) {
				n++
			}
		}
	}
	return n
}

// Ages outlive all daemons: old weights serve until their limit, and not longer, after
// a loss of power at any time since the version was named.
func TestAgesOutliveAllDaemons(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second} {
		t.Run(fmt.Sprintf("after-%s", delay), func(t *testing.T) {
			runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
				g.name(2)
				time.Sleep(delay)
				d.losePower()
				time.Sleep(time.Second)
				d.startAll()
				l := d.startTraffic(requestPeriod, d.processes[daemons:]...)
				time.Sleep(versionTimeLimit)
				l.stop()
				g.checkNoLateRuns()
				limit := g.namedAt[2].Add(versionTimeLimit)
				assert.Assert(t, d.countOldRuns(2, limit.Add(-time.Second), limit) > 0, "old weights serve until their limit")
			})
		})
	}
}

// A version that was named while no daemon lived, or right before all were lost, has a
// bounded age: engines with old weights serve, but not beyond the limit.
func TestAgeOfUnrecordedVersionIsBounded(t *testing.T) {
	t.Parallel()
	for _, named := range []string{"before", "after"} {
		t.Run(named, func(t *testing.T) {
			runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
				if named == "before" {
					g.name(2)
					d.losePower()
				} else {
					d.losePower()
					g.name(2)
				}
				time.Sleep(2 * time.Second)
				d.startAll()
				started := time.Now()
				l := d.startTraffic(requestPeriod, d.processes[daemons:]...)
				time.Sleep(versionTimeLimit)
				l.stop()
				g.checkNoLateRuns()
				assert.Assert(t, d.countOldRuns(2, started, started.Add(versionTimeLimit/2)) > 30, "old weights serve after the restart")
			})
		})
	}
}

// Two versions named before all daemons were lost: the age of the first weights counts
// from the first of them, which the store no longer lists.
func TestAgeOfFirstVersionOutlivesAllDaemons(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		g.name(2)
		time.Sleep(versionTimeLimit / 2)
		g.name(3)
		time.Sleep(time.Second)
		d.losePower()
		d.startAll()
		l := d.startTraffic(requestPeriod, d.processes[daemons:]...)
		time.Sleep(versionTimeLimit)
		l.stop()
		g.checkNoLateRuns()
	})
}

// A started daemon uses no old weights before it has heard of their age, also when the
// store refuses it and only peers know.
func TestStartedDaemonWaitsForAges(t *testing.T) {
	t.Parallel()
	for _, fault := range []site.Fault{{}, {Status: 503}, {Unresponsive: true}} {
		t.Run(fmt.Sprintf("%+v", fault), func(t *testing.T) {
			runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
				g.nameAtFirstEngine(2)
				time.Sleep(versionTimeLimit + 2*time.Second)
				d.store.SetFault(fmt.Sprintf("daemon-%d", daemons), fault)
				l := d.startTraffic(requestPeriod/10, d.start(daemons))
				time.Sleep(4 * time.Second)
				l.stop()
				assert.Assert(t, l.successful.Load() > 0)
				g.checkNoLateRuns()
			})
		})
	}
}

// A started daemon that no peer can tell the ages reads them from the store before it
// uses old weights.
func TestStartedDaemonReadsAgesFromStore(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		g.name(2)
		time.Sleep(versionTimeLimit + time.Second)
		alone := fmt.Sprintf("daemon-%d", daemons)
		isDaemon := func(address string) bool { return strings.HasPrefix(address, "10.0.0.") }
		d.net.SetBlackhole(func(from, address string) bool {
			return isDaemon(address) && (from == alone || from != "caller" && strings.HasPrefix(address, hostOf(daemons)+":"))
		})
		l := d.startTraffic(requestPeriod/10, d.start(daemons))
		time.Sleep(4 * time.Second)
		l.stop()
		g.checkNoLateRuns()
	})
}

// Daemons that were suspended, so that their steady clocks stood still, count that time
// in the ages of weights.
func TestSuspendedDaemonsCountTheTime(t *testing.T) {
	t.Parallel()
	const suspended = 6 * time.Second
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		g.name(2)
		time.Sleep(time.Second)
		d.suspended.Add(int64(suspended))
		d.store.SkipTime(suspended)
		g.namedAt[2] = g.namedAt[2].Add(-suspended)
		l := d.startTraffic(requestPeriod, d.processes...)
		time.Sleep(versionTimeLimit)
		l.stop()
		g.checkNoLateRuns()
		limit := g.namedAt[2].Add(versionTimeLimit)
		assert.Assert(t, d.countOldRuns(2, limit.Add(-time.Second), limit) > 0, "old weights serve until their limit")
	})
}

// An engine is told the time that is left when it gets a request. When the time to
// connect to it was not counted, requests began in its queue after the limit.
func TestTimeToConnectIsNotHandedOn(t *testing.T) {
	t.Parallel()
	const (
		deadline    = 3 * time.Second
		connectTime = 280 * time.Millisecond
	)
	runOnDeployment(t, func(d *deployment) {
		d.connectTime.Store(int64(connectTime))
		sentAt := time.Now()
		a := d.ask(d.processes[0], http.MethodPost, modelHost, "/chat/1", func(r *http.Request) {
			r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
		})
		assert.Equal(t, a.status, http.StatusOK)
		runs := d.runs(a.header.Get("X-Request-Id"))
		assert.Equal(t, len(runs), 1)
		left, err := strconv.Atoi(runs[0].Header.Get("X-Deadline-Ms"))
		assert.NilError(t, err)
		latest := runs[0].ReceivedAt.Add(time.Duration(left) * time.Millisecond).Sub(sentAt)
		assert.Assert(t, runs[0].ReceivedAt.Sub(sentAt) >= connectTime, "the connection was open already")
		assert.Assert(t, latest <= deadline, "the engine may begin until %s after the request was sent", latest)
	})
}

// Old weights are not used beyond their limit while the store does not answer for a
// moment, which does not stop a rollout.
func TestOldWeightsExpireWhileStoreIsBrieflyAway(t *testing.T) {
	t.Parallel()
	for _, fault := range []site.Fault{{Status: 503}, {Unresponsive: true}} {
		t.Run(fmt.Sprintf("%+v", fault), func(t *testing.T) {
			runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
				g.name(2)
				l := d.startTraffic(requestPeriod, d.processes...)
				time.Sleep(versionTimeLimit - time.Second)
				for _, p := range d.processes {
					d.store.SetFault(p.name, fault)
				}
				time.Sleep(2500 * time.Millisecond)
				for _, p := range d.processes {
					d.store.SetFault(p.name, site.Fault{RefuseWritesTo: "lease/"})
				}
				time.Sleep(time.Second)
				l.stop()
				g.checkNoLateRuns()
			})
		})
	}
}

// A version is recorded by one daemon, or by the next if the store refuses the first,
// and not by each; the record is renewed by one.
func TestOneDaemonRecordsVersions(t *testing.T) {
	t.Parallel()
	for _, count := range []int{3, 12} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			runWithoutRollout(t, count, func(d *deployment, g *versionGoals) {
				first := d.recorders()
				assert.Equal(t, len(first), 0)
				g.name(2)
				time.Sleep(5 * time.Second)
				writers := d.recorders()
				assert.Equal(t, len(writers), 1, "%v", writers)
				d.store.SetFault(writers[0], site.Fault{RefuseWrites: true})
				g.name(3)
				time.Sleep(3 * time.Second)
				second := d.recorders()[len(writers):]
				assert.Assert(t, len(second) >= 1 && len(second) <= maxGoalWrites, "%v", second)
				assert.Assert(t, strings.Contains(string(d.store.Value("verbenabend", "weights/goals")), model))
			})
		})
	}
}

// recorders returns the names of the daemons that recorded a version, in the order of
// the daemons, once for each version.
func (d *deployment) recorders() []string {
	var out []string
	for _, p := range d.processes {
		for _, e := range p.log.entries(d.t) {
			if e.ID == eventlog.GoalRecorded {
				out = append(out, p.name)
			}
		}
	}
	return out
}

// Guards against ages of weights that are lost because the store's clock began anew while
// no daemon lived.
func TestAgesOutliveRestartOfStoreClock(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		time.Sleep(time.Minute)
		g.name(2)
		time.Sleep(5 * time.Second)
		d.losePower()
		d.store.SkipTime(-time.Minute)
		d.startAll()
		l := d.startTraffic(requestPeriod, d.processes[daemons:]...)
		time.Sleep(versionTimeLimit)
		l.stop()
		g.checkNoLateRuns()
	})
}

// After the store's clock began anew while no daemon lived, the record is on the new
// clock: versions named then have an age again, also after another loss of all daemons.
func TestVersionsNamedAfterRestartOfStoreClockHaveAges(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		d.setGoalVersion(1) // which all engines have
		time.Sleep(time.Minute)
		d.losePower()
		d.store.SkipTime(-time.Minute)
		d.startAll()
		time.Sleep(4 * time.Second) // until the record is written
		g.name(2)
		time.Sleep(3 * time.Second)
		d.losePower()
		for i := range daemons {
			d.store.SetFault(fmt.Sprintf("daemon-%d", d.firstDaemon+i), site.Fault{RefuseWritesTo: "lease/"})
		}
		d.startAll()
		l := d.startTraffic(requestPeriod, d.processes[2*daemons:]...)
		time.Sleep(versionTimeLimit)
		l.stop()
		g.checkNoLateRuns()
		limit := g.namedAt[2].Add(versionTimeLimit)
		assert.Assert(t, d.countOldRuns(2, limit.Add(-time.Second), limit) > 0, "old weights serve until their limit")
	})
}

// Guards against ages that are too great at living daemons because the store's clock began
// anew, and against ages that get lost with them.
func TestLivingDaemonsKeepAgesWhenStoreClockRestarts(t *testing.T) {
	t.Parallel()
	for _, after := range []string{"living", "one starts", "all lose power"} {
		t.Run(after, func(t *testing.T) {
			runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
				time.Sleep(time.Minute)
				g.name(2)
				time.Sleep(3 * time.Second)
				d.store.SkipTime(-time.Minute)
				targets := d.processes
				switch after {
				case "one starts":
					targets = []*process{d.start(daemons)}
					d.eventually("the daemon is ready", startTimeout, func() bool { return len(d.resolve(targets[0])) > 0 })
				case "all lose power":
					time.Sleep(4 * time.Second) // until the record is renewed
					d.losePower()
					d.startAll()
					targets = d.processes[daemons:]
				}
				l := d.startTraffic(requestPeriod, targets...)
				time.Sleep(versionTimeLimit)
				l.stop()
				g.checkNoLateRuns()
				limit := g.namedAt[2].Add(versionTimeLimit)
				assert.Assert(t, d.countOldRuns(2, limit.Add(-time.Second), limit) > 0, "old weights serve until their limit")
			})
		})
	}
}

// Guards against versions that count as too old because the store's clock went back right
// before they were named, also at daemons that hear of them before they read that clock.
func TestVersionNamedAfterStoreClockRestartsHasAge(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		time.Sleep(time.Minute)
		d.store.SkipTime(-time.Minute)
		g.name(2)
		l := d.startTraffic(requestPeriod, d.processes...)
		time.Sleep(versionTimeLimit + 2*time.Second)
		l.stop()
		g.checkNoLateRuns()
		limit := g.namedAt[2].Add(versionTimeLimit)
		assert.Assert(t, d.countOldRuns(2, limit.Add(-time.Second), limit) > 0, "old weights serve until their limit")
	})
}

// Guards against an age that is too great for good at a daemon that hears of a version,
// dated on the store's new clock, before it has read that clock.
func TestFactOnUnreadStoreClockIsNotOld(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		inner := d.store.HandlerFor(fmt.Sprintf("daemon-%d", daemons))
		var heldBack atomic.Bool // the store's answers are
		d.wrapStore[daemons] = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer := httptest.NewRecorder()
			inner.ServeHTTP(answer, r)
			for heldBack.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			w.WriteHeader(answer.Code)
			_, _ = w.Write(answer.Body.Bytes())
		})
		p := d.start(daemons)
		time.Sleep(time.Minute)
		heldBack.Store(true)
		d.store.SkipTime(-time.Minute)
		g.name(2)
		time.Sleep(minFactDelay + maxFactSpread)
		heldBack.Store(false)
		l := d.startTraffic(requestPeriod, p)
		time.Sleep(versionTimeLimit)
		l.stop()
		g.checkNoLateRuns()
		limit := g.namedAt[2].Add(versionTimeLimit)
		assert.Assert(t, d.countOldRuns(2, limit.Add(-time.Second), limit) > 0, "old weights serve until their limit")
	})
}

// minFactDelay and maxFactSpread bound when peers tell of a version: 500 ms and up to 50 ms
// a daemon after they saw it.
const (
	minFactDelay  = 500 * time.Millisecond
	maxFactSpread = (daemons + 1) * 50 * time.Millisecond
)

// Guards against a record that is not renewed for as long as the store's clock went back,
// because a peer had told of a renewal on the clock before.
func TestRenewalOnEarlierStoreClockIsForgotten(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		time.Sleep(time.Minute)
		d.store.SkipTime(-time.Minute)
		d.start(daemons)
		time.Sleep(time.Second)
		unpowered := slices.Clone(d.processes[:daemons])
		d.net.SetBlackhole(func(from, address string) bool {
			return slices.ContainsFunc(unpowered, func(p *process) bool { return from == p.name || strings.HasPrefix(address, p.host+":") })
		})
		time.Sleep(10 * time.Second)
		asOf := d.goalRecord().AsOf
		time.Sleep(5 * time.Second)
		assert.Assert(t, d.goalRecord().AsOf > asOf, "the record is not renewed")
	})
}

// Guards against a version that was named while no daemon lived and that counts as younger
// than it is, by the start of a clock that began anew afterwards.
func TestUnrecordedVersionOutlivesRestartOfStoreClock(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		started := time.Now().Add(-3 * time.Second) // the store's clock
		time.Sleep(time.Minute)
		d.losePower()
		g.name(2)
		time.Sleep(5 * time.Second)
		d.store.SkipTime(-time.Since(started) + time.Second)
		d.startAll()
		l := d.startTraffic(requestPeriod, d.processes[daemons:]...)
		time.Sleep(versionTimeLimit)
		l.stop()
		g.checkNoLateRuns()
	})
}

// Guards against daemons that the store turns away dating a version by when a peer's copy
// showed it: the peer may itself have read it long after it was named.
func TestVersionFromCopyOfPeerIsNotNew(t *testing.T) {
	t.Parallel()
	const (
		silence  = 25 * time.Second // of the store before the version is named: until all reads have failed
		unseenIn = 6 * time.Second  // until a daemon can read it
	)
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		time.Sleep(5 * time.Second)
		for _, p := range d.processes {
			d.store.SetFault(p.name, site.Fault{Unresponsive: true})
		}
		time.Sleep(silence)
		g.name(2)
		time.Sleep(unseenIn)
		reader := d.processes[0]
		for _, p := range d.processes[1:] {
			d.store.SetFault(p.name, site.Fault{Status: http.StatusServiceUnavailable})
		}
		d.store.SetFault(reader.name, site.Fault{RefuseWritesTo: "lease/"})
		l := d.startTraffic(requestPeriod, reader)
		time.Sleep(versionTimeLimit)
		l.stop()
		g.checkNoLateRuns()
	})
}
