package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Load figures whose turn has come reach peers without waiting for the next
// look after facts and connections; news does not wait for its turn either.
func TestLoadsLeaveAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const flush = 5 * time.Millisecond
		nodes := testFleet(t, newNetwork(), 4, func(_ int, c *Config) {
			c.LoadInterval, c.FlushInterval, c.FanOut, c.BytesPerSecond = 100*time.Millisecond, flush, 4, 1<<20
		})
		defer closeAll(nodes)
		time.Sleep(10*time.Second + 3*time.Millisecond) // apart from any look
		tell := func(value string, news bool) {
			nodes[0].PublishLoads([]Fact{{Kind: KindLoad, ID: "a/lamp-bench", TTL: time.Minute, Value: []byte(value)}}, news)
		}
		heard := func(value string) bool {
			for _, n := range nodes[1:] {
				facts := n.Facts(KindLoad)
				if len(facts) != 1 || string(facts[0].Value) != value {
					return false
				}
			}
			return true
		}
		tell("due", false)
		time.Sleep(2*testDelay + 2*flush)
		assert.Assert(t, heard("due"))
		tell("early", false)
		time.Sleep(2*testDelay + 2*flush)
		assert.Assert(t, !heard("early"))
		tell("news", true)
		time.Sleep(2*testDelay + 2*flush)
		assert.Assert(t, heard("news"))
	})
}
