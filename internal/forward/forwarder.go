package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

const (
	// defaultPatience applies to callers that do not say how long they wait.
	defaultPatience = 30 * time.Second
	// answerSlack is how long past the deadline an answer that is on its way,
	// such as the upstream's own word that time is up, is still awaited.
	answerSlack = 40 * time.Millisecond
	// retryShare is the part of a caller's remaining time that a time to come
	// back may take; the platform's callers honour no more.
	retryShare = 1.0 / 3
	// startRetryAfter is the time to come back while the daemon knows no
	// desired state.
	startRetryAfter = 300 * time.Millisecond
	// drainRetryAfter is the time to come back, to another daemon, from one
	// that stops.
	drainRetryAfter = 20 * time.Millisecond
	// queuePart is the part of a route's goal that a request may wait in the daemon.
	queuePart = 1.0 / 8
	// defaultGoal applies to routes that state none.
	defaultGoal = time.Second
)

// Config holds what a Forwarder needs.
type Config struct {
	Wire     Wire
	Pool     *httpconn.Pool
	Services *Services
	Liveness *Liveness
	// Table returns the desired state in force, nil when none is known.
	Table func() *routetable.Table
	// Registry returns the registered upstreams.
	Registry func() *fleet.RegistrySnapshot
	// Suspects knows requests that crash upstreams; may be nil.
	Suspects Suspects
	// Ended is called with the outcome of each request; may be nil.
	Ended func(Outcome)
	// Learned is called with each version of weights that an upstream states.
	Learned func(u *fleet.Registration, model string, version int)
	Log     *eventlog.Log
	// MaxBodyBytes bounds the bodies held in memory at one time; 0 means no bound.
	MaxBodyBytes int64
}

// Forwarder is the http.Handler for callers.
type Forwarder struct {
	Config
	held atomic.Int64 // bytes of bodies in memory
	// stopAt is when the daemon stops; nil means that it does not.
	stopAt atomic.Pointer[time.Time]
	// closed says that no more requests are taken.
	closed atomic.Bool
	// ended ends when requests that still run have to be given up.
	ended context.Context
	end   context.CancelFunc
}

// New returns a Forwarder.
func New(c Config) *Forwarder {
	if c.Learned == nil {
		c.Learned = func(*fleet.Registration, string, int) {}
	}
	if c.Ended == nil {
		c.Ended = func(Outcome) {}
	}
	if c.Suspects == nil {
		c.Suspects = noSuspects{}
	}
	if c.Liveness != nil {
		c.Liveness.died = c.Suspects.Died
	}
	f := &Forwarder{Config: c}
	f.ended, f.end = context.WithCancel(context.Background())
	return f
}

// StopAt tells that the daemon stops at a time: requests that come from now on
// get no longer than that.
func (f *Forwarder) StopAt(at time.Time) { f.stopAt.Store(&at) }

// Refuse makes the Forwarder refuse every request that comes from now on.
func (f *Forwarder) Refuse() { f.closed.Store(true) }

// End gives up the requests that still run; each gets its answer.
func (f *Forwarder) End() { f.end() }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t, err := f.accept(w, r)
	if err != nil {
		t.fail(err)
		return
	}
	defer f.held.Add(-int64(len(t.body)))
	ctx, cancel := context.WithDeadline(r.Context(), t.deadline.Add(answerSlack))
	defer cancel()
	defer context.AfterFunc(f.ended, cancel)()
	t.run(ctx)
}

// accept finds out what is asked for, by whom, and reads the body. The transfer
// is never nil.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request) (*transfer, error) {
	t := &transfer{f: f, w: w, caller: r, received: time.Now()}
	if f.closed.Load() {
		w.Header().Set("Connection", "close")
		e := verdict.New(verdict.NotRun, verdict.CodeDraining, "this daemon is about to stop")
		e.RetryAfter = drainRetryAfter
		return t, e
	}
	table := f.Table()
	if table == nil {
		e := verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "this daemon does not know the desired state yet")
		e.RetryAfter = startRetryAfter
		return t, e
	}
	t.revision = table.Revision
	var err error
	if t.stated, err = f.Wire.ReadRequest(r.Header); err != nil {
		return t, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "the headers can't be read")
	}
	if t.stated.ID == "" {
		return t, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request has no identifier")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if t.route = table.Match(r.Host, path); t.route == nil {
		return t, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route for "+r.Host+path)
	}
	if table.Keyed() {
		t.organisation = table.Organisation(t.stated.Key)
		if t.organisation == nil && !t.route.Public {
			return t, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "nobody holds this key")
		}
	}
	t.service = t.route.Choose(t.stated.ID)
	t.model = table.Service(t.service)
	t.deadline = t.received.Add(t.patience())
	if stop := f.stopAt.Load(); stop != nil && stop.Before(t.deadline) {
		t.deadline = *stop
	}
	return t, t.readBody(table.Limits.BodyBytes)
}

// patience returns how long the request may take.
func (t *transfer) patience() time.Duration {
	p := t.stated.Patience
	if p == 0 {
		p = defaultPatience
	}
	if t.route.Timeout > 0 {
		p = min(p, t.route.Timeout)
	}
	return p
}

func (t *transfer) readBody(most int) error {
	r := t.caller
	if r.ContentLength == 0 {
		return nil
	}
	if most > 0 && r.ContentLength > int64(most) {
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is too long")
	}
	if t.f.MaxBodyBytes > 0 && t.f.held.Load()+max(0, r.ContentLength) > t.f.MaxBodyBytes {
		e := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many bodies are held in memory")
		e.RetryAfter = t.spread(startRetryAfter)
		return e
	}
	source := io.Reader(r.Body)
	if most > 0 {
		source = http.MaxBytesReader(t.w, r.Body, int64(most))
	}
	conn := http.NewResponseController(t.w)
	if err := conn.SetReadDeadline(t.deadline); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "the time to read the body can't be bounded")
	}
	var err error
	if r.ContentLength > 0 {
		t.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(source, t.body)
	} else {
		t.body, err = io.ReadAll(source)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeDeadline, "the body did not come in time")
	}
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "the body can't be read")
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "the time to read the body can't be bounded")
	}
	t.f.held.Add(int64(len(t.body)))
	return nil
}

// spread returns a time to come back around d, so that callers that were
// refused together return apart, within what the caller will wait.
func (t *transfer) spread(d time.Duration) time.Duration {
	d = d/2 + time.Duration(rand.Int64N(int64(d)+1))
	if t.deadline.IsZero() {
		return d
	}
	return min(d, time.Duration(retryShare*float64(time.Until(t.deadline))))
}

// question is the request as the service's scheduler sees it.
func (t *transfer) question() *routing.Request {
	q := &routing.Request{
		ID: t.stated.ID, Share: 1, Class: routing.Class{Name: t.route.Name, Priority: -t.priority(), MaxWait: t.queueWait()},
		Deadline: t.deadline, Goal: t.route.Goal, Repeatable: t.route.Repeatable(), Avoid: t.avoid, Attempt: t.sent,
	}
	if t.organisation != nil {
		q.Organisation = t.organisation.Name
	}
	if p := t.stated.Prompt; p != nil && t.model != nil && t.model.Engine != nil {
		q.Weights = p.Model
		q.PromptTokens, q.MaxOutputTokens, q.ExpectedTokens = p.InputTokens, p.OutputTokens, p.ExpectedTokens
		q.Chain = prefix.OfParts(t.cacheOwner(), parts(p))
	}
	return q
}

func parts(p *Prompt) []prefix.Part {
	out := make([]prefix.Part, len(p.Parts))
	for i, x := range p.Parts {
		out[i] = prefix.Part(x)
	}
	return out
}

// cacheOwner is the organisation whose cached prompts may be used, empty for
// those that share theirs.
func (t *transfer) cacheOwner() string {
	if t.organisation != nil && t.organisation.Isolated {
		return t.organisation.Name
	}
	return ""
}

// priority is the request's rank; 0 is served first. The organisation's rank
// goes before the route's, which decides among equals.
func (t *transfer) priority() int {
	rank := t.route.Priority
	if t.organisation != nil && t.organisation.Priority != nil {
		rank = *t.organisation.Priority
	}
	return rankSteps*clampRank(rank) + clampRank(t.route.Priority)
}

// rankSteps is the number of ranks that are told apart; engines know ten priorities.
const rankSteps = 3

func clampRank(rank int) int { return min(max(0, rank), rankSteps-1) }

func (t *transfer) queueWait() time.Duration {
	goal := t.route.Goal
	if goal == 0 {
		goal = defaultGoal
	}
	return time.Duration(queuePart * float64(goal))
}
