package forward

import (
	"context"
	"maps"
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
	// suspectAfter is how long an upstream with work may be silent on all its
	// connections before a new connection is tried. A chunk of a long prompt
	// keeps an engine silent for some 0.2 s.
	suspectAfter = 350 * time.Millisecond
	// livenessLook is the pause between two looks.
	livenessLook = 50 * time.Millisecond
	// probeTimeout bounds one try to connect; probeTries must fail in a row.
	probeTimeout = 200 * time.Millisecond
	probeTries   = 2
	// aliveFor is how long after a connection was made silence is no reason to try again.
	aliveFor = 700 * time.Millisecond
	// downPause is the pause between tries to connect to an upstream that is down.
	downPause = 300 * time.Millisecond
)

// Liveness finds upstreams that have fallen silent: connections to them stay
// open and new ones are not answered. It is safe for concurrent use.
type Liveness struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// changed is called when an upstream goes down or comes back.
	changed func(id string, down bool)
	// died is called when an upstream's life has ended, with the fingerprints of
	// the requests whose connections ended with it; nil for nobody.
	died func(id, incarnation string, requests []string)
	log  *eventlog.Log

	mu    sync.Mutex
	known map[string]*pulse
}

// pulse is what is known of one upstream.
type pulse struct {
	address string
	service string
	// heard is when a byte came last, sent when a request was sent last to an
	// upstream without others.
	heard, sent time.Time
	// running are the cancel functions of the requests there.
	running map[*transfer]context.CancelCauseFunc
	down    bool
	probing bool
	// suspected is set when a peer found the upstream silent, or when it ended
	// connections with requests.
	suspected bool
	// incarnation is the upstream's life that requests were sent to last, broken
	// are those whose connections it ended since it was tried last.
	incarnation string
	broken      map[string]bool
	alive       time.Time // when a connection was made last
}

// NewLiveness returns a Liveness that connects by dial.
func NewLiveness(dial func(ctx context.Context, network, address string) (net.Conn, error), changed func(id string, down bool), log *eventlog.Log) *Liveness {
	return &Liveness{dial: dial, changed: changed, log: log, known: map[string]*pulse{}}
}

// Down reports whether an upstream does not answer.
func (l *Liveness) Down(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.known[id]
	return p != nil && p.down
}

// errSilent is why a request at an upstream that went down is given up.
var errSilent = errors.New("the upstream has fallen silent")

// begin notes that a request is about to be sent. cancel ends it with errSilent
// when the upstream goes down. The returned functions note a byte and the end.
func (l *Liveness) begin(u *fleet.Registration, t *transfer, cancel context.CancelCauseFunc) (heard, end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pulse(u)
	if p.incarnation != u.Incarnation() {
		p.incarnation = u.Incarnation()
		clear(p.broken)
	}
	if len(p.running) == 0 {
		p.sent = time.Now()
	}
	p.running[t] = cancel
	heard = func() {
		l.mu.Lock()
		p.heard = time.Now()
		l.mu.Unlock()
	}
	end = func() {
		l.mu.Lock()
		delete(p.running, t)
		l.mu.Unlock()
	}
	return heard, end
}

// Suspect makes an upstream be tried at once, as when a peer found it down.
func (l *Liveness) Suspect(u *fleet.Registration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pulse(u).suspected = true
}

// broke notes that an upstream ended the connection of a request, and has it
// tried at once.
func (l *Liveness) broke(id, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.known[id]; p != nil {
		p.broken[request] = true
		p.suspected = true
	}
}

// pulse returns what is known of an upstream. The Liveness is locked.
func (l *Liveness) pulse(u *fleet.Registration) *pulse {
	p := l.known[u.ID]
	if p == nil || p.address != u.Address {
		p = &pulse{address: u.Address, service: u.Service, running: map[*transfer]context.CancelCauseFunc{}, broken: map[string]bool{}}
		l.known[u.ID] = p
	}
	return p
}

// Forget drops upstreams that keep does not name.
func (l *Liveness) Forget(keep func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.known {
		if !keep(id) && len(p.running) == 0 {
			delete(l.known, id)
		}
	}
}

// Run watches until ctx ends.
func (l *Liveness) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		if err := backoff.Sleep(ctx, livenessLook); err != nil {
			return err
		}
		for id, p := range l.due(time.Now()) {
			wg.Go(func() { l.probe(ctx, id, p) })
		}
	}
}

// due returns the upstreams that have to be tried.
func (l *Liveness) due(now time.Time) map[string]*pulse {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]*pulse{}
	for id, p := range l.known {
		if p.probing {
			continue
		}
		silent := len(p.running) > 0 && now.Sub(p.heard) > suspectAfter && now.Sub(p.sent) > suspectAfter && now.Sub(p.alive) > aliveFor
		if silent || p.suspected && !p.down || p.down && now.Sub(p.alive) > downPause {
			p.probing, p.suspected = true, false
			out[id] = p
		}
	}
	return out
}

// probe tries new connections to an upstream.
func (l *Liveness) probe(ctx context.Context, id string, p *pulse) {
	incarnation, broken := l.takeBroken(p)
	tries := probeTries
	if l.Down(id) {
		tries = 1
	}
	answers := false
	for range tries {
		tryCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		conn, err := l.dial(tryCtx, "tcp", p.address)
		timedOut := tryCtx.Err() != nil || isTimeout(err)
		cancel()
		if err == nil {
			conn.Close()
		}
		if errors.Is(err, syscall.ECONNREFUSED) && len(broken) > 0 && l.died != nil {
			l.died(id, incarnation, broken) // nothing listens there any more
		}
		// A refusal is an answer: the next request finds out.
		if answers = err == nil || !timedOut; answers || ctx.Err() != nil {
			break
		}
	}
	if ctx.Err() == nil {
		l.conclude(id, p, answers)
	}
}

// takeBroken returns the life of an upstream and the requests whose connections
// it ended since the last call.
func (l *Liveness) takeBroken(p *pulse) (incarnation string, requests []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests = slices.Collect(maps.Keys(p.broken))
	clear(p.broken)
	return p.incarnation, requests
}

// isTimeout reports whether a try to connect ran out of time. The dialer has a
// timer of its own, which may end the try just before the context ends.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (l *Liveness) conclude(id string, p *pulse, answers bool) {
	l.mu.Lock()
	p.probing = false
	p.alive = time.Now()
	changed := p.down == answers
	p.down = !answers
	var stranded []context.CancelCauseFunc
	if changed && p.down {
		for _, cancel := range p.running {
			stranded = append(stranded, cancel)
		}
	}
	l.mu.Unlock()
	if !changed {
		return
	}
	event := eventlog.UpstreamServing
	if !answers {
		event = eventlog.UpstreamDown
	}
	l.log.Emit(event, eventlog.Fields{Service: p.service, Upstream: id})
	for _, cancel := range stranded {
		cancel(errSilent)
	}
	l.changed(id, !answers)
}
