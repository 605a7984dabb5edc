package httpconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isReusable reports whether an idle connection is open and has no pending input.
// One with unread bytes or an end of stream can't carry another request.
func isReusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true // in-memory connections of tests
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
