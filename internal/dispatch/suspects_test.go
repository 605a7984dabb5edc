package dispatch

import (
	"context"
	"fmt"
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

func newPoisonFleet(t testing.TB, daemons, engines int) *poisonFleet {
	doc, err := servicedoc.NewAccepted(1, []byte(testDocument))
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

// beside runs innocent requests through one daemon until stop is closed.
func (f *poisonFleet) beside(d int, stop <-chan struct{}) error {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		default:
		}
		id := fmt.Sprintf("innocent-%d-%d", d, n)
		sink := &rewinder{recorder{leaveAt: -1}}
		if err := f.daemons[d].Generate(context.Background(), f.request(id, 40), sink); err != nil {
			return errors.Wrap(err, id)
		}
		if err := checkWords(id, sink.events); err != nil || len(sink.events) != 40 {
			return errors.Newf("%s: %d events, %v", id, len(sink.events), err)
		}
	}
}

func TestPoisonousRequestKillsAtMostTwoEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, engines = 6, 9
		f := newPoisonFleet(t, daemons, engines)
		stop := make(chan struct{})
		innocent := make(chan error, daemons)
		for d := range daemons {
			go func() { innocent <- f.beside(d, stop) }()
		}
		time.Sleep(time.Second)
		first := f.sendPoison(0, "first")
		assert.Assert(t, first != nil)
		codes := map[verdict.Code]int{}
		for round := range 5 {
			results := make(chan error, daemons)
			for d := range daemons {
				go func() { results <- f.sendPoison(d, fmt.Sprintf("again-%d-%d", round, d)) }()
			}
			for range daemons {
				err := <-results
				e, ok := verdict.As(err)
				assert.Assert(t, ok, "%v", err)
				codes[e.Code]++
				if e.Code == verdict.CodeQuarantined {
					assert.Equal(t, e.Verdict, verdict.NotRun)
				}
			}
		}
		close(stop)
		for range daemons {
			assert.NilError(t, <-innocent)
		}
		f.engines.mu.Lock()
		crashes := f.engines.crashes
		f.engines.mu.Unlock()
		t.Logf("engines lost %d, answers %v", crashes, codes)
		assert.Assert(t, crashes <= 2, "%d engines were lost", crashes)
		assert.Equal(t, codes[verdict.CodeQuarantined], 5*daemons)
		close(f.stop)
		<-f.stopped
		for _, d := range f.daemons {
			d.Close()
		}
	})
}

// sendPoison sends the same prompt each time, under its own request id.
func (f *poisonFleet) sendPoison(d int, id string) error {
	req := f.request(id, 8)
	req.Messages[0].Content = testPoison
	return f.daemons[d].Generate(context.Background(), req, &rewinder{recorder{leaveAt: -1}})
}
