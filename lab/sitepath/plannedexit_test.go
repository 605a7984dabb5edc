package sitepath

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// Guards against refusing a request as one that crashes upstreams because they left in
// order and exited after their last responses, which ended with their connections.
func TestExitAfterLastResponseIsNoCrash(t *testing.T) {
	t.Parallel()
	const (
		leaving    = 2
		writes     = 60                     // one each 10 ms, until the daemon knows that the upstream leaves
		exitsAfter = 620 * time.Millisecond // shortly after the response
		awayFor    = 5 * time.Second
	)
	runOnDeployment(t, func(d *deployment) {
		var left atomic.Int64
		for _, u := range d.ledgers {
			u.ChooseScript = func(r *http.Request) []site.Step {
				if left.Add(1) > leaving {
					return nil
				}
				u.Drain(d.store)
				time.AfterFunc(exitsAfter, func() { d.crash(u, awayFor) })
				text := append([]string{"HTTP/1.1 200 OK\r\nX-Wait: "}, slices.Repeat([]string{"x"}, writes)...)
				return []site.Step{{Writes: append(text, "\r\n"+site.Identity+"\r\nlast"), End: site.Close}}
			}
		}
		for range leaving {
			_, a := d.askAs(safeCaller)
			assert.NilError(d.t, a.err)
			assert.Equal(d.t, a.body, "last")
			time.Sleep(time.Second)
		}
		_, a := d.askAs(safeCaller)
		d.checkWhole(safeCaller, a)
	})
}
