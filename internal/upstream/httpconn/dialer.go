package httpconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections that fail when the peer becomes unresponsive.
type Dialer struct {
	// Timeout bounds one connection attempt.
	Timeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
}

const (
	// keepAliveInterval is the delay before and between keep-alive probes on an
	// idle connection. The kernel takes whole seconds.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// DialContext connects to address.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         d.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			controlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.UserTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
	return dialer.DialContext(ctx, network, address)
}

// slowUpstreams are the options of connections to upstreams that may read slowly.
type slowUpstreams struct {
	userTimeout time.Duration
	writeBuffer int // bytes
}

// apply sets the options of a connection. Without effect on others than TCP.
func (o *slowUpstreams) apply(c net.Conn) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return // in-memory connections of tests
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { // if an option can't be set, that of the dialer stays
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.userTimeout.Milliseconds()))
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, o.writeBuffer)
		})
	}
}
