// Package bench measures the daemon's overhead per request.
package bench

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/membership"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/upstream/httpengine"
)

const (
	benchKey         = "bench-key"
	eventsPerRequest = 32
	promptBytes      = 16 << 10
)

// documents serves one document.
type documents struct{ doc *servicedoc.Accepted }

func (d documents) Get(string) *servicedoc.Accepted           { return d.doc }
func (d documents) Snapshot() map[string]*servicedoc.Accepted { return nil }
func (d documents) Submit(context.Context, []byte, servicedoc.Revision) (*servicedoc.Accepted, error) {
	panic("not used")
}

// instantEngine responds without delay with eventsPerRequest events.
func instantEngine(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	for _, name := range []string{httpengine.HeaderRequestID, httpengine.HeaderOrganisation, httpengine.HeaderWeights, httpengine.HeaderIncarnation} {
		h.Set(name, r.Header.Get(name))
	}
	h.Set(httpengine.HeaderStreamID, "s")
	out := http.NewResponseController(w)
	for i := range eventsPerRequest {
		finish := "null"
		if i == eventsPerRequest-1 {
			finish = `"stop"`
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":%s}]}\n\n", i, finish)
		_ = out.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func serve(tb testing.TB, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	server := &http.Server{Handler: h}
	go server.Serve(l)
	tb.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// newHandler returns the daemon's request handler for the given engines.
func newHandler(tb testing.TB, engines upstream.Engines, addresses ...string) http.Handler {
	sum := sha256.Sum256([]byte(benchKey))
	doc, err := servicedoc.NewAccepted(1, []byte(`{"service":"lamp-bench","kind":"model","models":[{"name":"opal","version":"1"}],
		"organisations":[{"name":"trust","key_sha256":["`+hex.EncodeToString(sum[:])+`"]}]}`))
	assert.NilError(tb, err)
	f := fleet.New(nil)
	var list []platform.Instance
	for _, a := range addresses {
		list = append(list, platform.Instance{Address: a, Service: "lamp-bench", State: platform.InstanceLive})
	}
	f.ApplyInstanceList(list)
	for _, a := range addresses {
		f.ApplyEngineState(a, upstream.EngineState{Incarnation: "i", Weights: []string{"opal@1"}, Slots: 1024}, time.Now())
	}
	log := eventlog.New("bench", hclog.NewNullLogger(), 1024)
	d := dispatch.New(dispatch.Config{Engines: engines, Fleet: f, Log: log})
	tb.Cleanup(d.Close)
	c := &entry.CallerAPI{
		Documents: documents{doc}, Dispatcher: d, Members: membership.New(membership.Member{Name: "bench"}),
		Keys: resume.NewKeys("bench-fleet-key", nil), Log: log,
	}
	return c.Handler()
}

func requestBody() string {
	return `{"stream":true,"messages":[{"role":"system","content":"` + strings.Repeat("wax ", promptBytes/4) + `"},{"role":"user","content":"Which blue?"}],"max_tokens":32}`
}

// caller sends requests over loopback and measures the time to the first event.
type caller struct {
	client *http.Client
	url    string
	header http.Header
	body   string
}

func (c *caller) ask() (first time.Duration, err error) {
	req, err := http.NewRequest(http.MethodPost, c.url, strings.NewReader(c.body))
	if err != nil {
		return 0, err
	}
	req.Header = c.header
	sent := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	events := 0
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return first, fmt.Errorf("response ended after %d events: %w", events, err)
		}
		if bytes.HasPrefix(line, []byte("data: {")) {
			events++
			if events == 1 {
				first = time.Since(sent)
			}
		}
		if bytes.HasPrefix(line, []byte("data: [DONE]")) && events == eventsPerRequest {
			_, _ = io.Copy(io.Discard, r)
			return first, nil
		}
	}
}

// requestCost holds the latencies and mean costs of a series of requests.
type requestCost struct {
	p50, p99          time.Duration
	cpu               time.Duration // per request
	allocatedBytes    uint64        // per request
	requestsPerSecond float64
}

// measureRequests sends n requests and measures their cost to the whole process.
func measureRequests(tb testing.TB, c *caller, n, concurrency int) requestCost {
	times := make([]time.Duration, n)
	var next atomic.Int64
	var group sync.WaitGroup
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu, start := processCPUTime(), time.Now()
	for range concurrency {
		group.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				first, err := c.ask()
				if err != nil {
					tb.Error(err)
					return
				}
				times[i] = first
			}
		})
	}
	group.Wait()
	elapsed := time.Since(start)
	used := processCPUTime() - cpu
	runtime.ReadMemStats(&after)
	slices.Sort(times)
	return requestCost{
		p50: times[n/2], p99: times[n*99/100], cpu: used / time.Duration(n),
		allocatedBytes: (after.TotalAlloc - before.TotalAlloc) / uint64(n), requestsPerSecond: float64(n) / elapsed.Seconds(),
	}
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func newCaller(address, path string, concurrency int, header http.Header) *caller {
	header.Set("Authorization", "Bearer "+benchKey)
	return &caller{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}},
		url:    "http://" + address + path, header: header, body: requestBody(),
	}
}

// forwarder is a minimal streaming proxy to an engine: the lower bound for the cost
// of one more hop over net/http.
func forwarder(engine string, concurrency int) http.HandlerFunc {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}}
	return func(w http.ResponseWriter, r *http.Request) {
		sent, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		resp, err := client.Post("http://"+engine+"/v1/chat/completions", "application/json", bytes.NewReader(sent))
		if err != nil {
			return
		}
		defer resp.Body.Close()
		out := http.NewResponseController(w)
		buffer := make([]byte, 4<<10)
		for {
			n, err := resp.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = out.Flush()
			if err != nil {
				return
			}
		}
	}
}

// BenchmarkOverhead sends requests of 32 events to an engine that responds without
// delay, directly and through the daemon's handler, and reports the difference.
// Engine and caller run in the same process, so the rate is that of all three
// together. "hop" is the overhead of a minimal proxy.
func BenchmarkOverhead(b *testing.B) {
	for _, concurrency := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("streams=%d", concurrency), func(b *testing.B) {
			engine := serve(b, http.HandlerFunc(instantEngine))
			client := httpengine.New(nil)
			defer client.Close()
			daemon := serve(b, newHandler(b, client, engine))
			direct := newCaller(engine, "/v1/chat/completions", concurrency, http.Header{})
			viaDaemon := newCaller(daemon, "/services/lamp-bench/v1/chat/completions", concurrency, http.Header{})
			n := max(b.N, 4*concurrency)
			viaHop := newCaller(serve(b, forwarder(engine, concurrency)), "/v1/chat/completions", concurrency, http.Header{})
			measureRequests(b, direct, 4*concurrency, concurrency)
			measureRequests(b, viaHop, 4*concurrency, concurrency)
			measureRequests(b, viaDaemon, 4*concurrency, concurrency)
			b.ResetTimer()
			directCost := measureRequests(b, direct, n, concurrency)
			hopCost := measureRequests(b, viaHop, n, concurrency)
			daemonCost := measureRequests(b, viaDaemon, n, concurrency)
			b.StopTimer()
			b.ReportMetric(float64((daemonCost.p50 - directCost.p50).Microseconds()), "added-p50-µs")
			b.ReportMetric(float64((hopCost.p50 - directCost.p50).Microseconds()), "hop-p50-µs")
			b.ReportMetric(float64((hopCost.cpu - directCost.cpu).Microseconds()), "hop-cpu-µs/request")
			b.ReportMetric(float64((daemonCost.p99 - directCost.p99).Microseconds()), "added-p99-µs")
			b.ReportMetric(float64((daemonCost.cpu - directCost.cpu).Microseconds()), "added-cpu-µs/request")
			b.ReportMetric(float64(daemonCost.allocatedBytes)-float64(directCost.allocatedBytes), "added-B/request")
			b.ReportMetric(daemonCost.requestsPerSecond, "requests/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
