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

// world is a daemon's dispatcher before fake engines.
type world struct {
	engines *fakeEngines
	fleet   *fleet.Fleet
	daemons [2]*Dispatcher
	doc     *servicedoc.Accepted
	counts  *countingScheduler
	stop    chan struct{}
	stopped chan struct{}
}

// countingScheduler checks that each action is finished exactly once.
type countingScheduler struct {
	routing.Scheduler
	open map[string]int
	bad  string
}

func (c *countingScheduler) Advance(now time.Time) []routing.Action {
	actions := c.Scheduler.Advance(now)
	for _, a := range actions {
		if a.Kind != routing.Refuse {
			c.open[a.Request.ID+a.Endpoint]++
		}
	}
	return actions
}

func (c *countingScheduler) Finished(now time.Time, id, endpoint string, o routing.Outcome, tokens int) {
	c.open[id+endpoint]--
	if c.open[id+endpoint] < 0 {
		c.bad = id + " finished twice at " + endpoint
	}
	c.Scheduler.Finished(now, id, endpoint, o, tokens)
}

func newWorld(t testing.TB, steps []step) *world {
	doc, err := servicedoc.NewAccepted(1, []byte(testDocument))
	assert.NilError(t, err)
	w := &world{engines: newFakeEngines(steps, testAddresses...), fleet: fleet.New(nil), doc: doc, stop: make(chan struct{}), stopped: make(chan struct{})}
	w.counts = &countingScheduler{Scheduler: routing.New(routing.Settings{HedgePercent: 1000, RetryPercent: 1000}), open: map[string]int{}}
	var list []platform.Instance
	for _, a := range testAddresses {
		list = append(list, platform.Instance{Address: a, Service: "lamp-bench", State: platform.InstanceLive})
	}
	w.fleet.ApplyList(list)
	w.refresh()
	for i := range w.daemons {
		cfg := Config{Engines: w.engines, Fleet: w.fleet, Log: eventlog.New("d", hclog.NewNullLogger(), 16), StreamIdle: testIdle}
		if i == 0 {
			cfg.NewScheduler = func(routing.Settings) routing.Scheduler { return w.counts }
		}
		w.daemons[i] = New(cfg)
	}
	go w.watch()
	return w
}

// refresh tells the fleet what the engines run.
func (w *world) refresh() {
	for _, a := range testAddresses {
		if s, err := w.engines.State(context.Background(), a); err == nil {
			w.fleet.ApplyEngineState(a, s, time.Now())
		}
	}
}

// watch refreshes the fleet as the daemon's probes do.
func (w *world) watch() {
	defer close(w.stopped)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(500 * time.Millisecond):
			w.refresh()
			for _, d := range w.daemons {
				d.SetFleet(w.fleet.Snapshot())
			}
		}
	}
}

func (w *world) close() {
	close(w.stop)
	<-w.stopped
	for _, d := range w.daemons {
		d.Close()
	}
}

func (w *world) request(id string, tokens int) *ModelRequest {
	model, _ := w.doc.Model("")
	class, _ := w.doc.Class("")
	return &ModelRequest{
		ID: id, Service: w.doc, Organisation: &w.doc.Document.Organisations[0], Model: model, Class: class,
		Messages: []upstream.Message{{Role: "user", Content: "Which blue? " + id}}, MaxTokens: tokens,
	}
}

// recorder is a caller: it keeps what it was given and may leave.
type recorder struct {
	mu      sync.Mutex
	events  []upstream.Event
	source  Source
	leaveAt int // events after which it leaves; negative for never
}

var errLeft = errors.New("caller left")

func (r *recorder) Event(src Source, e upstream.Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaveAt >= 0 && len(r.events) >= r.leaveAt {
		return errLeft
	}
	r.events = append(r.events, e)
	r.source = src
	return nil
}

func (r *recorder) position(w *world) resume.Position {
	return resume.Position{
		Organisation: r.source.Info.Organisation, Service: "lamp-bench", RequestID: r.source.Info.RequestID,
		Engine: r.source.Engine, Incarnation: r.source.Info.Ref.Incarnation, StreamID: r.source.Info.Ref.StreamID,
		Weights: r.source.Info.Weights, Next: len(r.events),
	}
}

// checkWords reports a gap, a repeat or another's words.
func checkWords(id string, events []upstream.Event) error {
	for i, e := range events {
		if e.Index != i || e.Text != word(id, i) {
			return errors.Newf("event %d of %s is %d %q", i, id, e.Index, e.Text)
		}
	}
	return nil
}

// plan is one drawn run: a few requests at once, faults, and callers that leave.
type plan struct {
	steps    []step
	requests []plannedRequest
}

type plannedRequest struct {
	tokens  int
	leaveAt int
	hangUp  time.Duration // ends the request's context; 0 for never
	back    time.Duration // after leaving, comes back at the other entry; 0 for never
}

func drawPlan(t *rapid.T) plan {
	drawStep := rapid.Custom(func(t *rapid.T) step {
		return step{fault: fault(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "fault")), after: rapid.IntRange(0, 6).Draw(t, "after")}
	})
	p := plan{steps: rapid.SliceOfN(drawStep, 2, 8).Draw(t, "steps")}
	for range rapid.IntRange(1, 3).Draw(t, "requests") {
		r := plannedRequest{tokens: rapid.IntRange(1, 12).Draw(t, "tokens"), leaveAt: -1}
		switch rapid.IntRange(0, 4).Draw(t, "caller") {
		case 0:
			r.leaveAt = rapid.IntRange(0, 8).Draw(t, "leave")
			r.back = time.Duration(rapid.IntRange(0, 4000).Draw(t, "back ms")) * time.Millisecond
		case 1:
			r.hangUp = time.Duration(rapid.IntRange(1, 8000).Draw(t, "hang up ms")) * time.Millisecond
		}
		p.requests = append(p.requests, r)
	}
	return p
}

// tally counts outcomes over all runs of a property.
type tally struct{ requests, whole, notRun, mayHaveRun, ran, gone int }

func (c *tally) count(err error) {
	c.requests++
	e, ok := verdict.As(err)
	switch {
	case err == nil:
		c.whole++
	case ok && e.Code == verdict.CodeCanceled:
		c.gone++
	case verdict.Of(err) == verdict.NotRun:
		c.notRun++
	case verdict.Of(err) == verdict.Ran:
		c.ran++
	default:
		c.mayHaveRun++
	}
}

// play runs a plan and returns what broke a rule.
func play(t *testing.T, p plan, counts *tally) (broken error) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, p.steps)
		results := make(chan error, len(p.requests))
		for i, r := range p.requests {
			go func() { results <- w.serve(fmt.Sprintf("r%d", i), r, counts) }()
		}
		for range p.requests {
			broken = errors.CombineErrors(broken, <-results)
		}
		time.Sleep(abandonGrace + 2*cancelTimeout + testTimeout)
		synctest.Wait()
		if left := w.engines.orphans(); len(left) > 0 {
			broken = errors.CombineErrors(broken, errors.Newf("engines still work for %v", left))
		}
		w.close()
		synctest.Wait()
		broken = errors.CombineErrors(broken, w.counts.check())
	})
	return broken
}

func (c *countingScheduler) check() error {
	for id, n := range c.open {
		if n != 0 {
			return errors.Newf("attempt %s was finished %d times too few", id, n)
		}
	}
	if c.bad != "" {
		return errors.New(c.bad)
	}
	return nil
}

// serve is one caller, who checks what it is told against the oracle.
func (w *world) serve(id string, r plannedRequest, counts *tally) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if r.hangUp > 0 {
		defer time.AfterFunc(r.hangUp, cancel).Stop()
	}
	sink := &recorder{leaveAt: r.leaveAt}
	err := w.daemons[0].Generate(ctx, w.request(id, r.tokens), sink)
	if broken := w.judge(id, r, sink, err); broken != nil {
		return broken
	}
	w.engines.mu.Lock()
	counts.count(err)
	w.engines.mu.Unlock()
	if r.back == 0 || len(sink.events) == 0 || err == nil {
		return nil
	}
	return w.comeBack(id, r, sink)
}

func (w *world) judge(id string, r plannedRequest, sink *recorder, err error) error {
	if broken := checkWords(id, sink.events); broken != nil {
		return broken
	}
	w.engines.mu.Lock()
	runs := w.engines.runs[id]
	w.engines.mu.Unlock()
	switch {
	case err == nil && len(sink.events) != r.tokens:
		return errors.Newf("%s ended silently after %d of %d events", id, len(sink.events), r.tokens)
	case err != nil && verdict.Of(err) == verdict.NotRun && runs > 0:
		return errors.Newf("%s was told not-run and ran %d times: %v", id, runs, err)
	case err != nil && verdict.Of(err) == verdict.Ran && runs == 0:
		return errors.Newf("%s was told ran and did not run: %v", id, err)
	case err != nil && len(sink.events) > 0 && verdict.Of(err) != verdict.Ran:
		return errors.Newf("%s had events and was told %v", id, verdict.Of(err))
	}
	return nil
}

// comeBack resumes a stream at the other entry.
func (w *world) comeBack(id string, r plannedRequest, sink *recorder) error {
	time.Sleep(r.back)
	sink.leaveAt = -1
	err := w.daemons[1].Resume(context.Background(), w.request(id, r.tokens), sink.position(w), sink)
	if broken := w.judge(id, r, sink, err); broken != nil {
		return errors.Wrap(broken, "resumed")
	}
	return nil
}

func TestStreamsAndVerdictsUnderFaults(t *testing.T) {
	counts := &tally{}
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		if err := play(t, p, counts); err != nil {
			rt.Fatalf("%v\nplan %+v", err, p)
		}
	})
	t.Logf("requests %d: whole %d, not-run %d, may-have-run %d, ran %d, caller gone %d",
		counts.requests, counts.whole, counts.notRun, counts.mayHaveRun, counts.ran, counts.gone)
}

func TestEveryPairOfFaults(t *testing.T) {
	counts := &tally{}
	for first := range faultKinds {
		for second := range faultKinds {
			for _, after := range []int{0, 3} {
				p := plan{steps: []step{{first, after}, {second, after}}, requests: []plannedRequest{{tokens: 8, leaveAt: -1}}}
				if err := play(t, p, counts); err != nil {
					t.Errorf("faults %d and %d after %d events: %v", first, second, after, err)
				}
			}
		}
	}
	t.Logf("requests %d: whole %d, not-run %d, may-have-run %d, ran %d", counts.requests, counts.whole, counts.notRun, counts.mayHaveRun, counts.ran)
}

func TestWorstVerdict(t *testing.T) {
	all := []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}
	for _, a := range all {
		for _, b := range all {
			got := worst(a, b)
			assert.Equal(t, got, worst(b, a))
			assert.Equal(t, got == verdict.NotRun, a == verdict.NotRun && b == verdict.NotRun)
			assert.Equal(t, got == verdict.Ran, a == verdict.Ran || b == verdict.Ran)
		}
	}
}

func TestSlowEngineIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, []step{{fault: faultSlow}, {fault: faultSlow}})
		defer w.close()
		w.counts.Scheduler = routing.New(routing.Settings{}) // neither hedges nor retries
		w.counts.SetEndpoints(time.Now(), w.daemons[0].endpoints(w.fleet.Snapshot(), "lamp-bench"))
		sink := &recorder{leaveAt: -1}
		assert.NilError(t, w.daemons[0].Generate(context.Background(), w.request("r", 4), sink))
		assert.Equal(t, len(sink.events), 4)
		assert.Equal(t, w.engines.runs["r"], 1)
	})
}

func TestCallerComesBackBeforeItsStreamIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, nil)
		defer w.close()
		sink := &recorder{leaveAt: 3}
		err := w.daemons[0].Generate(context.Background(), w.request("r", 400), sink)
		assert.Equal(t, verdict.Of(err), verdict.Ran)
		time.Sleep(abandonGrace / 2)
		sink.leaveAt = -1
		assert.NilError(t, w.daemons[1].Resume(context.Background(), w.request("r", 400), sink.position(w), sink))
		assert.NilError(t, checkWords("r", sink.events))
		assert.Equal(t, len(sink.events), 400)
		assert.Equal(t, w.engines.runs["r"], 1)
	})
}

func TestStreamWithTwoReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, nil)
		defer w.close()
		first := &recorder{leaveAt: -1}
		done := make(chan error, 1)
		go func() { done <- w.daemons[0].Generate(context.Background(), w.request("r", 200), first) }()
		time.Sleep(time.Second)
		synctest.Wait()
		first.mu.Lock()
		second := &recorder{leaveAt: -1, events: slices.Clone(first.events)}
		position := first.position(w)
		first.mu.Unlock()
		assert.NilError(t, w.daemons[1].Resume(context.Background(), w.request("r", 200), position, second))
		assert.NilError(t, <-done)
		assert.NilError(t, checkWords("r", first.events))
		assert.NilError(t, checkWords("r", second.events))
		assert.Equal(t, len(second.events), 200)
	})
}

// TestConnectionsThatBreakAtOnceAreBounded lets each resumed connection break
// before its first event.
func TestConnectionsThatBreakAtOnceAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steps := []step{{fault: faultCut, after: 1}}
		for range 50 {
			steps = append(steps, step{fault: faultCut})
		}
		w := newWorld(t, steps)
		defer w.close()
		start := time.Now()
		sink := &recorder{leaveAt: -1}
		err := w.daemons[0].Generate(context.Background(), w.request("r", 4), sink)
		assert.Equal(t, verdict.Of(err), verdict.Ran)
		assert.Equal(t, len(sink.events), 1)
		assert.Assert(t, len(steps)-len(w.engines.steps) <= maxResumes+2)
		assert.Assert(t, time.Since(start) >= time.Second) // the tries are spaced
	})
}

// TestSecondCopyWins hedges a request whose first engine is slow.
func TestSecondCopyWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, []step{{fault: faultSlow}})
		defer w.close()
		start := time.Now()
		sink := &recorder{leaveAt: -1}
		assert.NilError(t, w.daemons[0].Generate(context.Background(), w.request("r", 4), sink))
		assert.NilError(t, checkWords("r", sink.events))
		assert.Equal(t, len(sink.events), 4)
		assert.Assert(t, time.Since(start) < testSlow)
		assert.Equal(t, w.engines.runs["r"], 2)
		time.Sleep(abandonGrace / 2)
		assert.Equal(t, len(w.engines.orphans()), 0) // the first copy was cancelled at once
		assert.NilError(t, w.counts.check())
	})
}
