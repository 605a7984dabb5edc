package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/descriptor"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/routetable"
)

const (
	// silenceThreshold is how long an upstream with requests may send no byte
	// on any connection before it is probed. One chunk of prefill keeps an
	// engine silent for about 0.2 s.
	silenceThreshold = 350 * time.Millisecond
	// livenessInterval is the poll interval.
	livenessInterval = 50 * time.Millisecond
	// probeTimeout limits one connection attempt; an upstream is down after
	// probeAttempts failures in a row.
	probeTimeout  = 200 * time.Millisecond
	probeAttempts = 2
	// A timeout says nothing of the upstream if this process itself was late by more
	// than 1/maxLatenessDivisor of it meanwhile. The attempt is then repeated with
	// twice the timeout, up to maxProbeTimeout, of which half may be lateness.
	maxLatenessDivisor = 4
	maxProbeTimeout    = 8 * probeTimeout
	latePollsKept      = 2 * maxProbeTimeout
	// silenceProbeInterval is the minimum interval between probes of a silent
	// upstream.
	silenceProbeInterval = 700 * time.Millisecond
	// downProbeInterval is the interval between probes of an upstream that is
	// down.
	downProbeInterval = 300 * time.Millisecond
	// exitTime is how long a process that ends may go on listening after its
	// connections have ended.
	exitTime = 100 * time.Millisecond
)

// Liveness detects upstreams that stopped responding without closing
// connections: open connections carry no data and connection attempts time out.
// It is safe for concurrent use.
type Liveness struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// onChange is called when an upstream goes down or recovers.
	onChange func(id string, down bool)
	// onCrash is called when a process of an upstream has ended, with the requests whose
	// connections it broke; may be nil.
	onCrash func(service, id, process string, requests []RunningRequest)
	// onLostCrash is called when an upstream that stopped responding has another process, with
	// the requests that it ran and about when it stopped; may be nil.
	onLostCrash func(id, process string, at time.Time, requests []RunningRequest)
	// newTimer is time.NewTimer.
	newTimer func(time.Duration) *time.Timer
	// usableUntil is Config.UsableUntil.
	usableUntil func(id string) (until time.Time, ok bool)
	// table is Config.Table.
	table func() *routetable.Table
	// wake holds a token while a probe is due at once.
	wake chan struct{}
	log  *eventlog.Log

	mu        sync.Mutex
	upstreams map[string]*upstreamHealth
	// lost holds the requests of processes that stopped responding, by process.
	lost map[lostProcess]*lostRequests
	// pollDueAt is when the next poll is due; latePolls are those of the last
	// latePollsKept that were too late for a timeout to count.
	pollDueAt time.Time
	latePolls []latePoll
}

// latePoll is a poll that began later than it was due.
type latePoll struct {
	at       time.Time
	lateness time.Duration
}

// upstreamHealth is the health state of one upstream.
type upstreamHealth struct {
	address string
	service string
	// lastByteAt is when the last byte arrived; busySince is when a request was
	// last sent while no other was running.
	lastByteAt, busySince time.Time
	down                  bool
	probing               bool
	// requests are those in flight.
	requests map[*transfer]*requestInFlight
	// probeRequested is set when a peer reported the upstream unresponsive, or
	// when it broke a request's connection. It applies from probeNotBefore on.
	probeRequested bool
	probeNotBefore time.Time
	// process is the one that requests were last sent to; broken are the requests whose
	// connections the upstream broke since the last probe.
	process string
	broken  []brokenRequest
	// endings are when the process was found ended. It was started again each time, as far as
	// requests were accepted later; its registration may not be known yet.
	endings     []time.Time
	lastProbeAt time.Time // when the last probe ended
}

// brokenRequest is a request whose connection a process of an upstream broke.
type brokenRequest struct {
	RunningRequest
	process string
	// crashed receives whether the first probe finds that the process has ended;
	// nil once it has.
	crashed chan<- bool
	// settledAt is when a probe that is accepted rules a crash out; survived, if not nil,
	// is then called.
	settledAt time.Time
	survived  func()
}

// NewLiveness returns a Liveness that probes with dial. onChange is called
// when an upstream goes down or recovers.
func NewLiveness(dial func(ctx context.Context, network, address string) (net.Conn, error), onChange func(id string, down bool), log *eventlog.Log) *Liveness {
	return &Liveness{dial: dial, onChange: onChange, newTimer: time.NewTimer, usableUntil: noLimit, table: noTable, log: log, wake: make(chan struct{}, 1), upstreams: map[string]*upstreamHealth{}, lost: map[lostProcess]*lostRequests{}}
}

// Down reports whether an upstream is down.
func (l *Liveness) Down(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.upstreams[id]
	return h != nil && h.down
}

// errUpstreamUnresponsive is the cancellation cause of requests at an upstream
// that went down.
var errUpstreamUnresponsive = errors.New("the upstream stopped responding")

// track registers a request that is about to be sent. When the upstream goes
// down, cancel is called with errUpstreamUnresponsive; when it may not begin the request any
// longer before a byte of the response has arrived, with the cause of a withdrawal. recordByte
// must be called for received data and untrack at the end of the request.
func (l *Liveness) track(u *fleet.Registration, t *transfer, cancel context.CancelCauseFunc) (recordByte, untrack func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.health(u)
	if process := u.Process(); process != h.process {
		h.process, h.endings = process, nil
	}
	if len(h.requests) == 0 {
		h.busySince = time.Now()
	}
	r := &requestInFlight{cancel: cancel, deadline: t.upstreamDeadline}
	h.requests[t] = r
	recordByte = func() {
		l.mu.Lock()
		h.lastByteAt, r.answered = time.Now(), true
		l.mu.Unlock()
	}
	untrack = func() {
		l.mu.Lock()
		delete(h.requests, t)
		l.mu.Unlock()
	}
	return recordByte, untrack
}

// RequestProbe probes an upstream after a random delay of less than spread, as when
// a peer found it down. If all daemons probed at once, the upstream's queue of new
// connections would overflow, and each would find it down.
func (l *Liveness) RequestProbe(u *fleet.Registration, spread time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health(u).requestProbe(time.Now().Add(rand.N(max(1, spread))))
}

// requestProbe requests a probe from a time on, unless one is requested already. l.mu must
// be held.
func (h *upstreamHealth) requestProbe(notBefore time.Time) {
	if !h.probeRequested {
		h.probeRequested, h.probeNotBefore = true, notBefore
	}
}

// recordBrokenConnection records that a process of an upstream broke the connection of a
// request, and requests a probe. The returned channel receives whether the process has
// ended; it is nil if that won't be known. survived, if not nil, is
// called once a crash is ruled out; its request looks complete and waits for nothing, so
// that requests share probes, one per poll at most.
func (l *Liveness) recordBrokenConnection(id, process string, r RunningRequest, survived func()) <-chan bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.upstreams[id]
	if h == nil {
		return nil
	}
	crashed := make(chan bool, 1)
	settledAt := time.Now().Add(exitTime)
	h.broken = append(h.broken, brokenRequest{RunningRequest: r, process: process, crashed: crashed, settledAt: settledAt, survived: survived})
	if survived != nil {
		h.requestProbe(settledAt)
		return crashed
	}
	h.probeRequested, h.probeNotBefore = true, time.Time{}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return crashed
}

// health returns the state of an upstream, creating it if needed. l.mu must be
// held.
func (l *Liveness) health(u *fleet.Registration) *upstreamHealth {
	h := l.upstreams[u.ID]
	if h == nil || h.address != u.Address {
		if h != nil {
			h.dropBroken()
		}
		h = &upstreamHealth{address: u.Address, service: u.Service, requests: map[*transfer]*requestInFlight{}}
		l.upstreams[u.ID] = h
	}
	return h
}

// Retain removes upstreams without requests for which keep returns false.
func (l *Liveness) Retain(keep func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, h := range l.upstreams {
		if !keep(id) && len(h.requests) == 0 {
			h.dropBroken()
			delete(l.upstreams, id)
		}
	}
}

// dropBroken gives up finding out whether the upstream has crashed. l.mu must be held.
func (h *upstreamHealth) dropBroken() {
	for _, b := range h.broken {
		if b.crashed != nil {
			close(b.crashed)
		}
	}
	h.broken = nil
}

// Run probes upstreams and withdraws requests that these may not begin until ctx ends.
func (l *Liveness) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		if err := l.awaitTick(ctx); err != nil {
			return err
		}
		l.withdraw(time.Now())
		for id, h := range l.dueProbes(time.Now()) {
			wg.Go(func() { l.probe(ctx, id, h) })
		}
	}
}

// awaitTick waits for the next poll, or until a probe is due at once.
func (l *Liveness) awaitTick(ctx context.Context) error {
	l.mu.Lock()
	l.pollDueAt = time.Now().Add(livenessInterval)
	l.mu.Unlock()
	timer := l.newTimer(livenessInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.wake:
	case <-ctx.Done():
	}
	l.recordLateness(time.Now())
	return ctx.Err()
}

// recordLateness records whether the poll at now is late.
func (l *Liveness) recordLateness(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latePolls = slices.DeleteFunc(l.latePolls, func(p latePoll) bool { return now.Sub(p.at) > latePollsKept })
	if lateness := now.Sub(l.pollDueAt); lateness > probeTimeout/maxLatenessDivisor {
		l.latePolls = append(l.latePolls, latePoll{now, lateness})
	}
}

// latenessSince returns by how much a poll was late at most since a time.
func (l *Liveness) latenessSince(start, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	lateness := max(0, now.Sub(l.pollDueAt)) // of the next poll
	for _, p := range l.latePolls {
		if p.at.After(start) {
			lateness = max(lateness, p.lateness)
		}
	}
	return lateness
}

// dueProbes returns the upstreams to probe now and marks them as being probed.
func (l *Liveness) dueProbes(now time.Time) map[string]*upstreamHealth {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]*upstreamHealth{}
	for id, h := range l.upstreams {
		if h.probing {
			continue
		}
		silent := len(h.requests) > 0 && now.Sub(h.lastByteAt) > silenceThreshold && now.Sub(h.busySince) > silenceThreshold && now.Sub(h.lastProbeAt) > silenceProbeInterval
		if silent || h.probeRequested && !h.down && !now.Before(h.probeNotBefore) || h.down && now.Sub(h.lastProbeAt) > downProbeInterval {
			h.probing, h.probeRequested = true, false
			out[id] = h
		}
	}
	return out
}

// probe tries to connect to an upstream and records the result.
func (l *Liveness) probe(ctx context.Context, id string, h *upstreamHealth) {
	start := time.Now()
	broken := l.takeBrokenRequests(h)
	attempts := probeAttempts
	if l.Down(id) {
		attempts = 1
	}
	result := l.connect(ctx, h.address, attempts)
	if ctx.Err() != nil {
		return
	}
	l.reportBroken(id, h, broken, start, result)
	if result == probeTimedOut && l.receivedSince(h, start) {
		result = probeAccepted // it accepts no connections at present, but it responds
	}
	l.recordProbe(id, h, result)
}

// receivedSince reports whether the upstream has sent a byte since a time.
func (l *Liveness) receivedSince(h *upstreamHealth, start time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return h.lastByteAt.After(start)
}

// probeResult is the result of a probe.
type probeResult uint8

const (
	probeAccepted probeResult = iota
	// probeRefused means that the process no longer listens. A refused connection
	// proves that the host responds: the next request fails at once and can be retried
	// at another upstream.
	probeRefused
	probeTimedOut
	// probeInconclusive means that this process was held up, for lack of processor time, or
	// could not open a connection, for lack of descriptors.
	probeInconclusive
)

// connect tries to connect until an attempt has a result, or until the given number of
// attempts has timed out.
func (l *Liveness) connect(ctx context.Context, address string, attempts int) probeResult {
	for timeout := probeTimeout; ; {
		result, lateness := l.tryConnect(ctx, address, timeout)
		switch {
		case result != probeTimedOut || ctx.Err() != nil:
			return result
		case lateness <= timeout/maxLatenessDivisor, timeout >= maxProbeTimeout && lateness <= timeout/2:
			if attempts--; attempts == 0 {
				return probeTimedOut
			}
		case timeout >= maxProbeTimeout:
			return probeInconclusive
		default:
			timeout *= 2
		}
	}
}

// tryConnect makes one connection attempt. After a timeout it also returns by how much
// this process ran late meanwhile.
func (l *Liveness) tryConnect(ctx context.Context, address string, timeout time.Duration) (probeResult, time.Duration) {
	start := time.Now()
	tryCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := l.dial(tryCtx, "tcp", address)
	switch {
	case err == nil:
		conn.Close()
		return probeAccepted, 0
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeRefused, 0
	case descriptor.IsShortage(err):
		return probeInconclusive, 0
	case tryCtx.Err() != nil || isTimeout(err):
		now := time.Now()
		return probeTimedOut, max(now.Sub(start)-timeout, l.latenessSince(start, now))
	default:
		return probeAccepted, 0 // another error also shows that the host responds
	}
}

// takeBrokenRequests returns and clears the requests whose connections the
// upstream broke.
func (l *Liveness) takeBrokenRequests(h *upstreamHealth) []brokenRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := h.broken
	h.broken = nil
	return broken
}

// reportBroken reports the crash of each process that broke connections and has ended: the
// upstream does not listen, or has registered another process. Other weights alone are no
// crash. Requests that broke just before the probe are checked once more, since a process
// that ends may still accept connections.
func (l *Liveness) reportBroken(id string, h *upstreamHealth, broken []brokenRequest, probedAt time.Time, result probeResult) {
	ended := result == probeRefused
	current, crashed := l.endedProcesses(h, broken, ended, time.Now())
	for process, requests := range crashed {
		if l.onCrash != nil {
			l.onCrash(h.service, id, process, requests)
		}
	}
	for i := range broken {
		b := &broken[i]
		hasEnded := ended || b.process != current
		if b.crashed != nil {
			b.crashed <- hasEnded
			b.crashed = nil
		}
		switch {
		case hasEnded:
		case probedAt.Before(b.settledAt):
			l.recheckBroken(h, *b)
		case b.survived != nil && result == probeAccepted:
			b.survived()
		}
	}
}

// endedProcesses returns the process that is current and, by process, the requests whose process
// has ended. A process that was found ended before and accepted a connection since is another one.
func (l *Liveness) endedProcesses(h *upstreamHealth, broken []brokenRequest, ended bool, now time.Time) (current string, crashed map[string][]RunningRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashed = map[string][]RunningRequest{}
	newlyEnded := false
	for _, b := range broken {
		if !ended && b.process == h.process {
			continue
		}
		process := b.process
		if b.process == h.process {
			starts := h.startsBefore(b.ConnectedAt)
			if starts > 0 {
				process += "/" + strconv.Itoa(starts)
			}
			newlyEnded = newlyEnded || starts == len(h.endings)
		}
		crashed[process] = append(crashed[process], b.RunningRequest)
	}
	if newlyEnded && len(h.endings) < maxEndings {
		h.endings = append(h.endings, now)
	}
	return h.process, crashed
}

// startsBefore returns how often the process was started again before a time.
func (h *upstreamHealth) startsBefore(at time.Time) int {
	n := 0
	for _, ending := range h.endings {
		if at.After(ending) {
			n++
		}
	}
	return n
}

// maxEndings bounds the endings that are remembered of a process whose registration is not renewed.
const maxEndings = 64

// recheckBroken requests a probe for when an upstream that has ended no longer listens.
func (l *Liveness) recheckBroken(h *upstreamHealth, b brokenRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.broken = append(h.broken, b)
	h.requestProbe(b.settledAt)
}

// isTimeout reports whether a connection attempt timed out. The dialer's own
// timer may fire just before the context's.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (l *Liveness) recordProbe(id string, h *upstreamHealth, result probeResult) {
	l.mu.Lock()
	h.probing = false
	h.lastProbeAt = time.Now()
	down := result == probeTimedOut || result == probeInconclusive && h.down
	changed := h.down != down
	h.down = down
	var cancels []context.CancelCauseFunc
	if changed && h.down {
		for _, r := range h.requests {
			cancels = append(cancels, r.cancel)
		}
	}
	l.mu.Unlock()
	if !changed {
		return
	}
	event := eventlog.UpstreamServing
	if down {
		event = eventlog.UpstreamDown
	}
	l.log.Emit(event, eventlog.Fields{Service: h.service, Upstream: id})
	for _, cancel := range cancels {
		cancel(errUpstreamUnresponsive)
	}
	l.onChange(id, down)
}
