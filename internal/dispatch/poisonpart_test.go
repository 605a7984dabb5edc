package dispatch

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/suspects"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// generate sends a prompt of the given texts through one daemon.
func (c *poisonCluster) generate(t testing.TB, daemon int, id string, texts ...string) error {
	req := c.request(id, 8)
	req.Messages = nil
	for _, text := range texts {
		req.Messages = append(req.Messages, upstream.Message{Role: "user", Content: text})
	}
	return c.daemons[daemon].Generate(t.Context(), req, &rewindRecorder{recorder{disconnectAt: -1}})
}

// runsOf returns how often a request ran.
func (f *fakeEngines) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

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
				crashes := c.crashes()
				t.Logf("%d engines crashed", crashes)
				assert.Check(t, crashes <= maxCrashes, "%d engines crashed", crashes)
				c.close()
			})
		})
	}
}

// Guards against a crashing text that is found only where other prompts have it first,
// and against sound prompts that are refused since they share the other texts.
func TestPoisonPartAnywhereInPromptIsQuarantined(t *testing.T) {
	const (
		maxCrashes = 5
		interval   = 500 * time.Millisecond
		duration   = 30 * time.Second
		system     = "You answer in one line."
		document   = "The ledger of the year."
	)
	for position := range 3 {
		for _, retryPercent := range []int{100, 0} {
			t.Run(fmt.Sprint("position ", position, " retry_percent ", retryPercent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newPoisonCluster(t, 6, 9, retryPercent)
					var wg sync.WaitGroup
					for i := range int(duration / interval) {
						id, own := fmt.Sprint("poison-", i), fmt.Sprint("question ", i)
						texts := [][]string{{testPoisonPrompt, system, document, own}, {system, document, testPoisonPrompt, own}, {system, document, own, testPoisonPrompt}}[position]
						wg.Go(func() { assert.Check(t, c.generate(t, i%6, id, texts...) != nil) })
						for d := range c.daemons {
							wg.Go(func() {
								assert.Check(t, c.generateSound(t, d, fmt.Sprintf("sound-%d-%d", d, i), system, document, own))
							})
						}
						time.Sleep(interval)
					}
					wg.Wait()
					crashes := c.crashes()
					t.Logf("%d engines crashed", crashes)
					assert.Check(t, crashes <= maxCrashes, "%d engines crashed", crashes)
					c.close()
				})
			})
		}
	}
}

// generateSound sends a sound prompt until it is answered. It returns an error if it is
// refused as quarantined, or fails twice.
func (c *poisonCluster) generateSound(t testing.TB, daemon int, id string, texts ...string) error {
	err := c.generate(t, daemon, id, texts...)
	if err == nil || codeOf(err) == verdict.CodeQuarantined {
		return err
	}
	return c.generate(t, daemon, id+"-again", texts...)
}

// quarantine makes all daemons refuse a text by two crashes.
func (c *poisonCluster) quarantine(t testing.TB, text string) {
	for i := range 2 {
		req := c.request("", 1)
		req.Messages = []upstream.Message{{Content: text}, {Content: fmt.Sprint("question ", i)}}
		sentAt := time.Now()
		time.Sleep(2 * testCrashInterval)
		c.parts[0].EngineCrashed("lamp-bench", "elsewhere", fmt.Sprint(i), []suspects.UnbegunRequest{{ID: fmt.Sprint(i), Parts: promptParts(req), Organisation: testOrganisation, SentAt: sentAt, BrokenAt: time.Now()}})
		time.Sleep(2 * testGossipDelay)
	}
	for i := range c.daemons {
		err := c.generate(t, i, fmt.Sprint("refused-", i), text, "another question")
		e, _ := verdict.As(err)
		assert.Check(t, e != nil && e.Code == verdict.CodeQuarantined && e.Verdict == verdict.NotRun && e.RetryAfter > 0, "%v", err)
	}
}

// Guards against a sound text that stays refused, and against more than one trial of it.
func TestPartQuarantinedByMistakeIsReleasedByOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPoisonCluster(t, 6, 9, 100)
		c.quarantine(t, "sound text")
		time.Sleep(10 * time.Second)
		errs := make([]error, len(c.daemons))
		var wg sync.WaitGroup
		for i := range c.daemons {
			wg.Go(func() { errs[i] = c.generate(t, i, fmt.Sprint("trial-", i), "sound text", fmt.Sprint("question ", i)) })
		}
		wg.Wait()
		served := len(slices.DeleteFunc(errs, func(err error) bool { return err != nil }))
		assert.Equal(t, served, 1)
		time.Sleep(time.Second)
		for i := range c.daemons {
			assert.Check(t, c.generate(t, i, fmt.Sprint("released-", i), "sound text", fmt.Sprint("question ", i)))
		}
		c.close()
	})
}

// Guards against prompts that are suspected though their answers had begun when another
// prompt crashed the engine.
func TestBegunPromptIsNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPoisonCluster(t, 1, 1, 0)
		sound, poison := c.request("sound", 100), c.request("poison", 8)
		poison.Messages[0].Content = testPoisonPrompt
		var wg sync.WaitGroup
		send := func(req *ModelRequest) {
			wg.Go(func() {
				assert.Check(t, c.daemons[0].Generate(t.Context(), req, &rewindRecorder{recorder{disconnectAt: -1}}) != nil)
			})
			time.Sleep(5 * testTokenInterval)
		}
		send(sound)
		send(poison)
		wg.Wait()
		assert.Equal(t, c.crashes(), 1)
		assert.Equal(t, len(c.parts[0].Suspected(promptParts(sound))), 0)
		assert.Equal(t, len(c.parts[0].Suspected(promptParts(poison))), 1)
		c.close()
	})
}

// Guards against a trial that sends the crashing text to several engines.
func TestTrialCrashesOneEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPoisonCluster(t, 2, 9, 100)
		c.quarantine(t, testPoisonPrompt)
		time.Sleep(10 * time.Second)
		err := c.generate(t, 0, "trial", testPoisonPrompt, "question")
		assert.Check(t, err != nil)
		assert.Check(t, verdict.Of(err) != verdict.NotRun, "%v", err)
		assert.Equal(t, c.crashes(), 1)
		time.Sleep(10 * time.Second)
		assert.Equal(t, codeOf(c.generate(t, 1, "after", testPoisonPrompt, "question 2")), verdict.CodeQuarantined)
		c.engines.mu.Lock()
		c.engines.cured = true
		c.engines.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Check(t, c.generate(t, 1, "cured", testPoisonPrompt, "question 3"))
		c.close()
	})
}

// Guards against requests that are sent though a part of their prompt was quarantined
// while they waited for an engine.
func TestRequestWaitingForEngineIsNotSentOnceQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPoisonCluster(t, 1, 1, 100)
		var wg sync.WaitGroup
		for i := range 4 { // the engine's slots
			wg.Go(func() {
				req := c.request(fmt.Sprint("long-", i), 180)
				assert.Check(t, c.daemons[0].Generate(t.Context(), req, &rewindRecorder{recorder{disconnectAt: -1}}))
			})
		}
		time.Sleep(100 * time.Millisecond)
		waiting := make(chan error, 1)
		go func() {
			req := c.request("waiting", 8)
			req.Class.MaxWait = servicedoc.Duration(time.Minute)
			req.Messages = []upstream.Message{{Content: testPoisonPrompt}, {Content: "question"}}
			waiting <- c.daemons[0].Generate(t.Context(), req, &rewindRecorder{recorder{disconnectAt: -1}})
		}()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, c.engines.runsOf("waiting"), 0)
		c.quarantine(t, testPoisonPrompt)
		err := <-waiting
		assert.Check(t, codeOf(err) == verdict.CodeQuarantined && verdict.Of(err) == verdict.NotRun, "%v", err)
		assert.Equal(t, c.engines.runsOf("waiting"), 0)
		wg.Wait()
		assert.Equal(t, c.crashes(), 0)
		c.close()
	})
}

// Guards against a trial that is spent though no engine ran it, or handed back though one
// may have.
func TestTrialIsHandedBackIfNothingRan(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps func(*partTrial)
		want  int
	}{
		{"not sent", func(r *partTrial) { r.end() }, 1},
		{"rejected twice", func(r *partTrial) {
			assert.Check(t, r.acquire())
			r.release(false)
			assert.Check(t, r.available() && r.acquire())
			r.release(false)
			r.end()
		}, 1},
		{"rejected after the request ended", func(r *partTrial) {
			assert.Check(t, r.acquire())
			r.end()
			r.release(false)
			assert.Check(t, !r.acquire())
		}, 1},
		{"sent after the request ended", func(r *partTrial) {
			assert.Check(t, r.acquire())
			r.end()
			r.release(true)
		}, 0},
		{"ran", func(r *partTrial) {
			assert.Check(t, r.acquire())
			assert.Check(t, !r.acquire())
			r.release(true)
			assert.Check(t, !r.available() && !r.acquire())
			r.end()
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			handedBack := 0
			var r partTrial
			assert.Check(t, !r.acquire())
			r.begin(func() { handedBack++ })
			test.steps(&r)
			assert.Equal(t, handedBack, test.want)
		})
	}
}
