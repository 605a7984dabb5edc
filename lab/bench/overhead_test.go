// Package bench measures what the daemon adds to a request.
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
	benchKey    = "bench-key"
	benchEvents = 32
	// benchPrompt is the length of a prompt, in bytes.
	benchPrompt = 16 << 10
)

// documents holds one document.
type documents struct{ doc *servicedoc.Accepted }

func (d documents) Get(string) *servicedoc.Accepted           { return d.doc }
func (d documents) Snapshot() map[string]*servicedoc.Accepted { return nil }
func (d documents) Submit(context.Context, []byte, servicedoc.Revision) (*servicedoc.Accepted, error) {
	panic("not used")
}

// instantEngine answers at once with a fixed number of events.
func instantEngine(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	for _, name := range []string{httpengine.HeaderRequestID, httpengine.HeaderOrganisation, httpengine.HeaderWeights, httpengine.HeaderIncarnation} {
		h.Set(name, r.Header.Get(name))
	}
	h.Set(httpengine.HeaderStreamID, "s")
	out := http.NewResponseController(w)
	for i := range benchEvents {
		finish := "null"
		if i == benchEvents-1 {
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

// callers returns the daemon's handler before the given engines.
func callers(tb testing.TB, engines upstream.Engines, addresses ...string) http.Handler {
	sum := sha256.Sum256([]byte(benchKey))
	doc, err := servicedoc.NewAccepted(1, []byte(`{"service":"lamp-bench","kind":"model","models":[{"name":"opal","version":"1"}],
		"organisations":[{"name":"trust","key_sha256":["`+hex.EncodeToString(sum[:])+`"]}]}`))
	assert.NilError(tb, err)
	f := fleet.New(nil)
	var list []platform.Instance
	for _, a := range addresses {
		list = append(list, platform.Instance{Address: a, Service: "lamp-bench", State: platform.InstanceLive})
	}
	f.ApplyList(list)
	for _, a := range addresses {
		f.ApplyEngineState(a, upstream.EngineState{Incarnation: "i", Weights: []string{"opal@1"}, Slots: 1024}, time.Now())
	}
	log := eventlog.New("bench", hclog.NewNullLogger(), 1024)
	d := dispatch.New(dispatch.Config{Engines: engines, Fleet: f, Log: log})
	tb.Cleanup(d.Close)
	c := &entry.Callers{
		Documents: documents{doc}, Dispatcher: d, Members: membership.New(membership.Member{Name: "bench"}),
		Keys: resume.NewKeys("bench-fleet-key", nil), Log: log,
	}
	return c.Handler()
}

func body() string {
	return `{"stream":true,"messages":[{"role":"system","content":"` + strings.Repeat("wax ", benchPrompt/4) + `"},{"role":"user","content":"Which blue?"}],"max_tokens":32}`
}

// caller sends requests over loopback and notes the time to the first event.
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
			return first, fmt.Errorf("answer ended after %d events: %w", events, err)
		}
		if bytes.HasPrefix(line, []byte("data: {")) {
			events++
			if events == 1 {
				first = time.Since(sent)
			}
		}
		if bytes.HasPrefix(line, []byte("data: [DONE]")) && events == benchEvents {
			_, _ = io.Copy(io.Discard, r)
			return first, nil
		}
	}
}

// figures are what one series of requests cost.
type figures struct {
	p50, p99 time.Duration
	cpu      time.Duration // a request
	bytes    uint64        // allocated a request
	rate     float64       // requests a second
}

// series sends n requests, some at once, and measures the whole process.
func series(tb testing.TB, c *caller, n, atOnce int) figures {
	times := make([]time.Duration, n)
	var next atomic.Int64
	var group sync.WaitGroup
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu, start := processTime(), time.Now()
	for range atOnce {
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
	used := processTime() - cpu
	runtime.ReadMemStats(&after)
	slices.Sort(times)
	return figures{
		p50: times[n/2], p99: times[n*99/100], cpu: used / time.Duration(n),
		bytes: (after.TotalAlloc - before.TotalAlloc) / uint64(n), rate: float64(n) / elapsed.Seconds(),
	}
}

func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func newCaller(address, path string, atOnce int, header http.Header) *caller {
	header.Set("Authorization", "Bearer "+benchKey)
	return &caller{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: atOnce}},
		url:    "http://" + address + path, header: header, body: body(),
	}
}

// forwarder passes requests on to an engine and copies its answer as it comes:
// the least that one more hop over net/http can cost.
func forwarder(engine string, atOnce int) http.HandlerFunc {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: atOnce}}
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

// BenchmarkOverhead sends requests of 32 events to an engine that answers at
// once, directly and through the daemon's handler, and reports the
// difference. The engine and the caller run in the same process, so that the
// rate is that of all three together. "hop" is what a handler adds that only
// passes bytes on.
func BenchmarkOverhead(b *testing.B) {
	for _, atOnce := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("streams=%d", atOnce), func(b *testing.B) {
			engine := serve(b, http.HandlerFunc(instantEngine))
			client := httpengine.New(nil)
			defer client.Close()
			daemon := serve(b, callers(b, client, engine))
			direct := newCaller(engine, "/v1/chat/completions", atOnce, http.Header{})
			through := newCaller(daemon, "/services/lamp-bench/v1/chat/completions", atOnce, http.Header{})
			n := max(b.N, 4*atOnce)
			bare := newCaller(serve(b, forwarder(engine, atOnce)), "/v1/chat/completions", atOnce, http.Header{})
			series(b, direct, 4*atOnce, atOnce)
			series(b, bare, 4*atOnce, atOnce)
			series(b, through, 4*atOnce, atOnce)
			b.ResetTimer()
			own := series(b, direct, n, atOnce)
			hop := series(b, bare, n, atOnce)
			all := series(b, through, n, atOnce)
			b.StopTimer()
			b.ReportMetric(float64((all.p50 - own.p50).Microseconds()), "added-p50-µs")
			b.ReportMetric(float64((hop.p50 - own.p50).Microseconds()), "hop-p50-µs")
			b.ReportMetric(float64((hop.cpu - own.cpu).Microseconds()), "hop-cpu-µs/request")
			b.ReportMetric(float64((all.p99 - own.p99).Microseconds()), "added-p99-µs")
			b.ReportMetric(float64((all.cpu - own.cpu).Microseconds()), "added-cpu-µs/request")
			b.ReportMetric(float64(all.bytes)-float64(own.bytes), "added-B/request")
			b.ReportMetric(all.rate, "requests/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
