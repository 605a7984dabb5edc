package sitepath

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// Guards against taking a comment or an empty line, which engines may send before they
// compute the prompt, for the begin of an answer that clears the part that crashes them.
func TestCommentBeforeCrashClearsNoPart(t *testing.T) {
	t.Parallel()
	const (
		requests        = 40
		requestInterval = 500 * time.Millisecond
	)
	for name, start := range map[string]string{"nothing": "", "comment": ": wait\n\n", "empty line": "\n"} {
		t.Run(name, func(t *testing.T) {
			runOnDeploymentOf(t, partDaemons, partEngines, func(d *deployment) {
				c := d.crashOnPart(site.Serve)
				text := byConnection.response(http.StatusOK, site.Identity+eventStream, start)
				for _, u := range d.engines {
					crash := u.ChooseBehaviour
					u.ChooseScript = func(r *http.Request) []site.Step {
						if !strings.HasPrefix(r.Header.Get("X-Prompt-Prefix"), crashingPart+":") {
							return nil
						}
						crash(r) // after answerDelay, at about the time of the reset
						return []site.Step{{Writes: []string{text, "", "", "", "", ""}, End: site.Reset}}
					}
				}
				for i := range requests {
					c.ask(d.processes[i%len(d.processes)], crashingPart)
					time.Sleep(requestInterval)
				}
				assert.Assert(d.t, c.crashes() <= freeCrashes, "%d engines crashed", c.crashes())
				assert.Assert(d.t, c.lateRequests() <= maxLateRequests, "%d requests with the part reached engines", c.lateRequests())
			})
		})
	}
}
