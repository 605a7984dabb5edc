package gateway

import "net"

// socketBufferBytes bounds the kernel's buffers of callers' connections where callers may read
// slowly; left alone they grow to several megabytes each. Linux takes twice as much, which is
// enough for 200 Mbit/s over 10 ms.
const socketBufferBytes = 128 << 10

// boundedListener is a listener whose connections have bounded buffers in the kernel.
type boundedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if c, ok := conn.(*net.TCPConn); ok && err == nil {
		// Without effect on a connection that has just ended.
		_ = c.SetReadBuffer(socketBufferBytes)
		_ = c.SetWriteBuffer(socketBufferBytes)
	}
	return conn, err
}

// bounded returns the network with listeners whose connections have bounded buffers.
func (n Network) bounded() Network {
	listen := n.Listen
	n.Listen = func(address string) (net.Listener, error) {
		l, err := listen(address)
		if err != nil {
			return nil, err
		}
		return boundedListener{l}, nil
	}
	return n
}
