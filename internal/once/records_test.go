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

// checks is the number of random histories of a run without -rapid.checks.
const checks = "1000"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", checks); err != nil {
		panic(err)
	}
	testseed.Main(m)
}

// daemon is one entry daemon with its own view of the platform.
type daemon struct {
	client  *platformtest.Client
	records *Records
	stop    context.CancelFunc
	// keys are those that were sent to the daemon.
	keys map[string]bool
}

// world is several daemons before one service that counts its runs.
type world struct {
	ctx      context.Context
	platform *platformtest.Platform
	daemons  []*daemon
	calls    sync.WaitGroup

	mu       sync.Mutex
	failures []string
	runs     map[string]int
	replies  map[string]string
	// kept holds keys whose run ended well at a daemon that was not killed.
	kept map[string]*daemon
	// spoilt holds keys that may stay claimed: a daemon was killed or nobody knows the outcome.
	spoilt map[string]bool
	// replayed holds keys whose reply was given again.
	replayed map[string]bool
}

func newWorld(ctx context.Context, n int) *world {
	w := &world{ctx: ctx, platform: platformtest.New(), runs: map[string]int{}, replies: map[string]string{}, kept: map[string]*daemon{}, spoilt: map[string]bool{}, replayed: map[string]bool{}}
	for range n {
		w.daemons = append(w.daemons, w.newDaemon())
	}
	return w
}

func (w *world) newDaemon() *daemon {
	c := w.platform.Client()
	ctx, stop := context.WithCancel(w.ctx)
	d := &daemon{client: c, records: New(c, c.Objects(), eventlog.Discard()), stop: stop, keys: map[string]bool{}}
	go func() { _ = d.records.Run(ctx) }()
	return d
}

// replace kills a daemon. What it had not recorded is lost, so that the keys
// sent to it may stay claimed.
func (w *world) replace(i int) {
	w.mu.Lock()
	for key := range w.daemons[i].keys {
		w.spoilt[key] = true
	}
	w.mu.Unlock()
	w.daemons[i].client.Kill()
	w.daemons[i].stop()
	w.daemons[i] = w.newDaemon()
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

// behaviour is what one run at the service does.
type behaviour struct {
	executes bool
	result   verdict.Verdict // of the error; Ran with answered set is no error
	answered bool
	duration time.Duration
	large    bool
}

func (w *world) call(d *daemon, key, body string, b behaviour, timeout time.Duration) {
	d.keys[key] = true
	w.calls.Go(func() {
		ctx, cancel := context.WithTimeout(w.ctx, timeout)
		defer cancel()
		ranHere := false
		reply, replayed, err := d.records.Do(ctx, Key{"hollow", "orders", key}, digest(body), func(ctx context.Context) (*upstream.Reply, error) {
			return w.run(d, key, body, b, &ranHere)
		})
		w.check(d, key, body, ranHere, reply, replayed, err)
	})
}

func (w *world) run(d *daemon, key, body string, b behaviour, ranHere *bool) (*upstream.Reply, error) {
	if d.client.Killed() {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "killed")
	}
	w.mu.Lock()
	text := fmt.Sprintf("%s/%s/%d", key, body, w.runs[key])
	if b.executes {
		*ranHere = true
		w.runs[key]++
		w.replies[key] = text
	}
	w.spoilt[key] = w.spoilt[key] || !b.answered && b.result == verdict.MayHaveRun
	w.mu.Unlock()
	time.Sleep(b.duration)
	if !b.answered {
		return nil, verdict.New(b.result, verdict.CodeUpstreamFailed, "failed")
	}
	if b.large {
		text += strings.Repeat(" ", maxInlineBytes)
	}
	return &upstream.Reply{Status: 200, Body: []byte(text)}, nil
}

func (w *world) check(d *daemon, key, body string, ranHere bool, reply *upstream.Reply, replayed bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[key] > 1 {
		w.fail("%s ran %d times", key, w.runs[key])
	}
	if d.client.Killed() {
		return
	}
	if err == nil {
		if got := strings.TrimSpace(string(reply.Body)); got != w.replies[key] || !strings.HasPrefix(got, key+"/"+body+"/") {
			w.fail("%s with body %s: got the reply %q, want %q", key, body, got, w.replies[key])
		}
		if replayed {
			w.replayed[key] = true
		} else {
			w.kept[key] = d
		}
		return
	}
	switch v := verdict.Of(err); {
	case v == verdict.NotRun && ranHere:
		w.fail("%s was told not-run but ran", key)
	case v == verdict.Ran && w.runs[key] == 0:
		w.fail("%s was told ran but did not run", key)
	}
}

var behaviours = []behaviour{
	{executes: true, answered: true},
	{executes: true, answered: true, large: true},
	{executes: true, answered: true, duration: 3 * time.Second},
	{executes: true, result: verdict.MayHaveRun, duration: time.Second},
	{executes: true, result: verdict.Ran},
	{result: verdict.MayHaveRun},
	{result: verdict.NotRun},
	{result: verdict.NotRun, duration: time.Second},
}

// One key sent again and again through several daemons runs at most once
// whatever fails, every answer is true, and after the faults end the outcome
// of a call that ended well is given again.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w := newWorld(ctx, 3)
			pick := rapid.IntRange(0, 2)
			fault := rapid.Map(rapid.IntRange(0, int(platformtest.Faults)-1), func(i int) platformtest.Fault { return platformtest.Fault(i) })
			t.Repeat(map[string]func(*rapid.T){
				"call": func(t *rapid.T) {
					d := w.daemons[pick.Draw(t, "daemon")]
					d.client.Plan(rapid.SliceOfN(fault, 0, 5).Draw(t, "faults")...)
					body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
					b := rapid.SampledFrom(behaviours).Draw(t, "behaviour")
					timeout := time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout")) * time.Second
					w.call(d, rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), body, b, timeout)
				},
				"sleep": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				},
				"kill": func(t *rapid.T) { w.replace(pick.Draw(t, "daemon")) },
				"switch": func(t *rapid.T) {
					c := w.daemons[pick.Draw(t, "daemon")].client
					c.SetDown(rapid.Bool().Draw(t, "table"), rapid.Bool().Draw(t, "objects"))
					c.SetSilent(rapid.IntRange(0, 4).Draw(t, "silent") == 0)
					c.SetLateDelay(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "late")) * time.Millisecond)
					c.SetDelay(time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond)
				},
				"": func(t *rapid.T) { w.report(t) },
			})
			w.heal()
			w.calls.Wait()
			time.Sleep(30 * time.Second) // a planned fault may still kill a daemon
			w.heal()
			time.Sleep(5 * time.Minute)
			w.repeatAll()
			w.report(t)
			cancel()
			synctest.Wait()
		})
	})
}

func (w *world) report(t *rapid.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.failures) > 0 {
		t.Fatalf("%s", strings.Join(w.failures, "\n"))
	}
}

func (w *world) heal() {
	for i, d := range w.daemons {
		if d.client.Killed() {
			w.replace(i)
			continue
		}
		d.client.ClearPlan()
		d.client.SetDown(false, false)
		d.client.SetSilent(false)
		d.client.SetDelay(0)
	}
}

// repeatAll sends each key once more: a reply that was kept is given again,
// and a call that certainly did not run is run.
func (w *world) repeatAll() {
	clear(w.replayed)
	for _, key := range []string{"k1", "k2"} {
		w.mu.Lock()
		d := w.kept[key]
		w.mu.Unlock()
		for _, body := range []string{"a", "b"} {
			w.call(w.daemons[0], key, body, behaviour{executes: true, answered: true}, time.Minute)
			w.calls.Wait()
		}
		w.mu.Lock()
		if d != nil && !d.client.Killed() && (w.runs[key] != 1 || !w.replayed[key]) {
			w.fail("%s ran %d times, reply given again: %v", key, w.runs[key], w.replayed[key])
		}
		if d == nil && !w.spoilt[key] && w.runs[key] == 0 {
			w.fail("%s was never run though nothing stood in its way", key)
		}
		w.mu.Unlock()
	}
}

// A claim that arrives after its call was refused does not keep the key.
func TestLateClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 2)
		first := w.daemons[0]
		first.client.Plan(platformtest.LateEffect)
		first.client.SetLateDelay(10 * time.Second)
		w.call(first, "k", "a", behaviour{executes: true, answered: true}, time.Second)
		synctest.Wait()
		first.client.SetDown(true, true)
		w.calls.Wait()
		assert.Equal(t, w.runs["k"], 0)
		first.client.SetDown(false, false)
		time.Sleep(20 * time.Second)
		w.call(w.daemons[1], "k", "a", behaviour{executes: true, answered: true}, time.Minute)
		w.calls.Wait()
		assert.Equal(t, w.runs["k"], 1)
		assert.DeepEqual(t, w.failures, []string(nil))
		cancel()
	})
}

// A table down for an hour: calls are refused not-run, nothing grows without
// bound, and its return is not met with a burst.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		const daemons, running = 12, 12
		w := newWorld(ctx, daemons)
		// Each daemon has calls running when the table goes away.
		for i, d := range w.daemons {
			for j := range running {
				w.call(d, fmt.Sprintf("running-%d-%d", i, j), "a", behaviour{executes: true, answered: true, duration: 2 * time.Second}, time.Minute)
			}
		}
		time.Sleep(time.Second)
		for _, d := range w.daemons {
			d.client.SetDown(true, true)
		}
		refused := 0
		for minute := range 60 {
			for i, d := range w.daemons {
				_, _, err := d.records.Do(ctx, Key{"hollow", "orders", fmt.Sprintf("%d-%d", minute, i)}, digest("a"), nil)
				assert.Equal(t, verdict.Of(err), verdict.NotRun)
				e, _ := verdict.As(err)
				assert.Equal(t, e.Code, verdict.CodePlatformUnavailable)
				assert.Assert(t, e.RetryAfter > 0)
				refused++
				assert.Assert(t, d.records.Pending() <= running)
			}
			time.Sleep(time.Minute)
		}
		w.heal()
		most := 0
		for range 120 {
			_, before := w.platform.Calls()
			time.Sleep(time.Second)
			_, after := w.platform.Calls()
			most = max(most, after-before)
		}
		assert.Assert(t, most <= daemons, "%d writes in one second", most)
		for i, d := range w.daemons {
			assert.Equal(t, d.records.Pending(), 0)
			for j := range running {
				w.call(w.daemons[(i+1)%daemons], fmt.Sprintf("running-%d-%d", i, j), "a", behaviour{}, time.Minute)
			}
		}
		w.calls.Wait()
		assert.DeepEqual(t, w.failures, []string(nil))
		t.Logf("%d calls refused; at most %d writes a second after the return", refused, most)
		cancel()
	})
}

// Expired records and their kept replies are deleted, others are not.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 1)
		for i := range 300 {
			w.call(w.daemons[0], fmt.Sprint(i), "a", behaviour{executes: true, answered: true, large: i%2 == 0}, time.Minute)
		}
		w.calls.Wait()
		assert.Equal(t, w.platform.Rows(rowPrefix), 300)
		time.Sleep(Retention)
		assert.Equal(t, w.platform.Rows(rowPrefix), 300)
		time.Sleep(clockAllowance + time.Hour)
		assert.Equal(t, w.platform.Rows(rowPrefix), 0)
		keys, err := w.daemons[0].client.Objects().List(ctx, objectPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(keys), 0)
		cancel()
	})
}

// The bound on pending settlements holds by number and by bytes.
func TestPendingBounded(t *testing.T) {
	q := newSettlements()
	for range maxPending + 10 {
		q.add(settlement{reply: &upstream.Reply{Body: make([]byte, 16<<10)}})
	}
	assert.Assert(t, len(q.queue) <= maxPending && q.bytes <= maxPendingBytes)
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
			_ = r.upstream()
		}
	})
}
