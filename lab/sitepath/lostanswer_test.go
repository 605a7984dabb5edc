package sitepath

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
)

// loseNextOperatorAnswer returns a function after which the store's next answer about the
// operators' rows to a daemon is lost: its connection goes silent, all others work.
func (d *deployment) loseNextOperatorAnswer(daemon int) func() {
	lose := d.interceptOperatorAnswers(daemon)
	d.startLongPolls()
	return lose
}

// interceptOperatorAnswers does the same for the long polls that begin from now on.
func (d *deployment) interceptOperatorAnswers(daemon int) func() {
	inner := d.store.HandlerFor(d.processes[daemon].name)
	var lose atomic.Bool
	d.serve(fmt.Sprintf("10.9.0.%d:80", daemon+1), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/rows-feed" || r.URL.Query().Get("table") != "op" {
			inner.ServeHTTP(w, r)
			return
		}
		answer := httptest.NewRecorder()
		inner.ServeHTTP(answer, r)
		if lose.CompareAndSwap(true, false) {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}))
	return func() { lose.Store(true) }
}

// startLongPolls makes all daemons begin another long poll.
func (d *deployment) startLongPolls() {
	time.Sleep(10 * time.Second) // until the daemons are connected again
	d.publish()
	time.Sleep(100 * time.Millisecond)
}

// A daemon to which the store's answer about a version was lost learns of it in time,
// also when none of its other reads fails.
func TestLostAnswerAboutVersionIsNoticed(t *testing.T) {
	t.Parallel()
	runWithoutRollout(t, daemons, func(d *deployment, g *versionGoals) {
		p := d.processes[0]
		d.loseNextOperatorAnswer(0)()
		g.name(2)
		l := d.startTraffic(requestPeriod, p)
		time.Sleep(versionTimeLimit * 2)
		l.stop()
		g.checkNoLateRuns()
	})
}

// The same holds for a desired state, within configDeadlineMs (2 s) after the connection
// has been silent for contactMs (3 s).
func TestLostAnswerAboutDesiredStateIsNoticed(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		lose := d.loseNextOperatorAnswer(0)
		routes := d.desiredState["routes"].([]map[string]any)
		d.desiredState["routes"] = routes[:len(routes)-1]
		lose()
		d.publish()
		start := time.Now()
		time.Sleep(100 * time.Millisecond)
		for d.ask(d.processes[0], http.MethodGet, plainHost, "/read/1", nil).status != http.StatusNotFound {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("the dropped route was served for %s", time.Since(start))
		assert.Assert(t, time.Since(start) <= 5*time.Second, "the dropped route was served for %s", time.Since(start))
	})
}

// The store's answers about one change are lost to all daemons but one: each of them
// reads the rows once more, not several times. Two poll the store often enough to learn of the
// change by themselves. Of a larger fleet only few read them, and the others need not.
func TestManyLostAnswersAreNoticed(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ count, minLateReads, maxLateReads int }{{9, 6, 8}, {12, 0, 0}} {
		t.Run(fmt.Sprint(c.count), func(t *testing.T) { checkLostAnswers(t, c.count, c.minLateReads, c.maxLateReads) })
	}
}

func checkLostAnswers(t *testing.T, count, minLateReads, maxLateReads int) {
	runOnDeploymentOf(t, count, engines, func(d *deployment) {
		var lose []func()
		for i := range count - 1 {
			lose = append(lose, d.interceptOperatorAnswers(i))
		}
		d.startLongPolls()
		time.Sleep(3 * time.Second) // until the revision has been announced
		before := d.lateRows()
		for _, f := range lose {
			f()
		}
		routes := d.desiredState["routes"].([]map[string]any)
		d.desiredState["routes"] = routes[:len(routes)-1]
		d.publish()
		time.Sleep(5 * time.Second)
		for _, p := range d.processes {
			assert.Check(t, d.ask(p, http.MethodGet, plainHost, "/read/1", nil).status == http.StatusNotFound, "%s serves the dropped route", p.name)
		}
		total := 0
		for i, n := range d.lateRows() {
			assert.Check(t, n-before[i] <= 1, "%s read the rows %d times", d.processes[i].name, n-before[i])
			total += n - before[i]
		}
		assert.Assert(t, minLateReads <= total && total <= maxLateReads, "%d late reads", total)
	})
}

// lateRows returns how often each daemon read the operators' rows because peers knew newer ones.
func (d *deployment) lateRows() []int {
	counts := make([]int, len(d.processes))
	for i, p := range d.processes {
		for _, e := range p.log.entries(d.t) {
			if e.ID == eventlog.OperatorRowsLate {
				counts[i]++
			}
		}
	}
	return counts
}

// Facts about a revision are as few in a large fleet as in a small one, and cause no
// reads where daemons have read the revision themselves.
func TestRevisionFactsDoNotGrowWithDaemons(t *testing.T) {
	t.Parallel()
	for _, size := range []int{8, 24} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runOnDeploymentOf(t, size, engines, func(d *deployment) {
				first := d.observe(0, gossip.KindStateRevision)
				defer first.Close()
				d.eventually("all daemons are known", startTimeout, func() bool { return len(first.Peers()) == size })
				time.Sleep(3 * time.Second) // until the first revision has been announced
				before := first.publications()
				d.publish()
				time.Sleep(4 * time.Second)
				publications := first.publications() - before
				t.Logf("%d daemons: %d facts for one revision", size, publications)
				assert.Assert(t, publications >= 1 && publications <= maxConcurrentPublishers)
				assert.DeepEqual(t, d.lateRows(), make([]int, size))
			})
		})
	}
}
