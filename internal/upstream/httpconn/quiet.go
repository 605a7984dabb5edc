package httpconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports whether an idle connection is open and has nothing to read: an
// idle connection with bytes or an end waiting can't carry a request.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true // connections of tests
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = peekErr == unix.EAGAIN
	})
	return err == nil && open
}
