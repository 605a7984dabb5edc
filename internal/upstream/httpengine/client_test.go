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

const cutEvents = 3

// cutNetwork gives in-memory connections to one server. The connection in
// force is cut when a number of bytes of answers has come through it.
type cutNetwork struct {
	mu    sync.Mutex
	limit int // bytes of answers that still come; negative for no limit
	// keep frames answers by their length, so that connections are reused;
	// else an answer lasts until the connection ends.
	keep  bool
	dials int
	asked map[string]int // requests that the server read, by id
}

func (n *cutNetwork) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	n.mu.Lock()
	n.dials++
	n.mu.Unlock()
	go n.serve(server)
	return &cutConn{Conn: client, n: n}, nil
}

// cutConn fails when the network's limit is used up.
type cutConn struct {
	net.Conn
	n *cutNetwork
}

// Read implements net.Conn.
func (c *cutConn) Read(b []byte) (int, error) {
	c.n.mu.Lock()
	limit := c.n.limit
	c.n.mu.Unlock()
	if limit == 0 {
		c.Close()
		return 0, io.EOF
	}
	if limit > 0 {
		b = b[:min(len(b), limit)]
	}
	k, err := c.Conn.Read(b)
	if limit > 0 {
		c.n.mu.Lock()
		c.n.limit -= k
		c.n.mu.Unlock()
	}
	return k, err
}

// serve answers requests by hand, so that every byte is known.
func (n *cutNetwork) serve(conn net.Conn) {
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
		n.asked[id]++
		n.mu.Unlock()
		if _, err := io.WriteString(conn, cutAnswer(id, n.keep)); err != nil || !n.keep {
			return
		}
	}
}

func cutAnswer(id string, keep bool) string {
	body := ""
	for i := range cutEvents {
		finish := "null"
		if i == cutEvents-1 {
			finish = `"stop"`
		}
		body += fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d\"},\"finish_reason\":%s}]}\n\n", i, i, finish)
	}
	body += "data: [DONE]\n\n"
	framing := "Connection: close"
	if keep {
		framing = "Content-Length: " + strconv.Itoa(len(body))
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: i\r\n%s: s\r\n%s\r\n\r\n%s",
		HeaderRequestID, id, HeaderIncarnation, HeaderStreamID, framing, body)
}

// read returns the words of an answer and the error that ended it.
func read(c *Client, id string) (words []string, err error) {
	stream, err := c.Generate(context.Background(), "engine:80", &upstream.Generation{RequestID: id, Messages: []upstream.Message{{Content: "x"}}})
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

// TestCutAtEveryByte cuts the answer after each of its bytes, on a new
// connection and on a reused one.
func TestCutAtEveryByte(t *testing.T) {
	for _, reused := range []bool{false, true} {
		for limit := range len(cutAnswer("r", reused)) {
			n := &cutNetwork{limit: -1, keep: reused, asked: map[string]int{}}
			c := New(n.dial)
			if reused {
				_, err := read(c, "first")
				assert.NilError(t, err)
			}
			n.mu.Lock()
			n.limit = limit
			n.mu.Unlock()
			words, err := read(c, "r")
			n.mu.Lock()
			asked := n.asked["r"]
			n.mu.Unlock()
			assert.Assert(t, asked <= 1, "sent %d times, cut at %d, reused %v", asked, limit, reused)
			for i, w := range words {
				assert.Equal(t, w, "w"+strconv.Itoa(i))
			}
			if len(words) < cutEvents {
				assert.Assert(t, err != nil, "cut at %d ended silently", limit)
			}
			if err != nil && asked > 0 {
				assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
			}
			c.Close()
		}
	}
}

// TestTransportNeverReplays closes connections at the moments at which
// net/http would send a request again by itself.
func TestTransportNeverReplays(t *testing.T) {
	for _, closing := range []string{"before the request", "after the request"} {
		n := &closingNetwork{asked: map[string]int{}, early: closing == "before the request"}
		c := New(n.dial)
		_, err := read(c, "first")
		assert.NilError(t, err)
		for i := range 20 {
			id := "r" + strconv.Itoa(i)
			_, err := read(c, id)
			n.mu.Lock()
			asked := n.asked[id]
			n.mu.Unlock()
			assert.Assert(t, asked <= 1, "%s sent %d times, closed %s", id, asked, closing)
			assert.Assert(t, asked == 0 || err == nil || verdict.Of(err) != verdict.NotRun)
		}
		c.Close()
	}
}

// closingNetwork closes each connection at its second request.
type closingNetwork struct {
	mu    sync.Mutex
	asked map[string]int
	early bool // closes without reading the request
}

func (n *closingNetwork) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go n.serve(server)
	return client, nil
}

func (n *closingNetwork) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for answered := 0; ; answered++ {
		if _, err := r.Peek(1); err != nil || answered > 0 && n.early {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(HeaderRequestID)
		n.mu.Lock()
		n.asked[id]++
		n.mu.Unlock()
		if answered > 0 {
			return
		}
		if _, err := io.WriteString(conn, cutAnswer(id, true)); err != nil {
			return
		}
	}
}

// TestRefusalMustNameItsRequest checks that a refusal meant for another
// request is no proof that this one did not run.
func TestRefusalMustNameItsRequest(t *testing.T) {
	for _, named := range []string{"r", "other", ""} {
		c := New(refuser(named))
		_, err := read(c, "r")
		want := verdict.MayHaveRun
		if named == "r" {
			want = verdict.NotRun
		}
		assert.Equal(t, verdict.Of(err), want, "refusal that names %q", named)
		c.Close()
	}
}

func refuser(named string) func(context.Context, string, string) (net.Conn, error) {
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
			_, _ = fmt.Fprintf(server, "HTTP/1.1 429 Too Many Requests\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, named, len(body), body)
		}()
		return client, nil
	}
}
