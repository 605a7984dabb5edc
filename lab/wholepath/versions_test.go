package wholepath

import (
	"testing"
	"time"

	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/lab/fabric"
)

// TestDocumentsAcrossVersions replaces daemons of the older version of the
// peers' protocol one after another. At each step each daemon accepts a
// document that the others can only hear of from peers.
func TestDocumentsAcrossVersions(t *testing.T) {
	runClusterOf(t, gossip.VersionFull, func(t *testing.T, c *cluster) {
		c.version = gossip.VersionTouch
		for i := range clusterDaemons {
			c.stop(i)
			time.Sleep(10 * time.Second)
			c.start(i)
			c.await(30*time.Second, "all are peers", func() bool {
				return c.all(func(s *entry.Status) bool { return s.Ready && len(s.Peers) == clusterDaemons-1 })
			})
			for at := range clusterDaemons {
				c.net.SetCut(func(from, to string) bool { return from != name(at) && to == platformAddress })
				c.accept(at, 10*(i+1)+at, nothing)
				c.net.SetCut(fabric.NothingCut)
				time.Sleep(2 * time.Second)
			}
		}
	})
}
