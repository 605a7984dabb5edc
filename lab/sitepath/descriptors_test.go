package sitepath

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/lab/fabric"
)

// countEvents returns how often a daemon logged an event.
func countEvents(t *testing.T, p *process, id eventlog.ID) int {
	n := 0
	for _, e := range p.log.entries(t) {
		if e.ID == id {
			n++
		}
	}
	return n
}

// The last daemon ended for lack of descriptors when the callers of two lost ones came over,
// each with a connection to the directory and one for its requests, and cut the requests that
// engines were running for it.
func TestLastDaemonKeepsItsDescriptors(t *testing.T) {
	t.Parallel()
	const (
		maxDescriptors = 400
		sockets        = maxDescriptors - 200
		callers        = 120 // two connections each, over three daemons: 80 at each
		lostAfter      = 5 * time.Second
		length         = 20 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, engines)
		d.daemonCount, d.maxDescriptors = daemons, maxDescriptors
		defer d.close()
		d.startAll()
		survivor := d.processes[2]
		for _, p := range d.processes {
			p.descriptors.SetLimit(sockets)
		}
		var mu sync.Mutex
		served, cut, lateFailures := 0, 0, 0
		start := time.Now()
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / callers)
				directory := &http.Client{Transport: &http.Transport{DialContext: d.net.Dialer("caller")}, Timeout: time.Second}
				front := &http.Client{Transport: &http.Transport{DialContext: d.net.Dialer("caller")}, Timeout: 3 * time.Second}
				defer directory.CloseIdleConnections()
				defer front.CloseIdleConnections()
				for n := 0; time.Since(start) < length; n++ {
					var p *process
					for try := 0; try < daemons && p == nil; try++ {
						candidate := d.processes[(i+try)%daemons]
						if candidate != survivor && time.Since(start) >= lostAfter {
							continue
						}
						resp, err := directory.Get("http://" + candidate.address(directoryPort) + "/resolve?name=x&zone=a")
						if err == nil {
							_, _ = io.Copy(io.Discard, resp.Body)
							resp.Body.Close()
							p = candidate
						}
					}
					id := fmt.Sprintf("order-%d-%d", i, n)
					if p != nil {
						resp := d.order(front, p, id)
						ok := resp != nil && resp.StatusCode == http.StatusOK
						ran := len(d.runs(id)) > 0
						mu.Lock()
						switch {
						case ok:
							served++
						case ran && p == survivor:
							cut++
						}
						if !ok && time.Since(start) > lostAfter+2*time.Second {
							lateFailures++
						}
						mu.Unlock()
					}
					time.Sleep(time.Second)
				}
			})
		}
		time.Sleep(lostAfter)
		lost := d.processes[:2]
		d.net.SetPartition(func(from, address string) bool {
			return slices.ContainsFunc(lost, func(p *process) bool { return from == p.name || strings.HasPrefix(address, p.host+":") })
		})
		time.Sleep(2 * time.Second)
		d.setGoalVersion(2) // takes a lease and orders
		wg.Wait()
		d.net.SetPartition(fabric.NoConnections)
		select {
		case err := <-survivor.done:
			survivor.done <- err // for close
			t.Fatalf("the last daemon ended: %v", err)
		default:
		}
		assert.Equal(t, cut, 0, "requests that ran were cut")
		assert.Assert(t, served > callers*int(length/time.Second)/2, "%d served", served)
		assert.Assert(t, lateFailures < callers, "%d requests failed of about %d", lateFailures, callers*12)
		assert.Assert(t, survivor.descriptors.Most() <= sockets)
		lines := countEvents(t, survivor, eventlog.DescriptorsShort)
		assert.Assert(t, lines > 0 && lines <= 3, "%d log lines", lines)
		for _, e := range d.engines {
			assert.Equal(t, e.Version(), 2, "%s got no new weights", e.ID)
		}
		assert.Equal(t, countEvents(t, survivor, eventlog.LeaseAcquired), 1, "the lease was lost before all engines had new weights")
		for _, id := range []eventlog.ID{eventlog.UpstreamDown, eventlog.FeedLost} {
			assert.Equal(t, countEvents(t, survivor, id), 0, "event %d", id)
		}
	})
}

// order sends an order on a kept connection. It returns the response without its body, nil if
// there is none.
func (d *deployment) order(client *http.Client, p *process, id string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.address(callerPort)+"/order/1", nil)
	assert.NilError(d.t, err)
	req.Host = plainHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Key", callerKey)
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp
}

// While a daemon could open no connection, it took its own shortage for failures of engines
// and peers: engines got no requests after it had passed, and peers were reported lost.
func TestOwnShortageIsNoEvidence(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		p := d.processes[0]
		client := &http.Client{Transport: &http.Transport{DialContext: d.net.Dialer("caller")}, Timeout: streamTimeout}
		defer client.CloseIdleConnections()
		resp, err := client.Get("http://" + p.address(callerPort) + "/") // opens the connection
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		lossesBefore := map[*process]int{}
		for _, q := range d.processes {
			lossesBefore[q] = countLosses(t, q)
		}
		p.descriptors.SetLimit(0)
		for n := range 10 {
			resp := d.order(client, p, fmt.Sprint("refused-", n))
			assert.Assert(t, resp != nil)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, resp.Header.Get("Retry-After") != "")
			assert.Equal(t, len(d.runs(fmt.Sprint("refused-", n))), 0, "a request that was refused ran")
		}
		waiting := d.askAllListeners(p)
		time.Sleep(1500 * time.Millisecond)
		p.descriptors.SetLimit(1 << 30)
		for range cap(waiting) {
			assert.NilError(t, <-waiting, "a listener does not serve after the shortage")
		}
		time.Sleep(300 * time.Millisecond)
		for range 30 {
			a := d.ask(p, http.MethodPost, plainHost, "/order/1", nil)
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, http.StatusOK, a.body)
		}
		for _, l := range d.ledgers {
			assert.Assert(t, len(l.Runs()) > 0, "%s gets no requests", l.ID)
		}
		for _, q := range d.processes {
			assert.Equal(t, len(d.resolve(q)), daemons)
			assert.Equal(t, countLosses(t, q), lossesBefore[q], "losses reported by %s", q.name)
		}
	})
}

// askAllListeners connects to all listeners of a daemon at once. The channel receives whether the
// daemon has accepted and answered, or for its peers' listeners accepted, each of the connections.
func (d *deployment) askAllListeners(p *process) chan error {
	ask := map[int]string{callerPort: "/", readyPort: "/readyz", directoryPort: "/resolve?name=x&zone=a", metricsPort: "/metrics", peerPort: "", gossipPort: ""}
	results := make(chan error, len(ask))
	for port, path := range ask {
		go func() {
			if path == "" {
				conn, err := d.net.Dialer("caller")(context.Background(), "tcp", p.address(port))
				if err == nil {
					_, err = conn.Write([]byte{0}) // blocks until the daemon reads
					conn.Close()
				}
				results <- err
				return
			}
			resp, err := d.client().Get("http://" + p.address(port) + path)
			if err == nil {
				resp.Body.Close()
			}
			results <- err
		}()
	}
	return results
}

// countLosses returns how often a daemon reported the loss of an upstream, a peer or a lease.
func countLosses(t *testing.T, p *process) int {
	return countEvents(t, p, eventlog.UpstreamDown) + countEvents(t, p, eventlog.PeerLost) + countEvents(t, p, eventlog.LeaseLost)
}
