// Package netport finds loopback ports for processes that are started later.
package netport

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Ports are taken from below the range from which the system gives local
// ports to outgoing connections: one of those might take a port between its
// choice and its use.
const (
	firstPort = 12_000
	portCount = 20_000
	// stride separates processes that look for ports at the same time.
	stride = 97
)

var next atomic.Int64

func init() { next.Store(int64(os.Getpid()) * stride) }

// Free returns a loopback address on which nobody listens. No two calls of a
// process return the same one until all were used.
func Free() (string, error) {
	for range portCount {
		port := firstPort + next.Add(1)%portCount
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errors.New("no free port")
}
