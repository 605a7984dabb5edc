package sitepath

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

const failureText = "the upstream's own words"

// failure returns a step that runs a request and answers it with status 500.
func (f framing) failure() site.Step {
	return site.Step{Writes: []string{f.response(http.StatusInternalServerError, "Content-Type: text/plain\r\nX-Fault: 7\r\n"+site.Identity, failureText)}, End: f.end()}
}

// checkFailure checks that a caller got an upstream's own failure.
func (d *deployment) checkFailure(a answer) {
	d.t.Helper()
	assert.NilError(d.t, a.err)
	assert.Equal(d.t, a.status, http.StatusInternalServerError, a.body)
	assert.Equal(d.t, a.body, failureText)
	assert.Equal(d.t, a.header.Get("X-Fault"), "7")
	assert.Assert(d.t, a.header.Get("X-Response-Stamp") != "")
}

// A read that failed at an upstream, and for which the retry budget leaves no other attempt,
// ended as 502 of the daemon's own, although the upstream had answered it.
func TestFailedReadWithoutRetryKeepsItsResponse(t *testing.T) {
	t.Parallel()
	for _, f := range framings {
		t.Run(string(f), func(t *testing.T) {
			runOnDeployment(t, func(d *deployment) {
				for _, u := range d.upstreams() {
					u.ChooseScript = func(*http.Request) []site.Step { return slices.Repeat([]site.Step{f.failure()}, 30) }
				}
				single := 0
				for range 30 { // the retry budget allows five
					id, a := d.askAs(safeCaller)
					d.checkFailure(a)
					if len(d.runs(id)) == 1 {
						single++
					}
				}
				assert.Assert(t, single > 0, "the budget was not used up")
			})
		})
	}
}

// A failed read whose second attempt brings nothing ends with the failure that it got, not with
// a 502 of the daemon's own.
func TestFailedReadKeepsItsResponseWhenRetryFails(t *testing.T) {
	t.Parallel()
	ok := byLength.response(http.StatusOK, site.Identity, "answer")
	for name, second := range map[string]site.Step{
		"rejected":    {NotRun: true, Writes: []string{byLength.response(http.StatusServiceUnavailable, site.Identity+notRunPromise, refusalBody)}},
		"no response": {Writes: []string{""}, End: site.Reset},
		"cut":         {Writes: []string{ok[:len(ok)-2]}, End: site.Reset},
		"failed":      byLength.failure(),
	} {
		t.Run(name, func(t *testing.T) {
			runOnDeployment(t, func(d *deployment) {
				scripts := [][]site.Step{{byLength.failure()}}
				for range 2 * ledgers { // rejections leave further attempts, at each upstream twice
					scripts = append(scripts, []site.Step{second})
				}
				d.setScripts(scripts...)
				_, a := d.askAs(safeCaller)
				d.checkFailure(a)
			})
		})
	}
}

// A read that failed at each upstream of its service ended there, although its route allows
// another attempt.
func TestFailedReadGoesAgainToTheOnlyUpstream(t *testing.T) {
	t.Parallel()
	for name, first := range map[string]site.Step{
		"failed":      byLength.failure(),
		"no response": {Writes: []string{""}, End: site.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			runOnDeployment(t, func(d *deployment) {
				d.keepOneLedger()
				d.setScripts([]site.Step{first})
				id, a := d.askAs(safeCaller)
				d.checkWhole(safeCaller, a)
				assert.Equal(d.t, len(d.runs(id)), 2)
				d.setScripts([]site.Step{first})
				id, a = d.askAs(unsafeCaller)
				assert.Assert(d.t, a.err == nil && a.status >= http.StatusInternalServerError, "%v, status %d", a.err, a.status)
				assert.Equal(d.t, len(d.runs(id)), 1)
			})
		})
	}
}

// keepOneLedger removes all plain upstreams but one.
func (d *deployment) keepOneLedger() {
	for _, u := range d.ledgers[1:] {
		d.store.Delete("servers", u.ID)
	}
	time.Sleep(startTimeout)
}
