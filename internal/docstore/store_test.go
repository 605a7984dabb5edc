package docstore

import (
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/testseed"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// rapidChecks is the number of checks per property without -rapid.checks.
const rapidChecks = "500"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", rapidChecks); err != nil {
		panic(err)
	}
	testseed.Main(m)
}

// testNetwork delivers facts between the buses of one test.
type testNetwork struct {
	mu    sync.Mutex
	buses []*testBus
}

// testBus is a gossip.Bus that delivers to all other buses at once, unless it
// is partitioned or removed.
type testBus struct {
	gossip.LocalBus
	network     *testNetwork
	partitioned bool
	removed     bool
	subscribers []func(gossip.Fact)
}

func (n *testNetwork) join() *testBus {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := &testBus{network: n}
	for _, peer := range n.buses {
		if !peer.partitioned && !peer.removed {
			for _, f := range peer.Facts(gossip.KindDocument) {
				b.LocalBus.Publish(f)
			}
		}
	}
	n.buses = append(n.buses, b)
	return b
}

func (b *testBus) Publish(f gossip.Fact) {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	b.LocalBus.Publish(f)
	if b.partitioned || b.removed {
		return
	}
	for _, peer := range b.network.buses {
		if peer != b && !peer.partitioned && !peer.removed {
			peer.receive(f)
		}
	}
}

func (b *testBus) receive(f gossip.Fact) {
	for _, old := range b.Facts(f.Kind) {
		if old.ID == f.ID && !f.Supersedes(old) {
			return
		}
	}
	b.LocalBus.Publish(f)
	for _, fn := range b.subscribers {
		go fn(f)
	}
}

func (b *testBus) Subscribe(_ gossip.Kind, fn func(gossip.Fact)) {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	b.subscribers = append(b.subscribers, fn)
	for _, f := range b.Facts(gossip.KindDocument) {
		fn(f)
	}
}

type daemon struct {
	client    *platformtest.Client
	bus       *testBus
	catalogue *Catalogue
	store     *Store
	stop      context.CancelFunc
	started   time.Time
	// adopted is the greatest revision adopted, by service.
	adopted map[string]servicedoc.Revision
}

// testCluster is several daemons and the revisions that must or must not be in
// force.
type testCluster struct {
	ctx       context.Context
	platform  *platformtest.Platform
	network   *testNetwork
	daemons   []*daemon
	tableDown bool
	submits   sync.WaitGroup

	mu       sync.Mutex
	failures []string
	// accepted holds the bodies of successful submissions, by service and revision.
	accepted map[string]map[servicedoc.Revision]string
	// refused holds the bodies that were reported as not accepted.
	refused map[string]bool
	// inForce is the greatest revision in force at any daemon, by service.
	inForce map[string]servicedoc.Revision
}

func newTestCluster(ctx context.Context, n int) *testCluster {
	tc := &testCluster{ctx: ctx, platform: platformtest.New(), network: &testNetwork{}, accepted: map[string]map[servicedoc.Revision]string{}, refused: map[string]bool{}, inForce: map[string]servicedoc.Revision{}}
	for range n {
		tc.daemons = append(tc.daemons, tc.newDaemon())
	}
	return tc
}

func (tc *testCluster) newDaemon() *daemon {
	c := tc.platform.Client()
	c.SetDown(tc.tableDown, false)
	ctx, stop := context.WithCancel(tc.ctx)
	d := &daemon{client: c, bus: tc.network.join(), stop: stop, started: time.Now(), adopted: map[string]servicedoc.Revision{}}
	d.catalogue = NewCatalogue(eventlog.Discard(), func(a *servicedoc.Accepted) { tc.checkAdoption(d, a) })
	announcer := NewAnnouncer(d.bus)
	poller := NewPoller(c, c.Objects(), d.catalogue, announcer, 0, eventlog.Discard())
	d.store = NewStore(c, c.Objects(), d.catalogue, announcer.Announce, eventlog.Discard())
	go func() {
		_ = poller.Start(ctx)
		_ = poller.Run(ctx)
	}()
	return d
}

func (tc *testCluster) kill(i int) {
	d := tc.daemons[i]
	d.client.Kill()
	tc.network.mu.Lock()
	d.bus.removed = true
	tc.network.mu.Unlock()
	d.stop()
}

func (tc *testCluster) fail(format string, args ...any) {
	tc.failures = append(tc.failures, fmt.Sprintf(format, args...))
}

func body(service string, n int, large bool) string {
	b := fmt.Sprintf(`{"service":%q,"kind":"plain","organisations":[{"name":"o%d","key_sha256":["%x"]}]}`, service, n, sha256.Sum256([]byte(fmt.Sprint(n))))
	if large {
		b += strings.Repeat(" ", gossip.MaxValueBytes)
	}
	return b
}

func (tc *testCluster) submit(d *daemon, service, text string, base servicedoc.Revision) {
	tc.submits.Go(func() {
		a, err := d.store.Submit(tc.ctx, []byte(text), base)
		tc.mu.Lock()
		defer tc.mu.Unlock()
		if d.client.Killed() {
			return
		}
		var conflict *ConflictError
		switch {
		case err == nil:
			tc.recordAccepted(service, a.Revision, text)
		case errors.As(err, &conflict):
			tc.refused[text] = true
		case verdict.Of(err) == verdict.NotRun:
			tc.refused[text] = true
		}
	})
}

func (tc *testCluster) recordAccepted(service string, rev servicedoc.Revision, text string) {
	if tc.accepted[service] == nil {
		tc.accepted[service] = map[servicedoc.Revision]string{}
	}
	if old, twice := tc.accepted[service][rev]; twice && old != text {
		tc.fail("revision %d of %s was accepted with two texts", rev, service)
	}
	tc.accepted[service][rev] = text
}

// checkAdoption checks that a daemon's revisions only grow.
func (tc *testCluster) checkAdoption(d *daemon, a *servicedoc.Accepted) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	service := a.Document.Service
	if a.Revision <= d.adopted[service] {
		tc.fail("a daemon replaced revision %d of %s with revision %d", d.adopted[service], service, a.Revision)
	}
	d.adopted[service] = a.Revision
	tc.inForce[service] = max(tc.inForce[service], a.Revision)
}

// checkServed checks that no daemon serves a refused text, or another text than
// the accepted one of its revision.
func (tc *testCluster) checkServed() {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for i, d := range tc.daemons {
		for service, a := range d.catalogue.Snapshot() {
			if want, ok := tc.accepted[service][a.Revision]; ok && want != string(a.Body) {
				tc.fail("daemon %d serves another text than the accepted revision %d of %s", i, a.Revision, service)
			}
			if tc.refused[string(a.Body)] {
				tc.fail("daemon %d serves a refused text of %s", i, service)
			}
		}
	}
}

// checkConverged requires all daemons to serve by at least the wanted revisions.
func (tc *testCluster) checkConverged(want map[string]servicedoc.Revision) {
	tc.checkServed()
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for i, d := range tc.daemons {
		for service, rev := range want {
			if got := d.catalogue.Revision(service); got < rev {
				tc.fail("daemon %d serves %s by revision %d, %d is in force", i, service, got, rev)
			}
		}
	}
}

func (tc *testCluster) expectedRevisions() map[string]servicedoc.Revision {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	want := map[string]servicedoc.Revision{}
	for service, rev := range tc.inForce {
		want[service] = rev
	}
	for service, revs := range tc.accepted {
		for rev := range revs {
			want[service] = max(want[service], rev)
		}
	}
	return want
}

func (tc *testCluster) endFaults() {
	tc.tableDown = false
	for i, d := range tc.daemons {
		if d.client.Killed() {
			tc.kill(i)
			tc.daemons[i] = tc.newDaemon()
			continue
		}
		d.client.ClearFaults()
		d.client.SetDown(false, false)
		d.client.SetDelay(0)
		tc.network.mu.Lock()
		d.bus.partitioned = false
		tc.network.mu.Unlock()
	}
}

// restartAll replaces all daemons while the table is down.
func (tc *testCluster) restartAll() {
	tc.checkServed()
	for i := range tc.daemons {
		tc.kill(i)
	}
	tc.tableDown = true
	for i := range tc.daemons {
		tc.daemons[i] = tc.newDaemon()
	}
}

// Under concurrent submissions and any faults, accepted documents are in force
// at all reachable daemons within 5 s and never revert.
func TestDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			tc := newTestCluster(ctx, 4)
			pick := rapid.IntRange(0, len(tc.daemons)-1)
			// Most calls succeed, so that faults occur at every step of a submission.
			fault := rapid.Map(rapid.IntRange(0, 3*int(platformtest.FaultCount)), func(i int) platformtest.Fault {
				if i >= int(platformtest.FaultCount) {
					return platformtest.NoFault
				}
				return platformtest.Fault(i)
			})
			texts := 0
			t.Repeat(map[string]func(*rapid.T){
				"submit": func(t *rapid.T) {
					service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
					// Concurrent operators, each based on the revision at its daemon.
					for range rapid.IntRange(1, 3).Draw(t, "operators") {
						d := tc.daemons[pick.Draw(t, "daemon")]
						d.client.QueueFaults(rapid.SliceOfN(fault, 0, 10).Draw(t, "faults")...)
						texts++
						tc.submit(d, service, body(service, texts, rapid.Bool().Draw(t, "large")), d.catalogue.Revision(service))
					}
				},
				"sleep": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				},
				"replace": func(t *rapid.T) {
					i := pick.Draw(t, "daemon")
					tc.checkServed()
					tc.kill(i)
					tc.daemons[i] = tc.newDaemon()
				},
				"cut": func(t *rapid.T) { tc.daemons[pick.Draw(t, "daemon")].bus.setPartitioned(rapid.Bool().Draw(t, "cut")) },
				"slow": func(t *rapid.T) {
					c := tc.daemons[pick.Draw(t, "daemon")].client
					c.SetLateDelay(time.Duration(rapid.IntRange(0, 8000).Draw(t, "late")) * time.Millisecond)
					c.SetDelay(time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay")) * time.Millisecond)
				},
				"table": func(t *rapid.T) {
					tc.tableDown = rapid.Bool().Draw(t, "down")
					objects := rapid.IntRange(0, 3).Draw(t, "objects") == 0
					for _, d := range tc.daemons {
						d.client.SetDown(tc.tableDown, objects)
					}
				},
				"restartAll": func(*rapid.T) { tc.restartAll() },
				"":           func(t *rapid.T) { tc.checkServed(); tc.failOnErrors(t) },
			})
			tc.endFaults()
			tc.submits.Wait()
			tc.endFaults()
			want := tc.expectedRevisions()
			time.Sleep(5 * time.Second)
			tc.checkConverged(want)
			tc.failOnErrors(t)
			// Nothing reverts when all daemons restart while the table is down.
			want = tc.expectedRevisions()
			tc.restartAll()
			time.Sleep(5 * time.Second)
			tc.checkConverged(want)
			tc.failOnErrors(t)
			cancel()
			synctest.Wait()
		})
	})
}

func (b *testBus) setPartitioned(partitioned bool) {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	b.partitioned = partitioned
}

func (tc *testCluster) failOnErrors(t *rapid.T) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if len(tc.failures) > 0 {
		t.Fatalf("%s", strings.Join(tc.failures, "\n"))
	}
}

// Repeating a submission of unknown outcome tells whether it was accepted;
// another text gets the revision in force.
func TestSubmitAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		tc := newTestCluster(ctx, 2)
		time.Sleep(2 * time.Second)
		c := tc.platform.Client()
		store := NewStore(c, c.Objects(), NewCatalogue(eventlog.Discard(), nil), nil, eventlog.Discard())
		// The fifth call is the commit; all later calls hang.
		c.QueueFaults(platformtest.NoFault, platformtest.NoFault, platformtest.NoFault, platformtest.NoFault, platformtest.LoseResponse)
		time.AfterFunc(time.Millisecond, func() { c.SetUnresponsive(true) })
		_, err := store.Submit(ctx, []byte(body("a", 1, false)), 0)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		time.Sleep(5 * time.Second)
		a, err := tc.daemons[1].store.Submit(ctx, []byte(body("a", 1, false)), 0)
		assert.NilError(t, err)
		assert.Equal(t, a.Revision, servicedoc.Revision(1))
		_, err = tc.daemons[1].store.Submit(ctx, []byte(body("a", 2, false)), 0)
		var conflict *ConflictError
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, conflict.InForce, servicedoc.Revision(1))
		cancel()
	})
}

// Idle daemons read one row per poll interval and write nothing; old objects are
// deleted.
func TestIdleReadsAndStoredObjectsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		tc := newTestCluster(ctx, 33)
		for i := range 60 {
			_, err := tc.daemons[i%33].store.Submit(ctx, []byte(body("a", i, false)), servicedoc.Revision(i))
			assert.NilError(t, err)
		}
		time.Sleep(10 * time.Second)
		keys, err := tc.daemons[0].client.Objects().List(ctx, "documents/")
		assert.NilError(t, err)
		assert.Equal(t, len(keys), 2*historyLength)
		before, writesBefore := tc.platform.CountCalls()
		time.Sleep(100 * time.Second)
		after, writesAfter := tc.platform.CountCalls()
		assert.Assert(t, after-before <= 33*101*115/100, "%d reads", after-before)
		assert.Equal(t, writesAfter, writesBefore)
		cancel()
	})
}

// While the table is down for an hour, daemons keep serving and read the object
// store at a bounded rate; afterwards they do not read the table in a burst.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		const daemons = 33
		tc := newTestCluster(ctx, daemons)
		_, err := tc.daemons[0].store.Submit(ctx, []byte(body("a", 1, false)), 0)
		assert.NilError(t, err)
		time.Sleep(5 * time.Second)
		for _, d := range tc.daemons {
			d.client.SetDown(true, false)
		}
		before, _ := tc.platform.CountCalls()
		time.Sleep(time.Hour)
		after, _ := tc.platform.CountCalls()
		assert.Assert(t, after-before <= daemons*3600/2, "%d reads", after-before)
		_, err = tc.daemons[1].store.Submit(ctx, []byte(body("a", 2, false)), 1)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		for _, d := range tc.daemons {
			assert.Equal(t, d.catalogue.Revision("a"), servicedoc.Revision(1))
			d.client.SetDown(false, false)
		}
		maxReads := 0
		for range 100 {
			before, _ := tc.platform.CountCalls()
			time.Sleep(100 * time.Millisecond)
			after, _ := tc.platform.CountCalls()
			maxReads = max(maxReads, after-before)
		}
		assert.Assert(t, maxReads <= daemons/2, "%d reads in 100 ms", maxReads)
		cancel()
	})
}

func FuzzDecode(f *testing.F) {
	s := submission{Service: "a", Revision: 1, Nonce: "n", Digest: sha256.Sum256([]byte("x"))}
	f.Add(mustEncode(revisionRow{}.withSubmission(s)))
	f.Add(mustEncode(counterRow{}.withSubmission(s)))
	f.Add(mustEncode(&head{Format: storedFormat, Submission: s, Body: []byte("x")}))
	f.Add([]byte(headKey("a", 1)))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := decodeRevisionRow(b); err == nil {
			assert.Assert(t, r.inForce().Revision > 0)
		}
		if c, err := decodeCounterRow(b); err == nil {
			for seen := range uint64(3) {
				c.submissionsAfter(seen)
			}
			c.submissionsAfter(c.Changes)
		}
		if h, err := decodeHead(b); err == nil {
			_, _ = h.accepted()
		}
		if service, rev, ok := parseHeadKey(string(b)); ok {
			assert.Equal(t, headKey(service, rev), string(b))
		}
		decodeAnnouncement(b)
	})
}
