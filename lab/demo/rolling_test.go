package demo

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/client"
	"github.com/verbenabend/verbenabend/internal/daemon"
	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

const (
	rollingCallers    = 6
	longAnswerTokens  = 2000 // about 4 s of streaming
	shortAnswerTokens = 5
)

// rollingCaller follows the protocol for callers: it caches the list of entries
// for its max age, rotates through the entries and has its own connections.
type rollingCaller struct {
	s             *system
	http          *http.Client
	entries       entry.Entries
	entriesExpiry time.Time
	requestCount  int
}

// nextEntry returns a client for the entry to use next.
func (c *rollingCaller) nextEntry(ctx context.Context) (*client.Caller, error) {
	if time.Now().After(c.entriesExpiry) {
		asked := time.Now()
		entries, err := c.lookUpEntries(ctx)
		if err != nil {
			return nil, err
		}
		c.entries, c.entriesExpiry = *entries, asked.Add(time.Duration(entries.MaxAgeMS)*time.Millisecond)
	}
	c.requestCount++
	e := c.entries.Entries[c.requestCount%len(c.entries.Entries)]
	return &client.Caller{URL: "http://" + e.Address, Key: callerKey, HTTP: c.http}, nil
}

// lookUpEntries asks the daemons' current addresses and then the cached entries.
func (c *rollingCaller) lookUpEntries(ctx context.Context) (*entry.Entries, error) {
	addresses := c.s.callerAddresses()
	for _, e := range c.entries.Entries {
		addresses = append(addresses, e.Address)
	}
	var lookupErr error = errors.New("no entry address known")
	for _, address := range addresses {
		entries, err := (&client.Caller{URL: "http://" + address, Key: callerKey, HTTP: c.http}).Entries(ctx, ModelService, "")
		if err == nil && len(entries.Entries) > 0 {
			return entries, nil
		}
		lookupErr = errors.CombineErrors(err, lookupErr)
	}
	return nil, lookupErr
}

func (c *rollingCaller) ask(ctx context.Context, tokens int) error {
	caller, err := c.nextEntry(ctx)
	if err != nil {
		return errors.Wrap(err, "look up entries")
	}
	a, err := caller.Chat(ctx, &client.ChatRequest{
		Service: ModelService, MaxTokens: tokens, Messages: []upstream.Message{{Role: "user", Content: "Which blue? " + strconv.Itoa(c.requestCount)}},
	}, nil)
	if err != nil {
		return errors.Wrapf(err, "ask %s for %d tokens", caller.URL, tokens)
	}
	if !a.Complete || a.CompletionTokens != tokens {
		return errors.Newf("answer cut off after %d of %d tokens", a.CompletionTokens, tokens)
	}
	return nil
}

func (c *rollingCaller) order(ctx context.Context, key string) error {
	caller, err := c.nextEntry(ctx)
	if err != nil {
		return errors.Wrap(err, "look up entries")
	}
	_, err = caller.Call(ctx, PlainService, http.MethodPost, "/orders", key, []byte("{}"))
	return errors.Wrap(err, "order")
}

// callerAddresses returns the current daemons' addresses for callers.
func (s *system) callerAddresses() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.daemons {
		out = append(out, d.CallerAddress)
	}
	return out
}

// startCallers runs callers until stop is closed. Wait on the result for their end.
func (s *system) startCallers(ctx context.Context, stop <-chan struct{}, served *atomic.Int64, fail func(error)) *sync.WaitGroup {
	var callers sync.WaitGroup
	for i := range rollingCallers {
		callers.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			c := &rollingCaller{s: s, http: &http.Client{Transport: transport}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if err := s.sendRequest(ctx, c, i, n); err != nil {
					fail(err)
				} else {
					served.Add(1)
				}
			}
		})
	}
	return &callers
}

func (s *system) sendRequest(ctx context.Context, c *rollingCaller, caller, n int) error {
	switch {
	case caller == 0:
		return c.ask(ctx, longAnswerTokens)
	case n%4 == 0:
		return c.order(ctx, fmt.Sprintf("order-%d-%d", caller, n))
	default:
		return c.ask(ctx, shortAnswerTokens)
	}
}

// restart stops a daemon gracefully and starts it again on other ports.
func (s *system) restart(ctx context.Context, i int) error {
	old := s.runningDaemons[i]
	old.stop()
	<-old.stopped
	set, err := s.daemonSettings(i, s.daemons[i].DataCentre)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.daemons[i] = set
	s.mu.Unlock()
	d, err := daemon.New(set, daemon.NewLogger(set))
	if err != nil {
		return err
	}
	s.runDaemon(ctx, i, d)
	ready, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return s.awaitReady(ready)
}

func TestRollingRestartCutsAndRefusesNothing(t *testing.T) {
	s, err := start()
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	setup, cancelSetup := context.WithTimeout(ctx, stepTimeout)
	assert.NilError(t, s.awaitReady(setup))
	assert.NilError(t, s.submitDocuments(setup))
	cancelSetup()
	stop := make(chan struct{})
	var served, failed atomic.Int64
	callers := s.startCallers(ctx, stop, &served, func(err error) {
		failed.Add(1)
		t.Errorf("cut or refused: %v", err)
	})
	for i := range s.daemons {
		assert.NilError(t, s.restart(ctx, i))
	}
	close(stop)
	callers.Wait()
	t.Logf("rolling restart of %d daemons: %d requests served, %d cut or refused", len(s.daemons), served.Load(), failed.Load())
	cancel()
	assert.NilError(t, s.close())
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	s, err := start()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 2*stepTimeout)
	defer cancel()
	assert.NilError(t, s.awaitReady(ctx))
	assert.NilError(t, s.submitDocuments(ctx))
	stop := make(chan struct{})
	var served atomic.Int64
	callers := s.startCallers(ctx, stop, &served, func(err error) { t.Errorf("cut or refused: %v", err) })
	for served.Load() < 50 {
		time.Sleep(pollInterval)
	}
	leaving := s.engines[0]
	leaving.SetLeaving()
	time.Sleep(leavingPropagationBound) // after this time no daemon sends new work
	started := leaving.RequestsReceived()
	before := served.Load()
	for served.Load() < before+200 {
		time.Sleep(pollInterval)
	}
	assert.Equal(t, leaving.RequestsReceived(), started)
	close(stop)
	callers.Wait()
	assert.NilError(t, s.close())
}

// leavingPropagationBound is the time after which a leaving upstream gets no new
// work from any daemon.
const leavingPropagationBound = 3 * time.Second
