// Package suspects tracks, across all daemons, the requests that may crash
// engines. Each crash during a request is a gossip fact of its own, so that
// daemons that report crashes concurrently don't overwrite each other's facts,
// and the facts survive the loss of any one daemon. The crashes of quarantined
// requests are also stored in the platform's table, which daemons read now and then or
// follow. Before a suspected request
// runs, it claims its fingerprint and its engine; claims are leases in that table,
// which guarantees their mutual exclusion.
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
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
	"github.com/verbenabend/verbenabend/internal/lease"
	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// CrashTTL is how long a crash is remembered.
	CrashTTL = time.Hour
	// quarantineCrashes is the number of engine crashes after which a request is
	// quarantined.
	quarantineCrashes = 2
	// maxCrashes bounds the recorded crashes of all requests; further ones are
	// ignored.
	maxCrashes = 16 << 10
	// claimLeaseDuration is how long a claim outlives a daemon that fails.
	claimLeaseDuration = 6 * time.Second
	// claimBuckets bounds the table rows of claims on requests. Requests in the
	// same bucket exclude each other.
	claimBuckets = 256
	// digestBytes is the length of the truncated digests that identify requests
	// and crashes.
	digestBytes = 16
	// minClaimRetryAfter is the minimum retry delay suggested to callers after a
	// failed claim.
	minClaimRetryAfter = 2 * time.Second
)

// revokedValue is the value of a fact that revokes a crash.
var revokedValue = []byte{1}

// Fingerprint identifies a request's service, organisation and prompt. It begins with
// the name of the service and a slash.
type Fingerprint string

// Status tells whether a request is suspected of crashing engines.
type Status int8

const (
	// NotSuspected requests run without restrictions.
	NotSuspected Status = iota
	// Suspected requests were running at an engine that crashed. Requests with
	// the same fingerprint run one at a time, and an engine runs only one
	// suspected request at a time.
	Suspected
	// Quarantined requests are refused.
	Quarantined
)

// Registry records engine crashes by request and shares them with all daemons.
type Registry struct {
	daemonName string
	bus        gossip.Bus
	table      platform.Table
	log        *eventlog.Log
	// minCrashInterval is the minimum time between crashes that count separately.
	minCrashInterval time.Duration

	// isAlone reports whether facts reach no other daemon; nil unless the rows are followed.
	isAlone func() bool

	crashCount atomic.Int64 // if 0, requests need no look-up
	mu         sync.Mutex
	// crashes are keyed by the digests of request and crash.
	crashes map[string]map[string]crash
	// rows holds the expiry of the crashes of the rows that were applied last, revoked that of
	// crashes that were revoked, both by the keys of rows.
	rows    map[string]time.Time
	revoked map[string]time.Time
	// era is the store's era of the rows.
	era uint64
}

// crash is an engine crash while a request ran.
type crash struct {
	expiry time.Time
	// fromRow is set if the crash is known from its row only.
	fromRow bool
}

// New returns the registry of the daemon with the given name and subscribes it to
// the crashes that peers publish. Engine crashes less than minCrashInterval apart
// count as one, since a request can't have crashed an engine, failed, been retried
// and crashed the next one in that time.
func New(daemonName string, bus gossip.Bus, table platform.Table, log *eventlog.Log, minCrashInterval time.Duration) *Registry {
	r := &Registry{daemonName: daemonName, bus: bus, table: table, log: log, minCrashInterval: minCrashInterval, crashes: map[string]map[string]crash{}, rows: map[string]time.Time{}, revoked: map[string]time.Time{}}
	bus.Subscribe(gossip.KindSuspect, r.receiveFact)
	platform.ErasOf(table).OnRestore(func(uint64) { r.persistLost() })
	return r
}

// Known reports whether any request is suspected.
func (r *Registry) Known() bool { return r.crashCount.Load() > 0 }

// Status returns whether a request is suspected or quarantined.
func (r *Registry) Status(fp Fingerprint) Status {
	if !r.Known() {
		return NotSuspected
	}
	request := digest(string(fp))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(request, time.Now())
	switch n := r.countSpaced(request); {
	case n == 0:
		return NotSuspected
	case n < quarantineCrashes:
		return Suspected
	default:
		return Quarantined
	}
}

// EngineCrashed is EngineCrashedAt for a crash that was found at once.
func (r *Registry) EngineCrashed(engine, incarnation string, running []Fingerprint) {
	r.EngineCrashedAt(engine, incarnation, time.Now(), running)
}

// EngineCrashedAt records an engine crash for the requests that the engine was running and
// publishes it to peers. The crashes of requests that it quarantines are stored, and those of all
// if this daemon is alone.
func (r *Registry) EngineCrashedAt(engine, incarnation string, at time.Time, running []Fingerprint) {
	alone := r.isAlone != nil && r.isAlone()
	crash := digest(engine + "\x00" + incarnation)
	var store []string
	for _, fp := range running {
		request := digest(string(fp))
		n := r.record(request, crash, at.Add(CrashTTL), false)
		if n == 0 {
			continue
		}
		r.bus.Publish(gossip.Fact{Kind: gossip.KindSuspect, ID: request + "/" + crash, TTL: CrashTTL - time.Since(at)})
		event := eventlog.SuspectRecorded
		if n >= quarantineCrashes {
			event = eventlog.RequestQuarantined
		}
		if n >= quarantineCrashes || alone {
			store = append(store, request)
		}
		service, _, _ := strings.Cut(string(fp), "/")
		r.log.Emit(event, eventlog.Fields{Service: service, Upstream: engine, Detail: "request " + request + ", " + strconv.Itoa(n) + " engine(s) crashed while running it"})
	}
	if len(store) > 0 {
		go r.persist(store)
	}
}

// RequestCompleted removes a request's crashes here, at peers and in a followed table.
func (r *Registry) RequestCompleted(fp Fingerprint) {
	if !r.Known() {
		return
	}
	request := digest(string(fp))
	r.mu.Lock()
	crashes := r.crashes[request]
	r.removeRequest(request)
	var rows []string
	for crash := range crashes {
		if r.revoke(request, crash) {
			rows = append(rows, rowKey(request, crash))
		}
	}
	r.mu.Unlock()
	if len(rows) > 0 {
		go r.deleteRows(rows)
	}
	for crash := range crashes {
		r.bus.Publish(gossip.Fact{Kind: gossip.KindSuspect, ID: request + "/" + crash, TTL: CrashTTL, Value: revokedValue})
	}
}

// Claim acquires an exclusive claim as a lease in the table, waiting until ctx
// ends. While the table is unavailable, no claim can be acquired.
func (r *Registry) Claim(ctx context.Context, name string) (release func(), err error) {
	leaseCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	acquired := make(chan struct{})
	done := make(chan struct{})
	keeper := lease.NewKeeper(r.table, lease.Settings{Name: "suspect-" + claimBucket(name), Holder: r.daemonName, Duration: claimLeaseDuration}, r.log)
	go func() {
		defer close(done)
		_ = keeper.Run(leaseCtx, func(ctx context.Context, _ *lease.Lease) {
			select {
			case acquired <- struct{}{}:
				<-ctx.Done()
			case <-ctx.Done():
			}
			stop() // a lost claim is not acquired again
		})
	}()
	release = func() {
		stop()
		<-done
	}
	select {
	case <-acquired:
		return release, nil
	case <-done:
	case <-ctx.Done():
	}
	release()
	e := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the request is suspected of crashing an engine and could not be run in isolation in time")
	e.RetryAfter = backoff.Jitter(2 * minClaimRetryAfter)
	return nil, e
}

// claimBucket returns the lease name of a claim. It hashes requests into
// claimBuckets names; engines are few and keep their own.
func claimBucket(name string) string {
	kind, rest, _ := strings.Cut(name, "/")
	if kind != "request" {
		return kind + "-" + rest
	}
	sum := sha256.Sum256([]byte(rest))
	return kind + "-" + strconv.Itoa(int(sum[0])%claimBuckets)
}

// receiveFact applies a crash, or its revocation, received from a peer. Invalid
// facts are ignored.
func (r *Registry) receiveFact(f gossip.Fact) {
	request, crash, ok := strings.Cut(f.ID, "/")
	if !ok || !isCrashID(request, crash) {
		return
	}
	if len(f.Value) > 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.remove(request, crash)
		r.revoke(request, crash)
		return
	}
	r.record(request, crash, time.Now().Add(min(f.TTL, CrashTTL)), false)
}

// record adds a crash and returns how many of the request's crashes count. It
// returns 0 if the crash is already known or maxCrashes is reached.
func (r *Registry) record(request, id string, expiry time.Time, fromRow bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.expire(request, now)
	if r.crashCount.Load() >= maxCrashes {
		r.expireAll(now)
	}
	c, known := r.crashes[request][id]
	if known && c.fromRow && !fromRow {
		c.fromRow = false
		r.crashes[request][id] = c
	}
	if known || r.crashCount.Load() >= maxCrashes {
		return 0
	}
	if r.crashes[request] == nil {
		r.crashes[request] = map[string]crash{}
	}
	r.crashes[request][id] = crash{expiry, fromRow}
	r.crashCount.Add(1)
	return r.countSpaced(request)
}

// countSpaced returns how many of a request's crashes count: those at least
// minCrashInterval after the previous one that counts. The caller holds r.mu.
func (r *Registry) countSpaced(request string) int {
	crashes := slices.SortedFunc(maps.Values(r.crashes[request]), func(a, b crash) int { return a.expiry.Compare(b.expiry) })
	n := 0
	var last time.Time
	for _, c := range crashes { // each expires CrashTTL after it happened
		if n == 0 || c.expiry.Sub(last) >= r.minCrashInterval {
			n, last = n+1, c.expiry
		}
	}
	return n
}

func (r *Registry) expireAll(now time.Time) {
	for request := range r.crashes {
		r.expire(request, now)
	}
}

func (r *Registry) expire(request string, now time.Time) {
	for id, c := range r.crashes[request] {
		if now.After(c.expiry) {
			r.remove(request, id)
		}
	}
}

func (r *Registry) remove(request, crash string) {
	if _, ok := r.crashes[request][crash]; !ok {
		return
	}
	delete(r.crashes[request], crash)
	r.crashCount.Add(-1)
	if len(r.crashes[request]) == 0 {
		delete(r.crashes, request)
	}
}

// removeRequest removes all crashes of a request.
func (r *Registry) removeRequest(request string) {
	r.crashCount.Add(int64(-len(r.crashes[request])))
	delete(r.crashes, request)
}

// isCrashID reports whether the parts of a crash's ID are digests.
func isCrashID(request, crash string) bool {
	return len(request) == 2*digestBytes && len(crash) == 2*digestBytes
}

func digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:digestBytes])
}
