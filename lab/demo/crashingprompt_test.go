package demo

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
	"github.com/verbenabend/verbenabend/lab/engine"
)

// TestCrashingPromptIsQuarantined sends a prompt that crashes engines, first once
// and then repeatedly through all entries concurrently. At most two engines may
// crash, and other prompts must be served.
func TestCrashingPromptIsQuarantined(t *testing.T) {
	const rounds = 3
	s, err := start()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 3*stepTimeout)
	defer cancel()
	assert.NilError(t, s.awaitReady(ctx))
	assert.NilError(t, s.submitDocuments(ctx))
	var crashes atomic.Int64
	for _, e := range s.engines {
		e.OnCrash = func() { crashes.Add(1) }
	}
	askCrashing := func(i int) error {
		_, err := s.caller(i).Chat(ctx, &client.ChatRequest{
			Service: ModelService, MaxTokens: shortAnswerTokens, Messages: []upstream.Message{{Role: "user", Content: engine.CrashTrigger}},
		}, nil)
		return err
	}
	assert.Check(t, askCrashing(0) != nil)
	for range rounds {
		results := make(chan error, len(s.daemons))
		for i := range s.daemons {
			go func() { results <- askCrashing(i) }()
		}
		for range s.daemons {
			err := <-results
			e, ok := verdict.As(err)
			assert.Check(t, ok && e.Code == verdict.CodeQuarantined && e.Verdict == verdict.NotRun, "%v", err)
		}
	}
	assert.Check(t, crashes.Load() <= 2, "%d engine crashes, want at most 2", crashes.Load())
	t.Logf("%d engine crashes", crashes.Load())
	for i := range s.daemons {
		a, err := s.caller(i).Chat(ctx, &client.ChatRequest{
			Service: ModelService, MaxTokens: shortAnswerTokens, Messages: []upstream.Message{{Role: "user", Content: "Which blue?"}},
		}, nil)
		assert.NilError(t, err)
		assert.Check(t, a.Complete)
	}
	assert.NilError(t, s.close())
}
