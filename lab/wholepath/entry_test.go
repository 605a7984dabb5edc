package wholepath

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

// TestCallerResumesAfterEntryCrash kills an entry after each event of an answer;
// the caller resumes the stream at another entry.
func TestCallerResumesAfterEntryCrash(t *testing.T) {
	for after := 1; after <= tokens; after++ {
		synctest.Test(t, func(t *testing.T) { killEntry(t, after) })
	}
}

func killEntry(t *testing.T, killAfterEvents int) {
	s := newSystem(t, nil)
	d, kill := s.addEntry(t, "killed:80")
	request := client.ChatRequest{
		Service: "lamp-bench", MaxTokens: tokens, Messages: []upstream.Message{{Role: "user", Content: "Which blue?"}},
	}
	killed := make(chan struct{})
	events := 0
	first := &client.Caller{URL: "http://killed:80", Key: callerKey, HTTP: s.callers}
	a, err := first.Chat(context.Background(), &request, func(string) {
		events++
		if events == killAfterEvents {
			go func() {
				defer close(killed)
				kill()
			}()
		}
	})
	<-killed
	assert.Assert(t, err != nil || killAfterEvents == tokens)
	request.LastEventID = a.LastEventID
	second := &client.Caller{URL: "http://entry:80", Key: callerKey, HTTP: s.callers}
	remainder, err := second.Chat(context.Background(), &request, nil)
	assert.NilError(t, err)
	assert.Assert(t, remainder.Complete)
	whole := a.Text + remainder.Text
	assert.NilError(t, checkAnswer(whole, answerPrefix("Which blue?")))
	assert.Equal(t, len(strings.Fields(whole)), tokens)
	assert.Equal(t, s.requestsStarted(), 1)
	time.Sleep(settleTime)
	d.Close()
	s.close()
	synctest.Wait()
}
