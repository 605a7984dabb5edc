package lease

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// testCluster holds the competing candidates and records violations of the
// lease's guarantees.
type testCluster struct {
	ctx      context.Context
	platform *platformtest.Platform
	// maxActionDelay exceeds the time that any action is in flight.
	maxActionDelay time.Duration
	// exclusive is set if a candidate that is started again knows its lease to be over.
	exclusive  bool
	candidates []*candidate

	mu       sync.Mutex
	failures []string
	leases   []*Lease
	fences   map[uint64]int
	// greatestFence is the greatest fencing token under which an action took effect.
	greatestFence uint64
}

type candidate struct {
	client *platformtest.Client
	stop   context.CancelFunc
	done   chan struct{}
}

// end waits until a stopped candidate can no longer act, if its next process relies on
// that: it could not listen on the same address before. A killed one is gone at once.
func (tc *testCluster) end(c *candidate) {
	if !tc.exclusive {
		return
	}
	if !c.client.Killed() {
		<-c.done
	}
	time.Sleep(time.Millisecond) // a process takes time to start
}

func (tc *testCluster) start(id int) *candidate {
	ctx, stop := context.WithCancel(tc.ctx)
	c := &candidate{client: tc.platform.Client(), stop: stop, done: make(chan struct{})}
	k := NewKeeper(c.client, Settings{Name: "n", Holder: fmt.Sprint(id), ExclusiveHolder: tc.exclusive, MaxActionDelay: tc.maxActionDelay}, eventlog.Discard())
	go func() {
		defer close(c.done)
		_ = k.Run(ctx, func(ctx context.Context, h *Lease) { tc.work(ctx, c, h) })
	}()
	return c
}

// work sends actions that arrive later, at a receiver that ignores the fencing
// token.
func (tc *testCluster) work(ctx context.Context, c *candidate, h *Lease) {
	tc.mu.Lock()
	tc.fences[h.Fence]++
	if tc.fences[h.Fence] > 1 {
		tc.failures = append(tc.failures, fmt.Sprintf("fencing token %d was issued twice", h.Fence))
	}
	tc.leases = append(tc.leases, h)
	tc.mu.Unlock()
	for n := 0; ctx.Err() == nil && n < 40; n++ {
		if h.Valid() && !c.client.Killed() {
			time.AfterFunc(max(tc.maxActionDelay*time.Duration(n%3)/2-time.Millisecond, time.Nanosecond), func() { tc.actionArrives(h.Fence) })
		}
		// The end of the context is noticed up to half a second late.
		time.Sleep(500 * time.Millisecond)
	}
}

func (tc *testCluster) actionArrives(fence uint64) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if fence < tc.greatestFence {
		tc.failures = append(tc.failures, fmt.Sprintf("an action with fencing token %d took effect after one with %d", fence, tc.greatestFence))
	}
	tc.greatestFence = max(tc.greatestFence, fence)
}

// checkHolders checks every 50 ms that at most one holder's lease is valid.
func (tc *testCluster) checkHolders() {
	for backoff.Sleep(tc.ctx, 50*time.Millisecond) == nil {
		tc.mu.Lock()
		valid := 0
		for _, h := range tc.leases {
			if h.Valid() {
				valid++
			}
		}
		if valid > 1 {
			tc.failures = append(tc.failures, fmt.Sprintf("%d holders may act at the same time", valid))
		}
		tc.mu.Unlock()
	}
}

func (tc *testCluster) failOnErrors(t *rapid.T) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if len(tc.failures) > 0 {
		t.Fatalf("%s", strings.Join(tc.failures, "\n"))
	}
}

// At most one holder may act at any time, fencing tokens grow, actions never
// arrive after those of a later holder, and the lease is acquired again after
// faults.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			tc := &testCluster{ctx: ctx, platform: platformtest.New(), fences: map[uint64]int{}}
			tc.maxActionDelay = time.Duration(rapid.SampledFrom([]int{0, 8}).Draw(t, "settle")) * time.Second
			tc.exclusive = rapid.Bool().Draw(t, "exclusive")
			for i := range 3 {
				tc.candidates = append(tc.candidates, tc.start(i))
			}
			go tc.checkHolders()
			pick := rapid.IntRange(0, 2)
			t.Repeat(map[string]func(*rapid.T){
				"faults": func(t *rapid.T) {
					for range rapid.IntRange(1, 4).Draw(t, "n") {
						tc.candidates[pick.Draw(t, "c")].client.QueueFaults(platformtest.Fault(rapid.IntRange(0, int(platformtest.FaultCount)-1).Draw(t, "fault")))
					}
				},
				"sleep": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
				},
				"replace": func(t *rapid.T) {
					i := pick.Draw(t, "c")
					tc.candidates[i].client.Kill()
					tc.candidates[i].stop()
					tc.end(tc.candidates[i])
					tc.candidates[i] = tc.start(i)
				},
				"stop": func(t *rapid.T) {
					i := pick.Draw(t, "c")
					tc.candidates[i].stop()
					tc.end(tc.candidates[i])
					tc.candidates[i] = tc.start(i)
				},
				"switch": func(t *rapid.T) {
					c := tc.candidates[pick.Draw(t, "c")].client
					c.SetDown(rapid.IntRange(0, 3).Draw(t, "down") == 0, false)
					c.SetUnresponsive(rapid.IntRange(0, 3).Draw(t, "silent") == 0)
					c.SetDelay(time.Duration(rapid.IntRange(0, 1900).Draw(t, "delay")) * time.Millisecond)
					c.SetLateDelay(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "late")) * time.Millisecond)
				},
				"": func(t *rapid.T) { tc.failOnErrors(t) },
			})
			for i, c := range tc.candidates {
				c.client.Kill()
				c.stop()
				tc.end(c)
				tc.candidates[i] = tc.start(i)
			}
			tc.mu.Lock()
			leasesBefore := len(tc.leases)
			tc.mu.Unlock()
			time.Sleep(2 * time.Minute)
			tc.failOnErrors(t)
			tc.mu.Lock()
			if len(tc.leases) == leasesBefore {
				t.Fatalf("no candidate acquired the lease within two minutes")
			}
			tc.mu.Unlock()
			cancel()
			time.Sleep(time.Minute) // lets goroutines end
		})
	})
}

// startKeeper runs one keeper and returns a channel that gets its first lease.
func startKeeper(ctx context.Context, p *platformtest.Platform, settle time.Duration) (*platformtest.Client, <-chan *Lease) {
	c := p.Client()
	got := make(chan *Lease, 1)
	k := NewKeeper(c, Settings{Name: "n", Holder: "h", MaxActionDelay: settle}, eventlog.Discard())
	go func() {
		_ = k.Run(ctx, func(ctx context.Context, h *Lease) {
			got <- h
			<-ctx.Done()
		})
	}()
	return c, got
}

// A new holder waits for the old one's deadline and then for the longest delay of
// an action.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p := platformtest.New()
		const settle = 30 * time.Second
		a, gotA := startKeeper(ctx, p, settle)
		old := <-gotA
		_, gotB := startKeeper(ctx, p, settle)
		a.Kill()
		deadline := old.Deadline()
		<-gotB
		assert.Assert(t, !old.Valid())
		assert.Assert(t, time.Now().After(deadline.Add(settle)))
		cancel()
		time.Sleep(time.Minute)
	})
}

// A renewal whose response is lost and that is read back later counts from when
// it was sent.
func TestLostRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		start := time.Now()
		c, got := startKeeper(ctx, platformtest.New(), 0)
		h := <-got
		c.QueueFaults(platformtest.NoFault, platformtest.LoseResponse, platformtest.LoseResponse) // the read-back is lost too
		time.Sleep(DefaultDuration/renewDivisor + time.Millisecond)
		c.SetUnresponsive(true)
		time.Sleep(7 * time.Second)
		// The commit meets a conflict and reads its nonce back; later renewals fail.
		c.QueueFaults(platformtest.NoFault, platformtest.NoFault)
		c.QueueFaults(slices.Repeat([]platformtest.Fault{platformtest.LoseRequest}, 100)...)
		c.SetUnresponsive(false)
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, h.Valid())
		assert.Equal(t, h.Deadline().Sub(start), DefaultDuration/renewDivisor+DefaultDuration)
		cancel()
		time.Sleep(time.Minute)
	})
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeRecord(record{Fence: 1, Holder: "h", Nonce: "n", Millis: 10}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if x, err := decodeRecord(b); err == nil {
			assert.Assert(t, x.Fence > 0 && x.leaseDuration() >= 0)
		}
	})
}

// A holder whose machine was suspended past the lease's end may not act after
// it resumes, although the monotonic clock did not advance meanwhile.
func TestSuspendedHolderMayNotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = 3 * time.Second
		ctx, stop := context.WithCancel(context.Background())
		p := platformtest.New()
		client := p.Client()
		begun := time.Now()
		var suspended atomic.Int64 // nanoseconds
		clock := func() time.Duration { return time.Since(begun) + time.Duration(suspended.Load()) }
		k := NewKeeper(client, Settings{Name: "n", Holder: "a", Duration: duration, SinceBoot: clock}, eventlog.Discard())
		done := make(chan error)
		go func() {
			done <- k.Run(ctx, func(ctx context.Context, h *Lease) {
				assert.Check(t, h.Valid())
				client.SetDown(true, true)
				time.Sleep(duration / 4)
				assert.Check(t, h.Valid())
				suspended.Store(int64(duration))
				assert.Check(t, !h.Valid())
				stop()
			})
		}()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}
