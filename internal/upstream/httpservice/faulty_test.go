package httpservice

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// callScripted makes a call to a service that answers with text and closes the connection.
func callScripted(text string) (*upstream.Reply, error) {
	c := New(func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			r, err := http.ReadRequest(bufio.NewReader(server))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(server, text)
		}()
		return client, nil
	})
	return c.Do(context.Background(), "service:80", &upstream.Call{RequestID: "c", Method: http.MethodPost, Path: "/orders", Body: []byte("{}"), Timeout: time.Minute})
}

// A reply that breaks off after any of its bytes is no reply, and its call may have run.
// TestCallIsSentOnce has the framing by length.
func TestCutReplyIsNoReply(t *testing.T) {
	const (
		head       = "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\n"
		chunked    = head + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
		connection = head + "\r\n" // a shorter body looks whole
	)
	for _, text := range []string{chunked, connection} {
		for cut := range len(text) {
			reply, err := callScripted(text[:cut])
			assert.Assert(t, err != nil, "%v looks complete after %q", reply, text[:cut])
			assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		}
		_, err := callScripted(text)
		assert.NilError(t, err)
	}
}

// A refusal of another call, in any framing, does not give a call the verdict not-run.
func TestRefusalOfAnotherCallMayHaveRun(t *testing.T) {
	for _, framing := range []string{"Content-Length: 2\r\n\r\nno", "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", "\r\nno"} {
		for _, header := range []string{HeaderNotRun + ": earlier\r\n", HeaderNotRun + ": 1\r\n", ""} {
			reply, err := callScripted("HTTP/1.1 503 Service Unavailable\r\n" + header + framing)
			assert.NilError(t, err)
			assert.Equal(t, reply.Status, http.StatusServiceUnavailable)
		}
		_, err := callScripted("HTTP/1.1 503 Service Unavailable\r\n" + HeaderNotRun + ": c\r\n" + framing)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
	}
}
