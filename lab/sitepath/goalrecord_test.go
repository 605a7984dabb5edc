package sitepath

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/rollout"
	"github.com/verbenabend/verbenabend/lab/site"
)

// The age of a version that a starting daemon bounds by the record's old time does not
// become that of daemons that saw it named: old weights serve until their limit.
func TestBoundOfStartedDaemonDoesNotReplaceSight(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		for i := range daemons {
			d.store.SetFault(fmt.Sprintf("daemon-%d", i), site.Fault{RefuseWrites: true})
		}
		time.Sleep(30 * time.Second) // the record's time is old
		g.name(2)
		time.Sleep(100 * time.Millisecond)
		d.start(daemons)
		time.Sleep(3 * time.Second)
		for i := range daemons {
			d.store.SetFault(fmt.Sprintf("daemon-%d", i), site.Fault{RefuseWritesTo: "lease/"})
		}
		time.Sleep(time.Second)
		l := d.startTraffic(requestPeriod, d.processes[:daemons]...)
		time.Sleep(2 * time.Second)
		l.stop()
		assert.Check(t, l.successful.Load() > l.sent.Load()/2, "old weights serve until their limit, which is %s from now", time.Until(g.namedAt[2].Add(versionTimeLimit)))
	})
}

// goalRecord returns the record of versions in the store.
func (d *deployment) goalRecord() rollout.GoalRecord {
	d.t.Helper()
	record, err := rollout.DecodeGoalRecord(d.store.Value("verbenabend", "weights/goals"))
	assert.NilError(d.t, err)
	return record
}

// The record is renewed by another daemon while the store refuses the writes of the one
// that does so. When it was not, a version named then counted as older by all that time.
func TestAnotherDaemonRenewsRecord(t *testing.T) {
	t.Parallel()
	const maxRenewalInterval = 4 * time.Second
	for _, count := range []int{3, 12} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			runWithoutRollout(t, count, func(d *deployment, _ *versionGoals) {
				for i := range count {
					refused := fmt.Sprintf("daemon-%d", i)
					d.store.SetFault(refused, site.Fault{RefuseWrites: true})
					for range 3 {
						before := d.goalRecord().AsOf
						time.Sleep(maxRenewalInterval)
						assert.Check(t, d.goalRecord().AsOf > before, "the record is not renewed while %s is refused", refused)
					}
					d.store.SetFault(refused, site.Fault{RefuseWritesTo: "lease/"})
				}
			})
		})
	}
}

// A version that nobody saw named is recorded as such, and does not keep the record from
// being renewed.
func TestBoundStaysBoundInRecord(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		d.losePower()
		time.Sleep(2 * time.Second)
		g.name(2)
		d.startAll()
		time.Sleep(4 * time.Second)
		goals := d.goalRecord().Models[model]
		assert.Assert(t, len(goals) > 0 && goals[len(goals)-1].Version == 2 && goals[len(goals)-1].Bounded, "%v", goals)
		asOf := d.goalRecord().AsOf
		time.Sleep(5 * time.Second)
		assert.Assert(t, d.goalRecord().AsOf > asOf, "a version that nobody saw named keeps the record from being renewed")
	})
}

// The start of all daemons writes the record of versions a few times, whatever their
// number.
func TestStartOfAllDaemonsWritesRecordFewTimes(t *testing.T) {
	t.Parallel()
	for _, count := range []int{3, 12, 40} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			runWithoutRollout(t, count, func(d *deployment, g *versionGoals) {
				g.name(2)
				time.Sleep(5 * time.Second)
				d.losePower()
				var writes, reads atomic.Int64
				for i := range count {
					name := fmt.Sprintf("daemon-%d", d.firstDaemon+i)
					inner := d.store.HandlerFor(name)
					d.wrapStore[d.firstDaemon+i] = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if r.Method == http.MethodPost {
							body, _ := io.ReadAll(r.Body)
							r.Body = io.NopCloser(bytes.NewReader(body))
							if strings.Contains(string(body), "weights/goals") {
								writes.Add(1)
							}
						} else if strings.HasPrefix(r.URL.Query().Get("from"), "weights/goals") {
							reads.Add(1)
						}
						inner.ServeHTTP(w, r)
					})
				}
				d.startAll()
				time.Sleep(4 * time.Second)
				t.Logf("%d daemons: %d writes, %d reads of the record", count, writes.Load(), reads.Load())
				assert.Check(t, writes.Load() <= 6, "%d writes", writes.Load())
			})
		})
	}
}

// The time of the record is not later than the operators' rows that its writer knows: a
// version that no daemon has seen, since the answers were lost, has a bounded age.
func TestRecordIsNoNewerThanKnownVersions(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		var lose []func()
		for i := range daemons {
			lose = append(lose, d.loseNextOperatorAnswer(i))
		}
		for _, f := range lose {
			f()
		}
		d.publish() // lost by all
		time.Sleep(time.Second)
		g.name(2)
		time.Sleep(6 * time.Second)
		d.losePower()
		d.startAll()
		l := d.startTraffic(requestPeriod, d.processes[daemons:]...)
		time.Sleep(versionTimeLimit)
		l.stop()
		g.checkNoLateRuns()
	})
}

// delayRecord makes the store hold back its answers about the record of versions to a
// daemon that is started later.
func (d *deployment) delayRecord(daemon int, delay time.Duration) {
	inner := d.store.HandlerFor(fmt.Sprintf("daemon-%d", daemon))
	d.wrapStore[daemon] = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Query().Get("from"), "weights/goals") {
			select {
			case <-time.After(delay):
			case <-r.Context().Done():
				return
			}
		}
		inner.ServeHTTP(w, r)
	})
}

// Weights that are superseded since an unknown time are not used. Otherwise daemons that
// cannot read the record after a loss of power take expired weights for new.
func TestWeightsOfUnknownAgeAreNotUsed(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		g.name(2)
		time.Sleep(versionTimeLimit)
		d.losePower()
		for i := range daemons {
			d.delayRecord(d.firstDaemon+i, time.Minute)
		}
		d.startAll()
		l := d.startTraffic(requestPeriod, d.processes[daemons:]...)
		time.Sleep(4 * time.Second)
		l.stop()
		assert.Assert(t, l.sent.Load() > 0)
		g.checkNoLateRuns()
	})
}

// A daemon whose peers know the record is ready although the store does not tell it.
func TestDaemonLearnsRecordFromPeers(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, _ *versionGoals) {
		d.delayRecord(daemons, time.Minute)
		p := d.start(daemons)
		time.Sleep(500 * time.Millisecond)
		assert.Check(t, slices.ContainsFunc(p.log.entries(t), func(e eventlog.Entry) bool { return e.ID == eventlog.DaemonReady }))
	})
}

// A daemon is not ready before it has read the record, unless that takes too long.
// Otherwise it refuses requests for engines whose weights it could know to be in time.
func TestDaemonIsReadyOnceRecordIsRead(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ delay, readyAfter, readyBefore time.Duration }{
		{0, 0, 500 * time.Millisecond},
		{700 * time.Millisecond, 650 * time.Millisecond, 900 * time.Millisecond},
		{time.Minute, 950 * time.Millisecond, 1500 * time.Millisecond},
	} {
		t.Run(c.delay.String(), func(t *testing.T) {
			runWithoutRollout(t, daemons, func(d *deployment, _ *versionGoals) {
				d.losePower() // a peer would tell it the record
				d.delayRecord(daemons, c.delay)
				p := d.start(daemons)
				isReady := func() bool {
					return slices.ContainsFunc(p.log.entries(t), func(e eventlog.Entry) bool { return e.ID == eventlog.DaemonReady })
				}
				time.Sleep(c.readyAfter)
				assert.Check(t, c.readyAfter == 0 || !isReady(), "ready within %s", c.readyAfter)
				time.Sleep(c.readyBefore - c.readyAfter)
				assert.Check(t, isReady(), "not ready within %s", c.readyBefore)
			})
		})
	}
}
