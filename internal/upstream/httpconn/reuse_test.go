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

// manner is how an upstream treats one request.
type manner int

const (
	serves manner = iota
	servesChunked
	servesToTheEnd // without length; the end of the connection ends the answer
	servesAndCloses
	servesTwice // the second answer comes at once
	servesTwiceLate
	answersAnotherFirst
	addsBytes
	breaksHead
	breaksBody
	saysNothing
	talksNonsense
	manners
)

// recordedUpstream counts what ran.
type recordedUpstream struct {
	mu   sync.Mutex
	runs map[string]int
	plan map[string]manner
}

func (u *recordedUpstream) begin(id string) manner {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id]++
	return u.plan[id]
}

func answerTo(id string) string { return "answer to " + id + strings.Repeat(".", 100) }

// serve treats the requests of one connection.
func (u *recordedUpstream) serve(_ int, conn net.Conn, r *bufio.Reader) {
	for {
		id, ok := request(r)
		if !ok {
			return
		}
		body := answerTo(id)
		switch u.begin(id) {
		case serves:
			respond(conn, id, body, "")
		case servesChunked:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
		case servesToTheEnd:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", id, body)
			return
		case servesAndCloses:
			respond(conn, id, body, "")
			return
		case servesTwice:
			respond(conn, id, body, "")
			respond(conn, id, body, "")
		case servesTwiceLate:
			respond(conn, id, body, "")
			time.Sleep(time.Millisecond)
			respond(conn, id, body, "")
		case answersAnotherFirst:
			respond(conn, "another", "not yours", "")
			respond(conn, id, body, "")
		case addsBytes:
			respond(conn, id, body, "")
			_, _ = io.WriteString(conn, "bytes of no answer\r\n")
		case breaksHead:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id)
			return
		case breaksBody:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body[:20])
			return
		case saysNothing:
			return
		case talksNonsense:
			_, _ = io.WriteString(conn, "\x00\x01 no answer in the protocol\r\n\r\n")
		}
	}
}

// Whatever an upstream does with earlier requests on its connections, a request
// is sent at most once, its answer is whole and its own, and one that is said
// not to have run did not run.
func TestReuseMixesNothing(t *testing.T) {
	u := &recordedUpstream{runs: map[string]int{}, plan: map[string]manner{}}
	target, pool := script(t, u.serve)
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, int(manners)-1), 1, 8).Draw(t, "manners")
		together := rapid.IntRange(1, 3).Draw(t, "together")
		var wg sync.WaitGroup
		var mu sync.Mutex
		var faults []string
		places := make(chan struct{}, together)
		for _, m := range plan {
			n++
			id := fmt.Sprint("request-", n)
			u.mu.Lock()
			u.plan[id] = manner(m)
			u.mu.Unlock()
			places <- struct{}{}
			wg.Go(func() {
				defer func() { <-places }()
				got, err := ask(pool, target, id, "body")
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
	t.Logf("%d requests over %d connections", n, pool.Opened())
	assert.Assert(t, pool.Opened() < int64(n), "no connection was used twice")
}

// check returns what is wrong with the end of a request.
func (u *recordedUpstream) check(id, got string, err error) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	ran := u.runs[id]
	switch {
	case ran > 1:
		return fmt.Sprintf("%s was sent %d times", id, ran)
	case err == nil && got != answerTo(id):
		return fmt.Sprintf("%s got %q", id, got)
	case err != nil && ran > 0 && verdict.Of(err) == verdict.NotRun:
		return fmt.Sprintf("%s ran and was told not to have run: %v", id, err)
	}
	return ""
}
