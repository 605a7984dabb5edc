package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Load figures that are due are sent without waiting for the next tick, and urgent
// ones are sent before they are due.
func TestDueLoadsAreSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const flush = 5 * time.Millisecond
		nodes := testFleet(t, newNetwork(), 4, func(_ int, c *Config) {
			c.MinLoadInterval, c.FlushInterval, c.FanOut, c.BytesPerSecond = 100*time.Millisecond, flush, 4, 1<<20
		})
		defer closeAll(nodes)
		time.Sleep(10*time.Second + 3*time.Millisecond) // between two ticks
		publish := func(value string, urgent bool) {
			nodes[0].PublishLoads([]Fact{{Kind: KindLoad, ID: "a/lamp-bench", TTL: time.Minute, Value: []byte(value)}}, urgent)
		}
		allReceived := func(value string) bool {
			for _, n := range nodes[1:] {
				facts := n.Facts(KindLoad)
				if len(facts) != 1 || string(facts[0].Value) != value {
					return false
				}
			}
			return true
		}
		publish("due", false)
		time.Sleep(2*testDelay + 2*flush)
		assert.Assert(t, allReceived("due"))
		publish("early", false)
		time.Sleep(2*testDelay + 2*flush)
		assert.Assert(t, !allReceived("early"))
		publish("urgent", true)
		time.Sleep(2*testDelay + 2*flush)
		assert.Assert(t, allReceived("urgent"))
	})
}

// Guards against load figures that use the budget of announcements: those that do not fit are
// not sent, nor are others for loadPause after them.
func TestLoadsThatDoNotFitAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := testFleet(t, newNetwork(), 4, func(_ int, c *Config) { c.MaxLoadInterval = 2 * time.Second })
		defer closeAll(nodes)
		time.Sleep(10 * time.Second)
		publish := func(size int) {
			nodes[0].PublishLoads([]Fact{{Kind: KindLoad, ID: "a/lamp-bench", TTL: 3 * time.Second, Value: make([]byte, size)}}, false)
			time.Sleep(2 * time.Second)
		}
		check := func(fit bool, received int) {
			t.Helper()
			assert.Equal(t, nodes[0].LoadsFit(time.Now()), fit)
			assert.Equal(t, len(nodes[1].Facts(KindLoad)), received)
		}
		publish(100)
		check(true, 1)
		time.Sleep(maxLoadAge)
		publish(10_000)
		check(false, 0)
		time.Sleep(maxLoadAge)
		publish(100)
		check(false, 0)
		time.Sleep(loadPause)
		publish(101)
		check(true, 1)
	})
}
