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

// world holds candidates and checks each action against an oracle.
type world struct {
	ctx      context.Context
	platform *platformtest.Platform
	// settle is longer than any action is under way.
	settle     time.Duration
	candidates []*candidate

	mu       sync.Mutex
	failures []string
	held     []*Held
	fences   map[uint64]int
	// newest is the greatest fence under which an action took effect.
	newest uint64
}

type candidate struct {
	client *platformtest.Client
	stop   context.CancelFunc
}

func (w *world) start(id int) *candidate {
	ctx, stop := context.WithCancel(w.ctx)
	c := &candidate{client: w.platform.Client(), stop: stop}
	k := NewKeeper(c.client, Settings{Name: "n", Holder: fmt.Sprint(id), Settle: w.settle}, eventlog.Discard())
	go func() { _ = k.Run(ctx, func(ctx context.Context, h *Held) { w.work(ctx, c, h) }) }()
	return c
}

// work sends actions that arrive later, to a receiver that ignores the fence.
func (w *world) work(ctx context.Context, c *candidate, h *Held) {
	w.mu.Lock()
	w.fences[h.Fence]++
	if w.fences[h.Fence] > 1 {
		w.failures = append(w.failures, fmt.Sprintf("fence %d was given twice", h.Fence))
	}
	w.held = append(w.held, h)
	w.mu.Unlock()
	for n := 0; ctx.Err() == nil && n < 40; n++ {
		if h.Valid() && !c.client.Killed() {
			time.AfterFunc(max(w.settle*time.Duration(n%3)/2-time.Millisecond, time.Nanosecond), func() { w.arrive(h.Fence) })
		}
		// Half of the holders do not notice the end of their context in time.
		time.Sleep(500 * time.Millisecond)
	}
}

func (w *world) arrive(fence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fence < w.newest {
		w.failures = append(w.failures, fmt.Sprintf("an action under fence %d took effect after one under %d", fence, w.newest))
	}
	w.newest = max(w.newest, fence)
}

// sample checks every 50 ms that at most one holder may act.
func (w *world) sample() {
	for backoff.Sleep(w.ctx, 50*time.Millisecond) == nil {
		w.mu.Lock()
		valid := 0
		for _, h := range w.held {
			if h.Valid() {
				valid++
			}
		}
		if valid > 1 {
			w.failures = append(w.failures, fmt.Sprintf("%d holders may act", valid))
		}
		w.mu.Unlock()
	}
}

func (w *world) report(t *rapid.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.failures) > 0 {
		t.Fatalf("%s", strings.Join(w.failures, "\n"))
	}
}

// At most one holder may act at any moment, fences grow, actions never arrive
// behind those of a later holder, and the lease is taken again after faults.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w := &world{ctx: ctx, platform: platformtest.New(), fences: map[uint64]int{}}
			w.settle = time.Duration(rapid.SampledFrom([]int{0, 8}).Draw(t, "settle")) * time.Second
			for i := range 3 {
				w.candidates = append(w.candidates, w.start(i))
			}
			go w.sample()
			pick := rapid.IntRange(0, 2)
			t.Repeat(map[string]func(*rapid.T){
				"faults": func(t *rapid.T) {
					for range rapid.IntRange(1, 4).Draw(t, "n") {
						w.candidates[pick.Draw(t, "c")].client.Plan(platformtest.Fault(rapid.IntRange(0, int(platformtest.Faults)-1).Draw(t, "fault")))
					}
				},
				"sleep": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
				},
				"replace": func(t *rapid.T) {
					i := pick.Draw(t, "c")
					w.candidates[i].client.Kill()
					w.candidates[i].stop()
					w.candidates[i] = w.start(i)
				},
				"stop": func(t *rapid.T) {
					i := pick.Draw(t, "c")
					w.candidates[i].stop()
					w.candidates[i] = w.start(i)
				},
				"switch": func(t *rapid.T) {
					c := w.candidates[pick.Draw(t, "c")].client
					c.SetDown(rapid.IntRange(0, 3).Draw(t, "down") == 0, false)
					c.SetSilent(rapid.IntRange(0, 3).Draw(t, "silent") == 0)
					c.SetDelay(time.Duration(rapid.IntRange(0, 1900).Draw(t, "delay")) * time.Millisecond)
					c.SetLateDelay(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "late")) * time.Millisecond)
				},
				"": func(t *rapid.T) { w.report(t) },
			})
			for i, c := range w.candidates {
				c.client.Kill()
				c.stop()
				w.candidates[i] = w.start(i)
			}
			w.mu.Lock()
			before := len(w.held)
			w.mu.Unlock()
			time.Sleep(2 * time.Minute)
			w.report(t)
			w.mu.Lock()
			if len(w.held) == before {
				t.Fatalf("nobody took the lease within two minutes")
			}
			w.mu.Unlock()
			cancel()
			time.Sleep(time.Minute) // lets goroutines end
		})
	})
}

// single runs one keeper and returns its lease once it holds it.
func single(ctx context.Context, p *platformtest.Platform, settle time.Duration) (*platformtest.Client, <-chan *Held) {
	c := p.Client()
	got := make(chan *Held, 1)
	k := NewKeeper(c, Settings{Name: "n", Holder: "h", Settle: settle}, eventlog.Discard())
	go func() {
		_ = k.Run(ctx, func(ctx context.Context, h *Held) {
			got <- h
			<-ctx.Done()
		})
	}()
	return c, got
}

// A new holder waits until the old one's deadline and the longest delay of an
// action are past.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p := platformtest.New()
		const settle = 30 * time.Second
		a, gotA := single(ctx, p, settle)
		old := <-gotA
		_, gotB := single(ctx, p, settle)
		a.Kill()
		deadline := old.Deadline()
		<-gotB
		assert.Assert(t, !old.Valid())
		assert.Assert(t, time.Now().After(deadline.Add(settle)))
		cancel()
		time.Sleep(time.Minute)
	})
}

// A renewal whose answer was lost for long counts from when it was sent.
func TestLostRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		start := time.Now()
		c, got := single(ctx, platformtest.New(), 0)
		h := <-got
		c.Plan(platformtest.NoFault, platformtest.LoseAnswer, platformtest.LoseAnswer) // the read-back is lost too
		time.Sleep(DefaultDuration/renewShare + time.Millisecond)
		c.SetSilent(true)
		time.Sleep(7 * time.Second)
		// The commit meets a conflict and reads its nonce back; later renewals fail.
		c.Plan(platformtest.NoFault, platformtest.NoFault)
		c.Plan(slices.Repeat([]platformtest.Fault{platformtest.LoseRequest}, 100)...)
		c.SetSilent(false)
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, h.Valid())
		assert.Equal(t, h.Deadline().Sub(start), DefaultDuration/renewShare+DefaultDuration)
		cancel()
		time.Sleep(time.Minute)
	})
}

func FuzzDecodeTerm(f *testing.F) {
	f.Add(encodeTerm(term{Fence: 1, Holder: "h", Nonce: "n", Millis: 10}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if x, err := decodeTerm(b); err == nil {
			assert.Assert(t, x.Fence > 0 && x.duration() >= 0)
		}
	})
}

// A holder whose machine was suspended may not act when it wakes, though its
// steady clock stood still meanwhile.
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
			done <- k.Run(ctx, func(ctx context.Context, h *Held) {
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
