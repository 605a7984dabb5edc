package dispatch

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// fault is what happens at one step of a request at the fake engines.
type fault int

const (
	faultNone      fault = iota
	faultDial            // no connection
	faultBusy            // the engine refuses
	faultLostAsk         // the connection breaks before the engine reads the request
	faultLostHead        // the engine works, its answer is lost
	faultCut             // the connection breaks after some events
	faultSilent          // the connection stays open without a byte
	faultCrash           // the engine restarts after some events
	faultCrashGone       // the engine restarts and stays unreachable for a while
	faultFreeze          // the engine makes no progress for a while
	faultSlow            // the first event takes long
	faultOtherID         // the head names another request
	faultOtherOrg        // another organisation
	faultOtherSet        // other weights
	faultOtherLife       // another incarnation
	faultOtherRef        // another stream
	faultRepeat          // an event is delivered twice
	faultKinds
)

// step is a fault and the number of events before it.
type step struct {
	fault fault
	after int
}

const (
	testToken    = 20 * time.Millisecond
	testFrozen   = 12 * time.Second
	testSlow     = 25 * time.Second
	testPrefill  = 200 * time.Millisecond
	testPoison   = "crash the engine"
	testIdle     = 3 * time.Second
	testClosing  = 20 * time.Millisecond
	testTimeout  = 5 * time.Second
	testWeights  = "opal@1"
	testCustomer = "trust"
)

// fakeEngines is a set of engines with an oracle of what each of them ran.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	steps   []step // consumed by Generate and Resume, in order
	runs    map[string]int
	crashes int
	// exits makes a crash the end of an engine's process.
	exits bool
}

type fakeEngine struct {
	closing time.Time // until then a process that ends breaks what it accepts
	ended   bool
	life    int
	streams map[string]*fakeRun
	down    time.Time // unreachable until then
	frozen  time.Time
}

// fakeRun is one generation at an engine.
type fakeRun struct {
	id, request string
	life        int
	tokens      int
	start       time.Time // when event 0 is ready
	readers     int
	canceled    bool
	wasted      bool
	gone        chan struct{} // closed when the engine crashes
}

func newFakeEngines(steps []step, addresses ...string) *fakeEngines {
	f := &fakeEngines{engines: map[string]*fakeEngine{}, steps: steps, runs: map[string]int{}}
	for _, a := range addresses {
		f.engines[a] = &fakeEngine{streams: map[string]*fakeRun{}}
	}
	return f
}

func lifeName(address string, life int) string { return address + "/" + strconv.Itoa(life) }

func word(request string, i int) string { return fmt.Sprintf("%s-%d ", request, i) }

func (f *fakeEngines) step() step {
	if len(f.steps) == 0 {
		return step{}
	}
	s := f.steps[0]
	f.steps = f.steps[1:]
	return s
}

func broken(message string) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, message)
}

// endedProcess is what a connection to the address of an ended process meets:
// while the process ends, its socket may still accept.
func endedProcess(closing bool) error {
	cause := syscall.ECONNREFUSED
	if closing {
		cause = syscall.ECONNRESET
	}
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "no answer")
}

// Generate implements upstream.Engines.
func (f *fakeEngines) Generate(_ context.Context, address string, g *upstream.Generation) (upstream.Stream, error) {
	f.mu.Lock()
	e, s := f.engines[address], f.step()
	if s.fault == faultDial || e.ended || time.Now().Before(e.down) {
		f.mu.Unlock()
		return nil, verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "no connection")
	}
	if s.fault == faultLostAsk {
		f.mu.Unlock()
		return nil, broken("connection broken")
	}
	if s.fault == faultBusy || lifeName(address, e.life) != g.Incarnation {
		f.mu.Unlock()
		return nil, verdict.Wrap(&upstream.RefusedError{Reason: upstream.RefusedOverloaded}, verdict.NotRun, verdict.CodeUpstreamFailed, "refused")
	}
	f.runs[g.RequestID]++
	run := &fakeRun{
		id: "s" + strconv.Itoa(len(e.streams)), request: g.RequestID, life: e.life, tokens: g.MaxTokens,
		start: time.Now().Add(testToken), gone: make(chan struct{}),
	}
	e.streams[run.id] = run
	poison := strings.Contains(g.Messages[0].Content, testPoison)
	if poison && f.exits {
		f.crash(address)
		f.mu.Unlock()
		return nil, broken("no answer")
	}
	if poison {
		time.AfterFunc(testPrefill, func() { f.crashLife(address, run.life) })
		run.start = run.start.Add(2 * testPrefill)
	}
	if s.fault == faultSlow {
		run.start = time.Now().Add(testSlow)
	}
	if s.fault == faultLostHead {
		run.wasted = true
		f.mu.Unlock()
		time.Sleep(testTimeout)
		return nil, broken("no answer")
	}
	defer f.mu.Unlock()
	return f.open(address, e, run, s, 0), nil
}

// Resume implements upstream.Engines.
func (f *fakeEngines) Resume(_ context.Context, address string, ref upstream.StreamRef, next int) (upstream.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, s := f.engines[address], f.step()
	if s.fault == faultDial || s.fault == faultLostAsk || time.Now().Before(e.down) {
		return nil, broken("no connection")
	}
	run := e.streams[ref.StreamID]
	if run == nil || run.canceled || lifeName(address, e.life) != ref.Incarnation {
		return nil, verdict.Wrap(&upstream.RefusedError{Reason: upstream.RefusedStreamGone}, verdict.NotRun, verdict.CodeUpstreamFailed, "gone")
	}
	return f.open(address, e, run, s, next), nil
}

func (f *fakeEngines) open(address string, e *fakeEngine, run *fakeRun, s step, next int) upstream.Stream {
	run.readers++
	info := upstream.StreamInfo{
		Ref:          upstream.StreamRef{Incarnation: lifeName(address, e.life), StreamID: run.id},
		Organisation: testCustomer, Weights: testWeights, RequestID: run.request,
	}
	switch s.fault {
	case faultOtherID:
		info.RequestID += "x"
	case faultOtherOrg:
		info.Organisation += "x"
	case faultOtherSet:
		info.Weights += "x"
	case faultOtherLife:
		info.Ref.Incarnation += "x"
	case faultOtherRef: // before the first event, any stream id may be the request's
		if next == 0 {
			break
		}
		info.Ref.StreamID += "x"
	}
	crossed := info.RequestID != run.request || info.Organisation != testCustomer || info.Weights != testWeights ||
		info.Ref != upstream.StreamRef{Incarnation: lifeName(address, run.life), StreamID: run.id}
	text := run.request
	if crossed {
		text += "x"       // another's words come under another's head
		run.wasted = true // the daemon can't know which stream is its own
	}
	return &fakeStream{f: f, address: address, run: run, info: info, text: text, step: s, next: next, first: next, closed: make(chan struct{})}
}

// Cancel implements upstream.Engines.
func (f *fakeEngines) Cancel(_ context.Context, address string, ref upstream.StreamRef) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if run := f.engines[address].streams[ref.StreamID]; run != nil {
		run.canceled = true
	}
	return nil
}

// Abandon implements upstream.Abandoner.
func (f *fakeEngines) Abandon(ctx context.Context, address string, ref upstream.StreamRef) error {
	f.mu.Lock()
	run := f.engines[address].streams[ref.StreamID]
	read := run != nil && run.readers > 0
	f.mu.Unlock()
	if read {
		return errors.New("in use")
	}
	return f.Cancel(ctx, address, ref)
}

// State implements upstream.Engines.
func (f *fakeEngines) State(_ context.Context, address string) (upstream.EngineState, error) {
	f.mu.Lock()
	e := f.engines[address]
	life, silent := e.life, time.Now().Before(e.frozen)
	down := time.Now().Before(e.down)
	ended, closing := e.ended, time.Now().Before(e.closing)
	f.mu.Unlock()
	if ended {
		return upstream.EngineState{}, endedProcess(closing)
	}
	if silent {
		time.Sleep(cancelTimeout)
	}
	if silent || down {
		return upstream.EngineState{}, broken("no answer")
	}
	return upstream.EngineState{Incarnation: lifeName(address, life), Weights: []string{testWeights}, Slots: 4}, nil
}

// Events implements upstream.Engines.
func (f *fakeEngines) Events(context.Context, string, uint64) ([]upstream.CacheEvent, error) {
	return nil, nil
}

// Order implements upstream.Engines.
func (f *fakeEngines) Order(context.Context, string, upstream.Order) error { return nil }

func (f *fakeEngines) crashLife(address string, life int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.engines[address].life == life {
		f.crash(address)
	}
}

func (f *fakeEngines) crash(address string) {
	e := f.engines[address]
	e.life++
	if f.exits {
		e.ended, e.closing = true, time.Now().Add(testClosing)
	}
	f.crashes++
	for _, run := range e.streams {
		close(run.gone)
	}
	e.streams = map[string]*fakeRun{}
}

// orphans returns the generations that go on though nobody waits for them.
func (f *fakeEngines) orphans() (out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		for _, run := range e.streams {
			end := run.start.Add(time.Duration(run.tokens) * testToken)
			if !run.canceled && !run.wasted && run.readers == 0 && time.Now().Before(end) {
				out = append(out, run.request)
			}
		}
	}
	return out
}

// fakeStream is one connection that reads a generation.
type fakeStream struct {
	f       *fakeEngines
	address string
	run     *fakeRun
	info    upstream.StreamInfo
	text    string // whose words come
	step    step
	first   int
	next    int
	once    sync.Once
	closed  chan struct{}
}

// Info implements upstream.Stream.
func (s *fakeStream) Info() upstream.StreamInfo { return s.info }

// Close implements upstream.Stream.
func (s *fakeStream) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.f.mu.Lock()
		defer s.f.mu.Unlock()
		s.run.readers--
	})
	return nil
}

// Next implements upstream.Stream.
func (s *fakeStream) Next() (upstream.Event, error) {
	if s.next >= s.run.tokens {
		return upstream.Event{}, io.EOF
	}
	if s.next-s.first >= s.step.after {
		if err := s.fail(); err != nil {
			return upstream.Event{}, err
		}
	}
	s.f.mu.Lock()
	ready := s.run.start.Add(time.Duration(s.next) * testToken)
	canceled := s.run.canceled
	if frozen := s.f.engines[s.address].frozen; ready.Before(frozen) {
		ready = frozen
	}
	s.f.mu.Unlock()
	if canceled {
		return upstream.Event{}, broken("cancelled")
	}
	if err := s.wait(time.Until(ready)); err != nil {
		return upstream.Event{}, err
	}
	e := upstream.Event{Index: s.next, Text: word(s.text, s.next)}
	if s.next == s.run.tokens-1 {
		e.Finish = "stop"
	}
	s.next++
	return e, nil
}

// fail causes the connection's fault.
func (s *fakeStream) fail() error {
	s.f.mu.Lock()
	e := s.f.engines[s.address]
	kind := s.step.fault
	switch kind {
	case faultCrash, faultCrashGone:
		if s.run.life == e.life {
			s.f.crash(s.address)
		}
		if kind == faultCrashGone {
			e.down = time.Now().Add(testFrozen)
		}
	case faultFreeze:
		e.frozen = time.Now().Add(testFrozen)
	}
	s.step.fault = faultNone
	s.f.mu.Unlock()
	switch kind {
	case faultSilent:
		<-s.closed
		return broken("closed")
	case faultCut, faultRepeat: // the adapter reports an event out of order as a broken connection
		return broken("cut")
	}
	return nil
}

func (s *fakeStream) wait(d time.Duration) error {
	timer := time.NewTimer(max(d, time.Nanosecond))
	defer timer.Stop()
	select {
	case <-s.closed:
		return broken("closed")
	case <-s.run.gone:
		return broken("engine crashed")
	default:
	}
	select {
	case <-timer.C:
		return nil
	case <-s.closed:
		return broken("closed")
	case <-s.run.gone:
		return broken("engine crashed")
	}
}
