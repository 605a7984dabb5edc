package wholepath

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/telemetry"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
	"github.com/verbenabend/verbenabend/lab/engine"
)

// askTexts sends a prompt of the given texts through a daemon.
func (c *cluster) askTexts(i int, texts ...string) error {
	req := &client.ChatRequest{Service: modelService, MaxTokens: 4}
	for _, text := range texts {
		req.Messages = append(req.Messages, upstream.Message{Role: "user", Content: text})
	}
	_, err := c.caller(i).Chat(c.t.Context(), req, nil)
	return err
}

func isQuarantined(err error) bool {
	e, ok := verdict.As(err)
	return ok && e.Code == verdict.CodeQuarantined && e.Verdict == verdict.NotRun && e.RetryAfter > 0
}

// Guards against daemons that don't tell each other, or forget, which text crashes engines
// in prompts of which no two are alike.
func TestPromptPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	const (
		maxCrashes = 5
		prompts    = 60
		interval   = 500 * time.Millisecond
		system     = "You answer in one line."
	)
	runCluster(t, func(t *testing.T, c *cluster) {
		var crashes atomic.Int64
		for _, e := range c.engines {
			e.OnCrash = func() { crashes.Add(1) }
		}
		for i := range prompts {
			err := c.askTexts(i%clusterDaemons, system, engine.CrashTrigger, fmt.Sprint("question ", i))
			assert.Check(t, err != nil)
			assert.Check(t, i < maxCrashes || (isQuarantined(err) || verdict.Of(err) != verdict.NotRun), "prompt %d: %v", i, err)
			assert.Check(t, c.askTexts((i+1)%clusterDaemons, system, fmt.Sprint("question ", i)))
			time.Sleep(interval)
		}
		t.Logf("%d engines crashed", crashes.Load())
		assert.Check(t, crashes.Load() <= maxCrashes)
		quarantined := 0
		for i := range clusterDaemons {
			quarantined += c.countEvents(i, eventlog.PartQuarantined, "part ")
			assert.Equal(t, c.metricValue(t, i, telemetry.NameQuarantinedParts), 1)
		}
		assert.Check(t, quarantined >= 1)
		before := crashes.Load()
		for i := range clusterDaemons {
			c.stop(i)
		}
		for i := range clusterDaemons {
			c.start(i)
		}
		c.await(clusterReadyTimeout, "all are ready and have read the row", func() bool {
			for i := range clusterDaemons {
				if s := c.status(i); !s.Ready || !serving(s) || c.metricValue(t, i, telemetry.NameQuarantinedParts) != 1 {
					return false
				}
			}
			return true
		})
		for i := range clusterDaemons {
			assert.Check(t, isQuarantined(c.askTexts(i, engine.CrashTrigger, fmt.Sprint("question after restart ", i))))
			assert.Check(t, c.askTexts(i, system, "question"))
		}
		assert.Equal(t, crashes.Load(), before)
	})
}
