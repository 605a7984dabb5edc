package sitepath

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/lab/site"
)

// Each outcome of a request appears in the log lines with its request ID and in
// the metrics.
func TestOutcomesAreLoggedAndCounted(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		p := d.processes[0]
		assertMetrics := func(want ...string) {
			resp, err := d.client().Get("http://" + p.address(metricsPort) + "/metrics")
			assert.NilError(t, err)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			for _, line := range want {
				assert.Assert(t, strings.Contains(string(text), line+"\n"), "no line %s in\n%s", line, text)
			}
		}
		assertEvents := func(request string, kinds ...eventlog.ID) eventlog.Entry {
			events := p.log.entriesOfRequest(t, request)
			var got []eventlog.ID
			for _, e := range events {
				got = append(got, e.ID)
			}
			assert.Assert(t, slices.Equal(got, kinds), "%s: %v", request, events)
			return events[len(events)-1]
		}

		assert.Equal(t, d.ask(p, http.MethodPost, modelHost, "/chat/1", nil).status, http.StatusOK)
		e := assertEvents("request-1", eventlog.RequestFinished)
		assert.Equal(t, e.Route, "chat")
		assert.Equal(t, e.Organisation, "trust")
		assert.Assert(t, e.Revision > 0)
		assert.Assert(t, strings.HasPrefix(e.Upstream, "engine-"))
		for _, part := range []string{"status 200, attempt 1, queued", "first byte after", "tokens cached", "to compute", "wait", "cost", "slowdown", "running"} {
			assert.Assert(t, strings.Contains(e.Detail, part), e.Detail)
		}
		assertMetrics(`verbenabend_forwarded_requests_total{route="chat",class="shared",verdict="ran",result="ok"} 1`,
			`verbenabend_first_byte_seconds_count{route="chat"} 1`, fmt.Sprintf("verbenabend_state_revision %d", e.Revision), `verbenabend_platform_up 1`)

		withUnknownKey := func(r *http.Request) { r.Header.Set("X-Key", "unknown") }
		assert.Equal(t, d.ask(p, http.MethodGet, plainHost, "/read/1", withUnknownKey).status, http.StatusUnauthorized)
		e = assertEvents("request-2", eventlog.RequestRefused)
		assert.Assert(t, strings.Contains(e.Detail, "unknown API key"), e.Detail)
		assertMetrics(`verbenabend_forwarded_requests_total{route="read",class="none",verdict="not-run",result="unauthorized"} 1`)

		d.setFirstRequestBehaviour(site.DropResponse)
		assert.Equal(t, d.ask(p, http.MethodPost, plainHost, "/order/1", nil).status, http.StatusBadGateway)
		e = assertEvents("request-3", eventlog.AttemptFailed, eventlog.RequestFailed)
		assert.Assert(t, strings.Contains(e.Detail, "status 502") && strings.Contains(e.Detail, "no response from ledger-"), e.Detail)
		assertMetrics(`verbenabend_forwarded_requests_total{route="order",class="shared",verdict="may-have-run",result="upstream_failed"} 1`)

		for _, u := range d.ledgers {
			u.ChooseBehaviour = func(*http.Request) site.Behaviour { return site.Shed }
		}
		a := d.ask(p, http.MethodPost, plainHost, "/order/1", nil)
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Assert(t, !strings.Contains(a.body, "engines"), "the response to a caller names other services' upstreams: %s", a.body)
		events := p.log.entriesOfRequest(t, "request-4")
		last := events[len(events)-1]
		assert.Equal(t, last.ID, eventlog.RequestRefused)
		assert.Assert(t, strings.Contains(last.Detail, "status 503"), last.Detail)
	})
}
