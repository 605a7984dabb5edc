package dispatch

import (
	"context"
	"fmt"
	"iter"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const testGossip = 400 * time.Millisecond

// book is what all daemons know of suspects; each learns of the others'
// deaths with a delay.
type book struct {
	mu     sync.Mutex
	deaths map[Fingerprint]map[string]time.Time
	claims map[string]bool
}

// page is one daemon's view of a book.
type page struct {
	*book
	own map[string]bool
}

func newBook() *book {
	return &book{deaths: map[Fingerprint]map[string]time.Time{}, claims: map[string]bool{}}
}

func (p *page) Standing(fp Fingerprint) Standing {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := 0
	for life, at := range p.deaths[fp] {
		if p.own[life] || time.Since(at) >= testGossip {
			known++
		}
	}
	return Standing(min(known, int(Quarantined)))
}

func (p *page) Claim(ctx context.Context, name string) (func(), error) {
	for !p.take(name) {
		if err := backoff.Sleep(ctx, 10*time.Millisecond); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeOverloaded, "suspect waits")
		}
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.claims, name)
	}, nil
}

func (p *page) take(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claims[name] {
		return false
	}
	p.claims[name] = true
	return true
}

func (p *page) Died(engine, id string, running []Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	life := engine + "#" + id
	p.own[life] = true
	for _, fp := range running {
		if p.deaths[fp] == nil {
			p.deaths[fp] = map[string]time.Time{}
		}
		if p.deaths[fp][life].IsZero() {
			p.deaths[fp][life] = time.Now()
		}
	}
}

func (p *page) Survived(fp Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.deaths, fp)
}

// rewinder is a caller that sees nothing before the end.
type rewinder struct{ recorder }

func (r *rewinder) Rewind() { r.events = nil }

// poisonFleet is several daemons before the same engines.
type poisonFleet struct {
	*world
	daemons []*Dispatcher
}

func newPoisonFleet(t testing.TB, daemons, engines, retryPercent int) *poisonFleet {
	text := strings.Replace(testDocument, `"retry_percent":100`, fmt.Sprintf(`"retry_percent":%d`, retryPercent), 1)
	doc, err := servicedoc.NewAccepted(1, []byte(text))
	assert.NilError(t, err)
	var addresses []string
	var list []platform.Instance
	for i := range engines {
		a := fmt.Sprintf("10.0.1.%d:80", i)
		addresses = append(addresses, a)
		list = append(list, platform.Instance{Address: a, Service: "lamp-bench", State: platform.InstanceLive})
	}
	f := &poisonFleet{world: &world{engines: newFakeEngines(nil, addresses...), fleet: fleet.New(nil), doc: doc, stop: make(chan struct{}), stopped: make(chan struct{})}}
	f.fleet.ApplyList(list)
	shared := newBook()
	for range daemons {
		f.daemons = append(f.daemons, New(Config{
			Engines: f.engines, Fleet: f.fleet, Log: eventlog.New("d", hclog.NewNullLogger(), 16),
			StreamIdle: testIdle, Suspects: &page{book: shared, own: map[string]bool{}},
		}))
	}
	f.refreshAll(addresses)
	go f.watchAll(addresses)
	return f
}

func (f *poisonFleet) refreshAll(addresses []string) {
	for _, a := range addresses {
		if s, err := f.engines.State(context.Background(), a); err == nil {
			f.fleet.ApplyEngineState(a, s, time.Now())
		}
	}
	for _, d := range f.daemons {
		d.SetFleet(f.fleet.Snapshot())
	}
}

func (f *poisonFleet) watchAll(addresses []string) {
	defer close(f.stopped)
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(100 * time.Millisecond):
			f.refreshAll(addresses)
		}
	}
}

// beside runs innocent requests through one daemon until stop is closed. A
// request that fails is sent again by its caller.
func (f *poisonFleet) beside(d int, stop <-chan struct{}) error {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		default:
		}
		if err := f.innocent(d, fmt.Sprintf("innocent-%d-%d", d, n)); err != nil {
			return err
		}
	}
}

func (f *poisonFleet) innocent(d int, name string) error {
	const sends = 20
	var last error
	for send := range sends {
		id := fmt.Sprintf("%s-%d", name, send)
		req := f.request(id, 40)
		req.Messages[0].Content = name
		sink := &rewinder{recorder{leaveAt: -1}}
		last = f.daemons[(d+send)%len(f.daemons)].Generate(context.Background(), req, sink)
		if last == nil {
			return errors.CombineErrors(checkWords(id, sink.events), checkCount(sink.events, 40))
		}
		e, _ := verdict.As(last)
		if e == nil || e.Code == verdict.CodeQuarantined {
			break
		}
		time.Sleep(e.RetryAfter)
	}
	return errors.Wrapf(last, "%s was not served", name)
}

func checkCount(events []upstream.Event, want int) error {
	if len(events) != want {
		return errors.Newf("%d of %d events", len(events), want)
	}
	return nil
}

// TestPoisonousRequestKillsAtMostTwoEngines lets a caller send a prompt that
// crashes engines once, and then again and again through all entries at once,
// with daemons that retry by themselves and with daemons that do not.
func TestPoisonousRequestKillsAtMostTwoEngines(t *testing.T) {
	for _, retryPercent := range []int{100, 0} {
		for _, engines := range []int{2, 3, 9} {
			synctest.Test(t, func(t *testing.T) { playPoison(t, retryPercent, engines) })
		}
	}
}

func playPoison(t *testing.T, retryPercent, engines int) {
	const daemons, rounds = 6, 5
	f := newPoisonFleet(t, daemons, engines, retryPercent)
	stop := make(chan struct{})
	innocent := make(chan error, daemons)
	for d := range daemons {
		go func() { innocent <- f.beside(d, stop) }()
	}
	time.Sleep(time.Second)
	assert.Check(t, f.sendPoison(0, "first") != nil)
	codes := map[verdict.Code]int{}
	for round := range rounds {
		for err := range f.sendToAll(round) {
			codes[codeOf(err)]++
			assert.Check(t, codeOf(err) != verdict.CodeQuarantined || verdict.Of(err) == verdict.NotRun || round == 0, "%v", err)
		}
	}
	close(stop)
	for range daemons {
		assert.Check(t, <-innocent)
	}
	f.engines.mu.Lock()
	crashes := f.engines.crashes
	f.engines.mu.Unlock()
	t.Logf("retry_percent %d, %d engines: lost %d, answers %v", retryPercent, engines, crashes, codes)
	assert.Check(t, crashes <= 2, "%d engines were lost", crashes)
	assert.Check(t, codes[verdict.CodeQuarantined] >= (rounds-1)*daemons)
	close(f.stop)
	<-f.stopped
	for _, d := range f.daemons {
		d.Close()
	}
}

// A prompt that ends the processes of engines, which accept connections for a
// moment longer: the first death counts though the first probe after it does
// not tell a dead engine from a bad connection.
func TestPoisonousRequestEndsProcesses(t *testing.T) {
	for _, retryPercent := range []int{100, 0} {
		synctest.Test(t, func(t *testing.T) {
			f := newPoisonFleet(t, 2, 4, retryPercent)
			f.engines.exits = true
			for i := range 4 {
				assert.Check(t, f.sendPoison(i%2, fmt.Sprint(i)) != nil)
			}
			f.engines.mu.Lock()
			crashes := f.engines.crashes
			f.engines.mu.Unlock()
			assert.Check(t, crashes <= 2, "%d engines were lost", crashes)
			close(f.stop)
			<-f.stopped
			for _, d := range f.daemons {
				d.Close()
			}
		})
	}
}

func codeOf(err error) verdict.Code {
	e, _ := verdict.As(err)
	if e == nil {
		return ""
	}
	return e.Code
}

// sendToAll sends the prompt through all daemons at once and yields the errors.
func (f *poisonFleet) sendToAll(round int) iter.Seq[error] {
	results := make(chan error, len(f.daemons))
	for d := range f.daemons {
		go func() { results <- f.sendPoison(d, fmt.Sprintf("again-%d-%d", round, d)) }()
	}
	return func(yield func(error) bool) {
		for range f.daemons {
			if !yield(<-results) {
				return
			}
		}
	}
}

// sendPoison sends the same prompt each time, under its own request id.
func (f *poisonFleet) sendPoison(d int, id string) error {
	req := f.request(id, 8)
	req.Messages[0].Content = testPoison
	return f.daemons[d].Generate(context.Background(), req, &rewinder{recorder{leaveAt: -1}})
}
