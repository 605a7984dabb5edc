package platformtest

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// Late effects with a delay of 0, on several goroutines: in a synctest bubble, a
// timer that is due immediately crashed the race detector of Go 1.26 in some
// runs of the at-most-once tests.
func TestLateEffectsWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New()
		const writers, writes = 8, 500
		var calls sync.WaitGroup
		for i := range writers {
			c := p.Client()
			c.SetLateDelay(0)
			calls.Go(func() {
				for j := range writes {
					c.QueueFaults(LateEffect)
					err := c.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: fmt.Sprintf("k/%d/%d", i, j), Value: []byte("v")}}})
					assert.Check(t, err != nil, "a commit with a late effect returned no error")
				}
			})
		}
		calls.Wait()
		time.Sleep(time.Millisecond)
		synctest.Wait()
		assert.Equal(t, p.CountRows("k/"), writers*writes)
	})
}
