package gateway

import (
	"context"
	"net"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/descriptor"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
)

const (
	// dialTimeout limits one connection attempt; data centres are a few
	// milliseconds apart.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout closes a connection whose sent data stays unacknowledged for
	// this long.
	ackTimeout = 800 * time.Millisecond
)

// Network provides a daemon's listeners and connections. A nil function means
// TCP.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// DialProbe is like Dial, but only the context limits an attempt. If it is nil and
	// Dial is not, it is Dial.
	DialProbe func(ctx context.Context, network, address string) (net.Conn, error)
	// Descriptors limits the daemon's connections; nil means no limit.
	Descriptors *descriptor.Budget
}

// Limited returns the network with its connections within a budget.
func (n Network) Limited(b *descriptor.Budget) Network {
	n = n.WithDefaults()
	n.Descriptors, n.Dial, n.DialProbe = b, b.Dialer(n.Dial), b.Dialer(n.DialProbe)
	return n
}

// WithDefaults replaces nil functions by TCP.
func (n Network) WithDefaults() Network {
	if n.Listen == nil {
		n.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if n.DialProbe == nil {
		n.DialProbe = n.Dial
	}
	if n.DialProbe == nil {
		n.DialProbe = httpconn.Dialer{}.DialContext
	}
	if n.Dial == nil {
		n.Dial = httpconn.Dialer{Timeout: dialTimeout, UserTimeout: ackTimeout}.DialContext
	}
	if n.Descriptors == nil {
		n.Descriptors = descriptor.NewBudget(0)
	}
	return n
}

// periodic returns a loop that calls fn at once and then after every interval,
// with jitter.
func periodic(interval time.Duration, fn func()) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			fn()
			if err := backoff.Sleep(ctx, backoff.JitterInterval(interval)); err != nil {
				return err
			}
		}
	}
}
