package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// spending is what all daemons together credited and spent at one step.
type spending struct {
	at                time.Duration
	requests, retries int
}

// Retries of all daemons together stay within the operators' limit in every
// window, however requests and retries are distributed. A restarted daemon
// forgets what it spent; in one window most daemons restart once.
func TestRetriesOfAllDaemonsAreBounded(t *testing.T) {
	const (
		window            = 10 * time.Second
		restartedFraction = 0.6 // of the daemons, in one window
	)
	rapid.Check(t, func(t *rapid.T) {
		limits := RetryLimits{Ratio: rapid.Float64Range(0.05, 0.5).Draw(t, "ratio"), Slack: rapid.IntRange(10, 100).Draw(t, "slack")}
		n := rapid.IntRange(1, 12).Draw(t, "daemons")
		start := func() *service {
			s := NewServices(limits, func(string) time.Duration { return 0 })
			s.SetDaemonCount(n)
			return s.get("ledger")
		}
		daemons := make([]*service, n)
		for i := range daemons {
			daemons[i] = start()
		}
		var history []spending
		now, restarts := time.Duration(0), 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			if restarts < int(restartedFraction*float64(n)) && rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				restarts++
				daemons[i] = start()
			}
			x := spending{at: now, requests: rapid.IntRange(0, 60).Draw(t, "requests")}
			for range x.requests {
				daemons[i].creditRetries()
			}
			for range rapid.IntRange(0, 80).Draw(t, "retries") {
				if daemons[i].takeRetry() {
					x.retries++
				}
			}
			history = append(history, x)
		}
		for from := range history {
			requests, retries := 0, 0
			for _, x := range history[from:] {
				if x.at > history[from].at+window {
					break
				}
				requests += x.requests
				retries += x.retries
				assert.Assert(t, float64(retries) <= limits.Ratio*float64(requests)+float64(limits.Slack),
					"%d retries of %d requests within %s", retries, requests, window)
			}
		}
	})
}

// A daemon partitioned from its peers must not take over their retry budget at
// once: together they would exceed it. One that stays partitioned gets all of
// it after daemonCountWindow.
func TestRetriesOfDaemonsCutOffAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, slack = 7, 70
		spent := 0
		daemons := make([]*Services, n)
		spend := func(s *Services) (retries int) {
			x := s.get("ledger")
			for range 100 * slack {
				x.creditRetries()
			}
			for x.takeRetry() {
				retries++
			}
			return retries
		}
		for i := range daemons {
			daemons[i] = NewServices(RetryLimits{Ratio: 0.1, Slack: slack}, func(string) time.Duration { return 0 })
			daemons[i].SetDaemonCount(n)
			daemons[i].SetDaemonCount(1)
			spent += spend(daemons[i])
		}
		assert.Assert(t, spent <= slack, "%d retries spent during the partition", spent)
		time.Sleep(daemonCountWindow + time.Second)
		daemons[0].SetDaemonCount(1)
		assert.Equal(t, spend(daemons[0]), int(retrySafetyFactor*slack))
		for _, d := range daemons {
			d.Close()
		}
	})
}

// Guards against a fleet that restarts spending the slack once for each daemon, before
// any knows of the others.
func TestStartedDaemonsSpendNoSlack(t *testing.T) {
	const daemons = 65
	limits := RetryLimits{Ratio: 0.2, Slack: 170}
	spent := 0
	for range daemons {
		s := NewServices(limits, func(string) time.Duration { return 0 })
		svc := s.get("bench")
		for svc.takeRetry() {
			spent++
		}
		s.SetDaemonCount(daemons)
		s.Close()
	}
	assert.Assert(t, spent <= limits.Slack, "%d retries without a request", spent)
}
