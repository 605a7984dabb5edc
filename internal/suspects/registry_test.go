package suspects

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/testseed"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// connectedBus passes published facts to its peers immediately, without those that a
// gossip.Node drops: equal ones that are still valid for more than half of their TTL.
type connectedBus struct {
	gossip.LocalBus
	peers       *[]*connectedBus
	subscribers []func(gossip.Fact)

	mu    sync.Mutex
	known map[string]knownFact
}

type knownFact struct {
	value   string
	expires time.Time
}

// learn records a fact. It reports whether an equal one is known and fresh.
func (b *connectedBus) learn(f gossip.Fact) (fresh bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := fmt.Sprint(f.Kind, "/", f.ID)
	old, ok := b.known[key]
	fresh = ok && old.value == string(f.Value) && time.Until(old.expires) > f.TTL/2
	if b.known == nil {
		b.known = map[string]knownFact{}
	}
	if !fresh {
		b.known[key] = knownFact{string(f.Value), time.Now().Add(f.TTL)}
	}
	return fresh
}

func (b *connectedBus) Subscribe(_ gossip.Kind, fn func(gossip.Fact)) {
	b.subscribers = append(b.subscribers, fn)
}

func (b *connectedBus) Publish(f gossip.Fact) {
	if b.learn(f) {
		return
	}
	for _, p := range *b.peers {
		if p == b {
			continue
		}
		p.learn(f)
		for _, fn := range p.subscribers {
			fn(f)
		}
	}
}

func newRegistries(n int) (*platformtest.Platform, []*platformtest.Client, []*Registry) {
	p := platformtest.New()
	log := eventlog.New("d", hclog.NewNullLogger(), 16)
	var peers []*connectedBus
	var registries []*Registry
	var clients []*platformtest.Client
	for i := range n {
		bus := &connectedBus{peers: &peers}
		peers = append(peers, bus)
		clients = append(clients, p.Client())
		registries = append(registries, New(fmt.Sprintf("d%d", i), bus, clients[i], log, 0))
	}
	return p, clients, registries
}

// TestStatusFollowsCrashes compares each daemon's status of a request with the
// number of distinct crashes.
func TestStatusFollowsCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		_, _, registries := newRegistries(3)
		crashes := map[Fingerprint]map[string]bool{}
		rt.Repeat(map[string]func(*rapid.T){
			"engine crashed": func(rt *rapid.T) {
				fp := Fingerprint(rapid.SampledFrom([]string{"s/a/1", "s/a/2"}).Draw(rt, "request"))
				incarnation := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "incarnation")
				registries[rapid.IntRange(0, 2).Draw(rt, "daemon")].EngineCrashed("engine", incarnation, []Fingerprint{fp})
				if crashes[fp] == nil {
					crashes[fp] = map[string]bool{}
				}
				crashes[fp][incarnation] = true
			},
			"request completed": func(rt *rapid.T) {
				fp := Fingerprint(rapid.SampledFrom([]string{"s/a/1", "s/a/2"}).Draw(rt, "request"))
				registries[rapid.IntRange(0, 2).Draw(rt, "daemon")].RequestCompleted(fp)
				delete(crashes, fp)
			},
			"": func(rt *rapid.T) {
				for _, registry := range registries {
					for _, fp := range []Fingerprint{"s/a/1", "s/a/2"} {
						assert.Equal(rt, registry.Status(fp), Status(min(len(crashes[fp]), 2)))
					}
				}
			},
		})
	})
}

// TestClaimIsExclusive lets daemons claim one name while requests to the table and
// its responses are lost.
func TestClaimIsExclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, clients, registries := newRegistries(4)
		for i, c := range clients {
			c.QueueFaults(platformtest.Fault(i%4), platformtest.LoseResponse, platformtest.LoseRequest)
		}
		var mu sync.Mutex
		holders, maxHolders, total := 0, 0, 0
		var group sync.WaitGroup
		for _, b := range registries {
			group.Go(func() {
				release, err := b.Claim(context.Background(), "request/s/a/1")
				assert.Check(t, err)
				mu.Lock()
				holders++
				total++
				maxHolders = max(maxHolders, holders)
				mu.Unlock()
				time.Sleep(20 * time.Second)
				mu.Lock()
				holders--
				mu.Unlock()
				release()
			})
		}
		group.Wait()
		assert.Equal(t, maxHolders, 1)
		assert.Equal(t, total, len(registries))
	})
}

func TestClaimWithoutTableIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, clients, registries := newRegistries(1)
		clients[0].SetDown(true, true)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := registries[0].Claim(ctx, "request/s/a/1")
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
	})
}

func TestCrashesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, registries := newRegistries(2)
		registries[0].EngineCrashed("engine", "x", []Fingerprint{"s/a/1"})
		assert.Equal(t, registries[1].Status("s/a/1"), Suspected)
		time.Sleep(CrashTTL + time.Second)
		assert.Equal(t, registries[1].Status("s/a/1"), NotSuspected)
		assert.Equal(t, registries[1].crashCount.Load(), int64(0))
	})
}

// TestQuarantineSurvivesAllDaemons checks that a daemon without peers reads
// quarantined requests from the table and deletes expired rows.
func TestQuarantineSurvivesAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, clients, registries := newRegistries(1)
		clients[0].QueueFaults(platformtest.LoseRequest, platformtest.LoseResponse)
		registries[0].EngineCrashed("engine", "x", []Fingerprint{"s/a/1", "s/a/2"})
		registries[0].EngineCrashed("engine", "y", []Fingerprint{"s/a/1"})
		time.Sleep(writeTimeout)
		lateRegistry := New("late", &connectedBus{peers: &[]*connectedBus{}}, p.Client(), eventlog.New("d", hclog.NewNullLogger(), 16), 0)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- lateRegistry.Run(ctx) }()
		synctest.Wait()
		assert.Equal(t, lateRegistry.Status("s/a/1"), Quarantined)
		assert.Equal(t, lateRegistry.Status("s/a/2"), NotSuspected)
		time.Sleep(2 * (CrashTTL + readInterval))
		assert.Equal(t, lateRegistry.Status("s/a/1"), NotSuspected)
		assert.Equal(t, p.CountRows(RowPrefix), 0)
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}

// TestSimultaneousCrashesCountOnce checks that engines that crash at about the same
// time, which a single request can't cause, count as one crash, and that a later
// crash counts separately.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const minCrashInterval = 300 * time.Millisecond
		p := platformtest.New()
		registry := New("d", &connectedBus{peers: &[]*connectedBus{}}, p.Client(), eventlog.New("d", hclog.NewNullLogger(), 16), minCrashInterval)
		for _, engine := range []string{"x", "y", "z"} {
			registry.EngineCrashed(engine, "1", []Fingerprint{"s/a/1"})
			time.Sleep(minCrashInterval / 4)
		}
		assert.Equal(t, registry.Status("s/a/1"), Suspected)
		time.Sleep(minCrashInterval)
		registry.EngineCrashed("w", "1", []Fingerprint{"s/a/1"})
		assert.Equal(t, registry.Status("s/a/1"), Quarantined)
		time.Sleep(writeTimeout)
	})
}
