package gateway

import (
	"context"
	"net"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
)

const (
	// dialTimeout bounds one try to connect; data centres are some milliseconds apart.
	dialTimeout = 300 * time.Millisecond
	// silenceTimeout is how long sent bytes may stay without acknowledgement.
	silenceTimeout = 800 * time.Millisecond
)

// Network is how a daemon listens and connects. A nil function means TCP.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// WithDefaults fills in TCP.
func (n Network) WithDefaults() Network {
	if n.Listen == nil {
		n.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if n.Dial == nil {
		n.Dial = httpconn.Dialer{Timeout: dialTimeout, Silence: silenceTimeout}.DialContext
	}
	return n
}

// every returns a loop that calls fn at once and then after each interval.
func every(interval time.Duration, fn func()) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			fn()
			if err := backoff.Sleep(ctx, backoff.Around(interval)); err != nil {
				return err
			}
		}
	}
}
