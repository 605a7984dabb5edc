package sitepath

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/site"
)

// heapBytes returns the live bytes of the heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Many responses without end at once, from five of twelve engines, filled the memory of a
// daemon: each of them was bounded, their sum was not. Requests to the other service are
// served all the while.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	const (
		memoryMB      = 134 // the smallest that a deployment states
		engineCount   = 12
		faultyEngines = 5
		slots         = 64
		requests      = faultyEngines * slots
		// A response of the control interface names no request.
		endlessControl = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
		head           = endlessOK + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: token 1\n\n"
	)
	for name, e := range map[string]site.Endless{
		"event line":      {Start: head + "data: ", Unit: strings.Repeat("x", 32<<10)},
		"event of lines":  {Start: head, Unit: strings.Repeat("data: x\n", 4<<10)},
		"head lines":      {Start: endlessOK + strings.Repeat("X-A: b\r\n", 7<<10), Unit: "X", Slow: true},
		"body":            {Start: endlessChunked + "fffffff\r\n", Unit: strings.Repeat("x", 32<<10)},
		"body that stops": {Start: endlessChunked + "fffffff\r\n" + strings.Repeat("x", 250<<10), Unit: "x", Slow: true},
		"cache events":    {Start: endlessControl + "{\"epoch\":7,\"next\":9,\"events\":[", Unit: strings.Repeat("[1,\"+\",\"1/\",\"aa\",9,\"m\"],", 1400)},
		"trailers":        {Start: endlessChunked + "5\r\nwhole\r\n0\r\n", Unit: strings.Repeat("X-A: b\r\n", 4<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, engineCount)
				d.daemonCount, d.memoryMB = 1, memoryMB // the last one
				defer d.close()
				d.desiredState["services"].([]map[string]any)[0]["maxConns"] = 360
				d.desiredState["services"].([]map[string]any)[0]["engine"].(map[string]any)["slots"] = slots
				for i, u := range d.engines {
					u.Endless, u.Slots = e, slots
					if i < faultyEngines {
						u.EndlessControl = true
						u.ChooseBehaviour = func(*http.Request) site.Behaviour { return site.NeverEnd }
					}
				}
				d.publish()
				for _, u := range d.engines {
					u.Register(d.store)
				}
				d.startAll()
				p := d.processes[0]
				before := heapBytes()
				time.Sleep(cacheSyncDelay)
				var wg sync.WaitGroup
				for i := range requests * engineCount / faultyEngines {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * time.Millisecond)
						d.askAndDiscard(p, func(r *http.Request) {
							r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:10", 0xc000+i))
							r.Header.Set("X-Token-Usage", "10,40")
						})
					})
				}
				most := int64(0)
				d.setGoalVersion(2) // reports and orders
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					most = max(most, heapBytes()-before)
					a := d.ask(p, http.MethodPost, plainHost, "/order/1", nil)
					assert.NilError(t, a.err)
					assert.Equal(t, a.status, http.StatusOK)
				}
				wg.Wait()
				endless := 0
				for _, u := range d.engines[:faultyEngines] {
					endless += len(u.Runs())
				}
				t.Logf("%d MB at most beyond the %d MB before; %d endless responses", most>>20, before>>20, endless)
				assert.Assert(t, endless >= faultyEngines)
				assert.Assert(t, most < memoryMB<<20*7/10, "%d MB", most>>20)
			})
		})
	}
}

// askAndDiscard sends a request for a stream and reads the response without keeping it.
func (d *deployment) askAndDiscard(p *process, modify func(*http.Request)) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.address(callerPort)+"/chat/1", nil)
	assert.NilError(d.t, err)
	req.Host = modelHost
	for name, value := range map[string]string{"X-Request-Id": fmt.Sprintf("request-%d", d.requestCount.Add(1)), "X-Key": callerKey, "X-Deadline-Ms": "3000", "X-Model": model} {
		req.Header.Set(name, value)
	}
	modify(req)
	if resp, err := d.client().Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
