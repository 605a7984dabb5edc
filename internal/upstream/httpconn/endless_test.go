package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	endlessTimeout = 5 * time.Second
	// fastBytes are written every fastPause, a single unit every slowPause.
	fastBytes = 64 << 10
	fastPause = 50 * time.Millisecond
	slowPause = 100 * time.Millisecond
)

// endlessUpstream responds to the request with ID "endless" with start and then
// repeats unit until its connection is closed. It serves all other requests.
type endlessUpstream struct {
	start, unit string
	slow        bool

	mu     sync.Mutex
	runs   map[string]int
	taken  int  // bytes of the endless response that were read
	closed bool // the connection of the endless response
	conns  []net.Conn
}

// dial makes an in-memory connection without a buffer, so that every byte taken
// was read by the pool.
func (u *endlessUpstream) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	u.mu.Lock()
	u.conns = append(u.conns, server)
	u.mu.Unlock()
	go u.serve(server)
	return client, nil
}

// stop closes all connections, so that the goroutines that serve them end.
func (u *endlessUpstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		c.Close()
	}
}

func (u *endlessUpstream) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		id, ok := readRequest(r)
		if !ok {
			return
		}
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
		if id == "endless" {
			u.sendEndless(conn)
			return
		}
		respond(conn, id, "response to "+id, "")
	}
}

func (u *endlessUpstream) sendEndless(conn net.Conn) {
	repeated, pause := u.unit, slowPause
	if !u.slow {
		repeated, pause = strings.Repeat(u.unit, fastBytes/len(u.unit)), fastPause
	}
	for text := u.start + repeated; ; text = repeated {
		n, err := io.WriteString(conn, text)
		u.mu.Lock()
		u.taken += n
		u.closed = err != nil
		u.mu.Unlock()
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// state returns how many bytes of the endless response were read and whether its
// connection is closed.
func (u *endlessUpstream) state() (taken int, closed bool) {
	time.Sleep(2 * slowPause) // the next write finds a closed connection
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.taken, u.closed
}

// onEndlessUpstream runs a test in virtual time for a fast and a slow upstream,
// on a new connection and on a reused one. Afterwards the endless connection must
// be closed, and other requests must get their own responses.
func onEndlessUpstream(t *testing.T, start, unit string, test func(t *testing.T, u *endlessUpstream, pool *Pool)) {
	for name, reused := range map[string]bool{"new": false, "reused": true} {
		for speed, slow := range map[string]bool{"fast": false, "slow": true} {
			t.Run(name+" "+speed, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					u := &endlessUpstream{start: start, unit: unit, slow: slow, runs: map[string]int{}}
					pool := NewPool(u.dial)
					defer time.Sleep(2 * slowPause)
					defer u.stop()
					defer pool.Close()
					if reused {
						_, err := sendRequest(pool, Target{ID: "u"}, "first", "")
						assert.NilError(t, err)
					}
					test(t, u, pool)
					_, closed := u.state()
					assert.Assert(t, closed, "the connection is still open")
					got, err := sendRequest(pool, Target{ID: "u"}, "next", "")
					assert.NilError(t, err)
					assert.Equal(t, got, "response to next")
					assert.Equal(t, pool.OpenedConnections(), int64(2))
					assert.Equal(t, u.runs["endless"], 1)
				})
			})
		}
	}
}

// doEndless sends the request with ID "endless", whose deadline is endlessTimeout
// away, and returns the response with the time from the request on.
func doEndless(t *testing.T, pool *Pool) (*Response, func() time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	t.Cleanup(cancel)
	start := time.Now()
	resp, err := pool.Do(ctx, Target{ID: "u"}, &Request{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {"endless"}},
		MatchesResponse: func(r *http.Response) bool { return r.Header.Get("Id") != "another" },
	})
	return resp, func() time.Duration { return time.Since(start) }, err
}

// An upstream that sends a head without end must not fill the memory until the
// deadline, nor delay a retry until then.
func TestEndlessHeadIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ start, unit string }{
		"status line":             {"HTTP/1.1 200 ", "x"},
		"no answer":               {"", "\x00\x01"},
		"empty line":              {"\r\n", "x"},
		"header name":             {"HTTP/1.1 200 OK\r\n", "x"},
		"header line":             {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
		"header lines":            {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"continued header line":   {"HTTP/1.1 200 OK\r\nX-A: b\r\n", " c\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"informational response":  {"HTTP/1.1 100 Continue\r\n", "X-A: b\r\n"},
		"responses to others":     {"", "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 1\r\n\r\nx"},
		"long answer to another":  {"HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 9223372036854775807\r\n\r\n", "x"},
		"chunks to another":       {"HTTP/1.1 200 OK\r\nId: another\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n"},
		"head after another":      {"HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			onEndlessUpstream(t, c.start, c.unit, func(t *testing.T, u *endlessUpstream, pool *Pool) {
				_, elapsed, err := doEndless(t, pool)
				assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
				assert.Assert(t, err != nil)
				assert.Assert(t, elapsed() <= endlessTimeout, "ended after %s", elapsed())
				if !u.slow {
					assert.Assert(t, elapsed() < 10*fastPause, "ended after %s: %v", elapsed(), err)
				}
				taken, _ := u.state()
				assert.Assert(t, taken <= maxHeadBytes+readBufferBytes, "%d bytes read", taken)
			})
		})
	}
}

// Bytes without end in a body are bounded by the reader's pace and the deadline;
// those that can't be part of a body end it at once. None of these bodies is
// complete, and bytes after a complete one belong to no request.
func TestEndlessBodyIsBounded(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	for name, c := range map[string]struct {
		start, unit string
		end         error // io.EOF, context.DeadlineExceeded, or nil for an error before the deadline
		body        string
	}{
		"after the length":      {head + "Content-Length: 5\r\n\r\nwhole", "x", io.EOF, "whole"},
		"after no content":      {"HTTP/1.1 204 No Content\r\n\r\n", "x", io.EOF, ""},
		"after the last chunk":  {chunked + "5\r\nwhole\r\n0\r\n\r\n", "x", io.EOF, "whole"},
		"answers after another": {head + "Content-Length: 5\r\n\r\nwhole", head + "Content-Length: 4\r\n\r\njunk", io.EOF, "whole"},
		"no length":             {head + "\r\n", "x", context.DeadlineExceeded, ""},
		"huge length":           {head + "Content-Length: 9223372036854775807\r\n\r\n", "x", context.DeadlineExceeded, ""},
		"chunks":                {chunked, "5\r\nwhole\r\n", context.DeadlineExceeded, ""},
		"chunk":                 {chunked + "fffffffffffffff\r\n", "x", context.DeadlineExceeded, ""},
		"chunk-size line":       {chunked, "0", nil, ""},
		"chunk extension":       {chunked + "5;a=", "x", nil, ""},
		"chunk extensions":      {chunked, "1;a=" + strings.Repeat("x", 60) + "\r\nx\r\n", nil, ""},
		"after a chunk":         {chunked + "5\r\nwhole", "x", nil, ""},
		"trailer line":          {chunked + "5\r\nwhole\r\n0\r\nX-A: ", "x", nil, ""},
		"trailer lines":         {chunked + "5\r\nwhole\r\n0\r\n", "X-A: b\r\n", nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			onEndlessUpstream(t, c.start, c.unit, func(t *testing.T, u *endlessUpstream, pool *Pool) {
				resp, elapsed, err := doEndless(t, pool)
				assert.NilError(t, err)
				defer resp.Body.Close()
				var body strings.Builder
				_, err = io.Copy(&body, resp.Body)
				taken, _ := u.state()
				switch c.end {
				case io.EOF:
					assert.NilError(t, err)
					assert.Equal(t, body.String(), c.body)
					assert.Assert(t, taken <= len(c.start)+readBufferBytes, "%d bytes read", taken)
				case nil:
					assert.Assert(t, err != nil && !errors.Is(err, io.EOF))
					if !u.slow {
						assert.Assert(t, taken <= maxHeadBytes, "%d bytes read", taken)
					}
				default:
					assert.Assert(t, err != nil && !errors.Is(err, io.EOF))
				}
				assert.Assert(t, elapsed() <= endlessTimeout+4*slowPause, "ended after %s", elapsed())
			})
		})
	}
}

// A caller that stops reading an endless body holds no more of it than one buffer.
func TestUnreadEndlessBodyIsNotBuffered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	onEndlessUpstream(t, head, "x", func(t *testing.T, u *endlessUpstream, pool *Pool) {
		resp, _, err := doEndless(t, pool)
		assert.NilError(t, err)
		time.Sleep(endlessTimeout / 2)
		taken, closed := u.state()
		assert.Assert(t, taken <= len(head)+readBufferBytes, "%d bytes read", taken)
		assert.Assert(t, !closed)
		resp.Body.Close()
	})
}

// unaskedBytes are repeated on a connection after its first response.
var unaskedBytes = map[string]string{
	"no answer":         "\x00\x01",
	"answer to another": "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 4\r\n\r\njunk",
	"status line":       "HTTP/1.1 200 ",
	"informational":     "HTTP/1.1 100 Continue\r\n\r\n",
}

// A kept connection on which bytes without end arrived carries no other request and is
// closed when the next request looks for a connection.
func TestEndlessBytesPreventReuse(t *testing.T) {
	for name, unit := range unaskedBytes {
		t.Run(name, func(t *testing.T) {
			responded, closed := make(chan struct{}), make(chan struct{})
			target, pool := newScriptedServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
				for {
					id, ok := readRequest(r)
					if !ok {
						return
					}
					respond(conn, id, "response to "+id, "")
					if n > 1 {
						continue
					}
					<-responded
					for {
						if _, err := io.WriteString(conn, strings.Repeat(unit, 1000)); err != nil {
							close(closed)
							return
						}
					}
				}
			})
			_, err := sendRequest(pool, target, "first", "")
			assert.NilError(t, err)
			idle := pool.idle[target.ID][0]
			close(responded)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if isReusable(idle.Conn) {
					return poll.Continue("the bytes have not arrived")
				}
				return poll.Success()
			})
			for _, id := range []string{"a", "b"} {
				got, err := sendRequest(pool, target, id, "")
				assert.NilError(t, err)
				assert.Equal(t, got, "response to "+id)
			}
			<-closed
			assert.Equal(t, pool.OpenedConnections(), int64(2))
		})
	}
}

// serveUnasked responds to the first request and then repeats unit without end, while it
// reads on. It sends what it wrote and read before the connection was closed to ended.
func serveUnasked(conn net.Conn, unit string, ended chan<- [2]int) {
	r := bufio.NewReader(conn)
	id, _ := readRequest(r)
	respond(conn, id, "response to "+id, "")
	var written, requests int
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			n, err := io.WriteString(conn, strings.Repeat(unit, fastBytes/len(unit)))
			written += n
			if err != nil {
				return
			}
			time.Sleep(fastPause)
		}
	})
	for {
		if _, ok := readRequest(r); !ok {
			break
		}
		requests++
	}
	wg.Wait()
	ended <- [2]int{written, requests}
}

// A request that crosses bytes without end on a kept connection may have run; it ends at
// once, and the next request uses another connection.
func TestEndlessBytesCrossRequest(t *testing.T) {
	for name, unit := range unaskedBytes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := make(chan [2]int, 1)
				other := &endlessUpstream{runs: map[string]int{}}
				pool := NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
					if ended == nil {
						return other.dial(ctx, network, address)
					}
					client, server := net.Pipe()
					go serveUnasked(server, unit, ended)
					return client, nil
				})
				defer other.stop()
				defer pool.Close()
				_, err := sendRequest(pool, Target{ID: "u"}, "first", "")
				assert.NilError(t, err)
				start := time.Now()
				_, err = sendRequest(pool, Target{ID: "u"}, "crossing", "")
				assert.Assert(t, err != nil)
				assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
				assert.Assert(t, time.Since(start) < 10*fastPause, "ended after %s", time.Since(start))
				counts := <-ended
				assert.Assert(t, counts[0] <= maxHeadBytes+readBufferBytes, "%d bytes read", counts[0])
				assert.Equal(t, counts[1], 1)
				ended = nil
				got, err := sendRequest(pool, Target{ID: "u"}, "next", "")
				assert.NilError(t, err)
				assert.Equal(t, got, "response to next")
			})
		})
	}
}

// A kept connection that no request uses again must be closed once its idle timeout has
// passed, and nothing that arrives on it meanwhile is read.
func TestIdleConnectionIsClosedAtItsTimeout(t *testing.T) {
	for name, unit := range unaskedBytes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := make(chan [2]int, 1)
				pool := NewPool(func(context.Context, string, string) (net.Conn, error) {
					client, server := net.Pipe()
					go serveUnasked(server, unit, ended)
					return client, nil
				})
				_, err := sendRequest(pool, Target{ID: "u"}, "first", "")
				assert.NilError(t, err)
				time.Sleep(defaultIdleTimeout + time.Millisecond)
				synctest.Wait()
				open := len(pool.idle["u"])
				pool.Close()
				assert.DeepEqual(t, <-ended, [2]int{0, 0})
				assert.Equal(t, open, 0, "connections are kept after their idle timeout")
			})
		})
	}
}
