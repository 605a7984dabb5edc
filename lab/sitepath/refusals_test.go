package sitepath

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/telemetry"
	"github.com/verbenabend/verbenabend/lab/site"
)

// unprovenRefusals are statuses that callers take for "not run", without the upstream's statement
// that it did not run the request.
var unprovenRefusals = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// refusalBodies returns an empty body, a short one, and one too long to be buffered; only the short
// one under the race detector.
func refusalBodies() map[string]string {
	if testing.Short() {
		return map[string]string{"short": refusalBody}
	}
	return map[string]string{"empty": "", "short": refusalBody, "long": strings.Repeat("x", 300<<10)}
}

// Guards against orders that run twice: an upstream ran the request and answered with a status
// that callers take for "not run"; they got that status and sent the order again.
func TestUnprovenRefusalPromisesNothing(t *testing.T) {
	t.Parallel()
	for _, status := range unprovenRefusals {
		for _, f := range framings {
			for size, body := range refusalBodies() {
				for _, c := range []caller{unsafeCaller, longCaller, onceCaller} {
					t.Run(fmt.Sprintf("%d/%s/%s/%s", status, f, size, c.name), func(t *testing.T) {
						runOnDeployment(t, func(d *deployment) {
							step := site.Step{Writes: []string{f.response(status, site.Identity+"Retry-After: 0.1\r\n", body)}, End: f.end()}
							d.setScripts([]site.Step{step})
							id, a := d.askAs(c)
							d.checkUnknown(c, a, len(d.runs(id)))
							assert.Assert(t, strings.Contains(a.body, `"verdict":"may-have-run"`), a.body)
							id, a = d.askAs(c)
							d.checkWhole(c, a)
							assert.Equal(t, len(d.runs(id)), 1)
							d.checkNothingHeld()
						})
					})
				}
			}
		}
	}
}

// The statement of one upstream that it did not run a request covers no other upstream's answer.
func TestUnprovenRefusalAfterProvenOnePromisesNothing(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		proven := site.Step{NotRun: true, Writes: []string{byLength.response(http.StatusServiceUnavailable, site.Identity+notRunPromise, refusalBody)}}
		unproven := site.Step{Writes: []string{byLength.response(http.StatusServiceUnavailable, site.Identity, refusalBody)}}
		d.setScripts([]site.Step{proven}, []site.Step{unproven})
		id, a := d.askAs(unsafeCaller)
		d.checkUnknown(unsafeCaller, a, len(d.runs(id)))
		assert.Equal(t, len(d.runs(id)), 1)
	})
}

// An unproven refusal is logged with its status and upstream and counted as the upstream's failure.
func TestUnprovenRefusalIsLoggedAndCounted(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		p := d.processes[0]
		step := site.Step{Writes: []string{byLength.response(http.StatusServiceUnavailable, site.Identity, refusalBody)}}
		d.setScripts([]site.Step{step})
		id, _ := d.askAs(unsafeCaller)
		events := p.log.entriesOfRequest(t, id)
		assert.Equal(t, len(events), 2, "%v", events)
		assert.Equal(t, events[0].ID, eventlog.AttemptFailed)
		assert.Assert(t, strings.HasPrefix(events[0].Upstream, "ledger-") && strings.Contains(events[0].Detail, "status 503"), "%v", events[0])
		assert.Equal(t, events[1].ID, eventlog.RequestFailed)
		assert.Equal(t, d.metric(p, telemetry.NameForwarded+`{route="order",class="shared",verdict="may-have-run",result="upstream_failed"}`), 1.0)
	})
}

// Requests that may be repeated lose nothing by a promise that is not true: their callers get the
// upstream's response unchanged.
func TestUnprovenRefusalOfRepeatableRequestIsRelayed(t *testing.T) {
	t.Parallel()
	for _, status := range unprovenRefusals {
		for _, f := range framings {
			for size, body := range refusalBodies() {
				for _, c := range []caller{safeCaller, resumeCaller} {
					t.Run(fmt.Sprintf("%d/%s/%s/%s", status, f, size, c.name), func(t *testing.T) {
						runOnDeployment(t, func(d *deployment) {
							step := site.Step{Writes: []string{f.response(status, site.Identity+"Retry-After: 0.1\r\n", body)}, End: f.end()}
							d.setScripts([]site.Step{step})
							_, a := d.askAs(c)
							assert.Equal(t, a.status, status)
							assert.Equal(t, a.body, body)
							assert.Equal(t, a.header.Get("Retry-After"), "0.1")
							assert.Assert(t, a.header.Get("X-Response-Stamp") != "")
						})
					})
				}
			}
		}
	}
}
