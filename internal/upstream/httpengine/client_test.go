package httpengine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const eventCount = 3

// truncatingNetwork makes in-memory connections to one server and closes the
// current one after a given number of response bytes.
type truncatingNetwork struct {
	mu             sync.Mutex
	remainingBytes int // response bytes until the connection is closed; negative for no limit
	// keepAlive sends responses with Content-Length, so that connections are
	// reused; otherwise the end of the connection ends a response.
	keepAlive bool
	dials     int
	requests  map[string]int // number of requests that the server read, by request ID
}

func (n *truncatingNetwork) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	n.mu.Lock()
	n.dials++
	n.mu.Unlock()
	go n.serve(server)
	return &truncatingConn{Conn: client, network: n}, nil
}

// truncatingConn closes when the network's remainingBytes reach 0.
type truncatingConn struct {
	net.Conn
	network *truncatingNetwork
}

// Read implements net.Conn.
func (c *truncatingConn) Read(b []byte) (int, error) {
	c.network.mu.Lock()
	limit := c.network.remainingBytes
	c.network.mu.Unlock()
	if limit == 0 {
		c.Close()
		return 0, io.EOF
	}
	if limit > 0 {
		b = b[:min(len(b), limit)]
	}
	k, err := c.Conn.Read(b)
	if limit > 0 {
		c.network.mu.Lock()
		c.network.remainingBytes -= k
		c.network.mu.Unlock()
	}
	return k, err
}

// serve writes responses without net/http, so that the test knows every byte.
func (n *truncatingNetwork) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(HeaderRequestID)
		n.mu.Lock()
		n.requests[id]++
		n.mu.Unlock()
		if _, err := io.WriteString(conn, responseText(id, n.keepAlive)); err != nil || !n.keepAlive {
			return
		}
	}
}

func responseText(id string, keepAlive bool) string {
	body := ""
	for i := range eventCount {
		finish := "null"
		if i == eventCount-1 {
			finish = `"stop"`
		}
		body += fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d\"},\"finish_reason\":%s}]}\n\n", i, i, finish)
	}
	body += "data: [DONE]\n\n"
	framing := "Connection: close"
	if keepAlive {
		framing = "Content-Length: " + strconv.Itoa(len(body))
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: i\r\n%s: s\r\n%s\r\n\r\n%s",
		HeaderRequestID, id, HeaderIncarnation, HeaderStreamID, framing, body)
}

// read returns the text of each event of a response and the error that ended it.
func read(c *Client, id string) (words []string, err error) {
	stream, err := c.Generate(context.Background(), "engine:80", &upstream.GenerateRequest{RequestID: id, Messages: []upstream.Message{{Content: "x"}}})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	for {
		e, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return words, nil
		}
		if err != nil {
			return words, err
		}
		words = append(words, e.Text)
	}
}

// TestTruncationAtEveryByte truncates the response after each of its bytes, on a
// new connection and on a reused one. The request must be sent at most once, and
// a truncated stream must end with an error.
func TestTruncationAtEveryByte(t *testing.T) {
	for _, reused := range []bool{false, true} {
		for limit := range len(responseText("r", reused)) {
			n := &truncatingNetwork{remainingBytes: -1, keepAlive: reused, requests: map[string]int{}}
			c := New(n.dial)
			if reused {
				_, err := read(c, "first")
				assert.NilError(t, err)
			}
			n.mu.Lock()
			n.remainingBytes = limit
			n.mu.Unlock()
			words, err := read(c, "r")
			n.mu.Lock()
			sent := n.requests["r"]
			n.mu.Unlock()
			assert.Assert(t, sent <= 1, "sent %d times, truncated after %d bytes, reused %v", sent, limit, reused)
			for i, w := range words {
				assert.Equal(t, w, "w"+strconv.Itoa(i))
			}
			if len(words) < eventCount {
				assert.Assert(t, err != nil, "truncated after %d bytes, but no error", limit)
			}
			if err != nil && sent > 0 {
				assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
			}
			c.Close()
		}
	}
}

// TestTransportNeverReplays closes connections at the points where net/http
// would retry a request automatically.
func TestTransportNeverReplays(t *testing.T) {
	for _, closing := range []string{"before the request", "after the request"} {
		n := &closingNetwork{requests: map[string]int{}, beforeRequest: closing == "before the request"}
		c := New(n.dial)
		_, err := read(c, "first")
		assert.NilError(t, err)
		for i := range 20 {
			id := "r" + strconv.Itoa(i)
			_, err := read(c, id)
			n.mu.Lock()
			sent := n.requests[id]
			n.mu.Unlock()
			assert.Assert(t, sent <= 1, "%s sent %d times, closed %s", id, sent, closing)
			assert.Assert(t, sent == 0 || err == nil || verdict.Of(err) != verdict.NotRun)
		}
		c.Close()
	}
}

// closingNetwork closes each connection at its second request.
type closingNetwork struct {
	mu            sync.Mutex
	requests      map[string]int
	beforeRequest bool // close without reading the request
}

func (n *closingNetwork) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go n.serve(server)
	return client, nil
}

func (n *closingNetwork) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for served := 0; ; served++ {
		if _, err := r.Peek(1); err != nil || served > 0 && n.beforeRequest {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(HeaderRequestID)
		n.mu.Lock()
		n.requests[id]++
		n.mu.Unlock()
		if served > 0 {
			return
		}
		if _, err := io.WriteString(conn, responseText(id, true)); err != nil {
			return
		}
	}
}

// TestRefusalMustNameItsRequest checks that a refusal of another request does
// not give this one the verdict not-run.
func TestRefusalMustNameItsRequest(t *testing.T) {
	for _, named := range []string{"r", "other", ""} {
		c := New(dialRefusingEngine(named))
		_, err := read(c, "r")
		want := verdict.MayHaveRun
		if named == "r" {
			want = verdict.NotRun
		}
		assert.Equal(t, verdict.Of(err), want, "refusal that names %q", named)
		c.Close()
	}
}

func dialRefusingEngine(requestID string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			req, err := http.ReadRequest(bufio.NewReader(server))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			body := `{"code":"overloaded"}`
			_, _ = fmt.Fprintf(server, "HTTP/1.1 429 Too Many Requests\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, requestID, len(body), body)
		}()
		return client, nil
	}
}
