package httpengine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// framings are the ways to mark the end of a response. The header lines end with CRLF.
var framings = map[string]func(status int, header, body string) string{
	"length": func(status int, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	},
	"chunks": func(status int, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", status, header, len(body), body)
	},
	"connection": func(status int, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\n%s", status, header, body)
	},
}

// scriptedEngine writes given texts on each connection: writes[i] after the i-th request,
// one after the other. An empty last one closes the connection.
type scriptedEngine struct {
	writes [][]string

	conns    sync.WaitGroup
	mu       sync.Mutex
	requests []string // IDs of the requests read
}

// writeInterval is the interval between two writes after one request.
const writeInterval = 10 * time.Millisecond

func (e *scriptedEngine) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	e.conns.Go(func() { e.serve(server) })
	return client, nil
}

func (e *scriptedEngine) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	e.mu.Lock()
	writes := e.writes
	e.mu.Unlock()
	for _, texts := range writes {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		e.mu.Lock()
		e.requests = append(e.requests, req.Header.Get(HeaderRequestID))
		e.mu.Unlock()
		for i, text := range texts {
			if text == "" {
				return
			}
			if i > 0 {
				time.Sleep(writeInterval)
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
	_, _ = r.ReadByte() // until the client closes
}

// runs returns how often the engine read a request.
func (e *scriptedEngine) runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, x := range e.requests {
		if x == id {
			n++
		}
	}
	return n
}

// A refusal that an engine sends once more on a kept connection must not give the next
// request, which the engine runs, the verdict not-run.
func TestRepeatedRefusalIsNotTheNextResponse(t *testing.T) {
	log.SetOutput(io.Discard) // net/http logs responses on idle connections
	defer log.SetOutput(os.Stderr)
	refusal := func(id, framing string) string {
		return framings[framing](http.StatusTooManyRequests, HeaderRequestID+": "+id+"\r\n", `{"code":"overloaded"}`)
	}
	for framing := range framings {
		for _, id := range []string{"first", ""} {
			first, again, answer := refusal("first", "length"), refusal(id, framing), responseText("r", true)
			half := len(again) / 2
			for moment, writes := range map[string][][]string{
				"with the refusal":             {{first + again}, {answer}},
				"while idle":                   {{first, again}, {answer}},
				"half before the next request": {{first, again[:half]}, {again[half:] + answer}},
				"with the next answer":         {{first}, {again + answer}},
				"long before the next answer":  {{first}, {again, answer}},
				"instead of the next answer":   {{first}, {again, ""}},
			} {
				t.Run(strings.Join([]string{framing, strconv.Quote(id), moment}, "/"), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						e := &scriptedEngine{writes: writes}
						c := New(e.dial)
						defer e.conns.Wait()
						defer c.Close()
						_, err := read(c, "first")
						assert.Equal(t, verdict.Of(err), verdict.NotRun)
						if moment == "with the refusal" || moment == "while idle" || moment == "half before the next request" {
							time.Sleep(2 * writeInterval)
							e.mu.Lock()
							e.writes = [][]string{{answer}} // of the new connection
							e.mu.Unlock()
						}
						words, err := read(c, "r")
						assert.Assert(t, e.runs("r") <= 1)
						if err != nil {
							assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
							assert.Equal(t, len(words), 0)
							return
						}
						assert.DeepEqual(t, words, []string{"w0", "w1", "w2"})
					})
				})
			}
		}
	}
}

// An engine that was to go on with a stream but answered otherwise adds no event to it and
// does not end it.
func TestFailedResumptionAddsNoEvent(t *testing.T) {
	const named = HeaderStreamID + ": s\r\n"
	const events = "Content-Type: text/event-stream\r\n"
	for name, x := range map[string]struct {
		status       int
		header, body string
	}{
		"failure":               {http.StatusInternalServerError, named, "no memory\n"},
		"long failure":          {http.StatusBadGateway, named, strings.Repeat("no memory\n", 200<<10)},
		"refusal":               {http.StatusGone, named, `{"code":"stream_gone"}`},
		"no content":            {http.StatusAccepted, named, ""},
		"events with a failure": {http.StatusInternalServerError, named + events, "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"w1\"},\"finish_reason\":\"stop\"}]}\n\n"},
		"text":                  {http.StatusOK, named, "no memory\n"},
		"text as an event":      {http.StatusOK, named + events, "no memory\n\n"},
		"error event":           {http.StatusOK, named + events, "event: error\ndata: no memory\n\n"},
		"numbered error event":  {http.StatusOK, named + events, "id: 1\nevent: error\ndata: no memory\n\n"},
		"head as an event":      {http.StatusOK, named + events, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"},
		"only a head":           {http.StatusOK, named + events, ""},
		"end marker":            {http.StatusOK, named + events, "data: [DONE]\n\n"},
		"gap":                   {http.StatusOK, named + events, "id: 2\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n"},
	} {
		for framing, response := range framings {
			t.Run(name+"/"+framing, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := &scriptedEngine{writes: [][]string{{response(x.status, x.header, x.body), ""}}}
					c := New(e.dial)
					defer e.conns.Wait()
					defer c.Close()
					stream, err := c.Resume(context.Background(), "engine:80", upstream.StreamRef{StreamID: "s"}, 1)
					if err == nil {
						defer stream.Close()
						_, err = stream.Next()
					}
					assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
				})
			})
		}
	}
}

// A chunked response that breaks off after any of its bytes is no whole stream; the other
// framings are in TestTruncationAtEveryByte.
func TestChunkedResponseCutAtEveryByte(t *testing.T) {
	body := responseText("r", true)
	head, body, _ := strings.Cut(body, "\r\n\r\n")
	header := head[strings.Index(head, "\r\n")+2 : strings.Index(head, "Content-Length")]
	text := framings["chunks"](http.StatusOK, header, body)
	last := strings.Index(text, `"stop"`) // the event that ends the stream
	for cut := range last {
		e := &scriptedEngine{writes: [][]string{{text[:cut], ""}}}
		if cut == 0 {
			e.writes = [][]string{{""}}
		}
		c := New(e.dial)
		words, err := read(c, "r")
		assert.Assert(t, err != nil, "%q looks complete after %q", words, text[:cut])
		assert.Assert(t, len(words) < eventCount)
		assert.Equal(t, e.runs("r"), 1)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		c.Close()
	}
}
