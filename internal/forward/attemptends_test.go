package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
)

// attemptEnd is a way in which an attempt ends.
type attemptEnd string

const (
	endServed         attemptEnd = "served"
	endRejected       attemptEnd = "rejected"
	endUnreachable    attemptEnd = "unreachable"
	endClosed         attemptEnd = "closed without an answer"
	endCut            attemptEnd = "cut in the body"
	endSilent         attemptEnd = "no answer"
	endNoStatus       attemptEnd = "a status that HTTP does not have"
	endLongBody       attemptEnd = "a long body that is cut"
	endCallerLeaves   attemptEnd = "the caller leaves"
	endPanicRequest   attemptEnd = "a panic before the request is sent"
	endPanicResponse  attemptEnd = "a panic when the response is read"
	endPanicRelay     attemptEnd = "a panic when the response is relayed"
	endPanicInRequest attemptEnd = "a panic when the caller's request is read"
)

var attemptEnds = []attemptEnd{endServed, endRejected, endUnreachable, endClosed, endCut, endSilent, endNoStatus, endLongBody, endCallerLeaves, endPanicRequest, endPanicResponse, endPanicRelay, endPanicInRequest}

// endingCodec is a HeaderCodec whose requests name in their path how they end.
type endingCodec struct{}

func endOf(h http.Header) attemptEnd { return attemptEnd(h.Get("End")) }

func (endingCodec) ReadRequest(h http.Header) (RequestMetadata, error) {
	if endOf(h) == endPanicInRequest {
		panic("reading the request")
	}
	return RequestMetadata{ID: h.Get("Id"), Timeout: 2 * time.Second}, nil
}

func (endingCodec) UpstreamHeader(caller http.Header, _ *AttemptMetadata) http.Header {
	if endOf(caller) == endPanicRequest {
		panic("building the request")
	}
	return caller.Clone()
}

func (endingCodec) ReadResponse(status int, h http.Header) ResponseMetadata {
	if endOf(h) == endPanicResponse {
		panic("reading the response")
	}
	return ResponseMetadata{RequestID: h.Get("Id"), HasOriginProof: true, NotRun: status == http.StatusServiceUnavailable}
}

func (endingCodec) CallerHeader(_, upstream http.Header) {
	if endOf(upstream) == endPanicRelay {
		panic("relaying the response")
	}
}

// serveEnd is an upstream on one connection.
func serveEnd(conn net.Conn) {
	defer conn.Close()
	buffer := make([]byte, 64<<10)
	n, err := conn.Read(buffer)
	if err != nil {
		return
	}
	head := string(buffer[:n])
	get := func(name string) string {
		_, rest, _ := strings.Cut(head, "\r\n"+name+": ")
		value, _, _ := strings.Cut(rest, "\r\n")
		return value
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	identity := "Connection: close\r\nId: " + get("Id") + "\r\nEnd: " + get("End") + "\r\n"
	switch attemptEnd(get("End")) {
	case endClosed:
	case endSilent, endCallerLeaves:
		time.Sleep(time.Minute)
	case endRejected:
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\n"+identity+"Content-Length: 0\r\n\r\n")
	case endNoStatus:
		_, _ = io.WriteString(conn, "HTTP/1.1 020 OK\r\n"+identity+"Content-Length: 2\r\n\r\nok")
	case endCut:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+identity+"Content-Length: 20\r\n\r\nok")
	case endLongBody:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+identity+"Content-Length: 9000000\r\n\r\n"+strings.Repeat("x", 2*maxBufferedBodyBytes))
	default:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+identity+"Content-Length: 2\r\n\r\nok")
	}
	time.Sleep(100 * time.Millisecond)
}

// newEndingForwarder returns a Forwarder with one service of two upstreams.
func newEndingForwarder(t assert.TestingT, log *eventlog.Log) (*Forwarder, func()) {
	unreachable := func(ctx context.Context) bool { return ctx.Value(unreachableKey{}) != nil }
	return newForwarderOver(t, log, func(ctx context.Context, _, _ string) (net.Conn, error) {
		if unreachable(ctx) {
			return nil, errors.New("no route")
		}
		near, far := net.Pipe()
		go serveEnd(far)
		return near, nil
	})
}

// newForwarderOver returns a Forwarder with one service of two upstreams that dial connects to.
func newForwarderOver(t assert.TestingT, log *eventlog.Log, dial func(ctx context.Context, network, address string) (net.Conn, error)) (*Forwarder, func()) {
	route := func(name string, kind routetable.Kind, attempts, priority int) routetable.Route {
		return routetable.Route{Name: name, Priority: priority, Host: "host", PathPrefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Targets: []routetable.Target{{Service: "ledger", Weight: 1}}}
	}
	table, err := routetable.New(routetable.State{
		Services: []routetable.Service{{Name: "ledger"}},
		Routes:   []routetable.Route{route("safe", routetable.Safe, 2, 0), route("unsafe", routetable.Unsafe, 1, 0), route("stream", routetable.Stream, 1, 2)},
	})
	assert.NilError(t, err)
	services := NewServices(RetryLimits{Slack: 50}, func(string) time.Duration { return 0 })
	registry := fleet.NewRegistry()
	snapshot := registry.Replace([]fleet.Registration{{ID: "u-1", Address: "1", Service: "ledger", Slots: 64, StartedAt: 1}, {ID: "u-2", Address: "2", Service: "ledger", Slots: 64, StartedAt: 1}})
	services.Update(View{Table: table, Registry: snapshot})
	pool := httpconn.NewPool(dial)
	f := New(Config{
		Headers: endingCodec{}, Pool: pool, Services: services, Liveness: NewLiveness(dial, func(string, bool) {}, log), Log: log,
		Table: func() *routetable.Table { return table }, Registry: registry.Snapshot, MaxBodyBytes: 1 << 20, MaxResponseBytes: 1 << 20,
	})
	return f, func() {
		services.Close()
		pool.Close()
	}
}

type unreachableKey struct{}

// askEnd sends a request that ends in a way, and reports whether its connection was aborted.
func askEnd(f *Forwarder, id string, end attemptEnd, path string) (status int, aborted bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if end == endUnreachable {
		ctx = context.WithValue(ctx, unreachableKey{}, true)
	}
	if end == endCallerLeaves {
		time.AfterFunc(300*time.Millisecond, cancel)
	}
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(strings.Repeat(id, 1<<10))).WithContext(ctx)
	r.Host = "host"
	r.Header.Set("Id", id)
	r.Header.Set("End", string(end))
	w := httptest.NewRecorder()
	defer func() {
		aborted = recover() != nil // as in net/http
	}()
	f.ServeHTTP(deadlineRecorder{w}, r)
	return w.Code, false
}

// deadlineRecorder is a ResponseRecorder with deadlines, as a connection has.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

// Guards against attempts, places and memory that stay held when a request ends in an unusual
// way: engines had no room any more, although nothing ran there.
func TestNothingIsHeldAfterAnyEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ends := rapid.SliceOfN(rapid.SampledFrom(attemptEnds), 1, 12).Draw(rt, "ends")
		paths := rapid.SliceOfN(rapid.SampledFrom([]string{"/safe/1", "/unsafe/1"}), len(ends), len(ends)).Draw(rt, "paths")
		synctest.Test(t, func(t *testing.T) {
			f, closeAll := newEndingForwarder(t, eventlog.Discard())
			done := make(chan struct{})
			for i, end := range ends {
				go func() {
					askEnd(f, fmt.Sprint("request-", i), end, paths[i])
					done <- struct{}{}
				}()
			}
			for range ends {
				<-done
			}
			time.Sleep(time.Second)
			svc := f.Services.get("ledger")
			svc.runner.Do(func(sched routing.Scheduler, _ time.Time) {
				for _, u := range []string{"u-1", "u-2"} {
					requests, _ := sched.(routing.RequestCounter).Requests(u)
					assert.Check(t, requests == 0, "%d attempts are counted at %s after %q", requests, u, ends)
				}
			})
			assert.Check(t, f.bodyMemory.used.Load() == 0, "%d bytes of bodies are held after %q", f.bodyMemory.used.Load(), ends)
			assert.Check(t, f.responseMemory.used.Load() == 0, "%d bytes of responses are held after %q", f.responseMemory.used.Load(), ends)
			closeAll()
			time.Sleep(2 * time.Minute) // until the upstreams have ended
		})
	})
}

// A panic in a request's handler ends that request alone, and is logged with its id.
func TestPanicIsLogged(t *testing.T) {
	for _, end := range []attemptEnd{endPanicInRequest, endPanicRequest, endPanicResponse, endPanicRelay} {
		t.Run(string(end), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var text strings.Builder
				log := eventlog.New("daemon", hclog.New(&hclog.LoggerOptions{Output: &text, JSONFormat: true}), 16)
				f, closeAll := newEndingForwarder(t, log)
				_, aborted := askEnd(f, "request-1", end, "/unsafe/1")
				assert.Check(t, aborted, "the caller is promised nothing")
				status, _ := askEnd(f, "request-2", endServed, "/unsafe/1")
				assert.Equal(t, status, http.StatusOK)
				assert.Check(t, strings.Contains(text.String(), `"event":211`), "%s", text.String())
				if end != endPanicInRequest { // where the id is read
					assert.Check(t, strings.Contains(text.String(), `"request":"request-1"`), "%s", text.String())
				}
				closeAll()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}
