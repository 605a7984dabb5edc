package sitepath

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// Guards against one more crashed engine for a caller that left while its request waited
// to be repeated after a crash.
func TestRequestIsNotRepeatedOnceItsCallerLeft(t *testing.T) {
	t.Parallel()
	const (
		// rounds is several, since the fault occurs in about half of them.
		rounds = 8
		warmUp = 60 // requests, so that connections to all engines are idle
		// leaveAfter is between the confirmation of the crash and the repetition.
		leaveAfter = 100 * time.Millisecond
	)
	for round := range rounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			runOnDeploymentOf(t, 2, partEngines, func(d *deployment) {
				c := d.crashOnPart(site.StallInFirstEvent)
				for i := range warmUp {
					go d.ask(d.processes[0], http.MethodPost, modelHost, "/chat/1", func(r *http.Request) {
						r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("warm%d:200,own:100", i))
					})
				}
				time.Sleep(2 * time.Second)
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				ids := make(chan string, 1)
				answers := make(chan answer, 1)
				go func() {
					answers <- d.ask(d.processes[0], http.MethodPost, modelHost, "/chat/1", func(r *http.Request) {
						r.Header.Set("X-Prompt-Prefix", crashingPart+":200,own:100")
						ids <- r.Header.Get("X-Request-Id")
						*r = *r.WithContext(ctx)
					})
				}()
				id := <-ids
				d.eventually("an engine has crashed", contactBound, func() bool { return c.crashes() > 0 })
				time.Sleep(leaveAfter)
				leave()
				assert.Assert(d.t, (<-answers).err != nil)
				time.Sleep(time.Second)
				assert.Equal(d.t, len(d.runs(id)), 1, "runs of the request")
				assert.Equal(d.t, c.crashes(), 1)
			})
		})
	}
}
