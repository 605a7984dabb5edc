package backoff

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestSleepZeroDuration checks that a sleep of zero length creates no timer: in a
// synctest bubble the race detector of Go 1.26 crashes when two goroutines create
// timers that are due at once.
func TestSleepZeroDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pauses sync.WaitGroup
		for range 8 {
			pauses.Go(func() {
				for range 3000 {
					assert.Check(t, Sleep(t.Context(), 0))
				}
			})
		}
		pauses.Wait()
		start := time.Now()
		assert.NilError(t, Sleep(t.Context(), time.Second))
		assert.Equal(t, time.Since(start), time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.ErrorIs(t, Sleep(ctx, 0), context.Canceled)
	})
}
