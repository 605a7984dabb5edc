package sitepath

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// A response of which a part was relayed and that no other can continue is cut at its
// caller: nothing of a second response follows, and none is requested in vain.
func TestCutResponseIsNotContinuedByAnother(t *testing.T) {
	t.Parallel()
	const plain = "Content-Type: text/plain\r\n"
	long := strings.Repeat("part of a long body\n", 30<<10) // more than is buffered
	for name, c := range map[string]struct {
		status       int
		header, body string
		callers      []caller
	}{
		"long body":             {http.StatusOK, plain, long, callers},
		"long failure":          {http.StatusBadGateway, plain, long, callers},
		"events without IDs":    {http.StatusOK, eventStream, strings.Repeat("data: token\n\n", 9), []caller{onceCaller, resumeCaller}},
		"last event without ID": {http.StatusOK, eventStream, wholeStream(4) + strings.Repeat("data: token\n\n", 9), []caller{onceCaller, resumeCaller}},
	} {
		for _, f := range framings {
			for _, k := range c.callers {
				t.Run(strings.Join([]string{name, string(f), k.name}, "/"), func(t *testing.T) {
					runOnDeployment(t, func(d *deployment) {
						text := f.response(c.status, site.Identity+c.header, c.body)
						d.setScripts([]site.Step{{Writes: []string{text[:len(text)*3/4]}, End: site.Reset}})
						id, a := d.askAs(k)
						assert.Assert(d.t, a.err != nil, "a body of %d bytes looks complete", len(a.body))
						assert.Assert(d.t, a.body != "" && strings.HasPrefix(c.body, a.body))
						assert.Equal(d.t, len(d.runs(id)), 1)
					})
				})
			}
		}
	}
}

// A head or body that an upstream breaks off is no answer, whatever the head says of its
// length.
func TestCutAnswerIsNotFramedAsWhole(t *testing.T) {
	t.Parallel()
	for _, f := range framings {
		text := f.response(http.StatusOK, "Keep-Alive: timeout=12\r\nContent-Type: text/plain\r\n"+site.Identity, "answer from ledger-9")
		marks := []string{"HTT", "HTTP/1.1 2", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\n", "Keep-Ali", "Keep-Alive:", "timeout=1", "text/plain\r\n", site.Identity}
		switch f {
		case byLength:
			marks = append(marks, "Content-Length: 2", "Content-Length: 20", "Content-Length: 20\r\n", "Content-Length: 20\r\n\r", "\r\n\r\n", "answer", "ledger-")
		case byConnection:
			marks = append(marks, "\r\n\r")
		case byChunks:
			marks = append(marks, "Transfer-Enc", "chunked\r\n", "chunked\r\n\r", "chunked\r\n\r\n", "chunked\r\n\r\n1", "14\r", "14\r\n", "answer", "ledger-9", "ledger-9\r\n", "\r\n0", "\r\n0\r\n", "\r\n0\r\n\r")
		}
		for _, mark := range marks {
			at := strings.Index(text, mark)
			assert.Assert(t, at >= 0, mark)
			for _, end := range []site.End{site.Close, site.Reset} {
				t.Run(fmt.Sprintf("%s/after %q/%d", f, mark, end), func(t *testing.T) {
					runOnDeployment(t, func(d *deployment) { d.checkCut(site.Step{Writes: []string{text[:at+len(mark)]}, End: end}) })
				})
			}
		}
	}
	t.Run("connection/body reset", func(t *testing.T) {
		runOnDeployment(t, func(d *deployment) {
			d.checkCut(site.Step{Writes: []string{byConnection.response(http.StatusOK, site.Identity, "answer"), " from"}, End: site.Reset})
		})
	})
}

// checkCut lets the next requests get a response that breaks off.
func (d *deployment) checkCut(step site.Step) {
	d.t.Helper()
	for _, c := range callers {
		d.setScripts([]site.Step{step})
		id, a := d.askAs(c)
		if !c.repeatable {
			d.checkUnknown(c, a, len(d.runs(id)))
			continue
		}
		d.checkWhole(c, a)
		assert.Equal(d.t, len(d.runs(id)), 2, c.name)
	}
}
