package sitepath

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// softwareOf returns the software versions that made the events of a stream.
func softwareOf(body string) map[string]bool {
	versions := map[string]bool{}
	for _, line := range strings.Split(body, "\n") {
		if text, ok := strings.CutPrefix(line, "data: token "); ok {
			_, version, other := strings.Cut(text, " of ")
			if !other {
				version = "v1"
			}
			versions[version] = true
		}
	}
	return versions
}

// lastEventOf returns the ID of the last whole event of a stream, 0 if it has none.
func lastEventOf(body string) int {
	last := 0
	events := strings.Split(body, "\n\n")
	for _, event := range events[:len(events)-1] { // what follows the last separator is no whole event
		id, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		if n, err := strconv.Atoi(id); err == nil {
			last = n
		}
	}
	return last
}

// setSoftware makes the engines run software versions, before the daemons start.
func (d *deployment) setSoftware(versions ...string) {
	for i, version := range versions {
		d.engines[i].Software = version
		d.engines[i].Register(d.store)
	}
}

// runsOn returns the engine that runs a request, nil if none does.
func (d *deployment) runsOn(id string) *site.Upstream {
	for _, e := range d.engines {
		for _, r := range e.Runs() {
			if r.ID == id && r.EndedAt.IsZero() {
				return e
			}
		}
	}
	return nil
}

// Guards against an answer whose first events are of one software version and whose others are
// of another, because the engine crashed and only that one was free.
func TestStreamGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	for name, versions := range map[string][]string{"another engine of the version": {"v1", "v1", "v2"}, "no other engine of the version": {"v1", "v2", "v3"}} {
		t.Run(name, func(t *testing.T) {
			runOnDeploymentWith(t, func(d *deployment) { d.setSoftware(versions...) }, func(d *deployment) {
				var wg sync.WaitGroup
				for i := range 6 {
					id := fmt.Sprint("stream-", i)
					wg.Go(func() {
						a := d.ask(d.processes[i%daemons], http.MethodPost, modelHost, "/chat/1", func(r *http.Request) {
							r.Header.Set("X-Request-Id", id)
							r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:200,bb:100", 0xc10+i)) // of homes at all engines
						})
						assert.Equal(t, len(softwareOf(a.body)), 1, a.body)
						assert.Check(t, a.err != nil || lastEventOf(a.body) == d.engines[0].StreamEvents, "a stream of %q looks complete", a.body)
					})
				}
				time.Sleep(100 * time.Millisecond)
				cut := d.engines[0]
				assert.Assert(t, d.runningAt(cut) > 0)
				d.crash(cut, 3*time.Second)
				wg.Wait()
			})
		})
	}
}

// runningAt returns how many requests an engine runs.
func (d *deployment) runningAt(e *site.Upstream) int {
	n := 0
	for _, r := range e.Runs() {
		if r.EndedAt.IsZero() {
			n++
		}
	}
	return n
}
