package sitepath

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// A response of which a part was relayed and that no other can continue is cut at its
// caller: nothing of a second response follows, and none is requested in vain.
func TestCutResponseIsNotContinuedByAnother(t *testing.T) {
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
