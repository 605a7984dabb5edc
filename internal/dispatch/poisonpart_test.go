package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// Guards against prompts of which no two are alike and each of which crashes an engine,
// since all hold the same text.
func TestPoisonPartCrashesFewEngines(t *testing.T) {
	const maxCrashes = 5
	for _, retryPercent := range []int{100, 0} {
		t.Run(fmt.Sprint("retry_percent ", retryPercent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newPoisonCluster(t, 6, 9, retryPercent)
				for i := range 20 {
					req := c.request(fmt.Sprint(i), 8)
					message := req.Messages[0]
					message.Content = fmt.Sprint("question ", i)
					req.Messages[0].Content = testPoisonPrompt
					req.Messages = append(req.Messages, message)
					_ = c.daemons[i%6].Generate(t.Context(), req, &rewindRecorder{recorder{disconnectAt: -1}})
				}
				c.engines.mu.Lock()
				crashes := c.engines.crashes
				c.engines.mu.Unlock()
				assert.Check(t, crashes <= maxCrashes, "%d engines crashed", crashes)
				close(c.stop)
				<-c.stopped
				for _, d := range c.daemons {
					d.Close()
				}
			})
		})
	}
}
