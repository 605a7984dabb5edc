// Package netport allocates loopback ports for processes that are started later.
package netport

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports are allocated below the ephemeral port range: an outgoing connection could
// otherwise take a port between its allocation and its use. A process allocates
// from a block of ports that it reserves by listening on the block's first port
// until it exits.
const (
	firstPort     = 12_000
	blockCount    = 200
	portsPerBlock = 100
)

// allocator allocates ports from the blocks that this process has reserved.
type allocator struct {
	mu       sync.Mutex
	nextPort int
	lastPort int // last port of the block
	// guards are the listeners on the blocks' first ports.
	guards []net.Listener
}

var portAllocator allocator

// FreeAddress returns a loopback address with an unused port. No two calls return
// the same one, also across processes. It fails if no block of ports is free.
func FreeAddress() (string, error) {
	portAllocator.mu.Lock()
	defer portAllocator.mu.Unlock()
	for {
		if portAllocator.nextPort > portAllocator.lastPort || portAllocator.lastPort == 0 {
			if err := portAllocator.takeBlock(); err != nil {
				return "", err
			}
		}
		l, err := listen(portAllocator.nextPort)
		portAllocator.nextPort++
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
}

func (a *allocator) takeBlock() error {
	start := os.Getpid() % blockCount
	for i := range blockCount {
		first := firstPort + (start+i)%blockCount*portsPerBlock
		if guard, err := listen(first); err == nil {
			a.guards = append(a.guards, guard)
			a.nextPort, a.lastPort = first+1, first+portsPerBlock-1
			return nil
		}
	}
	return errors.New("all port blocks on 127.0.0.1 are in use; stop other test processes")
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}
