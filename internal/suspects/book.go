// Package suspects knows, over all daemons, the requests that may crash
// engines. Each death under a request is a fact of its own, so that daemons
// which learn of the same death at once never overwrite each other; facts
// spread by gossip and thus survive the loss of any one daemon. Quarantined
// requests are kept in the platform's table too. Claims are
// leases in the platform's table: what must not happen twice at once is agreed there.
package suspects

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/dispatch"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/lease"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// Life is how long a death is remembered.
	Life = time.Hour
	// quarantineDeaths is how many engines must have died under a request
	// before it is refused.
	quarantineDeaths = 2
	// maxDeaths bounds the deaths remembered; more are not recorded.
	maxDeaths = 16 << 10
	// claimDuration is how long a claim outlives its daemon.
	claimDuration = 6 * time.Second
	// claimBuckets bounds the rows of the claims on requests. Two requests in
	// one bucket run one after the other.
	claimBuckets = 256
	// digestBytes is how much of a digest identifies a request or a death.
	digestBytes    = 16
	waitRetryAfter = 2 * time.Second
)

// survived is the value of a death that no longer counts.
var survived = []byte{1}

// Book implements dispatch.Suspects.
type Book struct {
	name  string
	board gossip.Board
	table platform.Table
	log   *eventlog.Log
	// spacing is the least time between two deaths that count apart.
	spacing time.Duration

	count atomic.Int64 // of deaths; 0 spares every request the look-up
	mu    sync.Mutex
	// deaths holds when each death under a request is forgotten, by request.
	deaths map[string]map[string]time.Time
}

var _ dispatch.Suspects = (*Book)(nil)

// New returns a Book of the daemon with the given name. It hears what peers
// know. Engines that die within spacing of one another count as one death: a
// request did not crash one, fail, come again and crash the next so soon.
func New(name string, board gossip.Board, table platform.Table, log *eventlog.Log, spacing time.Duration) *Book {
	b := &Book{name: name, board: board, table: table, log: log, spacing: spacing, deaths: map[string]map[string]time.Time{}}
	board.Subscribe(gossip.KindSuspect, b.hear)
	return b
}

// Known reports whether any request is suspected.
func (b *Book) Known() bool { return b.count.Load() > 0 }

// Standing implements dispatch.Suspects.
func (b *Book) Standing(fp dispatch.Fingerprint) dispatch.Standing {
	if !b.Known() {
		return dispatch.Clear
	}
	request := digest(string(fp))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(request, time.Now())
	switch n := b.counted(request); {
	case n == 0:
		return dispatch.Clear
	case n < quarantineDeaths:
		return dispatch.Suspect
	default:
		return dispatch.Quarantined
	}
}

// Died implements dispatch.Suspects.
func (b *Book) Died(engine, incarnation string, running []dispatch.Fingerprint) {
	death := digest(engine + "\x00" + incarnation)
	for _, fp := range running {
		request := digest(string(fp))
		n := b.record(request, death, time.Now().Add(Life))
		if n == 0 {
			continue
		}
		b.board.Publish(gossip.Fact{Kind: gossip.KindSuspect, ID: request + "/" + death, TTL: Life})
		event := eventlog.SuspectRecorded
		if n >= quarantineDeaths {
			event = eventlog.RequestIsolated
			go b.keep(request)
		}
		service, _, _ := strings.Cut(string(fp), "/")
		b.log.Emit(event, eventlog.Fields{Service: service, Upstream: engine, Detail: "request " + request + ", " + strconv.Itoa(n) + " engine(s) died under it"})
	}
}

// Survived implements dispatch.Suspects.
func (b *Book) Survived(fp dispatch.Fingerprint) {
	if !b.Known() {
		return
	}
	request := digest(string(fp))
	b.mu.Lock()
	deaths := b.deaths[request]
	b.forget(request)
	b.mu.Unlock()
	for death := range deaths {
		b.board.Publish(gossip.Fact{Kind: gossip.KindSuspect, ID: request + "/" + death, TTL: Life, Value: survived})
	}
}

// Claim implements dispatch.Suspects. While the table is down, nobody gets a claim.
func (b *Book) Claim(ctx context.Context, name string) (release func(), err error) {
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	held := make(chan struct{})
	done := make(chan struct{})
	keeper := lease.NewKeeper(b.table, lease.Settings{Name: "suspect-" + bucketOf(name), Holder: b.name, Duration: claimDuration}, b.log)
	go func() {
		defer close(done)
		_ = keeper.Run(life, func(ctx context.Context, _ *lease.Held) {
			select {
			case held <- struct{}{}:
				<-ctx.Done()
			case <-ctx.Done():
			}
			stop() // a claim that was lost is not taken again
		})
	}()
	release = func() {
		stop()
		<-done
	}
	select {
	case <-held:
		return release, nil
	case <-done:
	case <-ctx.Done():
	}
	release()
	e := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the request ran at an engine that crashed and waits for its turn to run alone")
	e.RetryAfter = backoff.Jitter(2 * waitRetryAfter)
	return nil, e
}

// bucketOf bounds the names of claims on requests; engines are few.
func bucketOf(name string) string {
	kind, rest, _ := strings.Cut(name, "/")
	if kind != "request" {
		return kind + "-" + rest
	}
	sum := sha256.Sum256([]byte(rest))
	return kind + "-" + strconv.Itoa(int(sum[0])%claimBuckets)
}

// hear takes in a death that a peer knows of.
func (b *Book) hear(f gossip.Fact) {
	request, death, ok := strings.Cut(f.ID, "/")
	if !ok || len(request) != 2*digestBytes || len(death) != 2*digestBytes {
		return
	}
	if len(f.Value) > 0 {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.drop(request, death)
		return
	}
	b.record(request, death, time.Now().Add(min(f.TTL, Life)))
}

// record adds a death and returns how many the request has, 0 when it was
// known or there is no room.
func (b *Book) record(request, death string, until time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.expire(request, now)
	if b.count.Load() >= maxDeaths {
		b.expireAll(now)
	}
	if _, known := b.deaths[request][death]; known || b.count.Load() >= maxDeaths {
		return 0
	}
	if b.deaths[request] == nil {
		b.deaths[request] = map[string]time.Time{}
	}
	b.deaths[request][death] = until
	b.count.Add(1)
	return b.counted(request)
}

// counted returns how many deaths under a request count. The Book is locked.
func (b *Book) counted(request string) int {
	deaths := slices.SortedFunc(maps.Values(b.deaths[request]), time.Time.Compare)
	n := 0
	var last time.Time
	for _, until := range deaths { // each is Life after its death
		if n == 0 || until.Sub(last) >= b.spacing {
			n, last = n+1, until
		}
	}
	return n
}

func (b *Book) expireAll(now time.Time) {
	for request := range b.deaths {
		b.expire(request, now)
	}
}

func (b *Book) expire(request string, now time.Time) {
	for death, until := range b.deaths[request] {
		if now.After(until) {
			b.drop(request, death)
		}
	}
}

func (b *Book) drop(request, death string) {
	if _, ok := b.deaths[request][death]; !ok {
		return
	}
	delete(b.deaths[request], death)
	b.count.Add(-1)
	if len(b.deaths[request]) == 0 {
		delete(b.deaths, request)
	}
}

// forget drops all deaths of a request.
func (b *Book) forget(request string) {
	b.count.Add(int64(-len(b.deaths[request])))
	delete(b.deaths, request)
}

func digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:digestBytes])
}
