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

	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
	"github.com/verbenabend/verbenabend/internal/testseed"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// boards pass facts to each other at once.
type boards struct {
	gossip.Solo
	peers *[]*boards
	heard []func(gossip.Fact)
}

func (b *boards) Subscribe(_ gossip.Kind, fn func(gossip.Fact)) { b.heard = append(b.heard, fn) }

func (b *boards) Publish(f gossip.Fact) {
	for _, p := range *b.peers {
		if p == b {
			continue
		}
		for _, fn := range p.heard {
			fn(f)
		}
	}
}

func newBooks(n int) (*platformtest.Platform, []*platformtest.Client, []*Book) {
	p := platformtest.New()
	log := eventlog.New("d", hclog.NewNullLogger(), 16)
	var peers []*boards
	var books []*Book
	var clients []*platformtest.Client
	for i := range n {
		board := &boards{peers: &peers}
		peers = append(peers, board)
		clients = append(clients, p.Client())
		books = append(books, New(fmt.Sprintf("d%d", i), board, clients[i], log, 0))
	}
	return p, clients, books
}

// TestStandingFollowsDeaths compares the books with a count of distinct deaths.
func TestStandingFollowsDeaths(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		_, _, books := newBooks(3)
		deaths := map[dispatch.Fingerprint]map[string]bool{}
		rt.Repeat(map[string]func(*rapid.T){
			"died": func(rt *rapid.T) {
				fp := dispatch.Fingerprint(rapid.SampledFrom([]string{"s/a/1", "s/a/2"}).Draw(rt, "request"))
				life := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "life")
				books[rapid.IntRange(0, 2).Draw(rt, "daemon")].Died("engine", life, []dispatch.Fingerprint{fp})
				if deaths[fp] == nil {
					deaths[fp] = map[string]bool{}
				}
				deaths[fp][life] = true
			},
			"survived": func(rt *rapid.T) {
				fp := dispatch.Fingerprint(rapid.SampledFrom([]string{"s/a/1", "s/a/2"}).Draw(rt, "request"))
				books[rapid.IntRange(0, 2).Draw(rt, "daemon")].Survived(fp)
				delete(deaths, fp)
			},
			"": func(rt *rapid.T) {
				for _, b := range books {
					for _, fp := range []dispatch.Fingerprint{"s/a/1", "s/a/2"} {
						assert.Equal(rt, b.Standing(fp), dispatch.Standing(min(len(deaths[fp]), 2)))
					}
				}
			},
		})
	})
}

// TestClaimIsExclusive lets daemons claim one name while answers of the table are lost.
func TestClaimIsExclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, clients, books := newBooks(4)
		for i, c := range clients {
			c.Plan(platformtest.Fault(i%4), platformtest.LoseAnswer, platformtest.LoseRequest)
		}
		var mu sync.Mutex
		holders, most, total := 0, 0, 0
		var group sync.WaitGroup
		for _, b := range books {
			group.Go(func() {
				release, err := b.Claim(context.Background(), "request/s/a/1")
				assert.Check(t, err)
				mu.Lock()
				holders++
				total++
				most = max(most, holders)
				mu.Unlock()
				time.Sleep(20 * time.Second)
				mu.Lock()
				holders--
				mu.Unlock()
				release()
			})
		}
		group.Wait()
		assert.Equal(t, most, 1)
		assert.Equal(t, total, len(books))
	})
}

func TestClaimWithoutTableIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, clients, books := newBooks(1)
		clients[0].SetDown(true, true)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := books[0].Claim(ctx, "request/s/a/1")
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
	})
}

func TestDeathsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, books := newBooks(2)
		books[0].Died("engine", "x", []dispatch.Fingerprint{"s/a/1"})
		assert.Equal(t, books[1].Standing("s/a/1"), dispatch.Suspect)
		time.Sleep(Life + time.Second)
		assert.Equal(t, books[1].Standing("s/a/1"), dispatch.Clear)
		assert.Equal(t, books[1].count.Load(), int64(0))
	})
}

// TestQuarantineSurvivesAllDaemons reads the table with a daemon that has no peers.
func TestQuarantineSurvivesAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, clients, books := newBooks(1)
		clients[0].Plan(platformtest.LoseRequest, platformtest.LoseAnswer)
		books[0].Died("engine", "x", []dispatch.Fingerprint{"s/a/1", "s/a/2"})
		books[0].Died("engine", "y", []dispatch.Fingerprint{"s/a/1"})
		time.Sleep(writeTimeout)
		late := New("late", &boards{peers: &[]*boards{}}, p.Client(), eventlog.New("d", hclog.NewNullLogger(), 16), 0)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- late.Run(ctx) }()
		synctest.Wait()
		assert.Equal(t, late.Standing("s/a/1"), dispatch.Quarantined)
		assert.Equal(t, late.Standing("s/a/2"), dispatch.Clear)
		time.Sleep(2 * (Life + readInterval))
		assert.Equal(t, late.Standing("s/a/1"), dispatch.Clear)
		assert.Equal(t, p.Rows(rowPrefix), 0)
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}

// Engines that die at one moment have another cause than one request, unless
// more die when it comes again.
func TestDeathsAtOneMomentCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const spacing = 300 * time.Millisecond
		p := platformtest.New()
		b := New("d", &boards{peers: &[]*boards{}}, p.Client(), eventlog.New("d", hclog.NewNullLogger(), 16), spacing)
		for _, engine := range []string{"x", "y", "z"} {
			b.Died(engine, "1", []dispatch.Fingerprint{"s/a/1"})
			time.Sleep(spacing / 4)
		}
		assert.Equal(t, b.Standing("s/a/1"), dispatch.Suspect)
		time.Sleep(spacing)
		b.Died("w", "1", []dispatch.Fingerprint{"s/a/1"})
		assert.Equal(t, b.Standing("s/a/1"), dispatch.Quarantined)
		time.Sleep(writeTimeout)
	})
}
