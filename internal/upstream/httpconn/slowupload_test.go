package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An upstream that reads nothing of a body for longer than the time in which sent bytes must be
// acknowledged lost the connection: with its window closed, the kernel takes it for dead.
func TestBodyOutlastsPauseOfItsReader(t *testing.T) {
	const userTimeout = 300 * time.Millisecond
	target, _ := newScriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		time.Sleep(5 * userTimeout)
		if _, ok := readRequest(r); ok {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := NewPool(Dialer{Timeout: time.Second, UserTimeout: userTimeout}.DialContext)
	defer pool.Close()
	pool.SetSlowUpstreams(time.Minute, 64<<10)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	resp, err := pool.Do(ctx, target, &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20)})
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
}
