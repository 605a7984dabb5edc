package once

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/testseed"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// defaultRapidChecks is the number of random histories checked without
// -rapid.checks.
const defaultRapidChecks = "1000"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", defaultRapidChecks); err != nil {
		panic(err)
	}
	testseed.Main(m)
}

// daemon is an entry daemon with its own platform client.
type daemon struct {
	client  *platformtest.Client
	records *Records
	stop    context.CancelFunc
	// keys holds the keys sent to the daemon.
	keys map[string]bool
}

// testCluster is several daemons in front of a service that counts its runs.
type testCluster struct {
	ctx      context.Context
	platform *platformtest.Platform
	daemons  []*daemon
	calls    sync.WaitGroup

	mu         sync.Mutex
	violations []string
	runs       map[string]int
	replies    map[string]string
	// recordedBy holds, by key, the daemon that returned a reply of its own run
	// and was not killed.
	recordedBy map[string]*daemon
	// mayStayClaimed holds the keys sent to a killed daemon and those of calls with
	// an unknown outcome.
	mayStayClaimed map[string]bool
	// replayed holds the keys whose reply was replayed.
	replayed map[string]bool
}

func newTestCluster(ctx context.Context, daemons int) *testCluster {
	c := &testCluster{ctx: ctx, platform: platformtest.New(), runs: map[string]int{}, replies: map[string]string{}, recordedBy: map[string]*daemon{}, mayStayClaimed: map[string]bool{}, replayed: map[string]bool{}}
	for range daemons {
		c.daemons = append(c.daemons, c.newDaemon())
	}
	return c
}

func (cluster *testCluster) newDaemon() *daemon {
	c := cluster.platform.Client()
	ctx, stop := context.WithCancel(cluster.ctx)
	d := &daemon{client: c, records: New(c, c.Objects(), eventlog.Discard()), stop: stop, keys: map[string]bool{}}
	go func() { _ = d.records.Run(ctx) }()
	return d
}

// replaceDaemon kills a daemon and starts a new one. Outcomes that it had not
// recorded are lost, so the keys sent to it may stay claimed.
func (c *testCluster) replaceDaemon(i int) {
	c.mu.Lock()
	for key := range c.daemons[i].keys {
		c.mayStayClaimed[key] = true
	}
	c.mu.Unlock()
	c.daemons[i].client.Kill()
	c.daemons[i].stop()
	c.daemons[i] = c.newDaemon()
}

func (c *testCluster) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// serviceResponse describes how the service handles one call.
type serviceResponse struct {
	runs       bool
	errVerdict verdict.Verdict // of the error, if replies is false
	replies    bool
	duration   time.Duration
	largeReply bool
}

func (c *testCluster) call(d *daemon, key, body string, response serviceResponse, timeout time.Duration) {
	d.keys[key] = true
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		ranHere := false
		reply, replayed, err := d.records.Do(ctx, Key{"hollow", "orders", key}, digest(body), func(ctx context.Context) (*upstream.Reply, error) {
			return c.run(d, key, body, response, &ranHere)
		})
		c.check(d, key, body, ranHere, reply, replayed, err)
	})
}

func (c *testCluster) run(d *daemon, key, body string, response serviceResponse, ranHere *bool) (*upstream.Reply, error) {
	if d.client.Killed() {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "killed")
	}
	c.mu.Lock()
	text := fmt.Sprintf("%s/%s/%d", key, body, c.runs[key])
	if response.runs {
		*ranHere = true
		c.runs[key]++
		c.replies[key] = text
	}
	c.mayStayClaimed[key] = c.mayStayClaimed[key] || !response.replies && response.errVerdict == verdict.MayHaveRun
	c.mu.Unlock()
	time.Sleep(response.duration)
	if !response.replies {
		return nil, verdict.New(response.errVerdict, verdict.CodeUpstreamFailed, "failed")
	}
	if response.largeReply {
		text += strings.Repeat(" ", maxInlineReplyBytes)
	}
	return &upstream.Reply{Status: 200, Body: []byte(text)}, nil
}

func (c *testCluster) check(d *daemon, key, body string, ranHere bool, reply *upstream.Reply, replayed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[key] > 1 {
		c.addViolation("%s ran %d times", key, c.runs[key])
	}
	if d.client.Killed() {
		return
	}
	if err == nil {
		if got := strings.TrimSpace(string(reply.Body)); got != c.replies[key] || !strings.HasPrefix(got, key+"/"+body+"/") {
			c.addViolation("%s with body %s: got the reply %q, want %q", key, body, got, c.replies[key])
		}
		if replayed {
			c.replayed[key] = true
		} else {
			c.recordedBy[key] = d
		}
		return
	}
	switch v := verdict.Of(err); {
	case v == verdict.NotRun && ranHere:
		c.addViolation("%s got the verdict not-run but ran", key)
	case v == verdict.Ran && c.runs[key] == 0:
		c.addViolation("%s got the verdict ran but did not run", key)
	}
}

var serviceResponses = []serviceResponse{
	{runs: true, replies: true},
	{runs: true, replies: true, largeReply: true},
	{runs: true, replies: true, duration: 3 * time.Second},
	{runs: true, errVerdict: verdict.MayHaveRun, duration: time.Second},
	{runs: true, errVerdict: verdict.Ran},
	{errVerdict: verdict.MayHaveRun},
	{errVerdict: verdict.NotRun},
	{errVerdict: verdict.NotRun, duration: time.Second},
}

// TestAtMostOnce sends the same keys repeatedly through several daemons under
// faults. Each key runs at most once, every answer is correct, and after the
// faults end the reply of a successful call is replayed.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			cluster := newTestCluster(ctx, 3)
			daemonIndex := rapid.IntRange(0, 2)
			fault := rapid.Map(rapid.IntRange(0, int(platformtest.FaultCount)-1), func(i int) platformtest.Fault { return platformtest.Fault(i) })
			t.Repeat(map[string]func(*rapid.T){
				"call": func(t *rapid.T) {
					d := cluster.daemons[daemonIndex.Draw(t, "daemon")]
					d.client.QueueFaults(rapid.SliceOfN(fault, 0, 5).Draw(t, "faults")...)
					body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
					response := rapid.SampledFrom(serviceResponses).Draw(t, "response")
					timeout := time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout")) * time.Second
					cluster.call(d, rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), body, response, timeout)
				},
				"sleep": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				},
				"kill": func(t *rapid.T) { cluster.replaceDaemon(daemonIndex.Draw(t, "daemon")) },
				"switch": func(t *rapid.T) {
					c := cluster.daemons[daemonIndex.Draw(t, "daemon")].client
					c.SetDown(rapid.Bool().Draw(t, "table"), rapid.Bool().Draw(t, "objects"))
					c.SetUnresponsive(rapid.IntRange(0, 4).Draw(t, "silent") == 0)
					c.SetLateDelay(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "late")) * time.Millisecond)
					c.SetDelay(time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond)
				},
				"": func(t *rapid.T) { cluster.failOnViolations(t) },
			})
			cluster.clearFaults()
			cluster.calls.Wait()
			time.Sleep(30 * time.Second) // a pending fault may still kill a daemon
			cluster.clearFaults()
			time.Sleep(5 * time.Minute)
			cluster.resendAll()
			cluster.failOnViolations(t)
			cancel()
			synctest.Wait()
		})
	})
}

func (c *testCluster) failOnViolations(t *rapid.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) > 0 {
		t.Fatalf("%s", strings.Join(c.violations, "\n"))
	}
}

func (c *testCluster) clearFaults() {
	for i, d := range c.daemons {
		if d.client.Killed() {
			c.replaceDaemon(i)
			continue
		}
		d.client.ClearFaults()
		d.client.SetDown(false, false)
		d.client.SetUnresponsive(false)
		d.client.SetDelay(0)
	}
}

// resendAll sends each key once more: a stored reply is replayed, and a call that
// did not run runs.
func (c *testCluster) resendAll() {
	clear(c.replayed)
	for _, key := range []string{"k1", "k2"} {
		c.mu.Lock()
		d := c.recordedBy[key]
		c.mu.Unlock()
		for _, body := range []string{"a", "b"} {
			c.call(c.daemons[0], key, body, serviceResponse{runs: true, replies: true}, time.Minute)
			c.calls.Wait()
		}
		c.mu.Lock()
		if d != nil && !d.client.Killed() && (c.runs[key] != 1 || !c.replayed[key]) {
			c.addViolation("%s ran %d times, reply replayed: %v", key, c.runs[key], c.replayed[key])
		}
		if d == nil && !c.mayStayClaimed[key] && c.runs[key] == 0 {
			c.addViolation("%s did not run although its key could be claimed", key)
		}
		c.mu.Unlock()
	}
}

// TestLateClaim lets a claim reach the table after its call was refused. The key
// can still be claimed again.
func TestLateClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cluster := newTestCluster(ctx, 2)
		first := cluster.daemons[0]
		first.client.QueueFaults(platformtest.LateEffect)
		first.client.SetLateDelay(10 * time.Second)
		cluster.call(first, "k", "a", serviceResponse{runs: true, replies: true}, time.Second)
		synctest.Wait()
		first.client.SetDown(true, true)
		cluster.calls.Wait()
		assert.Equal(t, cluster.runs["k"], 0)
		first.client.SetDown(false, false)
		time.Sleep(20 * time.Second)
		cluster.call(cluster.daemons[1], "k", "a", serviceResponse{runs: true, replies: true}, time.Minute)
		cluster.calls.Wait()
		assert.Equal(t, cluster.runs["k"], 1)
		assert.DeepEqual(t, cluster.violations, []string(nil))
		cancel()
	})
}

// TestTableOutage takes the table down for an hour. Calls are refused as not run,
// the queue of outcomes stays bounded, and the writes after the table's return
// are spread out.
func TestTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		const daemons, runningCalls = 12, 12
		cluster := newTestCluster(ctx, daemons)
		// Each daemon has calls running when the outage begins.
		for i, d := range cluster.daemons {
			for j := range runningCalls {
				cluster.call(d, fmt.Sprintf("running-%d-%d", i, j), "a", serviceResponse{runs: true, replies: true, duration: 2 * time.Second}, time.Minute)
			}
		}
		time.Sleep(time.Second)
		for _, d := range cluster.daemons {
			d.client.SetDown(true, true)
		}
		refused := 0
		for minute := range 60 {
			for i, d := range cluster.daemons {
				_, _, err := d.records.Do(ctx, Key{"hollow", "orders", fmt.Sprintf("%d-%d", minute, i)}, digest("a"), nil)
				assert.Equal(t, verdict.Of(err), verdict.NotRun)
				e, _ := verdict.As(err)
				assert.Equal(t, e.Code, verdict.CodePlatformUnavailable)
				assert.Assert(t, e.RetryAfter > 0)
				refused++
				assert.Assert(t, d.records.PendingOutcomes() <= runningCalls)
			}
			time.Sleep(time.Minute)
		}
		cluster.clearFaults()
		maxWritesPerSecond := 0
		for range 120 {
			_, before := cluster.platform.CountCalls()
			time.Sleep(time.Second)
			_, after := cluster.platform.CountCalls()
			maxWritesPerSecond = max(maxWritesPerSecond, after-before)
		}
		assert.Assert(t, maxWritesPerSecond <= daemons, "%d writes in one second", maxWritesPerSecond)
		for i, d := range cluster.daemons {
			assert.Equal(t, d.records.PendingOutcomes(), 0)
			for j := range runningCalls {
				cluster.call(cluster.daemons[(i+1)%daemons], fmt.Sprintf("running-%d-%d", i, j), "a", serviceResponse{}, time.Minute)
			}
		}
		cluster.calls.Wait()
		assert.DeepEqual(t, cluster.violations, []string(nil))
		t.Logf("%d calls refused; at most %d writes a second after the outage", refused, maxWritesPerSecond)
		cancel()
	})
}

// TestSweep checks that expired records and their stored replies are deleted, and
// no others.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cluster := newTestCluster(ctx, 1)
		for i := range 300 {
			cluster.call(cluster.daemons[0], fmt.Sprint(i), "a", serviceResponse{runs: true, replies: true, largeReply: i%2 == 0}, time.Minute)
		}
		cluster.calls.Wait()
		assert.Equal(t, cluster.platform.CountRows(rowPrefix), 300)
		time.Sleep(Retention)
		assert.Equal(t, cluster.platform.CountRows(rowPrefix), 300)
		time.Sleep(maxClockSkew + time.Hour)
		assert.Equal(t, cluster.platform.CountRows(rowPrefix), 0)
		keys, err := cluster.daemons[0].client.Objects().List(ctx, objectPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(keys), 0)
		cancel()
	})
}

// TestPendingOutcomesAreBounded checks the queue's bounds on number and bytes.
func TestPendingOutcomesAreBounded(t *testing.T) {
	q := newOutcomeQueue()
	for range maxPendingOutcomes + 10 {
		q.add(pendingOutcome{reply: &upstream.Reply{Body: make([]byte, 16<<10)}})
	}
	assert.Assert(t, len(q.queue) <= maxPendingOutcomes && q.replyBytes <= maxPendingReplyBytes)
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeRecord(record{State: claimed, Nonce: "n", ClaimedAt: 1}))
	f.Add(encodeRecord(record{State: answered, Nonce: "n", Reply: &reply{Status: 200, Body: []byte("x")}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decodeRecord(b)
		if err != nil {
			return
		}
		again, err := decodeRecord(encodeRecord(r))
		assert.NilError(t, err)
		assert.Equal(t, again.State, r.State)
		assert.Equal(t, again.Nonce, r.Nonce)
	})
}

func FuzzDecodeReply(f *testing.F) {
	f.Add(mustEncode(&reply{Status: 200, Body: []byte("x")}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if r, err := decodeReply(b); err == nil {
			_ = r.toUpstream()
		}
	})
}
