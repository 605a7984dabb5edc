package sitepath

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

const (
	// versionTimeLimit is bounds.versionMs of the deployment.
	versionTimeLimit = 10 * time.Second
	// oldWeightsTimeLimit is the platform's limit on the time in which nearly all
	// engines must have a version.
	oldWeightsTimeLimit = versionTimeLimit * 3 / 2
	// requestPeriod is the time between requests to a small deployment.
	requestPeriod = 100 * time.Millisecond
	// requestDeadlineMS does not shorten the timeout of any route.
	requestDeadlineMS = "14000"
)

// Size of the deployment whose engines are busy while they switch weights.
const (
	busyDaemons     = 8
	busyEngines     = 40
	busyQueueLength = 4
	// With streams of 1.5 s, a request each busyRequestPeriod takes about 80 % of
	// 320 slots.
	busyStreamEvents  = 10
	busyEventInterval = 150 * time.Millisecond
	busyRequestPeriod = 6 * time.Millisecond
)

// versionGoals records when versions were named.
type versionGoals struct {
	d       *deployment
	namedAt map[int]time.Time
}

func (d *deployment) nameVersions() *versionGoals {
	return &versionGoals{d: d, namedAt: map[int]time.Time{}}
}

func (g *versionGoals) name(version int) {
	g.d.setGoalVersion(version)
	g.namedAt[version] = time.Now()
}

// checkNoLateRuns checks that no run began on weights that were superseded more
// than versionTimeLimit before.
func (g *versionGoals) checkNoLateRuns() {
	g.d.t.Helper()
	late, latest, example := 0, time.Duration(0), ""
	for _, e := range g.d.engines {
		for _, r := range e.Runs() {
			for version, at := range g.namedAt {
				age := r.StartedAt.Sub(at)
				if version <= r.Version || age <= versionTimeLimit {
					continue
				}
				late++
				if age > latest {
					latest = age
					example = fmt.Sprintf("%s on version %d at %s, after %s in its queue", r.ID, r.Version, e.ID, r.StartedAt.Sub(r.ReceivedAt))
				}
			}
		}
	}
	assert.Check(g.d.t, late == 0, "%d runs began too late on old weights, the latest %s after a newer version was named: %s", late, latest, example)
}

// countOlder returns how many engines have weights older than a version.
func (d *deployment) countOlder(version int) int {
	n := 0
	for _, e := range d.engines {
		if e.Version() < version {
			n++
		}
	}
	return n
}

// traffic sends requests to daemons in turn until it is stopped.
type traffic struct {
	d          *deployment
	done       chan struct{}
	wg         sync.WaitGroup
	sent       atomic.Int64
	successful atomic.Int64
}

// startTraffic sends a request to the next of targets each period.
func (d *deployment) startTraffic(period time.Duration, targets ...*process) *traffic {
	l := &traffic{d: d, done: make(chan struct{})}
	l.wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-l.done:
				return
			case <-time.After(period):
				l.wg.Go(func() { l.send(i, targets[i%len(targets)]) })
			}
		}
	})
	return l
}

func (l *traffic) send(i int, p *process) {
	l.sent.Add(1)
	a := l.d.ask(p, http.MethodPost, modelHost, "/chat/1", func(r *http.Request) {
		r.Header.Set("X-Deadline-Ms", requestDeadlineMS)
		r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("case-%d:300,bb:100", i))
		r.Header.Set("X-Token-Usage", "400,40")
	})
	if a.err == nil && a.status == http.StatusOK {
		l.successful.Add(1)
	}
}

// stop ends the traffic and waits for the responses.
func (l *traffic) stop() {
	close(l.done)
	l.wg.Wait()
	l.d.t.Logf("%d of %d requests were successful", l.successful.Load(), l.sent.Load())
}

// runOnBusyDeployment runs a test under traffic that takes most slots, with
// engines that load weights more slowly when over a fifth of them do at once.
func runOnBusyDeployment(t *testing.T, test func(d *deployment, l *traffic)) {
	runOnDeploymentOf(t, busyDaemons, busyEngines, func(d *deployment) {
		bandwidth := &site.LoadBandwidth{FullSpeedLoads: busyEngines / 5.0}
		for _, e := range d.engines {
			e.LoadBandwidth, e.QueueLength = bandwidth, busyQueueLength
			e.StreamEvents, e.EventInterval = busyStreamEvents, busyEventInterval
		}
		l := d.startTraffic(busyRequestPeriod, d.processes...)
		time.Sleep(3 * time.Second) // until the slots are taken
		test(d, l)
	})
}

// Under steady traffic a fleet switches to a version in time, and no run begins on
// old weights beyond the time limit.
func TestBusyFleetSwitchesInTime(t *testing.T) {
	t.Parallel()
	runOnBusyDeployment(t, func(d *deployment, l *traffic) {
		g := d.nameVersions()
		g.name(2)
		time.Sleep(versionTimeLimit)
		t.Logf("%d of %d engines have old weights after %s", d.countOlder(2), busyEngines, versionTimeLimit)
		time.Sleep(oldWeightsTimeLimit - versionTimeLimit)
		older := d.countOlder(2)
		l.stop()
		assert.Check(t, older <= max(1, busyEngines/10), "%d of %d engines have old weights after %s", older, busyEngines, oldWeightsTimeLimit)
		g.checkNoLateRuns()
	})
}

// When a version is named while engines are still behind an earlier one, no run
// begins on weights beyond the time limit of the earlier one.
func TestBusyFleetFollowsFrequentVersions(t *testing.T) {
	t.Parallel()
	const (
		versions      = 3
		versionPeriod = 6 * time.Second
	)
	runOnBusyDeployment(t, func(d *deployment, l *traffic) {
		g := d.nameVersions()
		for version := 2; version < 2+versions; version++ {
			g.name(version)
			time.Sleep(versionPeriod)
		}
		l.stop()
		g.checkNoLateRuns()
	})
}

// runOnSplitDeployment runs a test in which no daemon, also of those started
// later, can acquire the lease: engines keep version 1 except engine-0, which
// nameAtFirstEngine restarts with newer ones.
func runOnSplitDeployment(t *testing.T, test func(d *deployment, g *versionGoals)) {
	runOnDeployment(t, func(d *deployment) {
		for i := range 2 * daemons {
			d.store.SetFault(fmt.Sprintf("daemon-%d", i), site.Fault{RefuseWrites: true})
		}
		time.Sleep(2 * time.Second) // until all peers are connected
		test(d, d.nameVersions())
	})
}

// nameAtFirstEngine names a version that engine-0 starts with.
func (g *versionGoals) nameAtFirstEngine(version int) {
	g.name(version)
	g.d.engines[0].SetVersion(version)
	g.d.engines[0].Restart(g.d.store)
}

// Old weights are not used beyond their time limit while an engine has new ones.
func TestOldWeightsExpire(t *testing.T) {
	t.Parallel()
	runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
		g.nameAtFirstEngine(2)
		l := d.startTraffic(requestPeriod, d.processes...)
		time.Sleep(versionTimeLimit + 5*time.Second)
		l.stop()
		assert.Equal(t, d.countOlder(2), engines-1)
		g.checkNoLateRuns()
	})
}

// Expired weights are not used again when yet another version is named, which no
// engine has at first.
func TestExpiredWeightsStayExpiredAfterNextVersion(t *testing.T) {
	t.Parallel()
	runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
		g.nameAtFirstEngine(2)
		l := d.startTraffic(requestPeriod, d.processes...)
		time.Sleep(versionTimeLimit + time.Second)
		g.name(3)
		time.Sleep(versionTimeLimit / 2)
		l.stop()
		g.checkNoLateRuns()
	})
}

// A daemon that learns of a version only from its peers stops using old weights in
// time.
func TestOldWeightsExpireWithoutStore(t *testing.T) {
	t.Parallel()
	runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
		withoutStore := d.processes[2]
		d.store.SetFault(withoutStore.name, site.Fault{Unresponsive: true})
		time.Sleep(time.Second)
		g.nameAtFirstEngine(2)
		l := d.startTraffic(requestPeriod, withoutStore)
		time.Sleep(versionTimeLimit + 5*time.Second)
		l.stop()
		g.checkNoLateRuns()
	})
}

// A daemon that starts after a version was named counts the age of old weights
// from then, not from its own start.
func TestOldWeightsExpireAtStartedDaemon(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{3 * time.Second, 12 * time.Second, 40 * time.Second} {
		t.Run(fmt.Sprintf("after-%s", delay), func(t *testing.T) {
			runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
				g.nameAtFirstEngine(2)
				time.Sleep(delay)
				started := d.start(daemons)
				l := d.startTraffic(requestPeriod, started)
				time.Sleep(versionTimeLimit + 2*time.Second)
				l.stop()
				assert.Assert(t, l.successful.Load() > 0)
				g.checkNoLateRuns()
			})
		})
	}
}

// A daemon that starts after two versions were named counts the age of the first
// weights from the first of them, which the store no longer lists.
func TestOldWeightsExpireAtDaemonStartedAfterTwoVersions(t *testing.T) {
	t.Parallel()
	runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
		g.nameAtFirstEngine(2)
		time.Sleep(versionTimeLimit + time.Second)
		g.nameAtFirstEngine(3)
		time.Sleep(time.Second)
		l := d.startTraffic(requestPeriod, d.start(daemons))
		time.Sleep(versionTimeLimit)
		l.stop()
		g.checkNoLateRuns()
	})
}

// Requests that were sent to full engines right before the weights expired do not
// begin there after the time limit.
func TestQueuedRequestsDoNotBeginOnExpiredWeights(t *testing.T) {
	t.Parallel()
	const (
		routeTimeoutMS = 14000
		// streamEvents and eventInterval keep slots longer than daemons stop using
		// old weights before the time limit.
		streamEvents  = 20
		eventInterval = 300 * time.Millisecond
		burstStart    = 6500 * time.Millisecond
		burstPeriod   = 10 * time.Millisecond
		burstDuration = 600 * time.Millisecond
	)
	runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
		d.desiredState["routes"].([]map[string]any)[0]["timeoutMs"] = routeTimeoutMS
		d.publish()
		for _, e := range d.engines {
			e.QueueLength, e.StreamEvents, e.EventInterval = busyQueueLength, streamEvents, eventInterval
		}
		g.nameAtFirstEngine(2)
		time.Sleep(burstStart)
		l := d.startTraffic(burstPeriod, d.processes...)
		time.Sleep(burstDuration)
		l.stop()
		g.checkNoLateRuns()
	})
}

// An engine that has old weights although daemons believe that it has new ones
// runs no request.
func TestWrongBeliefOfVersionRunsNothing(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		g := d.nameVersions()
		g.name(2)
		d.eventually("all engines have version 2", switchBound, func() bool { return d.countOlder(2) == 0 })
		time.Sleep(versionTimeLimit)
		d.engines[1].SetVersion(1)
		l := d.startTraffic(requestPeriod, d.processes...)
		time.Sleep(5 * time.Second)
		l.stop()
		g.checkNoLateRuns()
	})
}

// Expired weights are not used beyond the limit even where no other engine is
// available: here the only one with new weights leaves.
func TestExpiredWeightsAreNoLastResort(t *testing.T) {
	t.Parallel()
	runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
		g.nameAtFirstEngine(2)
		l := d.startTraffic(requestPeriod, d.processes...)
		time.Sleep(versionTimeLimit + time.Second)
		d.engines[0].Drain(d.store)
		time.Sleep(2 * time.Second)
		l.stop()
		g.checkNoLateRuns()
	})
}

// Requests that are sent to full engines before the limit, when no engine has the new
// version, do not begin there after it.
func TestQueuedRequestsWithoutAlternativeDoNotBeginLate(t *testing.T) {
	t.Parallel()
	const (
		routeTimeoutMS = 14000
		streamEvents   = 20
		eventInterval  = 300 * time.Millisecond
		burstStart     = 8 * time.Second
		burstPeriod    = 10 * time.Millisecond
		burstDuration  = 600 * time.Millisecond
	)
	runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
		d.desiredState["routes"].([]map[string]any)[0]["timeoutMs"] = routeTimeoutMS
		d.publish()
		for _, e := range d.engines {
			e.QueueLength, e.StreamEvents, e.EventInterval = busyQueueLength, streamEvents, eventInterval
		}
		g.name(2)
		time.Sleep(burstStart)
		l := d.startTraffic(burstPeriod, d.processes...)
		time.Sleep(burstDuration)
		l.stop()
		g.checkNoLateRuns()
	})
}

// Requests that wait at full engines when a version is named do not begin there after
// the time limit.
func TestRequestsQueuedBeforeVersionDoNotBeginLate(t *testing.T) {
	t.Parallel()
	const (
		routeTimeoutMS = 14000
		streamEvents   = 20
		eventInterval  = 540 * time.Millisecond
		burstPeriod    = 10 * time.Millisecond
		burstDuration  = 600 * time.Millisecond
	)
	runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
		d.desiredState["routes"].([]map[string]any)[0]["timeoutMs"] = routeTimeoutMS
		d.publish()
		for _, e := range d.engines {
			e.QueueLength, e.StreamEvents, e.EventInterval = busyQueueLength, streamEvents, eventInterval
		}
		time.Sleep(time.Second)
		l := d.startTraffic(burstPeriod, d.processes...)
		time.Sleep(burstDuration)
		g.name(2)
		l.stop()
		g.checkNoLateRuns()
	})
}

// A request that has no response from an engine when the limit of its weights comes is
// cancelled there. It is repeated where the route allows it; otherwise it may have run,
// and the caller is not told that it has not.
func TestUnansweredRequestEndsAtLimitOfWeights(t *testing.T) {
	t.Parallel()
	const routeTimeoutMS = 14000
	for path, wantStatus := range map[string]int{"/chat/1": http.StatusOK, "/once/1": http.StatusBadGateway} {
		t.Run(strings.Trim(path, "/1"), func(t *testing.T) {
			runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
				for _, route := range d.desiredState["routes"].([]map[string]any) {
					route["timeoutMs"] = routeTimeoutMS
				}
				d.publish()
				time.Sleep(time.Second)
				d.setFirstRequestBehaviour(site.Hang)
				answers := make(chan answer, 1)
				go func() {
					answers <- d.ask(d.processes[0], http.MethodPost, modelHost, path, func(r *http.Request) {
						r.Header.Set("X-Deadline-Ms", requestDeadlineMS)
					})
				}()
				time.Sleep(100 * time.Millisecond)
				g.name(2)
				updated := d.engines[0]
				if len(updated.Runs()) > 0 {
					updated = d.engines[1]
				}
				updated.SetVersion(2)
				updated.Restart(d.store)
				a := <-answers
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, wantStatus, a.body)
				var runs []site.Run
				for _, e := range d.engines {
					runs = append(runs, e.Runs()...)
				}
				slices.SortFunc(runs, func(a, b site.Run) int { return a.StartedAt.Compare(b.StartedAt) })
				ended := runs[0].EndedAt.Sub(g.namedAt[2])
				assert.Check(t, ended > versionTimeLimit-time.Second && ended < versionTimeLimit, "ended after %s", ended)
				if wantStatus == http.StatusOK {
					assert.Equal(t, len(runs), 2)
					assert.Equal(t, runs[1].Version, 2)
				} else {
					assert.Equal(t, len(runs), 1)
				}
			})
		})
	}
}

// Daemons that all lose power at once and start anew count the age of old weights from
// when the newer version was named.
func TestOldWeightsExpireAfterAllLosePower(t *testing.T) {
	t.Parallel()
	const busyPeriod = 10 * time.Millisecond // more than the engine with new weights serves
	runOnSplitDeployment(t, func(d *deployment, g *versionGoals) {
		g.nameAtFirstEngine(2)
		time.Sleep(versionTimeLimit / 2)
		d.losePower()
		d.startAll()
		l := d.startTraffic(busyPeriod, d.processes[daemons:]...)
		time.Sleep(versionTimeLimit)
		l.stop()
		g.checkNoLateRuns()
	})
}
