package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// crashedParts is a PromptPartTracker that suspects every part until cleared is set.
type crashedParts struct {
	PromptPartTracker
	cleared  atomic.Bool
	reported []RunningRequest
}

func (*crashedParts) Key(_, _, _, id string) string { return id }

func (p *crashedParts) Suspected(parts []string) []string {
	if p.cleared.Load() {
		return nil
	}
	return parts
}

func (p *crashedParts) UpstreamCrashed(_, _, _ string, requests []RunningRequest) {
	p.reported = append(p.reported, requests...)
}

// Parts of requests that had begun an answer when the upstream crashed are suspected of
// the crash.
func TestOnlyUnbegunRequestsAreReported(t *testing.T) {
	p := &crashedParts{}
	reportCrash(noSuspects{}, p, "s", "u", "1", time.Now(), []RunningRequest{{Fingerprint: "begun", Begun: true}, {Fingerprint: "waiting"}})
	assert.Equal(t, len(p.reported), 1)
	assert.Equal(t, p.reported[0].Fingerprint, "waiting")
}

// A suspected request is repeated while other upstreams may still be ending in the same
// failure, so that its second crash is no evidence, or waits although it is cleared.
func TestSuspectedRequestIsRepeatedLater(t *testing.T) {
	// failureDuration is the time within which the daemons take crashes for one failure.
	const failureDuration = 300 * time.Millisecond
	for name, c := range map[string]struct {
		crashed    bool
		clearAfter time.Duration
		min, max   time.Duration
	}{
		"suspected": {true, time.Minute, failureDuration, failureDuration + 2*suspicionPollInterval},
		"cleared":   {true, failureDuration / 3, failureDuration / 3, failureDuration/3 + 2*suspicionPollInterval},
		"no crash":  {false, time.Minute, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				p := &crashedParts{}
				check := make(chan bool, 1)
				check <- c.crashed
				request := &transfer{
					forwarder:  &Forwarder{Config: Config{PromptParts: p}},
					metadata:   RequestMetadata{Prompt: &Prompt{Parts: []Part{{ID: "shared"}, {ID: "own"}}}},
					brokenAt:   start,
					crashCheck: check,
				}
				time.AfterFunc(c.clearAfter, func() { p.cleared.Store(true) })
				request.awaitCrashCheck(context.Background())
				waited := time.Since(start)
				assert.Assert(t, waited >= c.min && waited <= c.max, "waited %s", waited)
			})
		})
	}
}

// Guards against retries that wait for as long as a probe of a daemon that is held up.
func TestRetryWaitsBrieflyForCrashCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		tr := &transfer{forwarder: &Forwarder{Config: Config{PromptParts: &crashedParts{}}}, crashCheck: make(chan bool), brokenAt: start}
		tr.awaitCrashCheck(t.Context())
		assert.Assert(t, time.Since(start) <= time.Second, "waited %s", time.Since(start))
	})
}
