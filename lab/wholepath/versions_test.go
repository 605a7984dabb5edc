package wholepath

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/lab/fabric"
)

// TestDocumentsAcrossPeerProtocolVersions upgrades daemons from the older version of
// the peer protocol one after another. At each step every daemon accepts a document
// that the others can receive only from peers.
func TestDocumentsAcrossPeerProtocolVersions(t *testing.T) {
	for _, older := range []uint8{gossip.VersionFull, gossip.VersionTouch} {
		t.Run(fmt.Sprint(older), func(t *testing.T) {
			runClusterWithVersion(t, older, func(t *testing.T, c *cluster) {
				c.peerVersion = older + 1
				for i := range clusterDaemons {
					c.stop(i)
					time.Sleep(10 * time.Second)
					c.start(i)
					c.await(30*time.Second, "all are peers", func() bool {
						return c.all(func(s *entry.Status) bool { return s.Ready && len(s.Peers) == clusterDaemons-1 })
					})
					for at := range clusterDaemons {
						c.net.SetPartition(func(from, to string) bool { return from != daemonName(at) && to == platformAddress })
						c.submitDocument(at, 10*(i+1)+at, noop)
						c.net.SetPartition(fabric.NoConnections)
						time.Sleep(2 * time.Second)
					}
				}
			})
		})
	}
}
