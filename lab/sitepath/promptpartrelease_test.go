package sitepath

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/lab/site"
)

// trials returns how many trials of quarantined parts all daemons have run.
func (c *partCrashes) trials() int {
	n := 0
	for _, p := range c.d.processes {
		for _, e := range p.log.entries(c.d.t) {
			if e.ID == eventlog.PartTrial {
				n++
			}
		}
	}
	return n
}

// A sound part that was quarantined by mistake and released, and is quarantined by
// mistake once more some minutes later, is not released by the first answer but has to
// pass a trial at every daemon.
func TestSoundPromptPartIsReleasedEverywhereAgain(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, partDaemons, partEngines, func(d *deployment) {
		// apart is long enough for the part not to count as recently begun.
		const apart = 2 * time.Minute
		c := &partCrashes{d: d, down: map[*site.Upstream]bool{}}
		for round := range 2 {
			before := c.trials()
			end := c.stallAll(true)
			for range 2 {
				c.ask(d.processes[0], sharedPart)
				time.Sleep(time.Second)
			}
			end()
			assert.Assert(t, isQuarantined(c.ask(d.processes[0], sharedPart)))
			d.eventually("the part is served", withdrawalBound, func() bool { return c.ask(d.processes[0], sharedPart).status == http.StatusOK })
			time.Sleep(contactBound)
			for _, p := range d.processes {
				assert.Equal(t, c.ask(p, sharedPart).status, http.StatusOK)
			}
			assert.Equal(t, c.trials()-before, 1, "trials in round %d", round)
			time.Sleep(apart)
		}
	})
}

// A trial that no engine accepts is spent, and the sound part stays refused for longer.
func TestTrialThatDoesNotRunIsNotSpent(t *testing.T) {
	t.Parallel()
	runOnDeploymentOf(t, partDaemons, partEngines, func(d *deployment) {
		c := &partCrashes{d: d, down: map[*site.Upstream]bool{}}
		end := c.stallAll(true)
		for range 2 {
			c.ask(d.processes[0], sharedPart)
			time.Sleep(time.Second)
		}
		end()
		for _, u := range d.engines {
			u.ChooseBehaviour = func(*http.Request) site.Behaviour {
				if c.trials() == 1 {
					return site.Shed
				}
				return site.Serve
			}
		}
		d.eventually("a trial is due", withdrawalBound, func() bool {
			c.ask(d.processes[0], sharedPart)
			return c.trials() == 1
		})
		for _, u := range d.engines {
			u.ChooseBehaviour = nil
		}
		d.eventually("the part is served", withdrawalBound, func() bool { return c.ask(d.processes[1], sharedPart).status == http.StatusOK })
	})
}
