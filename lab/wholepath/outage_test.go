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
	askInterval  = 5 * time.Second
	asksPerOrder = 12
	// recoveryBound is the time after the end of an outage in which orders work again.
	recoveryBound = 5 * time.Second
	// maxCallsPerSecond limits the mean rate of a daemon's calls to the platform
	// during the outage, maxCallsPerSecondAfterOutage the rate in any second of the
	// minute after it.
	maxCallsPerSecond            = 4
	maxCallsPerSecondAfterOutage = 6
	// maxAddedGoroutines limits the growth during an outage, over all daemons.
	maxAddedGoroutines = 30
	// maxAddedFacts leaves room for every daemon's load figures at every daemon:
	// these facts come and go.
	maxAddedFacts = clusterDaemons * clusterDaemons
	// pendingOutcomesBound is the time after an outage in which all outcomes are recorded.
	pendingOutcomesBound = 90 * time.Second
)

// outageDuration is one hour, or ten minutes with -short.
func outageDuration() time.Duration {
	if testing.Short() {
		return 10 * time.Minute
	}
	return time.Hour
}

// TestPlatformOutage makes the platform fail for an hour in three ways. Daemons
// must serve throughout, use bounded resources, and not overload the platform
// when it returns.
func TestPlatformOutage(t *testing.T) {
	for _, x := range []struct {
		name          string
		faults        platform.Faults
		ordersRefused bool
		maxPending    int // pending outcomes at the end of the outage
	}{
		{"down", platform.Faults{Down: true}, true, 0},
		{"silent", platform.Faults{Silent: true}, true, int(outageDuration() / (asksPerOrder * askInterval))}, // one per order
		{"slow", platform.Faults{DelayMS: 1500}, false, clusterDaemons},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			runCluster(t, func(t *testing.T, c *cluster) { runOutage(t, c, x.faults, x.ordersRefused, x.maxPending) })
		})
	}
}

func runOutage(t *testing.T, c *cluster, faults platform.Faults, ordersRefused bool, maxPending int) {
	_, err := c.order(0)
	assert.NilError(t, err)
	c.platform.SetFaults(faults)
	c.runWorkload(t, 5*time.Minute, ordersRefused)
	before := c.resourceUsage(t)
	c.runWorkload(t, outageDuration()-5*time.Minute, ordersRefused)
	assert.Assert(t, c.all(func(s *entry.Status) bool { return s.Ready && s.PlatformUp != ordersRefused }), "state of the platform")
	after := c.resourceUsage(t)
	t.Logf("after 5 min %+v\nin the end %+v", before, after)
	assert.Assert(t, after.goroutines <= before.goroutines+maxAddedGoroutines, "%d goroutines, %d before", after.goroutines, before.goroutines)
	assert.Assert(t, after.facts <= before.facts+maxAddedFacts, "%d facts, %d before", after.facts, before.facts)
	assert.Assert(t, after.pending <= maxPending, "%d pending outcomes, want at most %d", after.pending, maxPending)
	perSecond := float64(after.calls-before.calls) / (outageDuration() - 5*time.Minute).Seconds() / clusterDaemons
	assert.Assert(t, perSecond <= maxCallsPerSecond, "%.1f calls per second and daemon during the outage", perSecond)
	c.checkRecovery(t)
}

// checkRecovery ends the outage and checks that daemons recover without
// overloading the platform.
func (c *cluster) checkRecovery(t *testing.T) {
	c.platform.SetFaults(platform.Faults{})
	returned := time.Now()
	first := c.peakCallsPerSecond(1)
	for i := range clusterDaemons {
		c.await(recoveryBound-time.Since(returned), "an order works", func() bool {
			key, err := c.order(i)
			runs := c.ledger.RunsByKey()[key]
			assert.Assert(t, err != nil && runs == 0 || err == nil && runs == 1, "%v, ran %d times", err, runs)
			return err == nil
		})
	}
	c.await(recoveryBound-time.Since(returned), "all reach the platform", func() bool {
		return c.all(func(s *entry.Status) bool { return s.PlatformUp })
	})
	later := c.peakCallsPerSecond(60)
	t.Logf("%d calls in the first second after the return, at most %d in a later one", first, later)
	assert.Assert(t, max(first, later) <= maxCallsPerSecondAfterOutage*clusterDaemons, "%d calls in the first second after the return, %d in a later one", first, later)
	c.await(pendingOutcomesBound, "all outcomes are recorded", func() bool { return c.resourceUsage(t).pending == 0 })
}

// peakCallsPerSecond returns the highest number of platform calls in any of the
// next seconds.
func (c *cluster) peakCallsPerSecond(seconds int) int {
	peak := 0
	for range seconds {
		before := c.platformCalls()
		time.Sleep(time.Second)
		peak = max(peak, c.platformCalls()-before)
	}
	return peak
}

// runWorkload sends questions and orders to all daemons in turn.
func (c *cluster) runWorkload(t *testing.T, duration time.Duration, ordersRefused bool) {
	t.Helper()
	end := time.Now().Add(duration)
	for n := 0; time.Now().Before(end); n++ {
		_, err := c.ask(n%clusterDaemons, fmt.Sprintf("Which blue? %d", n))
		assert.NilError(t, err)
		if n%asksPerOrder == 0 {
			c.checkOrder(t, n/asksPerOrder%clusterDaemons, ordersRefused)
		}
		time.Sleep(askInterval)
	}
}

// checkOrder places an order and compares the verdict with the service's runs.
func (c *cluster) checkOrder(t *testing.T, i int, orderRefused bool) {
	t.Helper()
	key, err := c.order(i)
	runs := c.ledger.RunsByKey()[key]
	if orderRefused {
		assert.Equal(t, verdict.Of(err), verdict.NotRun, "%v", err)
		assert.Equal(t, runs, 0)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, runs, 1)
}

// resourceUsage holds the quantities that an outage may not grow without bound.
type resourceUsage struct {
	goroutines, facts, pending, calls int
}

func (c *cluster) resourceUsage(t *testing.T) resourceUsage {
	m := resourceUsage{goroutines: countGoroutines(), calls: c.platformCalls()}
	for i := range clusterDaemons {
		m.facts += c.metricValue(t, i, telemetry.NameGossipFacts)
		m.pending += c.metricValue(t, i, telemetry.NameOncePendingOutcomes)
	}
	return m
}

var bubblePattern = regexp.MustCompile(`synctest bubble [0-9]+`)

// countGoroutines counts the goroutines of the synctest bubble that it is called in.
func countGoroutines() int {
	bubble := bubblePattern.Find(stacks(false))
	return bytes.Count(stacks(true), append(bubble, ']'))
}

func stacks(all bool) []byte {
	buffer := make([]byte, 16<<20)
	return buffer[:runtime.Stack(buffer, all)]
}

func (c *cluster) platformCalls() int {
	reads, writes := c.platform.Calls()
	return int(reads + writes)
}

// metricValue returns the value of an unlabelled metric of a daemon.
func (c *cluster) metricValue(t *testing.T, i int, name string) int {
	resp, err := c.http.Get("http://" + operatorAddress(i) + "/metrics")
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
