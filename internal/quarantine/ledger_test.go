package quarantine

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/testseed"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// network carries facts between boards, each after a delay.
type network struct {
	mu     sync.Mutex
	boards []*board
	delay  time.Duration
}

type board struct {
	gossip.Solo
	net  *network
	name string
	gone bool
	subs []func(gossip.Fact)
}

func (n *network) join(name string) *board {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := &board{net: n, name: name}
	for _, peer := range n.boards {
		if !peer.gone {
			for _, f := range peer.Facts(gossip.KindSuspect) {
				b.accept(f)
			}
		}
	}
	n.boards = append(n.boards, b)
	return b
}

func (b *board) accept(f gossip.Fact) bool {
	for _, old := range b.Facts(f.Kind) {
		if old.ID == f.ID && !f.Supersedes(old) {
			return false
		}
	}
	b.Solo.Publish(f)
	return true
}

func (b *board) Publish(f gossip.Fact) {
	f.Origin = b.name
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	if !b.accept(f) || b.gone {
		return
	}
	for _, peer := range b.net.boards {
		if peer != b {
			time.AfterFunc(b.net.delay, func() { peer.deliver(f) })
		}
	}
}

func (b *board) deliver(f gossip.Fact) {
	b.net.mu.Lock()
	fresh := !b.gone && b.accept(f)
	subs := b.subs
	b.net.mu.Unlock()
	for _, fn := range subs {
		if fresh {
			fn(f)
		}
	}
}

func (b *board) Subscribe(_ gossip.Kind, fn func(gossip.Fact)) {
	b.net.mu.Lock()
	b.subs = append(b.subs, fn)
	b.net.mu.Unlock()
	for _, f := range b.Facts(gossip.KindSuspect) {
		fn(f)
	}
}

type daemon struct {
	spreader *Spreader
	ledger   *Ledger
	client   *platformtest.Client
	board    *board
	stop     context.CancelFunc
}

// server is an upstream and what each daemon runs there.
type server struct {
	name        string
	incarnation int
	running     map[*attempt]bool
}

type attempt struct {
	fp     Fingerprint
	daemon *daemon
	permit *Permit
	died   chan Death
}

type world struct {
	ctx      context.Context
	platform *platformtest.Platform
	net      *network

	mu       sync.Mutex
	daemons  []*daemon
	started  int
	servers  []*server
	deaths   int
	failures []string
}

func newWorld(ctx context.Context, daemons, servers int, delay time.Duration) *world {
	w := &world{ctx: ctx, platform: platformtest.New(), net: &network{delay: delay}}
	for range daemons {
		w.daemons = append(w.daemons, w.newDaemon())
	}
	for i := range servers {
		w.servers = append(w.servers, &server{name: fmt.Sprint("u", i), running: map[*attempt]bool{}})
	}
	return w
}

func (w *world) newDaemon() *daemon {
	w.started++
	ctx, stop := context.WithCancel(w.ctx)
	d := &daemon{client: w.platform.Client(), board: w.net.join(fmt.Sprint("d", w.started)), stop: stop}
	d.spreader, d.ledger = NewSpreader(d.board, d.client, eventlog.Discard())
	go func() { _ = d.spreader.Run(ctx) }()
	return d
}

func (w *world) replace(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.daemons[i]
	d.client.Kill()
	d.stop()
	w.net.mu.Lock()
	d.board.gone = true
	w.net.mu.Unlock()
	w.daemons[i] = w.newDaemon()
}

func (w *world) daemon(i int) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.daemons[i%len(w.daemons)]
}

// send runs a request as a daemon's dispatcher does. kills says that it
// crashes the upstream that runs it.
func (w *world) send(d *daemon, s *server, fp Fingerprint, kills bool) error {
	a := &attempt{fp: fp, daemon: d, died: make(chan Death, 1)}
	switch d.ledger.Check(fp) {
	case Quarantined:
		return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "quarantined")
	case Suspect:
		permit, err := d.spreader.Enter(w.ctx, fp, s.name)
		if err != nil {
			return err
		}
		a.permit = permit
	}
	w.mu.Lock()
	s.running[a] = true
	w.mu.Unlock()
	if kills {
		time.AfterFunc(300*time.Millisecond, func() { w.crash(s) })
	}
	select {
	case death := <-a.died:
		w.blame(a, death)
		time.Sleep(PublishWait)
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "upstream died")
	case <-time.After(time.Second):
	}
	w.mu.Lock()
	delete(s.running, a)
	w.mu.Unlock()
	if a.permit != nil {
		a.permit.Completed(w.ctx)
	} else {
		d.ledger.Completed(fp)
	}
	return nil
}

func (w *world) blame(a *attempt, death Death) {
	if a.permit != nil {
		a.permit.Died(w.ctx, death)
		return
	}
	a.daemon.ledger.Died(death, []Fingerprint{a.fp})
}

func (w *world) crash(s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaths++
	if w.deaths > MaxDeaths {
		w.failures = append(w.failures, fmt.Sprintf("%d upstreams died under one request", w.deaths))
	}
	for a := range s.running {
		a.died <- Death{Upstream: s.name, Incarnation: fmt.Sprint(s.incarnation)}
	}
	clear(s.running)
	s.incarnation++
}

func (w *world) report(t interface{ Fatalf(string, ...any) }) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.failures) > 0 {
		t.Fatalf("%s", strings.Join(w.failures, "\n"))
	}
}

// One request kills at most two upstreams however often its caller sends it
// and through whichever daemon, also when the daemon that saw the death is
// lost or the table is down; requests that ran beside it are served.
func TestOneKiller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			delay := time.Duration(rapid.IntRange(1, 240).Draw(t, "delay")) * time.Millisecond
			w := newWorld(ctx, 3, 3, delay)
			choices := func(label string, n, max int) []int {
				return rapid.SliceOfN(rapid.IntRange(0, max), n, n).Draw(t, label)
			}
			var callers sync.WaitGroup
			for i := range rapid.IntRange(0, 8).Draw(t, "innocents") {
				start := time.Duration(rapid.IntRange(0, 3000).Draw(t, "start")) * time.Millisecond
				daemons := choices("daemons", 60, 2)
				servers := choices("servers", 60, 2)
				callers.Go(func() { w.innocent(i, start, daemons, servers) })
			}
			const sends = 8
			daemons, servers, events := choices("daemons", sends, 2), choices("servers", sends, 2), choices("events", sends, 5)
			callers.Go(func() {
				killer := FingerprintOf("hollow", "s", []byte("killer"))
				for i := range sends {
					_ = w.send(w.daemon(daemons[i]), w.servers[servers[i]], killer, true)
					w.disturb(events[i], daemons[i])
				}
			})
			callers.Wait()
			w.report(t)
			cancel()
			time.Sleep(time.Minute) // lets goroutines end
		})
	})
}

// disturb is a fault between two sends.
func (w *world) disturb(event, daemon int) {
	switch event {
	case 0:
		w.replace(daemon)
	case 1, 2:
		for i := range 3 {
			w.daemon(i).client.SetDown(event == 1, false)
		}
	case 3:
		w.daemon(daemon).client.Plan(platformtest.LoseAnswer, platformtest.NoFault, platformtest.LoseRequest)
	}
}

func (w *world) innocent(i int, start time.Duration, daemons, servers []int) {
	time.Sleep(start)
	fp := FingerprintOf("hollow", "s", fmt.Append(nil, "innocent", i))
	for try := range daemons {
		err := w.send(w.daemon(daemons[try]), w.servers[servers[try]], fp, false)
		if err == nil {
			return
		}
		if e, _ := verdict.As(err); e.Code == verdict.CodeQuarantined {
			w.mu.Lock()
			w.failures = append(w.failures, fmt.Sprintf("innocent %d was quarantined", i))
			w.mu.Unlock()
			return
		}
		time.Sleep(time.Duration(i+1) * 700 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf("innocent %d was never served", i))
}

// Once a request is a suspect, callers that send it through all daemons at
// the same moment cause one more death at most, however slow gossip is, and
// the other suspects, sent as eagerly, are served.
func TestManyCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			// Without the table, the suspects of one daemon are kept apart.
			tableDown := rapid.Bool().Draw(t, "down")
			daemons := 3
			if tableDown {
				daemons = 1
			}
			w := newWorld(ctx, daemons, 2, time.Millisecond)
			w.daemon(0).client.SetDown(tableDown, tableDown)
			killer := FingerprintOf("hollow", "s", []byte("killer"))
			var callers sync.WaitGroup
			for i := range rapid.IntRange(0, 6).Draw(t, "innocents") {
				servers := append([]int{0}, rapid.SliceOfN(rapid.IntRange(0, 1), 200, 200).Draw(t, "servers")...)
				daemons := rapid.SliceOfN(rapid.IntRange(0, 2), 201, 201).Draw(t, "daemons")
				callers.Go(func() { w.innocent(i, 0, daemons, servers) })
			}
			_ = w.send(w.daemon(0), w.servers[0], killer, true)
			w.net.mu.Lock()
			w.net.delay = time.Minute
			w.net.mu.Unlock()
			for i := range rapid.IntRange(2, 8).Draw(t, "callers") {
				start := time.Duration(rapid.IntRange(0, 1500).Draw(t, "start")) * time.Millisecond
				server := rapid.IntRange(0, 1).Draw(t, "server")
				callers.Go(func() {
					time.Sleep(start)
					for range 5 {
						_ = w.send(w.daemon(i), w.servers[server], killer, true)
						time.Sleep(300 * time.Millisecond)
					}
				})
			}
			callers.Wait()
			w.report(t)
			cancel()
			time.Sleep(2 * time.Minute) // lets goroutines end
		})
	})
}

// Two daemons that see one death each at the same moment come to the same
// answer by gossip alone.
func TestDeathsMeet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 3, 0, 50*time.Millisecond)
		fp := FingerprintOf("o", "s", nil)
		for i, d := range w.daemons {
			d.client.SetDown(true, true)
			if i < 2 {
				d.ledger.Died(Death{fmt.Sprint(i), "1"}, []Fingerprint{fp})
			}
		}
		time.Sleep(time.Second)
		for _, d := range w.daemons {
			assert.Equal(t, d.ledger.Check(fp), Quarantined)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// Records that meet in any order, more than once and through several
// ledgers, give the same state everywhere.
func TestLedgersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fp := FingerprintOf("o", "s", nil)
		ledgers := []*Ledger{NewLedger(nil), NewLedger(nil), NewLedger(nil)}
		oracle := Record{Fingerprint: fp}
		pick := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"died": func(t *rapid.T) {
				d := Death{Upstream: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream")}
				oracle.merge(Record{Deaths: []Death{d}})
				ledgers[pick.Draw(t, "ledger")].Died(d, []Fingerprint{fp})
			},
			"completed": func(t *rapid.T) {
				l := ledgers[pick.Draw(t, "ledger")]
				if r := l.Records(); len(r) == 1 && l.Check(fp) == Suspect {
					oracle.merge(Record{Acquitted: r[0].Deaths})
				}
				l.Completed(fp)
			},
			"exchange": func(t *rapid.T) {
				from, to := ledgers[pick.Draw(t, "from")], ledgers[pick.Draw(t, "to")]
				for _, r := range from.Records() {
					to.Received(r)
				}
			},
		})
		for range 2 {
			for _, from := range ledgers {
				for _, r := range from.Records() {
					for _, to := range ledgers {
						to.Received(r)
					}
				}
			}
		}
		for i, l := range ledgers {
			if l.Check(fp) != oracle.state() {
				t.Fatalf("ledger %d says %s, want %s", i, l.Check(fp), oracle.state())
			}
		}
	})
}

// A daemon that starts later learns from the table, and suspicions expire.
func TestTableAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 1, 0, 0)
		fp := FingerprintOf("o", "s", nil)
		w.daemons[0].ledger.Died(Death{"a", "1"}, []Fingerprint{fp})
		w.daemons[0].ledger.Died(Death{"b", "1"}, []Fingerprint{fp})
		time.Sleep(time.Second)
		w.replace(0)
		time.Sleep(time.Second)
		assert.Equal(t, w.daemons[0].ledger.Check(fp), Quarantined)
		time.Sleep(2*Retention + time.Minute)
		assert.Equal(t, w.daemons[0].ledger.Check(fp), Clear)
		assert.Equal(t, w.platform.Rows(rowPrefix), 0)
		cancel()
		time.Sleep(time.Minute)
	})
}

// The number of requests remembered is bounded.
func TestLedgerBounded(t *testing.T) {
	l := NewLedger(nil)
	for i := range MaxRecords + 100 {
		l.Died(Death{"a", "1"}, []Fingerprint{{byte(i), byte(i >> 8), byte(i >> 16)}})
	}
	assert.Equal(t, len(l.Records()), MaxRecords)
}

func FuzzDecode(f *testing.F) {
	r := Record{Fingerprint: Fingerprint{1}, Deaths: []Death{{"a", "1"}}}
	f.Add(encodeRecord(r))
	f.Add(encodeRow(tableRow{Record: r, AtMillis: 1}))
	f.Add(mustEncode(&permitRow{Format: format, Nonce: "n"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := decodeRecord(b); err == nil {
			l := NewLedger(nil)
			l.Received(r)
			assert.Assert(t, l.Check(r.Fingerprint) <= Quarantined)
		}
		if r, err := decodeRow(b); err == nil {
			assert.Assert(t, len(r.Record.Deaths) <= maxDeathsKept)
		}
		if r, err := decodePermit(b); err == nil {
			assert.Assert(t, r.Nonce != "")
		}
		if fp, ok := ParseFingerprint(string(b)); ok {
			assert.Equal(t, len(fp.String()), len(b))
		}
	})
}
