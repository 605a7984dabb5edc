package wholepath

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/membership"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/resume"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/upstream/httpengine"
	"github.com/verbenabend/verbenabend/internal/verdict"
	"github.com/verbenabend/verbenabend/lab/engine"
	"github.com/verbenabend/verbenabend/lab/fabric"
)

const (
	callerKey  = "whole-path-key"
	weights    = "opal@1"
	tokens     = 12
	settleTime = 20 * time.Second // for grace periods and stalled connections to end
)

var engineAddresses = []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}

// engineEvent sets the faults of an engine at a time since the start of a plan.
type engineEvent struct {
	engine int
	at     time.Duration
	faults engine.Faults
}

type plan struct {
	conns    []plannedConn
	events   []engineEvent
	requests int
}

func drawPlan(t *rapid.T) plan {
	conn := rapid.Custom(func(t *rapid.T) plannedConn {
		return plannedConn{connFault(rapid.IntRange(0, int(connFaultCount)-1).Draw(t, "fault")), rapid.IntRange(0, 1600).Draw(t, "after bytes")}
	})
	event := rapid.Custom(func(t *rapid.T) engineEvent {
		e := engineEvent{engine: rapid.IntRange(0, len(engineAddresses)-1).Draw(t, "engine"), at: time.Duration(rapid.IntRange(1, 400).Draw(t, "at ms")) * time.Millisecond}
		switch rapid.IntRange(0, 2).Draw(t, "event") {
		case 0:
			e.faults.Crash = true
		case 1:
			e.faults.Silence = true
		case 2:
			e.faults.Slowdown = 50
		}
		return e
	})
	return plan{
		conns:    rapid.SliceOfN(conn, 0, 8).Draw(t, "connections"),
		events:   rapid.SliceOfN(event, 0, 3).Draw(t, "events"),
		requests: rapid.IntRange(1, 4).Draw(t, "requests"),
	}
}

// system is a daemon's request handler with three engines.
type system struct {
	net        *network
	engines    []*engine.Server
	adapter    *httpengine.Client
	dispatcher *dispatch.Dispatcher
	fleet      *fleet.Fleet
	stops      []func()
	callers    *http.Client
}

func newSystem(t *testing.T, conns []plannedConn) *system {
	s := &system{net: &network{servers: map[string]*fabric.Listener{}}, fleet: fleet.New(nil)}
	var list []platform.Instance
	for _, a := range engineAddresses {
		e := engine.New(engine.Config{Weights: []string{weights}, TokenInterval: 20 * time.Millisecond})
		s.engines = append(s.engines, e)
		s.stops = append(s.stops, s.net.serve(a, e))
		list = append(list, platform.Instance{Address: a, Service: "lamp-bench", State: platform.InstanceLive})
	}
	s.adapter = httpengine.New(s.net.dial)
	s.fleet.ApplyInstanceList(list)
	s.refresh()
	s.net.plan = conns
	var stop func()
	s.dispatcher, stop = s.addEntry(t, "entry:80")
	s.stops = append(s.stops, stop)
	s.callers = &http.Client{Transport: &http.Transport{DialContext: s.net.dialHealthy}}
	return s
}

// addEntry runs another daemon's request handler with the same engines.
func (s *system) addEntry(t *testing.T, address string) (*dispatch.Dispatcher, func()) {
	log := eventlog.New("d", hclog.NewNullLogger(), 16)
	d := dispatch.New(dispatch.Config{Engines: s.adapter, Fleet: s.fleet, Log: log})
	c := &entry.CallerAPI{
		Documents: documents{newDocument(t)}, Dispatcher: d, Members: membership.New(membership.Member{Name: address}),
		Keys: resume.NewKeys("fleet-key", nil), Log: log,
	}
	return d, s.net.serve(address, c.Handler())
}

type documents struct{ doc *servicedoc.Accepted }

func (d documents) Get(string) *servicedoc.Accepted           { return d.doc }
func (d documents) Snapshot() map[string]*servicedoc.Accepted { return nil }
func (d documents) Submit(context.Context, []byte, servicedoc.Revision) (*servicedoc.Accepted, error) {
	return nil, errors.New("not used")
}

func newDocument(t *testing.T) *servicedoc.Accepted {
	sum := sha256.Sum256([]byte(callerKey))
	doc, err := servicedoc.NewAccepted(1, []byte(`{"service":"lamp-bench","kind":"model","models":[{"name":"opal","version":"1"}],
		"organisations":[{"name":"trust","key_sha256":["`+hex.EncodeToString(sum[:])+`"]}],"budgets":{"retry_percent":100}}`))
	assert.NilError(t, err)
	return doc
}

// refresh reads all engines' states, as the daemon's probes do.
func (s *system) refresh() {
	for _, a := range engineAddresses {
		if state, err := s.adapter.State(context.Background(), a); err == nil {
			s.fleet.ApplyEngineState(a, state, time.Now())
		}
	}
	if s.dispatcher != nil {
		s.dispatcher.SetFleet(s.fleet.Snapshot())
	}
}

func (s *system) close() {
	s.callers.CloseIdleConnections()
	s.dispatcher.Close()
	s.adapter.Close()
	for _, e := range s.engines {
		e.SetFaults(engine.Faults{Crash: true}) // ends running generations
	}
	for _, stop := range s.stops {
		stop()
	}
}

// requestsStarted returns how many distinct requests the engines started.
func (s *system) requestsStarted() int {
	ids := map[string]bool{}
	for _, e := range s.engines {
		for id := range e.Runs() {
			ids[id] = true
		}
	}
	return len(ids)
}

var answerWordPattern = regexp.MustCompile(`^([0-9a-f]{16})-([0-9]+)$`)

// checkAnswer returns an error if text has a gap, a repetition or a word of another
// prompt's answer. prefix is that of all words of the right answer.
func checkAnswer(text, prefix string) error {
	for i, word := range strings.Fields(text) {
		m := answerWordPattern.FindStringSubmatch(word)
		if m == nil || m[1] != prefix || m[2] != strconv.Itoa(i) {
			return errors.Newf("word %d is %q, want %s-%d", i, word, prefix, i)
		}
	}
	return nil
}

// answerPrefix returns the prefix of every word of the answer to a prompt.
func answerPrefix(prompt string) string {
	return engine.AnswerPrefix("trust", []string{prompt})
}

type outcomeCounts struct{ complete, notRun, mayHaveRun, ran int }

func (s *system) ask(i int, counts *outcomeCounts) error {
	prompt := fmt.Sprintf("Which blue? %d", i)
	c := &client.Caller{URL: "http://entry:80", Key: callerKey, HTTP: s.callers}
	a, err := c.Chat(context.Background(), &client.ChatRequest{
		Service: "lamp-bench", MaxTokens: tokens, Messages: []upstream.Message{{Role: "user", Content: prompt}},
	}, nil)
	if a != nil {
		if broken := checkAnswer(a.Text, answerPrefix(prompt)); broken != nil {
			return broken
		}
	}
	switch {
	case err == nil && (!a.Complete || a.CompletionTokens != tokens):
		return errors.Newf("stream ended without an error after %q", a.Text)
	case err == nil:
		counts.complete++
	case verdict.Of(err) == verdict.NotRun:
		counts.notRun++
	case verdict.Of(err) == verdict.Ran:
		counts.ran++
	default:
		counts.mayHaveRun++
	}
	return nil
}

func runPlan(t *testing.T, p plan, counts *outcomeCounts) (broken error) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, p.conns)
		for _, e := range p.events {
			time.AfterFunc(e.at, func() { s.engines[e.engine].SetFaults(e.faults) })
		}
		stop, stopped := make(chan struct{}), make(chan struct{})
		go s.refreshLoop(stop, stopped)
		var group sync.WaitGroup
		var mu sync.Mutex
		notRun := 0
		for i := range p.requests {
			group.Go(func() {
				requestCounts := &outcomeCounts{}
				err := s.ask(i, requestCounts)
				mu.Lock()
				defer mu.Unlock()
				broken = errors.CombineErrors(broken, err)
				counts.add(requestCounts)
				notRun += requestCounts.notRun
			})
		}
		group.Wait()
		if ran := s.requestsStarted(); ran > p.requests-notRun {
			broken = errors.CombineErrors(broken, errors.Newf("%d of %d requests ran, %d were reported not-run", ran, p.requests, notRun))
		}
		close(stop)
		<-stopped
		time.Sleep(settleTime)
		s.close()
		synctest.Wait()
	})
	return broken
}

func (c *outcomeCounts) add(o *outcomeCounts) {
	c.complete += o.complete
	c.notRun += o.notRun
	c.mayHaveRun += o.mayHaveRun
	c.ran += o.ran
}

func (s *system) refreshLoop(stop <-chan struct{}, stopped chan<- struct{}) {
	defer close(stopped)
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
			s.refresh()
		}
	}
}

// TestAnswersUnderNetworkAndEngineFaults cuts and stalls connections at any byte
// and crashes, stalls and slows engines, over net/http on both sides. Callers must
// get correct text, complete or with an error, and correct not-run verdicts.
func TestAnswersUnderNetworkAndEngineFaults(t *testing.T) {
	counts := &outcomeCounts{}
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		if err := runPlan(t, p, counts); err != nil {
			rt.Fatalf("%v\nplan %+v", err, p)
		}
	})
	t.Logf("complete %d, not-run %d, may-have-run %d, ran %d", counts.complete, counts.notRun, counts.mayHaveRun, counts.ran)
}
