package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
)

// tcpUpstream accepts connections and passes each, after the head of its request, to respond.
// It returns its dial function and how many requests it got.
func tcpUpstream(t *testing.T, respond func(conn *net.TCPConn, id string)) (func(context.Context, string, string) (net.Conn, error), *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
				id := ""
				for head := bufio.NewReaderSize(conn, 16); ; {
					line, err := head.ReadString('\n')
					if err != nil {
						return
					}
					if v, ok := strings.CutPrefix(line, "Id: "); ok {
						id = strings.TrimSpace(v)
					}
					if line == "\r\n" {
						break
					}
				}
				requests.Add(1)
				respond(conn.(*net.TCPConn), id)
			}()
		}
	}()
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, listener.Addr().String())
	}, &requests
}

// upload sends a request to a daemon, in chunks or with its length, and returns the status and
// body of the response, and an error if that is not complete.
func upload(t *testing.T, url, path string, size int, chunked bool) (status int, body string, err error) {
	var source io.Reader = strings.NewReader(strings.Repeat("x", size))
	if chunked {
		source = io.MultiReader(source)
	}
	r, err := http.NewRequest(http.MethodPost, url+path, source)
	assert.NilError(t, err)
	r.Host = "host"
	r.Header.Set("Id", "request-1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err
}

const uploadBytes = 8 << 20 // more than the sockets buffer

// forEachUpload runs a test for all kinds of routes, and for uploads of all kinds.
func forEachUpload(t *testing.T, respond func(conn *net.TCPConn, id string), check func(t *testing.T, path string, status int, body string, err error, requests int64)) {
	for _, path := range []string{"/unsafe/1", "/safe/1", "/stream/1"} {
		for _, size := range []int{1, 8 << 10, uploadBytes} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %d bytes, chunked %v", path, size, chunked), func(t *testing.T) {
					t.Parallel()
					dial, requests := tcpUpstream(t, respond)
					f, closeAll := newForwarderOver(t, eventlog.Discard(), dial)
					f.Headers, f.bodyMemory.limit = patientCodec{}, 0
					defer closeAll()
					daemon := httptest.NewServer(f)
					defer daemon.Close()
					status, body, err := upload(t, daemon.URL, path, size, chunked)
					check(t, path, status, body, err, requests.Load())
				})
			}
		}
	}
}

// checkNoAnswer checks that the caller got no response that looks like the upstream's.
func checkNoAnswer(t *testing.T, path string, status int, body string, err error, requests int64) {
	assert.Check(t, err != nil || status == http.StatusBadGateway, "status %d with a body of %d bytes looks complete", status, len(body))
	most := map[string]int64{"/safe/1": 2}[path]
	assert.Check(t, requests >= 1 && requests <= max(1, most), "%d requests", requests)
}

// An upstream that answered a long upload at once, without a length, and reset the connection
// while the upload was written: the failed write took the error of the connection, the response
// seemed to end in order, and callers took the part of it for the whole.
func TestResponseResetDuringUploadIsNotComplete(t *testing.T) {
	for name, response := range map[string]string{
		"body":            "Content-Type: text/plain\r\n\r\npart of it",
		"event stream":    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: token\n\n",
		"nothing of it":   "Content-Type: text/plain\r\n\r\n",
		"more than whole": "Content-Type: text/plain\r\n\r\n" + strings.Repeat("x", 2*maxBufferedBodyBytes),
	} {
		for _, wait := range []time.Duration{0, 50 * time.Millisecond} { // the daemon has begun to read the response
			t.Run(fmt.Sprintf("%s/%s", name, wait), func(t *testing.T) {
				t.Parallel()
				forEachUpload(t, func(conn *net.TCPConn, id string) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+response)
					time.Sleep(wait)
					_ = conn.SetLinger(0)
				}, checkNoAnswer)
			})
		}
	}
}

// A status that HTTP does not have is no answer, whatever the request is and however the
// response ends.
func TestStatus000IsNoAnswer(t *testing.T) {
	for name, rest := range map[string]string{
		"length":     "Content-Length: 2\r\n\r\nok",
		"connection": "\r\nok",
		"chunks":     "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"events":     "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: token\n\n",
		"no body":    "Content-Length: 0\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				forEachUpload(t, func(conn *net.TCPConn, id string) {
					_, _ = io.WriteString(conn, "HTTP/1.1 000 Unknown\r\nId: "+id+"\r\n"+rest)
					if reset {
						_ = conn.SetLinger(0)
					}
				}, checkNoAnswer)
			})
		}
	}
}

// A complete early response, such as one that rejects a body for its size, is relayed although
// the upload is not complete, also when only the end of the connection delimits it.
func TestEarlyResponseIsRelayed(t *testing.T) {
	for name, rest := range map[string]string{"length": "Content-Length: 8\r\n\r\ntoo long", "connection": "\r\ntoo long"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachUpload(t, func(conn *net.TCPConn, id string) {
				_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Long\r\nConnection: close\r\nId: "+id+"\r\n"+rest)
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, conn) // a server that lets its client see the response reads on
			}, func(t *testing.T, _ string, status int, body string, err error, requests int64) {
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusRequestEntityTooLarge)
				assert.Equal(t, body, "too long")
				assert.Equal(t, requests, int64(1))
			})
		})
	}
}
