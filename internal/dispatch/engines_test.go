package dispatch

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// fault is a failure injected into one connection to a fake engine.
type fault int

const (
	faultNone             fault = iota
	faultDial                   // no connection can be made
	faultRefused                // the engine refuses the request
	faultRequestLost            // the connection breaks before the engine reads the request
	faultHeadersLost            // the engine runs the request, its response is lost
	faultDisconnect             // the connection breaks after some events
	faultUnresponsive           // the connection stays open but delivers nothing
	faultCrash                  // the engine restarts after some events
	faultCrashUnreachable       // the engine restarts and stays unreachable for a while
	faultFreeze                 // the engine makes no progress for a while
	faultSlow                   // the first event is late
	faultOtherID                // the response headers name another request
	faultOtherOrg               // ... another organisation
	faultOtherWeights           // ... other weights
	faultOtherIncarnation       // ... another incarnation
	faultOtherStream            // ... another stream
	faultDuplicateEvent         // an event is delivered twice
	faultCount
)

// faultStep is a fault and the number of events delivered before it.
type faultStep struct {
	fault       fault
	afterEvents int
}

const (
	testTokenInterval  = 20 * time.Millisecond
	testOutage         = 12 * time.Second
	testSlowStart      = 25 * time.Second
	testPrefillTime    = 200 * time.Millisecond
	testPoisonPrompt   = "crash the engine"
	testIdleTimeout    = 3 * time.Second
	testExitTime       = 20 * time.Millisecond
	testRequestTimeout = 5 * time.Second
	testWeights        = "opal@1"
	testOrganisation   = "trust"
)

// fakeEngines is a set of engines that counts how often each request ran.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	steps   []faultStep // consumed by Generate and Resume, in order
	runs    map[string]int
	crashes int
	// cured makes testPoisonPrompt harmless.
	cured bool
	// crashEndsProcess makes a crash end the engine's process without a restart.
	crashEndsProcess bool
}

type fakeEngine struct {
	acceptingUntil   time.Time // until then an exited process still accepts connections and breaks them
	exited           bool
	incarnation      int
	streams          map[string]*fakeGeneration
	unreachableUntil time.Time
	frozenUntil      time.Time
}

// fakeGeneration is the generation of one request at an engine.
type fakeGeneration struct {
	id, request   string
	incarnation   int
	tokens        int
	start         time.Time // when event 0 is ready
	readers       int
	canceled      bool
	uncancellable bool
	crashed       chan struct{} // closed when the engine crashes
}

func newFakeEngines(steps []faultStep, addresses ...string) *fakeEngines {
	f := &fakeEngines{engines: map[string]*fakeEngine{}, steps: steps, runs: map[string]int{}}
	for _, a := range addresses {
		f.engines[a] = &fakeEngine{streams: map[string]*fakeGeneration{}}
	}
	return f
}

func incarnationName(address string, incarnation int) string {
	return address + "/" + strconv.Itoa(incarnation)
}

func eventText(request string, i int) string { return fmt.Sprintf("%s-%d ", request, i) }

func (f *fakeEngines) nextStep() faultStep {
	if len(f.steps) == 0 {
		return faultStep{}
	}
	s := f.steps[0]
	f.steps = f.steps[1:]
	return s
}

func brokenConnection(message string) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, message)
}

// exitedProcessError is the error of a connection to an exited process. While the
// process exits, its socket may still accept connections.
func exitedProcessError(accepting bool) error {
	cause := syscall.ECONNREFUSED
	if accepting {
		cause = syscall.ECONNRESET
	}
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "no response")
}

// Generate implements upstream.Engines.
func (f *fakeEngines) Generate(_ context.Context, address string, g *upstream.GenerateRequest) (upstream.Stream, error) {
	f.mu.Lock()
	e, s := f.engines[address], f.nextStep()
	if s.fault == faultDial || e.exited || time.Now().Before(e.unreachableUntil) {
		f.mu.Unlock()
		return nil, verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "no connection")
	}
	if s.fault == faultRequestLost {
		f.mu.Unlock()
		return nil, brokenConnection("connection broken")
	}
	if s.fault == faultRefused || incarnationName(address, e.incarnation) != g.Incarnation {
		f.mu.Unlock()
		return nil, verdict.Wrap(&upstream.RefusedError{Reason: upstream.RefusedOverloaded}, verdict.NotRun, verdict.CodeUpstreamFailed, "refused")
	}
	f.runs[g.RequestID]++
	run := &fakeGeneration{
		id: "s" + strconv.Itoa(len(e.streams)), request: g.RequestID, incarnation: e.incarnation, tokens: g.MaxTokens,
		start: time.Now().Add(testTokenInterval), crashed: make(chan struct{}),
	}
	e.streams[run.id] = run
	poison := !f.cured && slices.ContainsFunc(g.Messages, func(m upstream.Message) bool { return strings.Contains(m.Content, testPoisonPrompt) })
	if poison && f.crashEndsProcess {
		f.crash(address)
		f.mu.Unlock()
		return nil, brokenConnection("no response")
	}
	if poison {
		time.AfterFunc(testPrefillTime, func() { f.crashIncarnation(address, run.incarnation) })
		run.start = run.start.Add(2 * testPrefillTime)
	}
	if s.fault == faultSlow {
		run.start = time.Now().Add(testSlowStart)
	}
	if s.fault == faultHeadersLost {
		run.uncancellable = true
		f.mu.Unlock()
		time.Sleep(testRequestTimeout)
		return nil, brokenConnection("no response")
	}
	defer f.mu.Unlock()
	return f.open(address, e, run, s, 0), nil
}

// Resume implements upstream.Engines.
func (f *fakeEngines) Resume(_ context.Context, address string, ref upstream.StreamRef, next int) (upstream.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, s := f.engines[address], f.nextStep()
	if s.fault == faultDial || s.fault == faultRequestLost || time.Now().Before(e.unreachableUntil) {
		return nil, brokenConnection("no connection")
	}
	run := e.streams[ref.StreamID]
	if run == nil || run.canceled || incarnationName(address, e.incarnation) != ref.Incarnation {
		return nil, verdict.Wrap(&upstream.RefusedError{Reason: upstream.RefusedStreamGone}, verdict.NotRun, verdict.CodeUpstreamFailed, "stream gone")
	}
	return f.open(address, e, run, s, next), nil
}

func (f *fakeEngines) open(address string, e *fakeEngine, run *fakeGeneration, s faultStep, next int) upstream.Stream {
	run.readers++
	info := upstream.StreamInfo{
		Ref:          upstream.StreamRef{Incarnation: incarnationName(address, e.incarnation), StreamID: run.id},
		Organisation: testOrganisation, Weights: testWeights, RequestID: run.request,
	}
	switch s.fault {
	case faultOtherID:
		info.RequestID += "x"
	case faultOtherOrg:
		info.Organisation += "x"
	case faultOtherWeights:
		info.Weights += "x"
	case faultOtherIncarnation:
		info.Ref.Incarnation += "x"
	case faultOtherStream: // before the first event, any stream id may belong to the request
		if next == 0 {
			break
		}
		info.Ref.StreamID += "x"
	}
	mismatched := info.RequestID != run.request || info.Organisation != testOrganisation || info.Weights != testWeights ||
		info.Ref != upstream.StreamRef{Incarnation: incarnationName(address, run.incarnation), StreamID: run.id}
	textRequest := run.request
	if mismatched {
		textRequest += "x"       // headers of another request come with the text of another request
		run.uncancellable = true // the daemon can't tell which stream to cancel
	}
	return &fakeStream{fakes: f, address: address, run: run, info: info, textRequest: textRequest, step: s, next: next, startIndex: next, closed: make(chan struct{})}
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
	incarnation, silent := e.incarnation, time.Now().Before(e.frozenUntil)
	down := time.Now().Before(e.unreachableUntil)
	exited, accepting := e.exited, time.Now().Before(e.acceptingUntil)
	f.mu.Unlock()
	if exited {
		return upstream.EngineState{}, exitedProcessError(accepting)
	}
	if silent {
		time.Sleep(cancelTimeout)
	}
	if silent || down {
		return upstream.EngineState{}, brokenConnection("no response")
	}
	return upstream.EngineState{Incarnation: incarnationName(address, incarnation), Weights: []string{testWeights}, Slots: 4}, nil
}

// Events implements upstream.Engines.
func (f *fakeEngines) Events(context.Context, string, uint64) ([]upstream.CacheEvent, error) {
	return nil, nil
}

// Order implements upstream.Engines.
func (f *fakeEngines) Order(context.Context, string, upstream.Order) error { return nil }

func (f *fakeEngines) crashIncarnation(address string, incarnation int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.engines[address].incarnation == incarnation {
		f.crash(address)
	}
}

func (f *fakeEngines) crash(address string) {
	e := f.engines[address]
	e.incarnation++
	if f.crashEndsProcess {
		e.exited, e.acceptingUntil = true, time.Now().Add(testExitTime)
	}
	f.crashes++
	for _, run := range e.streams {
		close(run.crashed)
	}
	e.streams = map[string]*fakeGeneration{}
}

// orphanedGenerations returns the requests whose generation continues although
// nobody reads it.
func (f *fakeEngines) orphanedGenerations() (out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		for _, run := range e.streams {
			end := run.start.Add(time.Duration(run.tokens) * testTokenInterval)
			if !run.canceled && !run.uncancellable && run.readers == 0 && time.Now().Before(end) {
				out = append(out, run.request)
			}
		}
	}
	return out
}

// fakeStream is one connection that delivers a generation's events.
type fakeStream struct {
	fakes       *fakeEngines
	address     string
	run         *fakeGeneration
	info        upstream.StreamInfo
	textRequest string // the request id in the events' text
	step        faultStep
	startIndex  int
	next        int
	once        sync.Once
	closed      chan struct{}
}

// Info implements upstream.Stream.
func (s *fakeStream) Info() upstream.StreamInfo { return s.info }

// Close implements upstream.Stream.
func (s *fakeStream) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.fakes.mu.Lock()
		defer s.fakes.mu.Unlock()
		s.run.readers--
	})
	return nil
}

// Next implements upstream.Stream.
func (s *fakeStream) Next() (upstream.Event, error) {
	if s.next >= s.run.tokens {
		return upstream.Event{}, io.EOF
	}
	if s.next-s.startIndex >= s.step.afterEvents {
		if err := s.injectFault(); err != nil {
			return upstream.Event{}, err
		}
	}
	s.fakes.mu.Lock()
	ready := s.run.start.Add(time.Duration(s.next) * testTokenInterval)
	canceled := s.run.canceled
	if frozen := s.fakes.engines[s.address].frozenUntil; ready.Before(frozen) {
		ready = frozen
	}
	s.fakes.mu.Unlock()
	if canceled {
		return upstream.Event{}, brokenConnection("cancelled")
	}
	if err := s.wait(time.Until(ready)); err != nil {
		return upstream.Event{}, err
	}
	e := upstream.Event{Index: s.next, Text: eventText(s.textRequest, s.next)}
	if s.next == s.run.tokens-1 {
		e.Finish = "stop"
	}
	s.next++
	return e, nil
}

// injectFault causes the fault planned for this connection.
func (s *fakeStream) injectFault() error {
	s.fakes.mu.Lock()
	e := s.fakes.engines[s.address]
	kind := s.step.fault
	switch kind {
	case faultCrash, faultCrashUnreachable:
		if s.run.incarnation == e.incarnation {
			s.fakes.crash(s.address)
		}
		if kind == faultCrashUnreachable {
			e.unreachableUntil = time.Now().Add(testOutage)
		}
	case faultFreeze:
		e.frozenUntil = time.Now().Add(testOutage)
	}
	s.step.fault = faultNone
	s.fakes.mu.Unlock()
	switch kind {
	case faultUnresponsive:
		<-s.closed
		return brokenConnection("closed")
	case faultDisconnect, faultDuplicateEvent: // the adapter reports an out-of-order event as a broken connection
		return brokenConnection("connection broken")
	}
	return nil
}

func (s *fakeStream) wait(d time.Duration) error {
	timer := time.NewTimer(max(d, time.Nanosecond))
	defer timer.Stop()
	select {
	case <-s.closed:
		return brokenConnection("closed")
	case <-s.run.crashed:
		return brokenConnection("engine crashed")
	default:
	}
	select {
	case <-timer.C:
		return nil
	case <-s.closed:
		return brokenConnection("closed")
	case <-s.run.crashed:
		return brokenConnection("engine crashed")
	}
}
