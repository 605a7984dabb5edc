package daemon

import (
	"context"
	"net"
)

// Network supplies a daemon's listeners and connections. A nil function means TCP.
type Network struct {
	// Listen opens a listener on host:port.
	Listen func(address string) (net.Listener, error)
	// Dial connects to host:port. It returns errors like those of net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxPeerVersion is the highest version of the gossip protocol to use; 0 means
	// the highest that this build supports.
	MaxPeerVersion uint8
}

func (n Network) listen(address string) (net.Listener, error) {
	if n.Listen == nil {
		return net.Listen("tcp", address)
	}
	return n.Listen(address)
}

// dialPeer returns the dial function for peers, nil for the default of package gossip.
func (n Network) dialPeer() func(context.Context, string) (net.Conn, error) {
	if n.Dial == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return n.Dial(ctx, "tcp", address) }
}
