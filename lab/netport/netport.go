// Package netport finds loopback ports for processes that are started later.
package netport

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports are taken from below the range from which the system gives local
// ports to outgoing connections: one of those might take a port between its
// choice and its use. They come in blocks; a process that takes ports from a
// block listens on the block's first port as long as it lives, so that no
// other takes from it.
const (
	firstPort  = 12_000
	blocks     = 200
	blockPorts = 100
)

// allocator hands out the ports of the blocks that this process holds.
type allocator struct {
	mu   sync.Mutex
	next int // next port
	last int // last port of the block
	// guards are the listeners on the blocks' first ports.
	guards []net.Listener
}

var ports allocator

// Free returns a loopback address on which nobody listens. No two calls, in
// whichever process, return the same one.
func Free() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for {
		if ports.next > ports.last || ports.last == 0 {
			if err := ports.takeBlock(); err != nil {
				return "", err
			}
		}
		l, err := listen(ports.next)
		ports.next++
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
}

func (a *allocator) takeBlock() error {
	start := os.Getpid() % blocks
	for i := range blocks {
		first := firstPort + (start+i)%blocks*blockPorts
		if guard, err := listen(first); err == nil {
			a.guards = append(a.guards, guard)
			a.next, a.last = first+1, first+blockPorts-1
			return nil
		}
	}
	return errors.New("no free block of ports")
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}
