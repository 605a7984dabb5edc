package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// withServer runs fn with a server over in-memory connections in virtual time.
func withServer(t *testing.T, fn func(*testing.T, *fakeDispatcher, *pipeListener)) {
	synctest.Test(t, func(t *testing.T) {
		h, f := newTestHandler(t)
		l := newPipeListener()
		server := &http.Server{Handler: h}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(l)
		}()
		fn(t, f, l)
		server.Close()
		<-done
		synctest.Wait()
	})
}

func newKeepAliveClient(l *pipeListener) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return l.dial(ctx) },
	}}
}

func post(t *testing.T, c *http.Client, service, body string) string {
	req, err := http.NewRequest(http.MethodPost, "http://entry/services/"+service+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := c.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(response)
}

// TestKeepAliveConnectionOutlivesWriteDeadline reuses a connection after the
// write deadline of its last event has passed. A deadline that is left set
// would fail the next response on that connection.
func TestKeepAliveConnectionOutlivesWriteDeadline(t *testing.T) {
	withServer(t, func(t *testing.T, f *fakeDispatcher, l *pipeListener) {
		f.generate = func(_ *dispatch.ModelRequest, sink dispatch.Sink) error {
			return sink.Event(dispatch.StreamSource{Engine: "e"}, upstream.Event{Text: "Light ", Finish: "stop"})
		}
		c := newKeepAliveClient(l)
		defer c.CloseIdleConnections()
		assert.Assert(t, strings.Contains(post(t, c, "lamp-bench", testPrompt), "[DONE]"))
		time.Sleep(2 * writeTimeout)
		buffered := strings.Replace(testPrompt, `"stream":true`, `"stream":false`, 1)
		assert.Assert(t, strings.Contains(post(t, c, "lamp-bench", buffered), "Light"))
		time.Sleep(2 * writeTimeout)
		assert.Assert(t, strings.Contains(post(t, c, "no-such-service", buffered), "not-run"))
	})
}

// TestCallerThatDoesNotReadTimesOut checks that a caller that never reads its
// response ends the request after writeTimeout.
func TestCallerThatDoesNotReadTimesOut(t *testing.T) {
	withServer(t, func(t *testing.T, f *fakeDispatcher, l *pipeListener) {
		ended := make(chan time.Duration, 1)
		f.generate = func(_ *dispatch.ModelRequest, sink dispatch.Sink) error {
			start := time.Now()
			var err error
			for err == nil {
				err = sink.Event(dispatch.StreamSource{Engine: "e"}, upstream.Event{Text: strings.Repeat("x", 4096)})
			}
			ended <- time.Since(start)
			return err
		}
		conn, err := l.dial(context.Background())
		assert.NilError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, request(testPrompt, len(testPrompt)))
		assert.NilError(t, err)
		assert.Assert(t, <-ended <= writeTimeout+time.Second)
	})
}

// TestCallerThatDoesNotSendTimesOut checks that a caller that stops sending in
// the middle of its request body is refused when bodyReadTimeout ends.
func TestCallerThatDoesNotSendTimesOut(t *testing.T) {
	withServer(t, func(t *testing.T, _ *fakeDispatcher, l *pipeListener) {
		conn, err := l.dial(context.Background())
		assert.NilError(t, err)
		defer conn.Close()
		start := time.Now()
		_, err = io.WriteString(conn, request(testPrompt[:5], len(testPrompt)))
		assert.NilError(t, err)
		response, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(response), "not-run"), string(response))
		assert.Assert(t, time.Since(start) <= bodyReadTimeout+time.Second)
	})
}

func TestBodiesAreBounded(t *testing.T) {
	h, f := newTestHandler(t)
	f.generate = func(*dispatch.ModelRequest, dispatch.Sink) error { return nil }
	b := &bodyBudget{}
	b.reservedBytes.Store(maxBufferedBodyBytes)
	r, err := http.NewRequest(http.MethodPost, "/", strings.NewReader("{}"))
	assert.NilError(t, err)
	_, _, err = b.read(nil, r, 1<<20)
	assert.ErrorContains(t, err, "too many large requests")
	assert.Equal(t, b.reservedBytes.Load(), int64(maxBufferedBodyBytes))
	for range 3 {
		send(h, http.MethodPost, "/services/lamp-bench/v1/chat/completions", http.Header{}, testPrompt)
	}
}

func request(body string, length int) string {
	return "POST /services/lamp-bench/v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + testKey +
		"\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n" + body
}
