package sitepath

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

const eventStream = "Content-Type: text/event-stream\r\n"

// cutStreams are streams that break off in their fifth event.
func cutStreams() map[string]site.Step {
	out := map[string]site.Step{}
	for _, f := range framings {
		text := f.response(http.StatusOK, site.Identity+eventStream, wholeStream(10))
		cut := strings.Index(text, "id: 5")
		out[string(f)] = site.Step{Writes: []string{text[:cut+len("id: 5\nda")]}, End: site.Close}
		out[string(f)+", reset"] = site.Step{Writes: []string{text[:cut]}, End: site.Reset}
	}
	return out
}

// checkCutStream checks that a caller gets the first four events of a stream, not framed as
// whole, and that the request runs the given number of times.
func (d *deployment) checkCutStream(c caller, runs int) {
	d.t.Helper()
	id, a := d.askAs(c)
	assert.Assert(d.t, a.err != nil, "a stream of %d bytes looks complete: %q", len(a.body), a.body)
	assert.Equal(d.t, a.status, http.StatusOK)
	assert.Equal(d.t, a.body, wholeStream(4))
	assert.Equal(d.t, len(d.runs(id)), runs)
}

// An engine that was to go on with a stream but answered otherwise adds nothing to it, and
// the stream must not look complete.
func TestFailedResumptionAddsNothingToStream(t *testing.T) {
	t.Parallel()
	const plain = "Content-Type: text/plain\r\n"
	failures := map[string]struct {
		status       int
		header, body string
	}{
		"failure":                     {http.StatusInternalServerError, site.Identity + plain, "no memory\n"},
		"long failure":                {http.StatusBadGateway, site.Identity + plain, strings.Repeat("no memory\n", 40<<10)},
		"unavailable without promise": {http.StatusServiceUnavailable, site.Identity + plain, "no memory\n"},
		"not found":                   {http.StatusNotFound, site.Identity + plain, "no such stream\n"},
		"bad request":                 {http.StatusBadRequest, site.Identity + "X-Not-Executed: 1\r\n", "no such stream\n"},
		"no content":                  {http.StatusNoContent, site.Identity, ""},
		"other media type":            {http.StatusOK, site.Identity + plain, "no memory\n"},
		"no media type":               {http.StatusOK, site.Identity, wholeStream(10)},
		"no proof":                    {http.StatusOK, eventStream, wholeStream(10)},
		"events with a failure":       {http.StatusInternalServerError, site.Identity + eventStream, wholeStream(10)},
		"text and an event":           {http.StatusOK, site.Identity + eventStream, "no memory\n\nid: 5\ndata: token 5\n\n"},
		"text as an event":            {http.StatusOK, site.Identity + eventStream, "no memory\n\n"},
		"error event":                 {http.StatusOK, site.Identity + eventStream, "event: error\ndata: no memory\n\n"},
		"head as an event":            {http.StatusOK, site.Identity + eventStream, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"},
	}
	for name, first := range cutStreams() {
		for failureName, x := range failures {
			for _, f := range framings {
				t.Run(strings.Join([]string{name, failureName, string(f)}, "/"), func(t *testing.T) {
					runOnDeployment(t, func(d *deployment) {
						second := site.Step{Writes: []string{f.response(x.status, x.header, x.body)}, End: f.end()}
						d.setScripts([]site.Step{first}, []site.Step{second})
						d.checkCutStream(resumeCaller, 2)
					})
				})
			}
		}
		for _, f := range framings {
			t.Run(name+"/refusal/"+string(f), func(t *testing.T) {
				runOnDeployment(t, func(d *deployment) {
					refusal := f.response(http.StatusServiceUnavailable, site.Identity+"X-Not-Executed: 1\r\n"+plain, "full\n")
					d.setScripts([]site.Step{first}, []site.Step{{NotRun: true, Writes: []string{refusal}, End: f.end()}})
					id, a := d.askAs(resumeCaller)
					d.checkWhole(resumeCaller, a)
					assert.Equal(d.t, len(d.runs(id)), 2)
				})
			})
		}
	}
}

// A stream that may not be resumed and breaks off is cut at its caller and runs once.
func TestCutStreamIsNotFramedAsWhole(t *testing.T) {
	t.Parallel()
	for name, first := range cutStreams() {
		t.Run(name, func(t *testing.T) {
			runOnDeployment(t, func(d *deployment) {
				d.setScripts([]site.Step{first})
				d.checkCutStream(onceCaller, 1)
			})
		})
	}
}

// A resumed stream of which only a head arrives before the connection ends has not been
// resumed, and must not look complete.
func TestResumptionWithOnlyHeadIsNotComplete(t *testing.T) {
	t.Parallel()
	head := byConnection.response(http.StatusOK, site.Identity+eventStream, "")
	for name, first := range cutStreams() {
		t.Run(name, func(t *testing.T) {
			runOnDeployment(t, func(d *deployment) {
				d.setScripts([]site.Step{first}, []site.Step{{Writes: []string{head}, End: site.Close}})
				d.checkCutStream(resumeCaller, 2)
			})
		})
	}
	t.Run("resumed by its caller", func(t *testing.T) {
		runOnDeployment(t, func(d *deployment) {
			d.setScripts([]site.Step{{Writes: []string{head}, End: site.Close}})
			a := d.ask(d.processes[0], resumeCaller.method, resumeCaller.host, resumeCaller.path, func(r *http.Request) { r.Header.Set("Last-Event-Id", "4") })
			assert.NilError(d.t, a.err)
			assert.Equal(d.t, a.body, strings.TrimPrefix(wholeStream(10), wholeStream(4)))
			assert.Equal(d.t, len(d.runs("request-1")), 2)
		})
	})
}

// Guards against a resumed stream that looks complete although it brought no new event
// before its connection ended: comments and repeated events don't show that it went on.
func TestResumptionWithoutNewEventIsNotComplete(t *testing.T) {
	t.Parallel()
	for name, body := range map[string]string{"comment": ": wait\n\n", "empty line": "\n", "old events": wholeStream(4), "old events and a comment": wholeStream(4) + ": wait\n\n"} {
		second := site.Step{Writes: []string{byConnection.response(http.StatusOK, site.Identity+eventStream, body)}, End: site.Close}
		for cut, first := range cutStreams() {
			t.Run(name+"/"+cut, func(t *testing.T) {
				runOnDeployment(t, func(d *deployment) {
					d.setScripts([]site.Step{first}, []site.Step{second})
					id, a := d.askAs(resumeCaller)
					assert.Assert(d.t, a.err != nil, "a stream of %d bytes looks complete: %q", len(a.body), a.body)
					assert.Assert(d.t, strings.HasPrefix(a.body, wholeStream(4)) && strings.Count(a.body, "data:") == 4, "%q", a.body)
					assert.Equal(d.t, len(d.runs(id)), 2)
				})
			})
		}
	}
	t.Run("first stream", func(t *testing.T) {
		runOnDeployment(t, func(d *deployment) {
			comment := byConnection.response(http.StatusOK, site.Identity+eventStream, ": wait\n\n")
			d.setScripts([]site.Step{{Writes: []string{comment}, End: site.Close}})
			_, a := d.askAs(onceCaller)
			assert.Assert(d.t, a.err != nil, "a stream without an event looks complete: %q", a.body)
		})
	})
}
