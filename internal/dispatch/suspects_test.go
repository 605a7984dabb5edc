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
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/suspects"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	testGossipDelay   = 400 * time.Millisecond
	testCrashInterval = 300 * time.Millisecond
)

// crashRecord holds the crashes reported by all daemons; each daemon sees those
// reported by others after testGossipDelay.
type crashRecord struct {
	mu      sync.Mutex
	crashes map[suspects.Fingerprint]map[string]time.Time
	claims  map[string]bool
}

// daemonView is one daemon's view of a crashRecord.
type daemonView struct {
	*crashRecord
	reported map[string]bool
}

func newCrashRecord() *crashRecord {
	return &crashRecord{crashes: map[suspects.Fingerprint]map[string]time.Time{}, claims: map[string]bool{}}
}

func (v *daemonView) Status(fp suspects.Fingerprint) suspects.Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	visible := 0
	for crash, at := range v.crashes[fp] {
		if v.reported[crash] || time.Since(at) >= testGossipDelay {
			visible++
		}
	}
	return suspects.Status(min(visible, int(suspects.Quarantined)))
}

func (v *daemonView) Claim(ctx context.Context, name string) (func(), error) {
	for !v.tryClaim(name) {
		if err := backoff.Sleep(ctx, 10*time.Millisecond); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeOverloaded, "suspected request is waiting")
		}
	}
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.claims, name)
	}, nil
}

func (v *daemonView) tryClaim(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.claims[name] {
		return false
	}
	v.claims[name] = true
	return true
}

func (v *daemonView) EngineCrashed(engine, id string, running []suspects.Fingerprint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	crash := engine + "#" + id
	v.reported[crash] = true
	for _, fp := range running {
		if v.crashes[fp] == nil {
			v.crashes[fp] = map[string]time.Time{}
		}
		if v.crashes[fp][crash].IsZero() {
			v.crashes[fp][crash] = time.Now()
		}
	}
}

func (v *daemonView) RequestCompleted(fp suspects.Fingerprint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.crashes, fp)
}

// rewindRecorder is the sink of a caller that sees nothing before the end.
type rewindRecorder struct{ recorder }

func (r *rewindRecorder) Rewind() { r.events = nil }

// delayedBus passes published facts to its peers after testGossipDelay.
type delayedBus struct {
	gossip.LocalBus
	peers       *[]*delayedBus
	subscribers map[gossip.Kind]func(gossip.Fact)
}

func (b *delayedBus) Subscribe(kind gossip.Kind, fn func(gossip.Fact)) { b.subscribers[kind] = fn }

func (b *delayedBus) Publish(f gossip.Fact) {
	f.TTL -= testGossipDelay
	for _, p := range *b.peers {
		if fn := p.subscribers[f.Kind]; fn != nil && p != b {
			time.AfterFunc(testGossipDelay, func() { fn(f) })
		}
	}
}

// poisonCluster is several daemons in front of the same engines.
type poisonCluster struct {
	*testCluster
	daemons []*Dispatcher
	// parts are the daemons' registries of prompt parts, which share a table.
	parts     []*suspects.Parts
	stopParts context.CancelFunc
	platform  *platformtest.Platform
}

func newPoisonCluster(t testing.TB, daemons, engines, retryPercent int) *poisonCluster {
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
	c := &poisonCluster{testCluster: &testCluster{engines: newFakeEngines(nil, addresses...), fleet: fleet.New(nil), document: doc, stop: make(chan struct{}), stopped: make(chan struct{})}, platform: platformtest.New()}
	c.fleet.ApplyInstanceList(list)
	shared := newCrashRecord()
	var peers []*delayedBus
	var ctx context.Context
	ctx, c.stopParts = context.WithCancel(context.Background())
	for i := range daemons {
		log := eventlog.New("d", hclog.NewNullLogger(), 16)
		bus := &delayedBus{peers: &peers, subscribers: map[gossip.Kind]func(gossip.Fact){}}
		peers = append(peers, bus)
		parts := suspects.NewParts(fmt.Sprint("d", i), bus, func() bool { return false }, c.platform.Client(), log, testCrashInterval)
		go func() { _ = parts.Run(ctx) }()
		c.parts = append(c.parts, parts)
		c.daemons = append(c.daemons, New(Config{
			Engines: c.engines, Fleet: c.fleet, Log: log, StreamIdleTimeout: testIdleTimeout,
			Suspects: &daemonView{crashRecord: shared, reported: map[string]bool{}}, PromptParts: parts,
		}))
	}
	c.refreshAll(addresses)
	go c.watchAll(addresses)
	return c
}

func (c *poisonCluster) refreshAll(addresses []string) {
	for _, a := range addresses {
		if s, err := c.engines.State(context.Background(), a); err == nil {
			c.fleet.ApplyEngineState(a, s, time.Now())
		}
	}
	for _, d := range c.daemons {
		d.SetFleet(c.fleet.Snapshot())
	}
	c.readPartRows()
}

// readPartRows lets all daemons read the table of quarantined prompt parts.
func (c *poisonCluster) readPartRows() {
	list, _ := c.platform.Client().List(context.Background(), "", "", 1000)
	rows := map[string]platform.Change{}
	for _, r := range list {
		rows[r.Key] = platform.Change{Key: r.Key, Value: r.Value, Version: r.Version}
	}
	for _, p := range c.parts {
		p.ApplyRows(rows, 0)
	}
}

// close stops the cluster's goroutines.
func (c *poisonCluster) close() {
	close(c.stop)
	<-c.stopped
	for _, d := range c.daemons {
		d.Close()
	}
	c.stopParts()
	synctest.Wait()
}

// crashes returns the number of engine crashes.
func (c *poisonCluster) crashes() int {
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	return c.engines.crashes
}

func (c *poisonCluster) watchAll(addresses []string) {
	defer close(c.stopped)
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(100 * time.Millisecond):
			c.refreshAll(addresses)
		}
	}
}

// sendHarmlessRequests sends harmless requests through one daemon until stop is
// closed. The caller retries a request that fails.
func (c *poisonCluster) sendHarmlessRequests(daemon int, stop <-chan struct{}) error {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		default:
		}
		if err := c.sendHarmless(daemon, fmt.Sprintf("innocent-%d-%d", daemon, n)); err != nil {
			return err
		}
	}
}

func (c *poisonCluster) sendHarmless(daemon int, name string) error {
	const sends = 20
	var lastErr error
	for send := range sends {
		id := fmt.Sprintf("%s-%d", name, send)
		req := c.request(id, 40)
		req.Messages[0].Content = name
		sink := &rewindRecorder{recorder{disconnectAt: -1}}
		lastErr = c.daemons[(daemon+send)%len(c.daemons)].Generate(context.Background(), req, sink)
		if lastErr == nil {
			return errors.CombineErrors(checkEvents(id, sink.events), checkCount(sink.events, 40))
		}
		e, _ := verdict.As(lastErr)
		if e == nil || e.Code == verdict.CodeQuarantined {
			break
		}
		time.Sleep(e.RetryAfter)
	}
	return errors.Wrapf(lastErr, "harmless request %s failed", name)
}

func checkCount(events []upstream.Event, want int) error {
	if len(events) != want {
		return errors.Newf("%d of %d events", len(events), want)
	}
	return nil
}

// TestPoisonRequestCrashesAtMostTwoEngines sends a prompt that crashes engines
// once, and then repeatedly through all entries at the same time, with daemons
// that retry and with daemons that do not.
func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	for _, retryPercent := range []int{100, 0} {
		for _, engines := range []int{2, 3, 9} {
			synctest.Test(t, func(t *testing.T) { runPoison(t, retryPercent, engines) })
		}
	}
}

func runPoison(t *testing.T, retryPercent, engines int) {
	const daemons, rounds = 6, 5
	c := newPoisonCluster(t, daemons, engines, retryPercent)
	stop := make(chan struct{})
	harmlessResults := make(chan error, daemons)
	for d := range daemons {
		go func() { harmlessResults <- c.sendHarmlessRequests(d, stop) }()
	}
	time.Sleep(time.Second)
	assert.Check(t, c.sendPoison(0, "first") != nil)
	codes := map[verdict.Code]int{}
	for round := range rounds {
		for err := range c.sendToAll(round) {
			codes[codeOf(err)]++
			assert.Check(t, codeOf(err) != verdict.CodeQuarantined || verdict.Of(err) == verdict.NotRun || round == 0, "%v", err)
		}
	}
	close(stop)
	for range daemons {
		assert.Check(t, <-harmlessResults)
	}
	crashes := c.crashes()
	t.Logf("retry_percent %d, %d engines: %d crashed, error codes %v", retryPercent, engines, crashes, codes)
	assert.Check(t, crashes <= 2, "%d engines crashed", crashes)
	assert.Check(t, codes[verdict.CodeQuarantined] >= (rounds-1)*daemons)
	c.close()
}

// TestPoisonRequestEndsProcesses sends a prompt that ends engine processes, whose
// sockets still accept connections for a moment. The first crash must count,
// although the first probe after it can't tell a dead engine from a broken
// connection.
func TestPoisonRequestEndsProcesses(t *testing.T) {
	for _, retryPercent := range []int{100, 0} {
		synctest.Test(t, func(t *testing.T) {
			c := newPoisonCluster(t, 2, 4, retryPercent)
			c.engines.crashEndsProcess = true
			for i := range 4 {
				assert.Check(t, c.sendPoison(i%2, fmt.Sprint(i)) != nil)
			}
			crashes := c.crashes()
			assert.Check(t, crashes <= 2, "%d engines crashed", crashes)
			c.close()
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

// sendToAll sends the prompt through all daemons concurrently and yields the
// errors.
func (c *poisonCluster) sendToAll(round int) iter.Seq[error] {
	results := make(chan error, len(c.daemons))
	for d := range c.daemons {
		go func() { results <- c.sendPoison(d, fmt.Sprintf("again-%d-%d", round, d)) }()
	}
	return func(yield func(error) bool) {
		for range c.daemons {
			if !yield(<-results) {
				return
			}
		}
	}
}

// sendPoison sends the poison prompt through one daemon under the given request
// id.
func (c *poisonCluster) sendPoison(d int, id string) error {
	req := c.request(id, 8)
	req.Messages[0].Content = testPoisonPrompt
	return c.daemons[d].Generate(context.Background(), req, &rewindRecorder{recorder{disconnectAt: -1}})
}
