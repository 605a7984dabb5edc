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

// TestCallerResumesWhenItsEntryIsKilled kills an entry after each event of an
// answer; the caller goes on at another entry.
func TestCallerResumesWhenItsEntryIsKilled(t *testing.T) {
	for after := 1; after <= tokens; after++ {
		synctest.Test(t, func(t *testing.T) { killEntry(t, after) })
	}
}

func killEntry(t *testing.T, after int) {
	s := newSystem(t, nil)
	d, kill := s.addEntry(t, "killed:80")
	question := client.Question{
		Service: "lamp-bench", MaxTokens: tokens, Messages: []upstream.Message{{Role: "user", Content: "Which blue?"}},
	}
	killed := make(chan struct{})
	pieces := 0
	first := &client.Caller{URL: "http://killed:80", Key: callerKey, HTTP: s.callers}
	a, err := first.Ask(context.Background(), &question, func(string) {
		pieces++
		if pieces == after {
			go func() {
				defer close(killed)
				kill()
			}()
		}
	})
	<-killed
	assert.Assert(t, err != nil || after == tokens)
	question.LastEventID = a.LastEventID
	second := &client.Caller{URL: "http://entry:80", Key: callerKey, HTTP: s.callers}
	rest, err := second.Ask(context.Background(), &question, nil)
	assert.NilError(t, err)
	assert.Assert(t, rest.Complete)
	whole := a.Text + rest.Text
	assert.NilError(t, checkAnswer(whole, answerTo("Which blue?")))
	assert.Equal(t, len(strings.Fields(whole)), tokens)
	assert.Equal(t, s.ran(), 1)
	time.Sleep(settle)
	d.Close()
	s.close()
	synctest.Wait()
}
