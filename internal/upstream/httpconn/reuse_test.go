package httpconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/testseed"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// behaviour is how an upstream responds to one request.
type behaviour int

const (
	respondsWithLength behaviour = iota
	respondsChunked
	respondsUntilClose // without length; the end of the connection ends the response
	respondsThenCloses
	respondsTwice // the second response follows at once
	respondsTwiceLate
	respondsToAnotherFirst
	appendsStrayBytes
	truncatesHeaders
	truncatesBody
	closesWithoutResponse
	sendsInvalidHTTP
	behaviourCount
)

// recordedUpstream counts the runs of each request.
type recordedUpstream struct {
	mu         sync.Mutex
	runs       map[string]int
	behaviours map[string]behaviour
}

func (u *recordedUpstream) recordRun(id string) behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id]++
	return u.behaviours[id]
}

func responseBody(id string) string { return "response to " + id + strings.Repeat(".", 100) }

// serve handles the requests of one connection.
func (u *recordedUpstream) serve(_ int, conn net.Conn, r *bufio.Reader) {
	for {
		id, ok := readRequest(r)
		if !ok {
			return
		}
		body := responseBody(id)
		switch u.recordRun(id) {
		case respondsWithLength:
			respond(conn, id, body, "")
		case respondsChunked:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
		case respondsUntilClose:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", id, body)
			return
		case respondsThenCloses:
			respond(conn, id, body, "")
			return
		case respondsTwice:
			respond(conn, id, body, "")
			respond(conn, id, body, "")
		case respondsTwiceLate:
			respond(conn, id, body, "")
			time.Sleep(time.Millisecond)
			respond(conn, id, body, "")
		case respondsToAnotherFirst:
			respond(conn, "another", "not yours", "")
			respond(conn, id, body, "")
		case appendsStrayBytes:
			respond(conn, id, body, "")
			_, _ = io.WriteString(conn, "bytes of no response\r\n")
		case truncatesHeaders:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id)
			return
		case truncatesBody:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body[:20])
			return
		case closesWithoutResponse:
			return
		case sendsInvalidHTTP:
			_, _ = io.WriteString(conn, "\x00\x01 not an HTTP response\r\n\r\n")
		}
	}
}

// Whatever an upstream does with earlier requests on its connections, a request
// is sent at most once, its response is complete and belongs to it, and a
// request with the verdict not-run did not run.
func TestReusedConnectionsDoNotMixResponses(t *testing.T) {
	u := &recordedUpstream{runs: map[string]int{}, behaviours: map[string]behaviour{}}
	target, pool := newScriptedServer(t, u.serve)
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, int(behaviourCount)-1), 1, 8).Draw(t, "behaviours")
		concurrency := rapid.IntRange(1, 3).Draw(t, "concurrency")
		var wg sync.WaitGroup
		var mu sync.Mutex
		var faults []string
		slots := make(chan struct{}, concurrency)
		for _, b := range plan {
			n++
			id := fmt.Sprint("request-", n)
			u.mu.Lock()
			u.behaviours[id] = behaviour(b)
			u.mu.Unlock()
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				got, err := sendRequest(pool, target, id, "body")
				if fault := u.check(id, got, err); fault != "" {
					mu.Lock()
					faults = append(faults, fault)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		assert.Equal(t, strings.Join(faults, "\n"), "")
	})
	t.Logf("%d requests over %d connections", n, pool.OpenedConnections())
	assert.Assert(t, pool.OpenedConnections() < int64(n), "no connection was used twice")
}

// check returns what is wrong with the result of a request, "" if nothing is.
func (u *recordedUpstream) check(id, got string, err error) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	ran := u.runs[id]
	switch {
	case ran > 1:
		return fmt.Sprintf("%s was sent %d times", id, ran)
	case err == nil && got != responseBody(id):
		return fmt.Sprintf("%s got %q", id, got)
	case err != nil && ran > 0 && verdict.Of(err) == verdict.NotRun:
		return fmt.Sprintf("%s ran but has the verdict not-run: %v", id, err)
	}
	return ""
}
