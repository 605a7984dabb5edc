package rollout

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/lease"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/testseed"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const loadTime = 3 * time.Second

// engine is a fake engine that loads weights. It refuses or ignores old fencing
// tokens, and may receive orders late or lose its responses.
type engine struct {
	address     string
	checksFence bool
	state       upstream.EngineState
	starts      int
	// orderDelay is how late orders arrive; loseNextResponse applies to one order.
	orderDelay       time.Duration
	loseNextResponse bool
	unresponsive     bool
	// ordersReceived counts the orders sent to the engine, also those that have
	// not arrived; loads lists the weights that it began to load.
	ordersReceived int
	loads          []string
	// unavailableModels holds the assigned models that an order left the engine
	// without.
	unavailableModels map[string]bool
}

// testCluster holds the engines, the documents and the daemons that compete for
// the lease.
type testCluster struct {
	upstream.Engines
	ctx      context.Context
	platform *platformtest.Platform

	mu       sync.Mutex
	engines  []*engine
	docs     map[string]*servicedoc.Accepted
	failures []string
	daemons  []*daemon
}

type daemon struct {
	client  *platformtest.Client
	stop    context.CancelFunc
	cluster *testCluster
}

func (c *testCluster) fail(format string, args ...any) {
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

func (c *testCluster) find(address string) *engine {
	i := slices.IndexFunc(c.engines, func(e *engine) bool { return e.address == address })
	return c.engines[i]
}

// State implements upstream.Engines.
func (d daemonEngines) State(ctx context.Context, address string) (upstream.EngineState, error) {
	c := d.cluster
	c.mu.Lock()
	e := c.find(address)
	unresponsive := e.unresponsive
	s := e.state
	s.Weights = slices.Clone(s.Weights)
	c.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return upstream.EngineState{}, ctx.Err()
	}
	return s, nil
}

// daemonEngines is a daemon's connection to the engines.
type daemonEngines struct {
	upstream.Engines
	*daemon
}

// Order implements upstream.Engines.
func (d daemonEngines) Order(ctx context.Context, address string, o upstream.Order) error {
	c := d.cluster
	if d.client.Killed() || ctx.Err() != nil {
		return verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "not sent")
	}
	c.mu.Lock()
	e := c.find(address)
	delay, lost := e.orderDelay, e.loseNextResponse
	e.loseNextResponse = false
	e.ordersReceived++
	c.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { _ = c.execute(e, o) })
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "no response")
	}
	err := c.execute(e, o)
	if lost {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "no response")
	}
	return err
}

func (c *testCluster) execute(e *engine, o upstream.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.checksFence && o.Fence < e.state.Fence {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, "fencing token is outdated")
	}
	if e.checksFence {
		e.state.Fence = o.Fence
	}
	if o.Kind == upstream.OrderUnload {
		c.unloadLocked(e, o.Weights)
		return nil
	}
	if e.state.Loading || slices.Contains(e.state.Weights, o.Weights) {
		return nil
	}
	if len(e.state.Weights) >= MaxWeightsPerEngine {
		c.fail("%s was ordered to load %s but is full", e.address, o.Weights)
		return nil
	}
	e.state.Loading = true
	e.loads = append(e.loads, o.Weights)
	loading := 0
	for _, x := range c.engines {
		if x.state.Loading {
			loading++
		}
	}
	if loading > MaxConcurrentLoads {
		c.fail("%d engines load at the same time", loading)
	}
	incarnation := e.state.Incarnation
	time.AfterFunc(loadTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if e.state.Incarnation == incarnation {
			e.state.Loading = false
			e.state.Weights = append(e.state.Weights, o.Weights)
			delete(e.unavailableModels, modelName(o.Weights))
		}
	})
	return nil
}

func (c *testCluster) unloadLocked(e *engine, weights string) {
	e.state.Weights = slices.DeleteFunc(e.state.Weights, func(x string) bool { return x == weights })
	name := modelName(weights)
	held := slices.ContainsFunc(e.state.Weights, func(x string) bool { return modelName(x) == name })
	if held || !slices.Contains(c.desired()[e.address], c.currentWeights(name)) {
		return
	}
	e.unavailableModels[name] = true
	unavailable, assigned := 0, 0
	for _, x := range c.engines {
		if slices.Contains(c.desired()[x.address], c.currentWeights(name)) {
			assigned++
			if x.unavailableModels[name] {
				unavailable++
			}
		}
	}
	if unavailable > max(1, assigned*MaxUnavailablePercent/100) {
		c.fail("orders left %d of %d engines without %s", unavailable, assigned, name)
	}
}

// currentWeights returns a model's weights by the document in force.
func (c *testCluster) currentWeights(name string) string {
	for _, m := range c.docs["s"].Document.Models {
		if m.Name == name {
			return m.Weights()
		}
	}
	return ""
}

func (c *testCluster) desired() map[string][]string {
	var list []*plannedEngine
	for _, u := range c.snapshotLocked().ByService["s"] {
		list = append(list, &plannedEngine{Candidate: Candidate{Upstream: u}})
	}
	assign(c.docs["s"], list)
	out := map[string][]string{}
	for _, e := range list {
		out[e.Address] = e.desired
	}
	return out
}

func (c *testCluster) snapshotLocked() *fleet.Snapshot {
	s := &fleet.Snapshot{ByService: map[string][]*fleet.Upstream{}, ByAddress: map[string]*fleet.Upstream{}}
	for _, e := range c.engines {
		u := &fleet.Upstream{Address: e.address, Service: "s", State: fleet.Serving, Engine: e.state, ReportedAt: time.Now()}
		u.Engine.Weights = slices.Clone(e.state.Weights)
		if e.unresponsive {
			u.State = fleet.Down
		}
		s.ByService["s"] = append(s.ByService["s"], u)
		s.ByAddress[e.address] = u
	}
	return s
}

func (c *testCluster) snapshot() *fleet.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshotLocked()
}

func (c *testCluster) documents() map[string]*servicedoc.Accepted {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]*servicedoc.Accepted{"s": c.docs["s"]}
}

func (c *testCluster) setDocument(models ...servicedoc.Model) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rev := servicedoc.Revision(1)
	if old := c.docs["s"]; old != nil {
		rev = old.Revision + 1
	}
	c.docs["s"] = &servicedoc.Accepted{Revision: rev, Document: servicedoc.Document{Service: "s", Kind: servicedoc.KindModel, Models: models}}
	for _, e := range c.engines {
		clear(e.unavailableModels) // only orders since the newest document count
	}
}

func (c *testCluster) start() *daemon {
	ctx, stop := context.WithCancel(c.ctx)
	d := &daemon{client: c.platform.Client(), stop: stop, cluster: c}
	r := NewRunner(daemonEngines{daemon: d}, c.documents, c.snapshot, eventlog.Discard())
	k := lease.NewKeeper(d.client, lease.Settings{Name: LeaseName, MaxActionDelay: MaxOrderDelay}, eventlog.Discard())
	go func() { _ = k.Run(ctx, r.Work) }()
	return d
}

func (c *testCluster) failOnErrors(t *rapid.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.failures) > 0 {
		t.Fatalf("%s", strings.Join(c.failures, "\n"))
	}
}

func (c *testCluster) crash(e *engine) {
	e.starts++
	e.state = upstream.EngineState{Incarnation: fmt.Sprint(e.starts)}
	clear(e.unavailableModels)
}

// Whatever fails among lease holders, orders and engines: at most two engines
// load at once, orders leave at most the allowed share of a model's engines
// without it, and all engines converge to the newest document.
func TestRollout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c := &testCluster{ctx: ctx, platform: platformtest.New(), docs: map[string]*servicedoc.Accepted{}}
			for i := range rapid.IntRange(1, 9).Draw(t, "engines") {
				e := &engine{address: fmt.Sprintf("10.0.%d.%d:1", rapid.IntRange(0, 99).Draw(t, "net"), i), checksFence: rapid.Bool().Draw(t, "fences"), unavailableModels: map[string]bool{}}
				c.crash(e)
				c.engines = append(c.engines, e)
			}
			versions := 0
			models := func(t *rapid.T) []servicedoc.Model {
				var list []servicedoc.Model
				for _, name := range []string{"opal", "jade", "onyx"}[:rapid.IntRange(1, 3).Draw(t, "models")] {
					versions++
					list = append(list, servicedoc.Model{Name: name, Version: fmt.Sprint(versions)})
				}
				return list
			}
			c.setDocument(models(t)...)
			for range 2 {
				c.daemons = append(c.daemons, c.start())
			}
			anyEngine := func(t *rapid.T) *engine { return rapid.SampledFrom(c.engines).Draw(t, "engine") }
			t.Repeat(map[string]func(*rapid.T){
				"document": func(t *rapid.T) { c.setDocument(models(t)...) },
				"sleep": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "ms")) * time.Millisecond)
				},
				"engine": func(t *rapid.T) {
					e := anyEngine(t)
					c.mu.Lock()
					defer c.mu.Unlock()
					switch rapid.IntRange(0, 3).Draw(t, "fault") {
					case 0:
						c.crash(e)
					case 1:
						e.orderDelay = time.Duration(rapid.SampledFrom([]int{0, 1000, 3000, 4900}).Draw(t, "delay")) * time.Millisecond
					case 2:
						e.loseNextResponse = true
					case 3:
						e.unresponsive = !e.unresponsive
					}
				},
				"platform": func(t *rapid.T) {
					client := rapid.SampledFrom(c.daemons).Draw(t, "daemon").client
					client.QueueFaults(platformtest.Fault(rapid.IntRange(0, int(platformtest.FaultCount)-1).Draw(t, "fault")))
					client.SetUnresponsive(rapid.IntRange(0, 3).Draw(t, "silent") == 0)
				},
				"replace": func(t *rapid.T) {
					i := rapid.IntRange(0, 1).Draw(t, "daemon")
					c.daemons[i].client.Kill()
					c.daemons[i].stop()
					c.daemons[i] = c.start()
				},
				"": func(t *rapid.T) { c.failOnErrors(t) },
			})
			c.checkConvergence(t)
			cancel()
			time.Sleep(time.Minute) // lets goroutines end
		})
	})
}

// checkConvergence ends all faults and requires the engines to hold the weights
// that the document assigns to them.
func (c *testCluster) checkConvergence(t *rapid.T) {
	for i, d := range c.daemons {
		d.client.Kill()
		d.stop()
		c.daemons[i] = c.start()
	}
	c.mu.Lock()
	for _, e := range c.engines {
		e.unresponsive, e.orderDelay = false, 0
	}
	c.mu.Unlock()
	time.Sleep(5 * time.Minute)
	c.failOnErrors(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	desired := c.desired()
	held := map[string]bool{}
	for _, e := range c.engines {
		got, want := slices.Sorted(slices.Values(e.state.Weights)), slices.Sorted(slices.Values(desired[e.address]))
		if !slices.Equal(got, want) {
			t.Fatalf("%s holds %v at the end, want %v", e.address, got, want)
		}
		for _, g := range got {
			held[g] = true
		}
	}
	for _, m := range c.docs["s"].Document.Models {
		if len(c.engines) > 1 && !held[m.Weights()] {
			t.Fatalf("no engine holds %s", m.Weights())
		}
	}
}

func newTestCluster(ctx context.Context, engines int, checksFence bool) *testCluster {
	c := &testCluster{ctx: ctx, platform: platformtest.New(), docs: map[string]*servicedoc.Accepted{}}
	for i := range engines {
		e := &engine{address: fmt.Sprintf("10.0.0.%d:1", i), checksFence: checksFence, unavailableModels: map[string]bool{}}
		c.crash(e)
		c.engines = append(c.engines, e)
	}
	c.setDocument(servicedoc.Model{Name: "opal", Version: "1"})
	return c
}

// waitForOrders waits up to 10 s until exactly n engines were sent an order.
func (c *testCluster) waitForOrders(t *testing.T, n int) {
	for range 1000 {
		c.mu.Lock()
		sent := 0
		for _, e := range c.engines {
			sent += min(1, e.ordersReceived)
		}
		c.mu.Unlock()
		if sent == n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the number of engines with an order did not become %d within 10 s", n)
}

// Orders in flight count as loading, also when their engines stop answering and
// when the lease holder that sent them is replaced.
func TestOrdersInFlightCountAsLoading(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			c := newTestCluster(ctx, 6, false)
			for _, e := range c.engines {
				e.orderDelay = MaxOrderDelay - 100*time.Millisecond
			}
			d := c.start()
			c.waitForOrders(t, MaxConcurrentLoads)
			if replaced {
				for range 8 {
					c.start() // one of them polls the lease soon after the stop
				}
				d.stop()
			}
			c.mu.Lock()
			for _, e := range c.engines {
				e.unresponsive, e.orderDelay = e.ordersReceived > 0, 0
			}
			c.mu.Unlock()
			time.Sleep(time.Minute)
			c.mu.Lock()
			assert.DeepEqual(t, c.failures, []string(nil))
			c.mu.Unlock()
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// The order of a lease holder that was paused far beyond its lease is refused by
// an engine that checks the fencing token, and undone at one that does not.
func TestPausedHolder(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			c := newTestCluster(ctx, 1, checksFence)
			e := c.engines[0]
			e.orderDelay = 2 * time.Minute
			d := c.start()
			c.waitForOrders(t, 1)
			d.client.Kill()
			d.stop()
			c.mu.Lock()
			e.orderDelay = 0
			c.mu.Unlock()
			c.setDocument(servicedoc.Model{Name: "opal", Version: "2"})
			c.start()
			time.Sleep(5 * time.Minute)
			c.mu.Lock()
			assert.DeepEqual(t, e.state.Weights, []string{"opal@2"})
			assert.Equal(t, slices.Contains(e.loads, "opal@1"), !checksFence)
			c.mu.Unlock()
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// Old weights stay until enough engines hold their replacement, because other
// daemons may still serve by the old document.
func TestPlanKeepsOldWeightsUntilReplaced(t *testing.T) {
	model := servicedoc.Model{Name: "opal", Version: "2"}
	docs := map[string]*servicedoc.Accepted{"s": {Document: servicedoc.Document{Kind: servicedoc.KindModel, Models: []servicedoc.Model{model}}}}
	engines := func(updated int) []Candidate {
		var list []Candidate
		for i := range 4 {
			c := Candidate{Upstream: &fleet.Upstream{Address: fmt.Sprint(i), Service: "s", State: fleet.Serving}, Weights: []string{"opal@1"}}
			if i < updated {
				c.Weights = append(c.Weights, "opal@2")
			}
			list = append(list, c)
		}
		return list
	}
	count := func(steps []Step, kind upstream.OrderKind) int {
		n := 0
		for _, s := range steps {
			if s.Order.Kind == kind {
				n++
			}
		}
		return n
	}
	assert.Equal(t, count(Plan(docs, engines(0)), upstream.OrderLoad), MaxConcurrentLoads)
	assert.Equal(t, count(Plan(docs, engines(2)), upstream.OrderUnload), 0)
	assert.Equal(t, count(Plan(docs, engines(3)), upstream.OrderUnload), 3)
}

// A service without a model document gets no orders.
func TestPlanIgnoresServicesWithoutModels(t *testing.T) {
	u := &fleet.Upstream{Address: "a:1", Service: "s", State: fleet.Serving}
	plain := &servicedoc.Accepted{Document: servicedoc.Document{Kind: servicedoc.KindPlain}}
	list := []Candidate{{Upstream: u, Weights: []string{"x@1"}}}
	assert.Equal(t, len(Plan(map[string]*servicedoc.Accepted{"s": plain}, list)), 0)
	assert.Equal(t, len(Plan(nil, list)), 0)
}
