package sitepath

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// crashOrAnswer makes the upstream that receives a request crash while it runs it if crash is set,
// and send the step otherwise.
func (d *deployment) crashOrAnswer(crash *atomic.Bool, step site.Step) {
	for _, u := range d.ledgers {
		u.ChooseScript = func(*http.Request) []site.Step {
			if crash.Load() {
				go d.crash(u, restartDelay)
				return []site.Step{{Writes: []string{""}, End: site.Reset}}
			}
			return []site.Step{step}
		}
	}
}

// askAroundCrashes sends the same request while upstreams crash, twice, with a whole answer after
// each crash, and returns the answer to the last one, at a daemon that saw neither crash.
func (d *deployment) askAroundCrashes(c caller, crash *atomic.Bool) answer {
	ask := func(daemon int) answer {
		return d.ask(d.processes[daemon], c.method, c.host, c.path, nil)
	}
	for daemon := range 2 {
		crash.Store(true)
		ask(daemon)
		crash.Store(false)
		time.Sleep(restartDelay + time.Second)
		ask(daemon)
		time.Sleep(time.Second)
	}
	return ask(2)
}

// Guards against a sound request that is refused for an hour, because upstreams crashed twice while
// it was under way and its whole answers are no successes.
func TestWholeAnswerClearsSuspicion(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusBadRequest, http.StatusConflict, http.StatusSeeOther} {
		for _, c := range []caller{safeCaller, unsafeCaller} {
			t.Run(fmt.Sprintf("%d/%s", status, c.name), func(t *testing.T) {
				runOnDeployment(t, func(d *deployment) {
					var crash atomic.Bool
					d.crashOrAnswer(&crash, site.Step{Writes: []string{byLength.response(status, site.Identity, "the answer")}})
					a := d.askAroundCrashes(c, &crash)
					assert.NilError(t, a.err)
					assert.Equal(t, a.status, status, a.body)
				})
			})
		}
	}
}

// What does not show that the request ran to its end at an upstream that lives clears nothing: a
// failing upstream may not have begun it.
func TestFailedAnswerClearsNoSuspicion(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]site.Step{
		"500":                  {Writes: []string{byLength.response(http.StatusInternalServerError, site.Identity, "")}},
		"503, not run":         {NotRun: true, Writes: []string{byLength.response(http.StatusServiceUnavailable, site.Identity+notRunPromise, refusalBody)}},
		"400, not run":         {NotRun: true, Writes: []string{byLength.response(http.StatusBadRequest, site.Identity+notRunPromise, refusalBody)}},
		"429, nothing said":    {Writes: []string{byLength.response(http.StatusTooManyRequests, site.Identity, refusalBody)}},
		"404, without a stamp": {Writes: []string{byLength.response(http.StatusNotFound, "", "")}},
	} {
		t.Run(name, func(t *testing.T) {
			runOnDeployment(t, func(d *deployment) {
				var crash atomic.Bool
				d.crashOrAnswer(&crash, step)
				a := d.askAroundCrashes(safeCaller, &crash)
				assert.Assert(t, a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "quarantined"), "status %d: %s", a.status, a.body)
			})
		})
	}
}
