package platform

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// startTimes returns when calls that are made at once start, in order of their start.
func startTimes(t *testing.T, p *Pace, ctx context.Context, calls int) []time.Duration {
	begin := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []time.Duration
	for range calls {
		wg.Go(func() {
			assert.Check(t, p.Wait(ctx))
			mu.Lock()
			defer mu.Unlock()
			out = append(out, time.Since(begin))
		})
	}
	wg.Wait()
	return out
}

// TestBackgroundCallsArePacedAfterOutage guards against loops that together overload a platform
// that returns, and against callers that wait for it.
func TestBackgroundCallsArePacedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Pace
		background := WithBackground(t.Context())
		assert.DeepEqual(t, startTimes(t, &p, background, 3), []time.Duration{0, 0, 0}) // there was no outage
		p.RecordFailure()
		assert.DeepEqual(t, startTimes(t, &p, background, 4), []time.Duration{0, paceInterval, 2 * paceInterval, 3 * paceInterval})
		time.Sleep(paceInterval)
		assert.DeepEqual(t, startTimes(t, &p, t.Context(), 100), make([]time.Duration, 100)) // callers do not wait
		assert.DeepEqual(t, startTimes(t, &p, background, 1), []time.Duration{maxForegroundDelay})
		time.Sleep(paceDuration)
		assert.DeepEqual(t, startTimes(t, &p, background, 3), []time.Duration{0, 0, 0}) // the outage is long over

		p.RecordFailure()
		assert.NilError(t, p.Wait(background))
		ctx, cancel := context.WithTimeout(background, paceInterval/2)
		defer cancel()
		assert.ErrorIs(t, p.Wait(ctx), context.DeadlineExceeded)
	})
}
