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

// checks is the number of random histories of a run without -rapid.checks.
const checks = "500"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", checks); err != nil {
		panic(err)
	}
	testseed.Main(m)
}

// network carries facts between the boards of one test.
type network struct {
	mu     sync.Mutex
	boards []*board
}

// board is a gossip.Board that delivers to all other boards at once, unless
// it is cut off.
type board struct {
	gossip.Solo
	net  *network
	cut  bool
	gone bool
	subs []func(gossip.Fact)
}

func (n *network) join() *board {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := &board{net: n}
	for _, peer := range n.boards {
		if !peer.cut && !peer.gone {
			for _, f := range peer.Facts(gossip.KindDocument) {
				b.Solo.Publish(f)
			}
		}
	}
	n.boards = append(n.boards, b)
	return b
}

func (b *board) Publish(f gossip.Fact) {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	b.Solo.Publish(f)
	if b.cut || b.gone {
		return
	}
	for _, peer := range b.net.boards {
		if peer != b && !peer.cut && !peer.gone {
			peer.receive(f)
		}
	}
}

func (b *board) receive(f gossip.Fact) {
	for _, old := range b.Facts(f.Kind) {
		if old.ID == f.ID && !f.Supersedes(old) {
			return
		}
	}
	b.Solo.Publish(f)
	for _, fn := range b.subs {
		go fn(f)
	}
}

func (b *board) Subscribe(_ gossip.Kind, fn func(gossip.Fact)) {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	b.subs = append(b.subs, fn)
	for _, f := range b.Facts(gossip.KindDocument) {
		fn(f)
	}
}

type daemon struct {
	client    *platformtest.Client
	board     *board
	catalogue *Catalogue
	store     *Store
	stop      context.CancelFunc
	started   time.Time
	// served is the greatest revision seen in force, by service.
	served map[string]servicedoc.Revision
}

// world is several daemons and an oracle of accepted revisions.
type world struct {
	ctx       context.Context
	platform  *platformtest.Platform
	net       *network
	daemons   []*daemon
	tableDown bool
	submits   sync.WaitGroup

	mu       sync.Mutex
	failures []string
	// accepted holds the bodies that were answered yes, by service and revision.
	accepted map[string]map[servicedoc.Revision]string
	// refused holds bodies that were certainly not accepted.
	refused map[string]bool
	// inForce is the greatest revision that any daemon served by.
	inForce map[string]servicedoc.Revision
}

func newWorld(ctx context.Context, n int) *world {
	w := &world{ctx: ctx, platform: platformtest.New(), net: &network{}, accepted: map[string]map[servicedoc.Revision]string{}, refused: map[string]bool{}, inForce: map[string]servicedoc.Revision{}}
	for range n {
		w.daemons = append(w.daemons, w.newDaemon())
	}
	return w
}

func (w *world) newDaemon() *daemon {
	c := w.platform.Client()
	c.SetDown(w.tableDown, false)
	ctx, stop := context.WithCancel(w.ctx)
	d := &daemon{client: c, board: w.net.join(), stop: stop, started: time.Now(), served: map[string]servicedoc.Revision{}}
	d.catalogue = NewCatalogue(eventlog.Discard(), func(a *servicedoc.Accepted) { w.adopted(d, a) })
	announcer := NewAnnouncer(d.board)
	poller := NewPoller(c, c.Objects(), d.catalogue, announcer, 0, eventlog.Discard())
	d.store = NewStore(c, c.Objects(), d.catalogue, announcer.Announce, eventlog.Discard())
	go func() {
		_ = poller.Start(ctx)
		_ = poller.Run(ctx)
	}()
	return d
}

func (w *world) kill(i int) {
	d := w.daemons[i]
	d.client.Kill()
	w.net.mu.Lock()
	d.board.gone = true
	w.net.mu.Unlock()
	d.stop()
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

func body(service string, n int, large bool) string {
	b := fmt.Sprintf(`{"service":%q,"kind":"plain","organisations":[{"name":"o%d","key_sha256":["%x"]}]}`, service, n, sha256.Sum256([]byte(fmt.Sprint(n))))
	if large {
		b += strings.Repeat(" ", gossip.MaxValueBytes)
	}
	return b
}

func (w *world) submit(d *daemon, service, text string, based servicedoc.Revision) {
	w.submits.Go(func() {
		a, err := d.store.Submit(w.ctx, []byte(text), based)
		w.mu.Lock()
		defer w.mu.Unlock()
		if d.client.Killed() {
			return
		}
		var conflict *ConflictError
		switch {
		case err == nil:
			w.accept(service, a.Revision, text)
		case errors.As(err, &conflict):
			w.refused[text] = true
		case verdict.Of(err) == verdict.NotRun:
			w.refused[text] = true
		}
	})
}

func (w *world) accept(service string, rev servicedoc.Revision, text string) {
	if w.accepted[service] == nil {
		w.accepted[service] = map[servicedoc.Revision]string{}
	}
	if old, twice := w.accepted[service][rev]; twice && old != text {
		w.fail("revision %d of %s was accepted twice", rev, service)
	}
	w.accepted[service][rev] = text
}

// adopted checks that a daemon only goes forward.
func (w *world) adopted(d *daemon, a *servicedoc.Accepted) {
	w.mu.Lock()
	defer w.mu.Unlock()
	service := a.Document.Service
	if a.Revision <= d.served[service] {
		w.fail("a daemon went from revision %d of %s to %d", d.served[service], service, a.Revision)
	}
	d.served[service] = a.Revision
	w.inForce[service] = max(w.inForce[service], a.Revision)
}

// observe compares what each daemon serves by with the oracle.
func (w *world) observe() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, d := range w.daemons {
		for service, a := range d.catalogue.Snapshot() {
			if want, ok := w.accepted[service][a.Revision]; ok && want != string(a.Body) {
				w.fail("daemon %d serves another text than the accepted revision %d of %s", i, a.Revision, service)
			}
			if w.refused[string(a.Body)] {
				w.fail("daemon %d serves a refused text of %s", i, service)
			}
		}
	}
}

// settled requires all daemons to serve by at least what was accepted or in
// force anywhere.
func (w *world) settled(want map[string]servicedoc.Revision) {
	w.observe()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, d := range w.daemons {
		for service, rev := range want {
			if got := d.catalogue.Revision(service); got < rev {
				w.fail("daemon %d serves %s by revision %d, %d is in force", i, service, got, rev)
			}
		}
	}
}

func (w *world) newest() map[string]servicedoc.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	want := map[string]servicedoc.Revision{}
	for service, rev := range w.inForce {
		want[service] = rev
	}
	for service, revs := range w.accepted {
		for rev := range revs {
			want[service] = max(want[service], rev)
		}
	}
	return want
}

func (w *world) heal() {
	w.tableDown = false
	for i, d := range w.daemons {
		if d.client.Killed() {
			w.kill(i)
			w.daemons[i] = w.newDaemon()
			continue
		}
		d.client.ClearPlan()
		d.client.SetDown(false, false)
		d.client.SetDelay(0)
		w.net.mu.Lock()
		d.board.cut = false
		w.net.mu.Unlock()
	}
}

// restartAll stops every daemon and starts as many while the table is down.
func (w *world) restartAll() {
	w.observe()
	for i := range w.daemons {
		w.kill(i)
	}
	w.tableDown = true
	for i := range w.daemons {
		w.daemons[i] = w.newDaemon()
	}
}

// Accepted documents are in force at all reachable daemons within 5 s and
// never revert, whatever fails and whoever races.
func TestDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w := newWorld(ctx, 4)
			pick := rapid.IntRange(0, len(w.daemons)-1)
			// Most calls go well, so that faults meet every step of a submission.
			fault := rapid.Map(rapid.IntRange(0, 3*int(platformtest.Faults)), func(i int) platformtest.Fault {
				if i >= int(platformtest.Faults) {
					return platformtest.NoFault
				}
				return platformtest.Fault(i)
			})
			texts := 0
			t.Repeat(map[string]func(*rapid.T){
				"submit": func(t *rapid.T) {
					service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
					// Operators race: each is based on what its daemon shows.
					for range rapid.IntRange(1, 3).Draw(t, "operators") {
						d := w.daemons[pick.Draw(t, "daemon")]
						d.client.Plan(rapid.SliceOfN(fault, 0, 10).Draw(t, "faults")...)
						texts++
						w.submit(d, service, body(service, texts, rapid.Bool().Draw(t, "large")), d.catalogue.Revision(service))
					}
				},
				"sleep": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				},
				"replace": func(t *rapid.T) {
					i := pick.Draw(t, "daemon")
					w.observe()
					w.kill(i)
					w.daemons[i] = w.newDaemon()
				},
				"cut": func(t *rapid.T) { w.daemons[pick.Draw(t, "daemon")].board.setCut(rapid.Bool().Draw(t, "cut")) },
				"slow": func(t *rapid.T) {
					c := w.daemons[pick.Draw(t, "daemon")].client
					c.SetLateDelay(time.Duration(rapid.IntRange(0, 8000).Draw(t, "late")) * time.Millisecond)
					c.SetDelay(time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay")) * time.Millisecond)
				},
				"table": func(t *rapid.T) {
					w.tableDown = rapid.Bool().Draw(t, "down")
					objects := rapid.IntRange(0, 3).Draw(t, "objects") == 0
					for _, d := range w.daemons {
						d.client.SetDown(w.tableDown, objects)
					}
				},
				"restartAll": func(*rapid.T) { w.restartAll() },
				"":           func(t *rapid.T) { w.observe(); w.report(t) },
			})
			w.heal()
			w.submits.Wait()
			w.heal()
			want := w.newest()
			time.Sleep(5 * time.Second)
			w.settled(want)
			w.report(t)
			// All restart while the table is down: nothing reverts.
			want = w.newest()
			w.restartAll()
			time.Sleep(5 * time.Second)
			w.settled(want)
			w.report(t)
			cancel()
			synctest.Wait()
		})
	})
}

func (b *board) setCut(cut bool) {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	b.cut = cut
}

func (w *world) report(t *rapid.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.failures) > 0 {
		t.Fatalf("%s", strings.Join(w.failures, "\n"))
	}
}

// The same text sent again after an unknown answer is told whether it was
// accepted; another text is told the revision in force.
func TestSubmitAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 2)
		time.Sleep(2 * time.Second)
		c := w.platform.Client()
		store := NewStore(c, c.Objects(), NewCatalogue(eventlog.Discard(), nil), nil, eventlog.Discard())
		// The fifth call is the commit; nothing answers after it.
		c.Plan(platformtest.NoFault, platformtest.NoFault, platformtest.NoFault, platformtest.NoFault, platformtest.LoseAnswer)
		time.AfterFunc(time.Millisecond, func() { c.SetSilent(true) })
		_, err := store.Submit(ctx, []byte(body("a", 1, false)), 0)
		assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
		time.Sleep(5 * time.Second)
		a, err := w.daemons[1].store.Submit(ctx, []byte(body("a", 1, false)), 0)
		assert.NilError(t, err)
		assert.Equal(t, a.Revision, servicedoc.Revision(1))
		_, err = w.daemons[1].store.Submit(ctx, []byte(body("a", 2, false)), 0)
		var conflict *ConflictError
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, conflict.InForce, servicedoc.Revision(1))
		cancel()
	})
}

// Idle daemons read one row each interval; old objects do not pile up.
func TestBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 33)
		for i := range 60 {
			_, err := w.daemons[i%33].store.Submit(ctx, []byte(body("a", i, false)), servicedoc.Revision(i))
			assert.NilError(t, err)
		}
		time.Sleep(10 * time.Second)
		keys, err := w.daemons[0].client.Objects().List(ctx, "documents/")
		assert.NilError(t, err)
		assert.Equal(t, len(keys), 2*historyLength)
		before, writesBefore := w.platform.Calls()
		time.Sleep(100 * time.Second)
		after, writesAfter := w.platform.Calls()
		assert.Assert(t, after-before <= 33*101*115/100, "%d reads", after-before)
		assert.Equal(t, writesAfter, writesBefore)
		cancel()
	})
}

// A table down for an hour: daemons serve on, read the object store at a
// bounded rate, and do not return to the table in a burst.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		const daemons = 33
		w := newWorld(ctx, daemons)
		_, err := w.daemons[0].store.Submit(ctx, []byte(body("a", 1, false)), 0)
		assert.NilError(t, err)
		time.Sleep(5 * time.Second)
		for _, d := range w.daemons {
			d.client.SetDown(true, false)
		}
		before, _ := w.platform.Calls()
		time.Sleep(time.Hour)
		after, _ := w.platform.Calls()
		assert.Assert(t, after-before <= daemons*3600/2, "%d reads", after-before)
		_, err = w.daemons[1].store.Submit(ctx, []byte(body("a", 2, false)), 1)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		for _, d := range w.daemons {
			assert.Equal(t, d.catalogue.Revision("a"), servicedoc.Revision(1))
			d.client.SetDown(false, false)
		}
		most := 0
		for range 100 {
			before, _ := w.platform.Calls()
			time.Sleep(100 * time.Millisecond)
			after, _ := w.platform.Calls()
			most = max(most, after-before)
		}
		assert.Assert(t, most <= daemons/2, "%d reads in 100 ms", most)
		cancel()
	})
}

func FuzzDecode(f *testing.F) {
	s := submission{Service: "a", Revision: 1, Nonce: "n", Digest: sha256.Sum256([]byte("x"))}
	f.Add(mustEncode(revisionRow{}.with(s)))
	f.Add(mustEncode(counterRow{}.with(s)))
	f.Add(mustEncode(&head{Format: format, Submission: s, Body: []byte("x")}))
	f.Add([]byte(headKey("a", 1)))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := decodeRevisionRow(b); err == nil {
			assert.Assert(t, r.inForce().Revision > 0)
		}
		if c, err := decodeCounterRow(b); err == nil {
			for seen := range uint64(3) {
				c.since(seen)
			}
			c.since(c.Changes)
		}
		if h, err := decodeHead(b); err == nil {
			_, _ = h.accepted()
		}
		if service, rev, ok := parseHeadKey(string(b)); ok {
			assert.Equal(t, headKey(service, rev), string(b))
		}
		decodeFact(b)
	})
}
