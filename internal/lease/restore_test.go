package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
)

// Guards against two holders at a time, and against a fencing token that is issued twice, when the
// store returns from older copies: in the middle of a claim or a renewal, twice in a row, with
// candidates cut off or started meanwhile.
func TestLeaseAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			tc := &testCluster{ctx: ctx, platform: platformtest.New(), fences: map[uint64]int{}}
			tc.platform.SetEra(1)
			tc.maxActionDelay = time.Duration(rapid.SampledFrom([]int{0, 8}).Draw(t, "settle")) * time.Second
			tc.exclusive = rapid.Bool().Draw(t, "exclusive")
			for i := range 3 {
				tc.candidates = append(tc.candidates, tc.start(i))
			}
			go tc.checkHolders()
			pick := rapid.IntRange(0, 2)
			copies := []platformtest.Snapshot{tc.platform.Snapshot()}
			t.Repeat(map[string]func(*rapid.T){
				"sleep": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 25_000).Draw(t, "ms")) * time.Millisecond)
				},
				"copy": func(*rapid.T) { copies = append(copies, tc.platform.Snapshot()) },
				"restore": func(t *rapid.T) {
					tc.platform.Restore(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
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
					c.SetDelay(time.Duration(rapid.IntRange(0, 1900).Draw(t, "delay")) * time.Millisecond)
				},
				"": func(t *rapid.T) { tc.failOnErrors(t) },
			})
			for i, c := range tc.candidates {
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

// Guards against a candidate that finds the row gone, or released by an earlier holder, and acts
// while the holder of the lost row still does.
func TestCandidateWaitsForTheHolderOfALostRow(t *testing.T) {
	for _, released := range []bool{false, true} {
		t.Run(fmt.Sprint("released ", released), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const settle = 2 * time.Second
				ctx, cancel := context.WithCancel(context.Background())
				p := platformtest.New()
				p.SetEra(1)
				if released {
					first, stop := context.WithCancel(ctx)
					_, got := startKeeper(first, p, settle)
					<-got
					stop()
					time.Sleep(time.Second)
				}
				older := p.Snapshot()
				a, gotA := startKeeper(ctx, p, settle)
				held := <-gotA
				_, gotB := startKeeper(ctx, p, settle)
				a.SetDown(true, true)
				p.Restore(older)
				restoredAt := time.Now()
				next := <-gotB
				assert.Check(t, !held.Valid())
				assert.Check(t, time.Since(restoredAt) >= DefaultDuration+settle, "acquired after %s", time.Since(restoredAt))
				assert.Check(t, next.Fence > held.Fence && next.Fence < 1<<53, "fences %d and %d", held.Fence, next.Fence)
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a holder that gives up its lease because the store was restored although the
// restored row is its own.
func TestHolderOfARestoredRowGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p := platformtest.New()
		p.SetEra(3)
		_, got := startKeeper(ctx, p, 0)
		held := <-got
		older := p.Snapshot()
		time.Sleep(DefaultDuration)
		p.Restore(older)
		time.Sleep(DefaultDuration)
		assert.Check(t, held.Valid())
		cancel()
		time.Sleep(time.Minute)
	})
}
