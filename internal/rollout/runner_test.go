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

// engine is a stand-in that loads weights, refuses or ignores old fences, and
// may get orders late or lose its answers.
type engine struct {
	address string
	fences  bool
	state   upstream.EngineState
	starts  int
	// delay is how late orders arrive; loseAnswer applies to the next order.
	delay      time.Duration
	loseAnswer bool
	silent     bool
	// ordered counts the orders sent to the engine; loads lists what it loaded.
	ordered int
	loads   []string
	// takenOut lists models that an order left the engine without.
	takenOut map[string]bool
}

// world is the engines, the documents and the daemons that compete.
type world struct {
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
	client *platformtest.Client
	stop   context.CancelFunc
	world  *world
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

func (w *world) find(address string) *engine {
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.address == address })
	return w.engines[i]
}

// State implements upstream.Engines.
func (d daemonEngines) State(ctx context.Context, address string) (upstream.EngineState, error) {
	w := d.world
	w.mu.Lock()
	e := w.find(address)
	silent := e.silent
	s := e.state
	s.Weights = slices.Clone(s.Weights)
	w.mu.Unlock()
	if silent {
		<-ctx.Done()
		return upstream.EngineState{}, ctx.Err()
	}
	return s, nil
}

// daemonEngines is a daemon's way to the engines.
type daemonEngines struct {
	upstream.Engines
	*daemon
}

// Order implements upstream.Engines.
func (d daemonEngines) Order(ctx context.Context, address string, o upstream.Order) error {
	w := d.world
	if d.client.Killed() || ctx.Err() != nil {
		return verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "not sent")
	}
	w.mu.Lock()
	e := w.find(address)
	delay, lost := e.delay, e.loseAnswer
	e.loseAnswer = false
	e.ordered++
	w.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { _ = w.execute(e, o) })
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "no answer")
	}
	err := w.execute(e, o)
	if lost {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "no answer")
	}
	return err
}

func (w *world) execute(e *engine, o upstream.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.fences && o.Fence < e.state.Fence {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, "old fence")
	}
	if e.fences {
		e.state.Fence = o.Fence
	}
	if o.Kind == upstream.OrderUnload {
		w.unload(e, o.Weights)
		return nil
	}
	if e.state.Loading || slices.Contains(e.state.Weights, o.Weights) {
		return nil
	}
	if len(e.state.Weights) >= EngineWeights {
		w.fail("%s was ordered to load %s though it is full", e.address, o.Weights)
		return nil
	}
	e.state.Loading = true
	e.loads = append(e.loads, o.Weights)
	loading := 0
	for _, x := range w.engines {
		if x.state.Loading {
			loading++
		}
	}
	if loading > MaxLoading {
		w.fail("%d engines load at once", loading)
	}
	incarnation := e.state.Incarnation
	time.AfterFunc(loadTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if e.state.Incarnation == incarnation {
			e.state.Loading = false
			e.state.Weights = append(e.state.Weights, o.Weights)
			delete(e.takenOut, modelName(o.Weights))
		}
	})
	return nil
}

func (w *world) unload(e *engine, weights string) {
	e.state.Weights = slices.DeleteFunc(e.state.Weights, func(x string) bool { return x == weights })
	name := modelName(weights)
	held := slices.ContainsFunc(e.state.Weights, func(x string) bool { return modelName(x) == name })
	if held || !slices.Contains(w.desired()[e.address], w.current(name)) {
		return
	}
	e.takenOut[name] = true
	out, assigned := 0, 0
	for _, x := range w.engines {
		if slices.Contains(w.desired()[x.address], w.current(name)) {
			assigned++
			if x.takenOut[name] {
				out++
			}
		}
	}
	if out > max(1, assigned*MaxOutPercent/100) {
		w.fail("orders left %d of %d engines without %s", out, assigned, name)
	}
}

// current returns the weights in force of a model.
func (w *world) current(name string) string {
	for _, m := range w.docs["s"].Document.Models {
		if m.Name == name {
			return m.Weights()
		}
	}
	return ""
}

func (w *world) desired() map[string][]string {
	var list []*planned
	for _, u := range w.snapshotLocked().ByService["s"] {
		list = append(list, &planned{Candidate: Candidate{Upstream: u}})
	}
	assign(w.docs["s"], list)
	out := map[string][]string{}
	for _, e := range list {
		out[e.Address] = e.desired
	}
	return out
}

func (w *world) snapshotLocked() *fleet.Snapshot {
	s := &fleet.Snapshot{ByService: map[string][]*fleet.Upstream{}, ByAddress: map[string]*fleet.Upstream{}}
	for _, e := range w.engines {
		u := &fleet.Upstream{Address: e.address, Service: "s", State: fleet.Serving, Engine: e.state, ReportedAt: time.Now()}
		u.Engine.Weights = slices.Clone(e.state.Weights)
		if e.silent {
			u.State = fleet.Down
		}
		s.ByService["s"] = append(s.ByService["s"], u)
		s.ByAddress[e.address] = u
	}
	return s
}

func (w *world) snapshot() *fleet.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.snapshotLocked()
}

func (w *world) documents() map[string]*servicedoc.Accepted {
	w.mu.Lock()
	defer w.mu.Unlock()
	return map[string]*servicedoc.Accepted{"s": w.docs["s"]}
}

func (w *world) setDocument(models ...servicedoc.Model) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rev := servicedoc.Revision(1)
	if old := w.docs["s"]; old != nil {
		rev = old.Revision + 1
	}
	w.docs["s"] = &servicedoc.Accepted{Revision: rev, Document: servicedoc.Document{Service: "s", Kind: servicedoc.KindModel, Models: models}}
	for _, e := range w.engines {
		clear(e.takenOut) // what counts is orders since the newest document
	}
}

func (w *world) start() *daemon {
	ctx, stop := context.WithCancel(w.ctx)
	d := &daemon{client: w.platform.Client(), stop: stop, world: w}
	r := NewRunner(daemonEngines{daemon: d}, w.documents, w.snapshot, eventlog.Discard())
	k := lease.NewKeeper(d.client, lease.Settings{Name: LeaseName, Settle: OrderDelay}, eventlog.Discard())
	go func() { _ = k.Run(ctx, r.Work) }()
	return d
}

func (w *world) report(t *rapid.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.failures) > 0 {
		t.Fatalf("%s", strings.Join(w.failures, "\n"))
	}
}

func (w *world) crash(e *engine) {
	e.starts++
	e.state = upstream.EngineState{Incarnation: fmt.Sprint(e.starts)}
	clear(e.takenOut)
}

// Engines end on what the newest document asks for, at most two load at
// once, and orders never take more than the allowed share of a model's
// engines out, whatever becomes of holders, orders and engines.
func TestRollout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w := &world{ctx: ctx, platform: platformtest.New(), docs: map[string]*servicedoc.Accepted{}}
			for i := range rapid.IntRange(1, 9).Draw(t, "engines") {
				e := &engine{address: fmt.Sprintf("10.0.%d.%d:1", rapid.IntRange(0, 99).Draw(t, "net"), i), fences: rapid.Bool().Draw(t, "fences"), takenOut: map[string]bool{}}
				w.crash(e)
				w.engines = append(w.engines, e)
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
			w.setDocument(models(t)...)
			for range 2 {
				w.daemons = append(w.daemons, w.start())
			}
			anyEngine := func(t *rapid.T) *engine { return rapid.SampledFrom(w.engines).Draw(t, "engine") }
			t.Repeat(map[string]func(*rapid.T){
				"document": func(t *rapid.T) { w.setDocument(models(t)...) },
				"sleep": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "ms")) * time.Millisecond)
				},
				"engine": func(t *rapid.T) {
					e := anyEngine(t)
					w.mu.Lock()
					defer w.mu.Unlock()
					switch rapid.IntRange(0, 3).Draw(t, "fault") {
					case 0:
						w.crash(e)
					case 1:
						e.delay = time.Duration(rapid.SampledFrom([]int{0, 1000, 3000, 4900}).Draw(t, "delay")) * time.Millisecond
					case 2:
						e.loseAnswer = true
					case 3:
						e.silent = !e.silent
					}
				},
				"platform": func(t *rapid.T) {
					c := rapid.SampledFrom(w.daemons).Draw(t, "daemon").client
					c.Plan(platformtest.Fault(rapid.IntRange(0, int(platformtest.Faults)-1).Draw(t, "fault")))
					c.SetSilent(rapid.IntRange(0, 3).Draw(t, "silent") == 0)
				},
				"replace": func(t *rapid.T) {
					i := rapid.IntRange(0, 1).Draw(t, "daemon")
					w.daemons[i].client.Kill()
					w.daemons[i].stop()
					w.daemons[i] = w.start()
				},
				"": func(t *rapid.T) { w.report(t) },
			})
			w.finish(t)
			cancel()
			time.Sleep(time.Minute) // lets goroutines end
		})
	})
}

// finish ends all faults and requires the engines to hold what is asked for.
func (w *world) finish(t *rapid.T) {
	for i, d := range w.daemons {
		d.client.Kill()
		d.stop()
		w.daemons[i] = w.start()
	}
	w.mu.Lock()
	for _, e := range w.engines {
		e.silent, e.delay = false, 0
	}
	w.mu.Unlock()
	time.Sleep(5 * time.Minute)
	w.report(t)
	w.mu.Lock()
	defer w.mu.Unlock()
	desired := w.desired()
	held := map[string]bool{}
	for _, e := range w.engines {
		got, want := slices.Sorted(slices.Values(e.state.Weights)), slices.Sorted(slices.Values(desired[e.address]))
		if !slices.Equal(got, want) {
			t.Fatalf("%s ended on %v, want %v", e.address, got, want)
		}
		for _, g := range got {
			held[g] = true
		}
	}
	for _, m := range w.docs["s"].Document.Models {
		if len(w.engines) > 1 && !held[m.Weights()] {
			t.Fatalf("no engine holds %s", m.Weights())
		}
	}
}

func newWorld(ctx context.Context, engines int, fences bool) *world {
	w := &world{ctx: ctx, platform: platformtest.New(), docs: map[string]*servicedoc.Accepted{}}
	for i := range engines {
		e := &engine{address: fmt.Sprintf("10.0.0.%d:1", i), fences: fences, takenOut: map[string]bool{}}
		w.crash(e)
		w.engines = append(w.engines, e)
	}
	w.setDocument(servicedoc.Model{Name: "opal", Version: "1"})
	return w
}

// orderedWithin waits until n engines were sent an order.
func (w *world) orderedWithin(t *testing.T, n int) {
	for range 1000 {
		w.mu.Lock()
		sent := 0
		for _, e := range w.engines {
			sent += min(1, e.ordered)
		}
		w.mu.Unlock()
		if sent == n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d engines were not sent orders", n)
}

// Orders that are still under way count as loading, also when their engines
// stop answering and when the holder that sent them is replaced.
func TestOrdersUnderWay(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			w := newWorld(ctx, 6, false)
			for _, e := range w.engines {
				e.delay = OrderDelay - 100*time.Millisecond
			}
			d := w.start()
			w.orderedWithin(t, MaxLoading)
			if replaced {
				for range 8 {
					w.start() // one of them looks soon after the stop
				}
				d.stop()
			}
			w.mu.Lock()
			for _, e := range w.engines {
				e.silent, e.delay = e.ordered > 0, 0
			}
			w.mu.Unlock()
			time.Sleep(time.Minute)
			w.mu.Lock()
			assert.DeepEqual(t, w.failures, []string(nil))
			w.mu.Unlock()
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// The order of a holder that was paused far beyond its lease is refused by an
// engine that checks the fence, and undone at one that does not.
func TestPausedHolder(t *testing.T) {
	for _, fences := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			w := newWorld(ctx, 1, fences)
			e := w.engines[0]
			e.delay = 2 * time.Minute
			d := w.start()
			w.orderedWithin(t, 1)
			d.client.Kill()
			d.stop()
			w.mu.Lock()
			e.delay = 0
			w.mu.Unlock()
			w.setDocument(servicedoc.Model{Name: "opal", Version: "2"})
			w.start()
			time.Sleep(5 * time.Minute)
			w.mu.Lock()
			assert.DeepEqual(t, e.state.Weights, []string{"opal@2"})
			assert.Equal(t, slices.Contains(e.loads, "opal@1"), !fences)
			w.mu.Unlock()
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// Old weights stay until enough engines hold what replaces them, because
// other daemons may still serve by the old document.
func TestPlanKeepsOld(t *testing.T) {
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
	assert.Equal(t, count(Plan(docs, engines(0)), upstream.OrderLoad), MaxLoading)
	assert.Equal(t, count(Plan(docs, engines(2)), upstream.OrderUnload), 0)
	assert.Equal(t, count(Plan(docs, engines(3)), upstream.OrderUnload), 3)
}

// A service without a model document gets no orders.
func TestPlanLeavesOthersAlone(t *testing.T) {
	u := &fleet.Upstream{Address: "a:1", Service: "s", State: fleet.Serving}
	plain := &servicedoc.Accepted{Document: servicedoc.Document{Kind: servicedoc.KindPlain}}
	list := []Candidate{{Upstream: u, Weights: []string{"x@1"}}}
	assert.Equal(t, len(Plan(map[string]*servicedoc.Accepted{"s": plain}, list)), 0)
	assert.Equal(t, len(Plan(nil, list)), 0)
}
