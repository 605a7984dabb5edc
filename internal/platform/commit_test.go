package platform_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/testseed"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const rowKey = "log"

// appendNonce appends nonce to the list in the row, in one transaction.
func appendNonce(ctx context.Context, t platform.Table, nonce string) error {
	row, err := t.Get(ctx, rowKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "read")
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: rowKey, Version: row.Version}},
		Writes:     []platform.Write{{Key: rowKey, Value: append(row.Value, " "+nonce...)}},
	}
	return platform.CommitResolved(ctx, t, txn, func(ctx context.Context) (bool, error) {
		row, err := t.Get(ctx, rowKey)
		if errors.Is(err, platform.ErrNotFound) {
			return false, nil
		}
		return slices.Contains(strings.Fields(string(row.Value)), nonce), err
	})
}

// With any lost request or response, a transaction that is reported as committed
// takes effect once, and one that is reported as not run never does, not even
// later.
func TestCommitResolved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			p := platformtest.New()
			var wg sync.WaitGroup
			var mu sync.Mutex
			results := map[string]error{}
			for i := range rapid.IntRange(1, 12).Draw(t, "writers") {
				c := p.Client()
				c.SetLateDelay(time.Duration(rapid.IntRange(0, 5000).Draw(t, "late")) * time.Millisecond)
				c.SetDelay(time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond)
				c.QueueFaults(platformtest.NoFault)
				for range rapid.IntRange(0, 6).Draw(t, "faults") {
					c.QueueFaults(platformtest.Fault(rapid.IntRange(0, int(platformtest.FaultCount)-1).Draw(t, "fault")))
				}
				start := time.Duration(rapid.IntRange(0, 2000).Draw(t, "start")) * time.Millisecond
				timeout := time.Duration(rapid.IntRange(100, 5000).Draw(t, "timeout")) * time.Millisecond
				nonce := fmt.Sprint("n", i)
				wg.Go(func() {
					time.Sleep(start)
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					err := appendNonce(ctx, c, nonce)
					mu.Lock()
					defer mu.Unlock()
					results[nonce] = err
				})
			}
			wg.Wait()
			time.Sleep(time.Minute)
			row, _ := p.Client().Get(context.Background(), rowKey)
			applied := strings.Fields(string(row.Value))
			for nonce, err := range results {
				n := 0
				for _, a := range applied {
					if a == nonce {
						n++
					}
				}
				switch {
				case err == nil && n != 1:
					t.Fatalf("%s was reported as committed and is in the row %d times", nonce, n)
				case err != nil && verdict.Of(err) == verdict.NotRun && n != 0:
					t.Fatalf("%s was reported as not run (%v) and is in the row", nonce, err)
				}
			}
		})
	})
}
