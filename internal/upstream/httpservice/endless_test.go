package httpservice

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/upstream/endlesstest"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	endlessCallTimeout = 30 * time.Second
	// endlessSlack covers the pause of the stand-in that notices a closed connection.
	endlessSlack = 4 * endlesstest.Interval
	// bufferBytes covers the read buffers of net/http.
	bufferBytes = 64 << 10
)

// callEndless makes a call to an upstream in virtual time. It must be sent once, end by
// its timeout and leave no connection open.
func callEndless(t *testing.T, u *endlesstest.Upstream, check func(t *testing.T, reply *upstream.Reply, err error, taken int, elapsed time.Duration)) {
	synctest.Test(t, func(t *testing.T) {
		defer u.Stop()
		start := time.Now()
		reply, err := New(u.Dial).Do(context.Background(), "service:80", &upstream.Call{RequestID: "r", Method: http.MethodGet, Path: "/", Timeout: endlessCallTimeout})
		elapsed := time.Since(start)
		requests, taken, open := u.State()
		assert.Equal(t, requests, 1)
		assert.Equal(t, open, 0)
		assert.Assert(t, elapsed <= endlessCallTimeout, "ended after %s", elapsed)
		check(t, reply, err, taken, elapsed)
	})
}

// A head without end must not fill the memory, and holds a call to its timeout at most.
func TestEndlessHeadIsBounded(t *testing.T) {
	for name, head := range endlesstest.Heads {
		for _, slow := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				callEndless(t, &endlesstest.Upstream{Start: head[0], Unit: head[1], Slow: slow}, func(t *testing.T, _ *upstream.Reply, err error, taken int, elapsed time.Duration) {
					assert.Assert(t, err != nil)
					assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
					assert.Assert(t, taken <= maxHeadBytes+bufferBytes, "%d bytes read", taken)
					assert.Assert(t, slow || elapsed < endlessSlack, "ended after %s", elapsed)
				})
			})
		}
	}
}

// A body without end is no reply, bytes after a body are not part of it, and the body of a
// refusal is not waited for.
func TestEndlessBodyIsBounded(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		start, unit string
		want        string // the body of a reply; empty for an error
		verdict     verdict.Verdict
		slowVerdict verdict.Verdict
	}{
		"no length":          {ok + "\r\n", "x", "", verdict.Ran, verdict.MayHaveRun},
		"length":             {ok + "Content-Length: 9223372036854775807\r\n\r\n", "x", "", verdict.Ran, verdict.MayHaveRun},
		"chunks":             {ok + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", "", verdict.Ran, verdict.MayHaveRun},
		"chunk-size line":    {ok + "Transfer-Encoding: chunked\r\n\r\n", "0", "", verdict.MayHaveRun, verdict.MayHaveRun},
		"trailer lines":      {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", "", verdict.MayHaveRun, verdict.MayHaveRun},
		"after the length":   {ok + "Content-Length: 5\r\n\r\nwhole", "x", "whole", 0, 0},
		"after the chunks":   {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "x", "whole", 0, 0},
		"refusal":            {"HTTP/1.1 503 Service Unavailable\r\n" + HeaderNotRun + ": r\r\n\r\n", "x", "", verdict.NotRun, verdict.NotRun},
		"refusal of another": {"HTTP/1.1 503 Service Unavailable\r\n" + HeaderNotRun + ": s\r\n\r\n", "x", "", verdict.Ran, verdict.MayHaveRun},
	} {
		for _, slow := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				callEndless(t, &endlesstest.Upstream{Start: c.start, Unit: c.unit, Slow: slow}, func(t *testing.T, reply *upstream.Reply, err error, taken int, elapsed time.Duration) {
					assert.Assert(t, taken <= maxReplyBytes+maxReplyBytes/64+bufferBytes, "%d bytes read", taken) // a chunk of 1 KiB has 7 more bytes
					if c.want != "" {
						assert.NilError(t, err)
						assert.Equal(t, string(reply.Body), c.want)
						assert.Assert(t, elapsed < endlessSlack && taken <= bufferBytes, "ended after %s, %d bytes read", elapsed, taken)
						return
					}
					assert.Assert(t, err != nil)
					want := c.verdict
					if slow {
						want = c.slowVerdict
					}
					assert.Equal(t, verdict.Of(err), want, "%v", err)
					assert.Assert(t, want != verdict.NotRun || elapsed < endlessSlack, "ended after %s", elapsed)
				})
			})
		}
	}
}

// A check succeeds once the head has arrived, and fails within its timeout if it never ends.
func TestCheckOfEndlessUpstreamEnds(t *testing.T) {
	for _, slow := range []bool{false, true} {
		for _, start := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX-A: "} {
			synctest.Test(t, func(t *testing.T) {
				u := &endlesstest.Upstream{Start: start, Unit: "x", Slow: slow}
				defer u.Stop()
				began := time.Now()
				err := New(u.Dial).Check(context.Background(), "service:80")
				assert.Equal(t, err == nil, start == "HTTP/1.1 200 OK\r\n\r\n")
				assert.Assert(t, time.Since(began) <= checkTimeout)
				_, taken, open := u.State()
				assert.Equal(t, open, 0)
				assert.Assert(t, taken <= maxHeadBytes+bufferBytes, "%d bytes read", taken)
			})
		}
	}
}
