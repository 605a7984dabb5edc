package daemon

import (
	"context"
	"net"
)

// Network is how a daemon listens, connects and speaks to peers. A nil function means TCP.
type Network struct {
	// Listen accepts connections at host:port.
	Listen func(address string) (net.Listener, error)
	// Dial connects to host:port. Errors: as those of net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// PeerVersion limits the version of the peers' protocol; 0 means the
	// greatest that this build speaks.
	PeerVersion uint8
}

func (n Network) listen(address string) (net.Listener, error) {
	if n.Listen == nil {
		return net.Listen("tcp", address)
	}
	return n.Listen(address)
}

// dialPeer returns the dial function for peers; nil means gossip's own.
func (n Network) dialPeer() func(context.Context, string) (net.Conn, error) {
	if n.Dial == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return n.Dial(ctx, "tcp", address) }
}
