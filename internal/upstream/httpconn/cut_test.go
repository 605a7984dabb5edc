package httpconn

import (
	"bufio"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

// A response that the upstream breaks off after any of its bytes is not complete, and its
// request may have run. In order, the end of the connection ends a body only if the head
// states no length.
func TestResponseCutAtEveryByteIsNotComplete(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=12\r\n"
		body = "all of it"
	)
	for name, x := range map[string]struct{ head, body string }{
		"length":     {head + "Content-Length: 09\r\n\r\n", body},
		"chunks":     {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nall \r\n5\r\nof it\r\n0\r\n\r\n"},
		"trailer":    {head + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n", "9\r\nall of it\r\n0\r\nX-End: 1\r\n\r\n"},
		"connection": {head + "\r\n", body},
	} {
		for _, reset := range []bool{false, true} {
			text := x.head + x.body
			end := len(text)
			switch {
			case name == "connection" && !reset:
				end = len(x.head) // a shorter body looks whole
			case name == "connection":
				end++ // the reset comes after the whole body
			}
			for cut := range end {
				target, pool := newScriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					if _, ok := readRequest(r); !ok {
						return
					}
					_, _ = io.WriteString(conn, text[:cut])
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				})
				got, err := sendRequest(pool, target, "a", "body")
				assert.Assert(t, err != nil, "%s, reset %v: %q looks complete after %q", name, reset, got, text[:cut])
				if got == "" {
					assert.Assert(t, verdict.Of(err) != verdict.NotRun, "%v", err)
				}
			}
		}
	}
}
