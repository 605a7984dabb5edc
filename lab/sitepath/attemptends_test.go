package sitepath

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/telemetry"
	"github.com/verbenabend/verbenabend/lab/site"
)

// metric returns the value of a metric of a daemon, 0 if it has none.
func (d *deployment) metric(p *process, name string) float64 {
	resp, err := d.client().Get("http://" + p.address(metricsPort) + "/")
	assert.NilError(d.t, err)
	defer resp.Body.Close()
	value := 0.0
	body, err := io.ReadAll(resp.Body)
	assert.NilError(d.t, err)
	for line := range strings.Lines(string(body)) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			_, err := fmt.Sscan(rest, &value)
			assert.NilError(d.t, err)
		}
	}
	return value
}

// checkNothingHeld checks that the daemons hold nothing for requests that have ended.
func (d *deployment) checkNothingHeld() {
	d.t.Helper()
	for _, p := range d.processes {
		for _, name := range []string{telemetry.NameInFlightRequests, telemetry.NameAttempts, telemetry.NameBodyBytes, telemetry.NameResponseBytes} {
			assert.Check(d.t, d.metric(p, name) == 0, "%s of %s is %g", name, p.name, d.metric(p, name))
		}
	}
}

// Guards against attempts that stay counted at their engines for good: responses with a status
// that HTTP does not have ended the request by a panic, until no engine had room.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, status := range []int{0, 20, 99, 600, 999} {
		for _, c := range []caller{unsafeCaller, safeCaller, onceCaller} {
			t.Run(fmt.Sprintf("%03d/%s", status, c.name), func(t *testing.T) {
				runOnDeployment(t, func(d *deployment) {
					step := site.Step{Writes: []string{fmt.Sprintf("HTTP/1.1 %03d Odd\r\n%sContent-Length: 2\r\n\r\nok", status, site.Identity)}}
					var scripts [][]site.Step
					for range 60 {
						scripts = append(scripts, []site.Step{step})
					}
					d.setScripts(scripts...)
					for range 60 {
						id, a := d.askAs(c)
						if c.repeatable {
							assert.Check(t, a.err == nil)
							continue
						}
						d.checkUnknown(c, a, len(d.runs(id)))
					}
					d.setScripts()
					time.Sleep(10 * time.Second) // until ejected engines are tried again
					for range 30 {
						_, a := d.askAs(c)
						d.checkWhole(c, a)
					}
					time.Sleep(time.Second)
					d.checkNothingHeld()
				})
			})
		}
	}
}
