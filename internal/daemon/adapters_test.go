package daemon

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/once"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// callFault is a fault injected into one call to the service.
type callFault int

const (
	callServed callFault = iota
	callRefused
	callLostBefore  // the connection fails before the service runs the call
	callLostAfter   // the response is lost
	callCrashBefore // the entry crashes before it sends the call
	callCrashAfter  // the entry crashes after the service has run the call
	callFaultCount
)

// countingService counts runs by idempotency key; all entries share it.
type countingService struct {
	mu   sync.Mutex
	runs map[string]int
}

// entryServices is one entry's connection to the service.
type entryServices struct {
	service *countingService
	client  *platformtest.Client
	faults  []callFault
}

// Check implements upstream.Services.
func (s *entryServices) Check(context.Context, string) error { return nil }

// Do implements upstream.Services.
func (s *entryServices) Do(_ context.Context, _ string, c *upstream.Call) (*upstream.Reply, error) {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	fault := callServed
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	if fault == callCrashBefore {
		s.client.Kill()
	}
	if s.client.Killed() {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the entry has crashed")
	}
	switch fault {
	case callRefused:
		return nil, verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "refused")
	case callLostBefore:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "lost")
	}
	s.service.runs[c.IdempotencyKey]++
	if fault == callCrashAfter {
		s.client.Kill()
	}
	if fault != callServed {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "response lost")
	}
	return &upstream.Reply{Status: http.StatusCreated, Body: []byte(c.IdempotencyKey)}, nil
}

const orderDocument = `{"service":"front-ledger","kind":"plain",
	"organisations":[{"name":"trust","key_sha256":["0000000000000000000000000000000000000000000000000000000000000000"]}]}`

// newEntry returns the dispatcher for calls of one daemon. Its table and its
// calls fail with the given faults, in order.
func newEntry(t testing.TB, p *platformtest.Platform, service *countingService, tableFaults []platformtest.Fault, callFaults []callFault) (atMostOnce, *platformtest.Client) {
	client := p.Client()
	client.QueueFaults(tableFaults...)
	log := eventlog.New("d", hclog.NewNullLogger(), 16)
	f := fleet.New(nil)
	f.ApplyInstanceList([]platform.Instance{
		{Address: "10.0.0.1:80", Service: "front-ledger", State: platform.InstanceLive},
		{Address: "10.0.0.2:80", Service: "front-ledger", State: platform.InstanceLive},
	})
	f.SetState("10.0.0.1:80", fleet.Serving)
	f.SetState("10.0.0.2:80", fleet.Serving)
	d := dispatch.New(dispatch.Config{Services: &entryServices{service: service, client: client, faults: callFaults}, Fleet: f, Log: log})
	return atMostOnce{d, once.New(client, client.Objects(), log)}, client
}

// entryPlan holds the faults of one entry.
type entryPlan struct {
	table []platformtest.Fault
	calls []callFault
}

// TestOrderRunsAtMostOnceUnderEntryKills sends calls with one idempotency key
// through several entries concurrently and repeatedly, while calls, the table
// and the entries fail. The call must run at most once, and no caller may get a
// verdict that contradicts what ran.
func TestOrderRunsAtMostOnceUnderEntryKills(t *testing.T) {
	doc, err := servicedoc.NewAccepted(1, []byte(orderDocument))
	assert.NilError(t, err)
	drawFault := rapid.Custom(func(t *rapid.T) platformtest.Fault {
		return platformtest.Fault(rapid.IntRange(0, int(platformtest.FaultCount)-1).Draw(t, "table"))
	})
	drawCall := rapid.Custom(func(t *rapid.T) callFault { return callFault(rapid.IntRange(0, int(callFaultCount)-1).Draw(t, "call")) })
	drawEntry := rapid.Custom(func(t *rapid.T) entryPlan {
		return entryPlan{table: rapid.SliceOfN(drawFault, 0, 6).Draw(t, "table"), calls: rapid.SliceOfN(drawCall, 0, 4).Draw(t, "calls")}
	})
	answered, unknown := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		plans := rapid.SliceOfN(drawEntry, 2, 5).Draw(rt, "entries")
		var violation error
		synctest.Test(t, func(t *testing.T) {
			violation = runOrders(t, doc, plans, &answered, &unknown)
		})
		if violation != nil {
			rt.Fatalf("%v", violation)
		}
	})
	t.Logf("answered %d, may-have-run %d", answered, unknown)
}

func runOrders(t *testing.T, doc *servicedoc.Accepted, plans []entryPlan, answered, unknown *int) error {
	p, service := platformtest.New(), &countingService{runs: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var loops, senders sync.WaitGroup
	var mu sync.Mutex
	var violation error
	for _, plan := range plans {
		entry, client := newEntry(t, p, service, plan.table, plan.calls)
		loops.Go(func() { _ = entry.records.Run(ctx) })
		senders.Go(func() {
			for range 3 {
				err := placeOrder(ctx, entry, client, doc, service)
				mu.Lock()
				violation = errors.CombineErrors(violation, err.violation)
				*answered += err.answered
				*unknown += err.unknown
				mu.Unlock()
				time.Sleep(time.Second)
			}
		})
	}
	senders.Wait()
	cancel()
	loops.Wait()
	time.Sleep(platformtest.DefaultLateDelay)
	service.mu.Lock()
	defer service.mu.Unlock()
	if n := service.runs["order-1"]; n > 1 {
		return errors.Newf("the order ran %d times", n)
	}
	return violation
}

// callerOutcome is the result of one caller's request.
type callerOutcome struct {
	violation         error
	answered, unknown int
}

func placeOrder(ctx context.Context, entry atMostOnce, client *platformtest.Client, doc *servicedoc.Accepted, service *countingService) callerOutcome {
	reply, _, err := entry.Call(ctx, &dispatch.CallRequest{
		Service: doc, Organisation: &doc.Document.Organisations[0],
		Call: upstream.Call{RequestID: "r", Method: http.MethodPost, Path: "/orders", IdempotencyKey: "order-1", Timeout: 30 * time.Second},
	})
	if client.Killed() {
		return callerOutcome{} // a crashed entry sends no response
	}
	service.mu.Lock()
	runs := service.runs["order-1"]
	service.mu.Unlock()
	e, _ := verdict.As(err)
	switch {
	case err == nil && (runs != 1 || string(reply.Body) != "order-1"):
		return callerOutcome{violation: errors.Newf("answered %q after %d runs", reply.Body, runs)}
	case err == nil:
		return callerOutcome{answered: 1}
	case verdict.Of(err) == verdict.NotRun && e.Code != verdict.CodePlatformUnavailable && runs > 0:
		return callerOutcome{violation: errors.Newf("verdict not-run after %d runs: %v", runs, err)}
	case verdict.Of(err) == verdict.MayHaveRun:
		return callerOutcome{unknown: 1}
	}
	return callerOutcome{}
}
