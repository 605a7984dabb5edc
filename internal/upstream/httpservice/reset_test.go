package httpservice

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Guards against a part of a response that is taken for the whole because the write of a long
// body got the error of the connection that the service reset.
func TestResponseResetDuringUploadIsNotComplete(t *testing.T) {
	for range 10 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 512))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of it")
			time.Sleep(20 * time.Millisecond) // the client is blocked in its write
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}()
		call := &upstream.Call{RequestID: "r", Method: http.MethodPost, Path: "/", Body: make([]byte, 16<<20), Timeout: 10 * time.Second}
		reply, err := New(nil).Do(t.Context(), listener.Addr().String(), call)
		assert.Assert(t, err != nil, "%+v looks complete", reply)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		listener.Close()
	}
}

// Guards against a status that HTTP does not have and that is passed on as a reply: writing it
// to the caller panics, and its record would do so again for each repeated call.
func TestStatus000IsNoReply(t *testing.T) {
	for _, status := range []string{"000", "020", "600", "999"} {
		for _, rest := range []string{"\r\nok", "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Unknown\r\n"+rest)
			}()
			call := &upstream.Call{RequestID: "r", Method: http.MethodPost, Path: "/", Body: []byte("{}"), Timeout: 10 * time.Second}
			reply, err := New(nil).Do(t.Context(), listener.Addr().String(), call)
			assert.Assert(t, err != nil, "status %s: %+v is a reply", status, reply)
			assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
			listener.Close()
		}
	}
}
