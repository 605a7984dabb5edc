package httpconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections that notice a silent peer.
type Dialer struct {
	// Timeout bounds one try to connect.
	Timeout time.Duration
	// Silence is how long sent bytes may stay without acknowledgement.
	Silence time.Duration
}

const (
	// keepAliveProbe is the pause before and between probes of a connection
	// on which nothing is sent, in whole seconds as the kernel counts.
	keepAliveProbe = time.Second
	keepAliveCount = 3
)

// DialContext connects to address.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         d.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			controlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Silence.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
	return dialer.DialContext(ctx, network, address)
}
