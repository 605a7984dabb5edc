package wholepath

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/telemetry"
	"github.com/verbenabend/verbenabend/internal/verdict"
	"github.com/verbenabend/verbenabend/lab/platform"
)

const (
	askInterval = 5 * time.Second
	orderEvery  = 12 // asks
	// returnBound is how long after the platform's return an order works.
	returnBound = 5 * time.Second
	// callsPerSecond bounds the calls of a daemon to the platform, on average
	// over the outage; returnCalls those in any second of the minute after it.
	callsPerSecond = 4
	returnCalls    = 6
	// grownGoroutines bounds what an outage may add, over all daemons.
	grownGoroutines = 30
	// grownFacts allows each daemon the load figures of all, which come and go.
	grownFacts = clusterDaemons * clusterDaemons
	// drainBound is how long after the return all outcomes are recorded.
	drainBound = 90 * time.Second
)

// outage is how long the platform is away; -short makes it ten minutes.
func outage() time.Duration {
	if testing.Short() {
		return 10 * time.Minute
	}
	return time.Hour
}

// TestPlatformOutage takes the platform away for an hour in three ways.
func TestPlatformOutage(t *testing.T) {
	for _, x := range []struct {
		name    string
		faults  platform.Faults
		refused bool // orders can't run
		pending int  // greatest number of outcomes that may wait in the end
	}{
		{"down", platform.Faults{Down: true}, true, 0},
		{"silent", platform.Faults{Silent: true}, true, int(outage() / (orderEvery * askInterval))}, // one an order
		{"slow", platform.Faults{DelayMS: 1500}, false, clusterDaemons},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			runCluster(t, func(t *testing.T, c *cluster) { spendOutage(t, c, x.faults, x.refused, x.pending) })
		})
	}
}

func spendOutage(t *testing.T, c *cluster, faults platform.Faults, refused bool, pending int) {
	_, err := c.order(0)
	assert.NilError(t, err)
	c.platform.SetFaults(faults)
	c.work(t, 5*time.Minute, refused)
	before := c.measure(t)
	c.work(t, outage()-5*time.Minute, refused)
	assert.Assert(t, c.all(func(s *entry.Status) bool { return s.Ready && s.PlatformUp != refused }), "state of the platform")
	after := c.measure(t)
	t.Logf("after 5 min %+v\nin the end %+v", before, after)
	assert.Assert(t, after.goroutines <= before.goroutines+grownGoroutines, "%d goroutines, %d before", after.goroutines, before.goroutines)
	assert.Assert(t, after.facts <= before.facts+grownFacts, "%d facts, %d before", after.facts, before.facts)
	assert.Assert(t, after.pending <= pending, "%d outcomes wait, want at most %d", after.pending, pending)
	perSecond := float64(after.calls-before.calls) / (outage() - 5*time.Minute).Seconds() / clusterDaemons
	assert.Assert(t, perSecond <= callsPerSecond, "%.1f calls a second and daemon during the outage", perSecond)
	c.comeBack(t)
}

// comeBack ends the outage and checks that the platform is not overrun.
func (c *cluster) comeBack(t *testing.T) {
	c.platform.SetFaults(platform.Faults{})
	returned := time.Now()
	first := c.busiest(1)
	for i := range clusterDaemons {
		c.await(returnBound-time.Since(returned), "an order works", func() bool {
			key, err := c.order(i)
			runs := c.ledger.Runs()[key]
			assert.Assert(t, err != nil && runs == 0 || err == nil && runs == 1, "%v, ran %d times", err, runs)
			return err == nil
		})
	}
	c.await(returnBound-time.Since(returned), "all reach the platform", func() bool {
		return c.all(func(s *entry.Status) bool { return s.PlatformUp })
	})
	later := c.busiest(60)
	t.Logf("%d calls in the first second after the return, at most %d in a later one", first, later)
	assert.Assert(t, max(first, later) <= returnCalls*clusterDaemons, "%d calls in the first second after the return, %d in a later one", first, later)
	c.await(drainBound, "all outcomes are recorded", func() bool { return c.measure(t).pending == 0 })
}

// busiest returns the most calls to the platform within one of the next seconds.
func (c *cluster) busiest(seconds int) int {
	most := 0
	for range seconds {
		before := c.calls()
		time.Sleep(time.Second)
		most = max(most, c.calls()-before)
	}
	return most
}

// work asks and orders at all daemons in turn.
func (c *cluster) work(t *testing.T, span time.Duration, refused bool) {
	t.Helper()
	end := time.Now().Add(span)
	for n := 0; time.Now().Before(end); n++ {
		_, err := c.ask(n%clusterDaemons, fmt.Sprintf("Which blue? %d", n))
		assert.NilError(t, err)
		if n%orderEvery == 0 {
			c.checkOrder(t, n/orderEvery%clusterDaemons, refused)
		}
		time.Sleep(askInterval)
	}
}

// checkOrder places an order and compares what it is told with what was run.
func (c *cluster) checkOrder(t *testing.T, i int, refused bool) {
	t.Helper()
	key, err := c.order(i)
	runs := c.ledger.Runs()[key]
	if refused {
		assert.Equal(t, verdict.Of(err), verdict.NotRun, "%v", err)
		assert.Equal(t, runs, 0)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, runs, 1)
}

// measured is what may not grow.
type measured struct {
	goroutines, facts, pending, calls int
}

func (c *cluster) measure(t *testing.T) measured {
	m := measured{goroutines: goroutines(), calls: c.calls()}
	for i := range clusterDaemons {
		m.facts += c.metric(t, i, telemetry.NameGossipFacts)
		m.pending += c.metric(t, i, telemetry.NameOncePending)
	}
	return m
}

var bubblePattern = regexp.MustCompile(`synctest bubble [0-9]+`)

// goroutines counts the goroutines of the bubble that it is called in.
func goroutines() int {
	own := bubblePattern.Find(stacks(false))
	return bytes.Count(stacks(true), append(own, ']'))
}

func stacks(all bool) []byte {
	buffer := make([]byte, 16<<20)
	return buffer[:runtime.Stack(buffer, all)]
}

func (c *cluster) calls() int {
	reads, writes := c.platform.Calls()
	return int(reads + writes)
}

// metric returns the value of one metric of a daemon.
func (c *cluster) metric(t *testing.T, i int, name string) int {
	resp, err := c.http.Get("http://" + operators(i) + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	for line := range bytes.Lines(raw) {
		if value, ok := strings.CutPrefix(string(line), name+" "); ok {
			v, err := strconv.Atoi(strings.TrimSpace(value))
			assert.NilError(t, err)
			return v
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}
