package httpengine

import (
	"context"
	"io"
	"log"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/upstream/endlesstest"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// endlessTimeout is the deadline of requests, longer than all of the client's limits.
	endlessTimeout = time.Minute
	// endlessSlack covers the pauses of a fast upstream.
	endlessSlack = 4 * endlesstest.Interval
	// bufferBytes covers the read buffers of net/http.
	bufferBytes = 64 << 10
)

// onEndlessEngine runs test in virtual time. Afterwards at most one request must have been
// sent, and no connection may be open.
func onEndlessEngine(t *testing.T, start, unit string, slow bool, test func(t *testing.T, ctx context.Context, c *Client) (maxTaken int)) {
	synctest.Test(t, func(t *testing.T) {
		u := &endlesstest.Upstream{Start: start, Unit: unit, Slow: slow}
		defer u.Stop()
		c := New(u.Dial)
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
		defer cancel()
		maxTaken := test(t, ctx, c)
		requests, taken, open := u.State()
		assert.Equal(t, requests, 1)
		assert.Equal(t, open, 0)
		assert.Assert(t, taken <= maxTaken, "%d bytes read", taken)
	})
}

// endlessCalls are all calls whose response an engine may send without end.
var endlessCalls = map[string]func(ctx context.Context, c *Client) (upstream.Stream, error){
	"generate": func(ctx context.Context, c *Client) (upstream.Stream, error) {
		return c.Generate(ctx, "engine:80", &upstream.GenerateRequest{RequestID: "r"})
	},
	"resume": func(ctx context.Context, c *Client) (upstream.Stream, error) {
		return c.Resume(ctx, "engine:80", upstream.StreamRef{StreamID: "r"}, 1)
	},
	"cancel": func(ctx context.Context, c *Client) (upstream.Stream, error) {
		return nil, c.Cancel(ctx, "engine:80", upstream.StreamRef{StreamID: "r"})
	},
	"order": func(ctx context.Context, c *Client) (upstream.Stream, error) {
		return nil, c.Order(ctx, "engine:80", upstream.Order{})
	},
	"state": func(ctx context.Context, c *Client) (upstream.Stream, error) {
		_, err := c.State(ctx, "engine:80")
		return nil, err
	},
}

// A head without end must not fill the memory, nor hold a call for longer than its limits.
func TestEndlessHeadIsBounded(t *testing.T) {
	for name, head := range endlesstest.Heads {
		for callName, call := range endlessCalls {
			for _, slow := range []bool{false, true} {
				t.Run(callName+"/"+name, func(t *testing.T) {
					onEndlessEngine(t, head[0], head[1], slow, func(t *testing.T, ctx context.Context, c *Client) int {
						began := time.Now()
						_, err := call(ctx, c)
						assert.Assert(t, err != nil)
						assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
						bound := endlessSlack
						if slow {
							bound = headerTimeout
						}
						assert.Assert(t, time.Since(began) <= bound, "ended after %s", time.Since(began))
						return maxHeadBytes + bufferBytes
					})
				})
			}
		}
	}
}

// A refusal or failure with a body without end must not hold a request until its deadline.
func TestEndlessFailureIsBounded(t *testing.T) {
	for name, head := range map[string]string{
		"refusal":            "HTTP/1.1 429 Too Many Requests\r\n" + HeaderRequestID + ": r\r\n" + HeaderStreamID + ": r\r\n\r\n{\"code\":\"overloaded\"}",
		"refusal of another": "HTTP/1.1 429 Too Many Requests\r\n\r\n{\"code\":\"overloaded\"}",
		"failure":            "HTTP/1.1 500 Internal Server Error\r\n\r\n",
	} {
		for callName, call := range endlessCalls {
			for _, slow := range []bool{false, true} {
				t.Run(callName+"/"+name, func(t *testing.T) {
					onEndlessEngine(t, head, "x", slow, func(t *testing.T, ctx context.Context, c *Client) int {
						began := time.Now()
						_, err := call(ctx, c)
						assert.Assert(t, err != nil)
						assert.Equal(t, verdict.Of(err), verdict.MayHaveRun, "%v", err)
						bound, maxTaken := orderTimeout, maxControlBytes
						if callName == "generate" || callName == "resume" {
							bound, maxTaken = failureBodyTimeout, maxEventBytes
						}
						assert.Assert(t, time.Since(began) <= bound, "ended after %s", time.Since(began))
						return maxTaken + bufferBytes
					})
				})
			}
		}
	}
}

// Bytes without end in a stream are no event: they end it within the largest event, or
// once the stream is closed if they are slow.
func TestEndlessStreamIsBounded(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
		first = "id: 0\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w\"},\"finish_reason\":null}]}\n\n"
	)
	for name, c := range map[string]struct{ unit, text string }{
		"line":             {"x", "event too large"},
		"empty lines":      {"\n", "event too large"},
		"comments":         {": x\n\n", "event too large"},
		"fields":           {"id: 1\n", "event too large"},
		"data":             {"data: x\n", "event too large"},
		"events of no ID":  {"data: {}\n\n", "where event 1 was expected"},
		"one event":        {first, "stream has event 0 where event 1 was expected"},
		"malformed IDs":    {"id: x\n", "malformed event id"},
		"malformed events": {"id: 1\ndata: x\n\n", "malformed event"},
	} {
		for _, slow := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				onEndlessEngine(t, head+first, c.unit, slow, func(t *testing.T, ctx context.Context, client *Client) int {
					stream, err := client.Generate(ctx, "engine:80", &upstream.GenerateRequest{RequestID: "r"})
					assert.NilError(t, err)
					e, err := stream.Next()
					assert.NilError(t, err)
					assert.Equal(t, e.Text, "w")
					if slow {
						defer time.AfterFunc(time.Second, func() { stream.Close() }).Stop()
					}
					_, err = stream.Next()
					assert.Assert(t, err != nil)
					assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
					if !slow {
						assert.ErrorContains(t, err, c.text)
					}
					e2 := &verdict.Error{}
					assert.Assert(t, errors.As(err, &e2) && e2.Code == verdict.CodeStreamLost)
					stream.Close()
					return maxEventBytes + bufferBytes
				})
			})
		}
	}
}

// Bytes without end after a response, on a connection that is kept, belong to no other
// request: one that crosses them fails and may have run, or gets a stream that names the
// request it belongs to, which the dispatcher refuses. The one after it is served.
func TestEndlessBytesAfterResponse(t *testing.T) {
	log.SetOutput(io.Discard) // net/http logs such bytes
	defer log.SetOutput(os.Stderr)
	for name, unit := range map[string]string{
		"no answer":     "\x00\x01",
		"same response": responseText("first", true),
		"informational": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		for _, slow := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					u := &endlesstest.Upstream{Start: responseText("first", true), Unit: unit, Slow: slow}
					defer u.Stop()
					others := &truncatingNetwork{remainingBytes: -1, keepAlive: true, requests: map[string]int{}}
					endless := true
					c := New(func(ctx context.Context, network, address string) (net.Conn, error) {
						if endless {
							return u.Dial(ctx, network, address)
						}
						return others.dial(ctx, network, address)
					})
					defer c.Close()
					words, err := read(c, "first")
					assert.NilError(t, err)
					assert.Equal(t, len(words), eventCount)
					endless = false
					crossing, err := c.Generate(context.Background(), "engine:80", &upstream.GenerateRequest{RequestID: "crossing"})
					if err != nil {
						assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
						assert.Equal(t, others.requests["crossing"], 0)
					} else {
						owner := "first"
						if others.requests["crossing"] == 1 {
							owner = "crossing"
						}
						assert.Equal(t, crossing.Info().RequestID, owner)
						crossing.Close()
					}
					words, err = read(c, "next")
					assert.NilError(t, err)
					assert.Equal(t, len(words), eventCount)
					assert.Equal(t, others.requests["next"], 1)
					requests, taken, open := u.State()
					assert.Equal(t, requests, 1)
					assert.Equal(t, open, 0)
					assert.Assert(t, taken <= maxHeadBytes+bufferBytes, "%d bytes read", taken)
				})
			})
		}
	}
}
