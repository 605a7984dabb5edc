package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
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
	// silenceProbeInterval is the minimum interval between probes of a silent
	// upstream.
	silenceProbeInterval = 700 * time.Millisecond
	// downProbeInterval is the interval between probes of an upstream that is
	// down.
	downProbeInterval = 300 * time.Millisecond
)

// Liveness detects upstreams that stopped responding without closing
// connections: open connections carry no data and connection attempts time out.
// It is safe for concurrent use.
type Liveness struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// onChange is called when an upstream goes down or recovers.
	onChange func(id string, down bool)
	// onCrash is called when an incarnation of an upstream has ended, with the
	// fingerprints of the requests whose connections it broke; may be nil.
	onCrash func(id, incarnation string, requests []string)
	log     *eventlog.Log

	mu        sync.Mutex
	upstreams map[string]*upstreamHealth
}

// upstreamHealth is the health state of one upstream.
type upstreamHealth struct {
	address string
	service string
	// lastByteAt is when the last byte arrived; busySince is when a request was
	// last sent while no other was running.
	lastByteAt, busySince time.Time
	// cancels holds the cancel function of each request in flight.
	cancels map[*transfer]context.CancelCauseFunc
	down    bool
	probing bool
	// probeRequested is set when a peer reported the upstream unresponsive, or
	// when it broke a request's connection. It applies from probeNotBefore on.
	probeRequested bool
	probeNotBefore time.Time
	// incarnation is the one that requests were last sent to; brokenRequests
	// are the requests whose connections it broke since the last probe.
	incarnation    string
	brokenRequests map[string]bool
	lastProbeAt    time.Time // when the last probe ended
}

// NewLiveness returns a Liveness that probes with dial. onChange is called
// when an upstream goes down or recovers.
func NewLiveness(dial func(ctx context.Context, network, address string) (net.Conn, error), onChange func(id string, down bool), log *eventlog.Log) *Liveness {
	return &Liveness{dial: dial, onChange: onChange, log: log, upstreams: map[string]*upstreamHealth{}}
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
// down, cancel is called with errUpstreamUnresponsive. recordByte must be
// called for received data and untrack at the end of the request.
func (l *Liveness) track(u *fleet.Registration, t *transfer, cancel context.CancelCauseFunc) (recordByte, untrack func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.health(u)
	if h.incarnation != u.Incarnation() {
		h.incarnation = u.Incarnation()
		clear(h.brokenRequests)
	}
	if len(h.cancels) == 0 {
		h.busySince = time.Now()
	}
	h.cancels[t] = cancel
	recordByte = func() {
		l.mu.Lock()
		h.lastByteAt = time.Now()
		l.mu.Unlock()
	}
	untrack = func() {
		l.mu.Lock()
		delete(h.cancels, t)
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
	h := l.health(u)
	if !h.probeRequested {
		h.probeRequested, h.probeNotBefore = true, time.Now().Add(rand.N(max(1, spread)))
	}
}

// recordBrokenConnection records that an upstream broke the connection of a
// request, and requests a probe.
func (l *Liveness) recordBrokenConnection(id, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.upstreams[id]; h != nil {
		h.brokenRequests[request] = true
		h.probeRequested, h.probeNotBefore = true, time.Time{}
	}
}

// health returns the state of an upstream, creating it if needed. l.mu must be
// held.
func (l *Liveness) health(u *fleet.Registration) *upstreamHealth {
	h := l.upstreams[u.ID]
	if h == nil || h.address != u.Address {
		h = &upstreamHealth{address: u.Address, service: u.Service, cancels: map[*transfer]context.CancelCauseFunc{}, brokenRequests: map[string]bool{}}
		l.upstreams[u.ID] = h
	}
	return h
}

// Retain removes upstreams without requests for which keep returns false.
func (l *Liveness) Retain(keep func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, h := range l.upstreams {
		if !keep(id) && len(h.cancels) == 0 {
			delete(l.upstreams, id)
		}
	}
}

// Run probes upstreams until ctx ends.
func (l *Liveness) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		if err := backoff.Sleep(ctx, livenessInterval); err != nil {
			return err
		}
		for id, h := range l.dueProbes(time.Now()) {
			wg.Go(func() { l.probe(ctx, id, h) })
		}
	}
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
		silent := len(h.cancels) > 0 && now.Sub(h.lastByteAt) > silenceThreshold && now.Sub(h.busySince) > silenceThreshold && now.Sub(h.lastProbeAt) > silenceProbeInterval
		if silent || h.probeRequested && !h.down && !now.Before(h.probeNotBefore) || h.down && now.Sub(h.lastProbeAt) > downProbeInterval {
			h.probing, h.probeRequested = true, false
			out[id] = h
		}
	}
	return out
}

// probe tries to connect to an upstream and records the result.
func (l *Liveness) probe(ctx context.Context, id string, h *upstreamHealth) {
	incarnation, broken := l.takeBrokenRequests(h)
	attempts := probeAttempts
	if l.Down(id) {
		attempts = 1
	}
	responds := false
	for range attempts {
		tryCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		conn, err := l.dial(tryCtx, "tcp", h.address)
		timedOut := tryCtx.Err() != nil || isTimeout(err)
		cancel()
		if err == nil {
			conn.Close()
		}
		if errors.Is(err, syscall.ECONNREFUSED) && len(broken) > 0 && l.onCrash != nil {
			l.onCrash(id, incarnation, broken) // the process no longer listens
		}
		// A refused connection proves that the host responds: the next request
		// fails at once and can be retried at another upstream.
		if responds = err == nil || !timedOut; responds || ctx.Err() != nil {
			break
		}
	}
	if ctx.Err() == nil {
		l.recordProbe(id, h, responds)
	}
}

// takeBrokenRequests returns and clears the requests whose connections the
// upstream broke, with its incarnation.
func (l *Liveness) takeBrokenRequests(h *upstreamHealth) (incarnation string, requests []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests = slices.Collect(maps.Keys(h.brokenRequests))
	clear(h.brokenRequests)
	return h.incarnation, requests
}

// isTimeout reports whether a connection attempt timed out. The dialer's own
// timer may fire just before the context's.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (l *Liveness) recordProbe(id string, h *upstreamHealth, responds bool) {
	l.mu.Lock()
	h.probing = false
	h.lastProbeAt = time.Now()
	changed := h.down == responds
	h.down = !responds
	var cancels []context.CancelCauseFunc
	if changed && h.down {
		for _, cancel := range h.cancels {
			cancels = append(cancels, cancel)
		}
	}
	l.mu.Unlock()
	if !changed {
		return
	}
	event := eventlog.UpstreamServing
	if !responds {
		event = eventlog.UpstreamDown
	}
	l.log.Emit(event, eventlog.Fields{Service: h.service, Upstream: id})
	for _, cancel := range cancels {
		cancel(errUpstreamUnresponsive)
	}
	l.onChange(id, !responds)
}
