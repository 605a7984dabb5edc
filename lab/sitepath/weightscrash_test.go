package sitepath

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// Guards against refusing a request as one that crashes engines because connections broke
// after a change of weights: no engine has ended.
func TestConnectionsThatBreakAfterSwitchAreNoCrashes(t *testing.T) {
	t.Parallel()
	const (
		breaksAfter   = 700 // writes, one each 10 ms
		breakInterval = 60  // writes
		askedFor      = 11 * time.Second
	)
	runOnDeployment(t, func(d *deployment) {
		for _, route := range d.desiredState["routes"].([]map[string]any) {
			route["timeoutMs"] = 30000
		}
		d.publish()
		time.Sleep(time.Second)
		for i, e := range d.engines {
			e.ChooseScript = func(r *http.Request) []site.Step {
				if r.URL.Path != "/once/1" || e.Version() != 1 {
					return nil
				}
				slowHead := slices.Repeat([]string{"x"}, breaksAfter+i*breakInterval)
				return []site.Step{{Writes: append([]string{"HTTP/1.1 200 OK\r\nX-Wait: "}, slowHead...), End: site.Close}}
			}
		}
		ask := func(path, deadline string) answer {
			return d.ask(d.processes[0], http.MethodPost, modelHost, path, func(r *http.Request) {
				r.Header.Set("X-Deadline-Ms", deadline)
				r.Header.Set("X-Prompt-Prefix", r.Header.Get("X-Request-Id")+":200,bb:100")
			})
		}
		var waiting sync.WaitGroup
		for range engines {
			waiting.Go(func() { ask("/once/1", "20000") })
		}
		time.Sleep(100 * time.Millisecond)
		d.setGoalVersion(2)
		for start := time.Now(); time.Since(start) < askedFor; time.Sleep(askInterval) {
			go ask("/chat/1", "3000")
		}
		waiting.Wait()
		assert.Assert(d.t, !slices.ContainsFunc(d.engines, func(e *site.Upstream) bool { return e.Version() != 2 }))
		a := ask("/once/1", "3000")
		assert.NilError(d.t, a.err)
		assert.Equal(d.t, a.status, http.StatusOK, a.body)
	})
}
