package gossip

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A daemon without free descriptors reported every peer that it could not dial as lost, and
// others stopped sending callers there.
func TestOwnShortageReportsNoPeerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork()
		var short atomic.Bool
		nodes := testFleet(t, nw, 5, func(i int, c *Config) {
			shortTimeouts(i, c)
			dial := c.Dial
			c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				if i == 0 && short.Load() {
					return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
				}
				return dial(ctx, address)
			}
		})
		defer closeAll(nodes)
		eventually(t, 5*time.Second, "all peers known", allPeersKnown(nodes))
		short.Store(true)
		nw.eachLink(func(k *link) { k.close() })
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, n := range nodes {
				assert.Equal(t, countUnresponsive(nodes, n.cfg.Name), 0, n.cfg.Name)
			}
		}
	})
}
