package httpservice

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// countingNetwork counts the calls that a service read. The service sends the
// first replyBytes bytes of its reply, and closes the connection if that is not all.
type countingNetwork struct {
	mu         sync.Mutex
	runs       map[string]int
	replyBytes int
}

const wholeReply = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok"

func (n *countingNetwork) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go n.serve(server)
	return client, nil
}

func (n *countingNetwork) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		n.mu.Lock()
		n.runs[req.Header.Get(HeaderRequestID)]++
		bytes := n.replyBytes
		n.mu.Unlock()
		if _, err := io.WriteString(conn, wholeReply[:bytes]); err != nil || bytes < len(wholeReply) {
			return
		}
	}
}

func (n *countingNetwork) setReplyBytes(bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replyBytes = bytes
}

// TestCallIsSentOnce truncates the reply after each of its bytes, for calls that
// net/http would retry on a reused connection. Each must reach the service once.
func TestCallIsSentOnce(t *testing.T) {
	n := &countingNetwork{runs: map[string]int{}}
	c := New(n.dial)
	calls := []upstream.Call{
		{Method: http.MethodGet}, {Method: http.MethodPost, IdempotencyKey: "k"}, {Method: http.MethodPost, IdempotencyKey: "k", Body: []byte("{}")},
	}
	id := 0
	for bytes := range len(wholeReply) + 1 {
		for _, call := range calls {
			n.setReplyBytes(len(wholeReply)) // net/http would keep this connection
			_, err := c.Do(context.Background(), "service:80", &upstream.Call{RequestID: "first", Method: http.MethodGet, Path: "/", Timeout: time.Minute})
			assert.NilError(t, err)
			n.setReplyBytes(bytes)
			id++
			call.RequestID, call.Path, call.Timeout = strconv.Itoa(id), "/orders", time.Minute
			reply, err := c.Do(context.Background(), "service:80", &call)
			n.mu.Lock()
			assert.Equal(t, n.runs[call.RequestID], 1)
			n.mu.Unlock()
			if bytes == len(wholeReply) {
				assert.NilError(t, err)
				assert.Equal(t, string(reply.Body), "ok")
				continue
			}
			assert.Equal(t, verdict.Of(err), verdict.MayHaveRun, "reply truncated after %d bytes", bytes)
		}
	}
}
