package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const testDocument = `{"service":"lamp-bench","kind":"model",
	"organisations":[{"name":"trust","key_sha256":["0000000000000000000000000000000000000000000000000000000000000000"]}],
	"models":[{"name":"opal","version":"1"}],"budgets":{"retry_percent":100,"hedge_percent":100}}`

var testAddresses = []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}

// testCluster is two daemons' dispatchers in front of fake engines.
type testCluster struct {
	engines   *fakeEngines
	fleet     *fleet.Fleet
	daemons   [2]*Dispatcher
	document  *servicedoc.Accepted
	scheduler *checkingScheduler
	stop      chan struct{}
	stopped   chan struct{}
}

// checkingScheduler checks that each attempt is reported finished exactly once.
type checkingScheduler struct {
	routing.Scheduler
	unfinished map[string]int
	violation  string
}

func (s *checkingScheduler) Advance(now time.Time) []routing.Action {
	actions := s.Scheduler.Advance(now)
	for _, a := range actions {
		if a.Kind != routing.Refuse {
			s.unfinished[a.Request.ID+a.Endpoint]++
		}
	}
	return actions
}

func (s *checkingScheduler) Finished(now time.Time, id, endpoint string, o routing.Outcome, tokens int) {
	s.unfinished[id+endpoint]--
	if s.unfinished[id+endpoint] < 0 {
		s.violation = id + " finished twice at " + endpoint
	}
	s.Scheduler.Finished(now, id, endpoint, o, tokens)
}

func newTestCluster(t testing.TB, steps []faultStep) *testCluster {
	doc, err := servicedoc.NewAccepted(1, []byte(testDocument))
	assert.NilError(t, err)
	c := &testCluster{engines: newFakeEngines(steps, testAddresses...), fleet: fleet.New(nil), document: doc, stop: make(chan struct{}), stopped: make(chan struct{})}
	c.scheduler = &checkingScheduler{Scheduler: routing.New(routing.Settings{HedgePercent: 1000, RetryPercent: 1000}), unfinished: map[string]int{}}
	var list []platform.Instance
	for _, a := range testAddresses {
		list = append(list, platform.Instance{Address: a, Service: "lamp-bench", State: platform.InstanceLive})
	}
	c.fleet.ApplyInstanceList(list)
	c.refresh()
	for i := range c.daemons {
		cfg := Config{Engines: c.engines, Fleet: c.fleet, Log: eventlog.New("d", hclog.NewNullLogger(), 16), StreamIdleTimeout: testIdleTimeout}
		if i == 0 {
			cfg.NewScheduler = func(routing.Settings) routing.Scheduler { return c.scheduler }
		}
		c.daemons[i] = New(cfg)
	}
	go c.watch()
	return c
}

// refresh updates the fleet with the engines' state.
func (c *testCluster) refresh() {
	for _, a := range testAddresses {
		if s, err := c.engines.State(context.Background(), a); err == nil {
			c.fleet.ApplyEngineState(a, s, time.Now())
		}
	}
}

// watch refreshes the fleet periodically, like the daemon's probes.
func (c *testCluster) watch() {
	defer close(c.stopped)
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(500 * time.Millisecond):
			c.refresh()
			for _, d := range c.daemons {
				d.SetFleet(c.fleet.Snapshot())
			}
		}
	}
}

func (c *testCluster) close() {
	close(c.stop)
	<-c.stopped
	for _, d := range c.daemons {
		d.Close()
	}
}

func (c *testCluster) request(id string, tokens int) *ModelRequest {
	model, _ := c.document.Model("")
	class, _ := c.document.Class("")
	return &ModelRequest{
		ID: id, Service: c.document, Organisation: &c.document.Document.Organisations[0], Model: model, Class: class,
		Messages: []upstream.Message{{Role: "user", Content: "Which blue? " + id}}, MaxTokens: tokens,
	}
}

// recorder is a caller's sink: it stores the events and may disconnect.
type recorder struct {
	mu           sync.Mutex
	events       []upstream.Event
	source       StreamSource
	disconnectAt int // number of events after which it disconnects; negative for never
}

var errDisconnected = errors.New("caller disconnected")

func (r *recorder) Event(src StreamSource, e upstream.Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disconnectAt >= 0 && len(r.events) >= r.disconnectAt {
		return errDisconnected
	}
	r.events = append(r.events, e)
	r.source = src
	return nil
}

func (r *recorder) position(c *testCluster) resume.Position {
	return resume.Position{
		Organisation: r.source.Info.Organisation, Service: "lamp-bench", RequestID: r.source.Info.RequestID,
		Engine: r.source.Engine, Incarnation: r.source.Info.Ref.Incarnation, StreamID: r.source.Info.Ref.StreamID,
		Weights: r.source.Info.Weights, NextIndex: len(r.events),
	}
}

// checkEvents reports a gap, a duplicate or the text of another request.
func checkEvents(id string, events []upstream.Event) error {
	for i, e := range events {
		if e.Index != i || e.Text != eventText(id, i) {
			return errors.Newf("event %d of %s is %d %q", i, id, e.Index, e.Text)
		}
	}
	return nil
}

// testPlan is a randomly drawn run: concurrent requests, faults, and callers that
// disconnect.
type testPlan struct {
	steps    []faultStep
	requests []plannedRequest
}

type plannedRequest struct {
	tokens       int
	disconnectAt int
	cancelAfter  time.Duration // when the request's context is cancelled; 0 for never
	resumeAfter  time.Duration // pause between disconnecting and resuming at the other entry; 0 for never
}

func drawPlan(t *rapid.T) testPlan {
	drawStep := rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{fault: fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")), afterEvents: rapid.IntRange(0, 6).Draw(t, "after")}
	})
	p := testPlan{steps: rapid.SliceOfN(drawStep, 2, 8).Draw(t, "steps")}
	for range rapid.IntRange(1, 3).Draw(t, "requests") {
		r := plannedRequest{tokens: rapid.IntRange(1, 12).Draw(t, "tokens"), disconnectAt: -1}
		switch rapid.IntRange(0, 4).Draw(t, "caller") {
		case 0:
			r.disconnectAt = rapid.IntRange(0, 8).Draw(t, "disconnect at")
			r.resumeAfter = time.Duration(rapid.IntRange(0, 4000).Draw(t, "resume after ms")) * time.Millisecond
		case 1:
			r.cancelAfter = time.Duration(rapid.IntRange(1, 8000).Draw(t, "cancel after ms")) * time.Millisecond
		}
		p.requests = append(p.requests, r)
	}
	return p
}

// outcomeCounts counts the outcomes of requests over all runs of a property.
type outcomeCounts struct{ requests, complete, notRun, mayHaveRun, ran, canceled int }

func (o *outcomeCounts) count(err error) {
	o.requests++
	e, ok := verdict.As(err)
	switch {
	case err == nil:
		o.complete++
	case ok && e.Code == verdict.CodeCanceled:
		o.canceled++
	case verdict.Of(err) == verdict.NotRun:
		o.notRun++
	case verdict.Of(err) == verdict.Ran:
		o.ran++
	default:
		o.mayHaveRun++
	}
}

// runPlan runs a plan and returns the violations of the checked properties.
func runPlan(t *testing.T, p testPlan, counts *outcomeCounts) (failure error) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, p.steps)
		results := make(chan error, len(p.requests))
		for i, r := range p.requests {
			go func() { results <- c.serve(fmt.Sprintf("r%d", i), r, counts) }()
		}
		for range p.requests {
			failure = errors.CombineErrors(failure, <-results)
		}
		time.Sleep(abandonGracePeriod + 2*cancelTimeout + testRequestTimeout)
		synctest.Wait()
		if orphaned := c.engines.orphanedGenerations(); len(orphaned) > 0 {
			failure = errors.CombineErrors(failure, errors.Newf("engines still generate for %v", orphaned))
		}
		c.close()
		synctest.Wait()
		failure = errors.CombineErrors(failure, c.scheduler.check())
	})
	return failure
}

func (s *checkingScheduler) check() error {
	for id, n := range s.unfinished {
		if n != 0 {
			return errors.Newf("attempt %s was reported finished %d times too few", id, n)
		}
	}
	if s.violation != "" {
		return errors.New(s.violation)
	}
	return nil
}

// serve runs one caller and checks the events and the verdict that it gets
// against what the engines ran.
func (c *testCluster) serve(id string, r plannedRequest, counts *outcomeCounts) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if r.cancelAfter > 0 {
		defer time.AfterFunc(r.cancelAfter, cancel).Stop()
	}
	sink := &recorder{disconnectAt: r.disconnectAt}
	err := c.daemons[0].Generate(ctx, c.request(id, r.tokens), sink)
	if failure := c.checkResult(id, r, sink, err); failure != nil {
		return failure
	}
	c.engines.mu.Lock()
	counts.count(err)
	c.engines.mu.Unlock()
	if r.resumeAfter == 0 || len(sink.events) == 0 || err == nil {
		return nil
	}
	return c.resumeElsewhere(id, r, sink)
}

func (c *testCluster) checkResult(id string, r plannedRequest, sink *recorder, err error) error {
	if failure := checkEvents(id, sink.events); failure != nil {
		return failure
	}
	c.engines.mu.Lock()
	runs := c.engines.runs[id]
	c.engines.mu.Unlock()
	switch {
	case err == nil && len(sink.events) != r.tokens:
		return errors.Newf("%s ended without an error after %d of %d events", id, len(sink.events), r.tokens)
	case err != nil && verdict.Of(err) == verdict.NotRun && runs > 0:
		return errors.Newf("%s got the verdict not-run but ran %d times: %v", id, runs, err)
	case err != nil && verdict.Of(err) == verdict.Ran && runs == 0:
		return errors.Newf("%s got the verdict ran but did not run: %v", id, err)
	case err != nil && len(sink.events) > 0 && verdict.Of(err) != verdict.Ran:
		return errors.Newf("%s got events but the verdict %v", id, verdict.Of(err))
	}
	return nil
}

// resumeElsewhere resumes a stream at the other entry and checks the result.
func (c *testCluster) resumeElsewhere(id string, r plannedRequest, sink *recorder) error {
	time.Sleep(r.resumeAfter)
	sink.disconnectAt = -1
	err := c.daemons[1].Resume(context.Background(), c.request(id, r.tokens), sink.position(c), sink)
	if failure := c.checkResult(id, r, sink, err); failure != nil {
		return errors.Wrap(failure, "resumed")
	}
	return nil
}

func TestStreamsAndVerdictsUnderFaults(t *testing.T) {
	counts := &outcomeCounts{}
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		if err := runPlan(t, p, counts); err != nil {
			rt.Fatalf("%v\nplan %+v", err, p)
		}
	})
	t.Logf("requests %d: complete %d, not-run %d, may-have-run %d, ran %d, caller disconnected %d",
		counts.requests, counts.complete, counts.notRun, counts.mayHaveRun, counts.ran, counts.canceled)
}

func TestEveryPairOfFaults(t *testing.T) {
	counts := &outcomeCounts{}
	for first := range faultCount {
		for second := range faultCount {
			for _, after := range []int{0, 3} {
				p := testPlan{steps: []faultStep{{first, after}, {second, after}}, requests: []plannedRequest{{tokens: 8, disconnectAt: -1}}}
				if err := runPlan(t, p, counts); err != nil {
					t.Errorf("faults %d and %d after %d events: %v", first, second, after, err)
				}
			}
		}
	}
	t.Logf("requests %d: complete %d, not-run %d, may-have-run %d, ran %d", counts.requests, counts.complete, counts.notRun, counts.mayHaveRun, counts.ran)
}

func TestCombineVerdicts(t *testing.T) {
	all := []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}
	for _, a := range all {
		for _, b := range all {
			got := combineVerdicts(a, b)
			assert.Equal(t, got, combineVerdicts(b, a))
			assert.Equal(t, got == verdict.NotRun, a == verdict.NotRun && b == verdict.NotRun)
			assert.Equal(t, got == verdict.Ran, a == verdict.Ran || b == verdict.Ran)
		}
	}
}

func TestSlowEngineIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, []faultStep{{fault: faultSlow}, {fault: faultSlow}})
		defer c.close()
		c.scheduler.Scheduler = routing.New(routing.Settings{}) // no hedging and no retries
		c.scheduler.SetEndpoints(time.Now(), c.daemons[0].allowedEndpoints(c.fleet.Snapshot(), "lamp-bench"))
		sink := &recorder{disconnectAt: -1}
		assert.NilError(t, c.daemons[0].Generate(context.Background(), c.request("r", 4), sink))
		assert.Equal(t, len(sink.events), 4)
		assert.Equal(t, c.engines.runs["r"], 1)
	})
}

func TestResumeWithinGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, nil)
		defer c.close()
		sink := &recorder{disconnectAt: 3}
		err := c.daemons[0].Generate(context.Background(), c.request("r", 400), sink)
		assert.Equal(t, verdict.Of(err), verdict.Ran)
		time.Sleep(abandonGracePeriod / 2)
		sink.disconnectAt = -1
		assert.NilError(t, c.daemons[1].Resume(context.Background(), c.request("r", 400), sink.position(c), sink))
		assert.NilError(t, checkEvents("r", sink.events))
		assert.Equal(t, len(sink.events), 400)
		assert.Equal(t, c.engines.runs["r"], 1)
	})
}

func TestStreamWithTwoReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, nil)
		defer c.close()
		first := &recorder{disconnectAt: -1}
		done := make(chan error, 1)
		go func() { done <- c.daemons[0].Generate(context.Background(), c.request("r", 200), first) }()
		time.Sleep(time.Second)
		synctest.Wait()
		first.mu.Lock()
		second := &recorder{disconnectAt: -1, events: slices.Clone(first.events)}
		position := first.position(c)
		first.mu.Unlock()
		assert.NilError(t, c.daemons[1].Resume(context.Background(), c.request("r", 200), position, second))
		assert.NilError(t, <-done)
		assert.NilError(t, checkEvents("r", first.events))
		assert.NilError(t, checkEvents("r", second.events))
		assert.Equal(t, len(second.events), 200)
	})
}

// TestBrokenResumptionsAreBounded breaks each resumed connection before its
// first event.
func TestBrokenResumptionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steps := []faultStep{{fault: faultDisconnect, afterEvents: 1}}
		for range 50 {
			steps = append(steps, faultStep{fault: faultDisconnect})
		}
		c := newTestCluster(t, steps)
		defer c.close()
		start := time.Now()
		sink := &recorder{disconnectAt: -1}
		err := c.daemons[0].Generate(context.Background(), c.request("r", 4), sink)
		assert.Equal(t, verdict.Of(err), verdict.Ran)
		assert.Equal(t, len(sink.events), 1)
		assert.Assert(t, len(steps)-len(c.engines.steps) <= maxResumeAttempts+2)
		assert.Assert(t, time.Since(start) >= time.Second) // the resumptions are backed off
	})
}

// TestHedgedAttemptWins hedges a request whose first engine is slow to start.
func TestHedgedAttemptWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, []faultStep{{fault: faultSlow}})
		defer c.close()
		start := time.Now()
		sink := &recorder{disconnectAt: -1}
		assert.NilError(t, c.daemons[0].Generate(context.Background(), c.request("r", 4), sink))
		assert.NilError(t, checkEvents("r", sink.events))
		assert.Equal(t, len(sink.events), 4)
		assert.Assert(t, time.Since(start) < testSlowStart)
		assert.Equal(t, c.engines.runs["r"], 2)
		time.Sleep(abandonGracePeriod / 2)
		assert.Equal(t, len(c.engines.orphanedGenerations()), 0) // the first attempt was cancelled at once
		assert.NilError(t, c.scheduler.check())
	})
}
