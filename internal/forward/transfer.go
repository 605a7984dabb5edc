package forward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/upstream/httpconn"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// transfer is one request on its way from a caller to an upstream and back.
type transfer struct {
	f      *Forwarder
	w      http.ResponseWriter
	caller *http.Request

	stated       Stated
	route        *routetable.Route
	organisation *routetable.Organisation
	service      string
	model        *routetable.Service
	body         []byte
	received     time.Time
	firstByte    time.Time // of the upstream's newest answer
	deadline     time.Time

	// sent counts attempts that may have reached an upstream, ran those that
	// may have run there; avoid names upstreams that failed the request.
	sent  int
	ran   int
	avoid []string
	// heard notes that a byte of the upstream came.
	heard func()
	// begun says that the head of the answer was passed on, lastEvent is the
	// last whole event that was.
	begun     bool
	lastEvent string

	// revision is that of the desired state by which the request is served.
	revision uint64
	// queued is how long the request waited for the scheduler.
	queued time.Duration
	// ended says that its outcome was recorded.
	ended bool
}

// run tries upstreams until the request has an answer.
func (t *transfer) run(ctx context.Context) {
	s := t.f.Services.get(t.service)
	s.earn()
	t.lastEvent = t.stated.LastEvent
	for {
		if err := t.quarantine(); err != nil {
			t.giveUp(err)
			return
		}
		err := t.try(ctx, s)
		if err == nil {
			return
		}
		if t.caller.Context().Err() != nil {
			t.emit(eventlog.CallerGone, "", err)
			t.end(ResultCallerGone, t.verdict())
			panic(http.ErrAbortHandler)
		}
		if !t.mayTryAgain(s, err) {
			t.giveUp(err)
			return
		}
	}
}

// mayTryAgain reports whether another attempt is safe, allowed and in time.
func (t *transfer) mayTryAgain(s *service, err error) bool {
	var refused *refusedError
	if errors.As(err, &refused) || time.Until(t.deadline) <= 0 {
		return false
	}
	var reached *attemptError
	if !errors.As(err, &reached) {
		return false
	}
	if !reached.reached {
		return len(t.avoid) <= maxUnreached
	}
	if verdict.Of(err) != verdict.NotRun && (!t.route.Repeatable() || t.ran >= t.route.MaxAttempts) {
		return false
	}
	return s.mayRetry()
}

// maxUnreached bounds the upstreams that one request finds unreachable.
const maxUnreached = 5

// refusedError is the scheduler's refusal.
type refusedError struct {
	cause *verdict.Error
	// figures are for the log; callers are not told of other requests.
	figures routing.Refusal
}

// Error implements error.
func (e *refusedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause, which carries a verdict.
func (e *refusedError) Unwrap() error { return e.cause }

// attemptError is the failure of an attempt.
type attemptError struct {
	error
	// reached says that the upstream may have received the request.
	reached bool
}

// Unwrap returns the cause, which carries a verdict.
func (e *attemptError) Unwrap() error { return e.error }

// try makes one attempt. Without an error the request has its answer.
func (t *transfer) try(ctx context.Context, s *service) error {
	q := t.question()
	submitted := time.Now()
	actions := s.runner.Submit(q)
	defer s.runner.Forget(q.ID, actions)
	select {
	case action := <-actions:
		t.queued += time.Since(submitted)
		if action.Kind == routing.Refuse {
			e := verdict.New(verdict.NotRun, action.Code, "no upstream can take the request in time")
			e.RetryAfter = action.RetryAfter
			return &refusedError{e, action.Refusal}
		}
		return t.attempt(ctx, s, action)
	case <-ctx.Done():
		return &attemptError{error: verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadline, "time was up before an upstream was found")}
	}
}

// attempt sends the request to the upstream that the scheduler chose.
func (t *transfer) attempt(ctx context.Context, s *service, action routing.Action) error {
	u := t.f.Registry().ByID[action.Endpoint]
	if u == nil || u.Incarnation() != action.Incarnation {
		t.finished(s, action, routing.Canceled, 0)
		return &attemptError{error: verdict.New(verdict.NotRun, verdict.CodeNoUpstream, action.Endpoint+" has just changed")}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	heard, end := t.f.Liveness.begin(u, t, cancel)
	defer end()
	t.heard = heard
	t.emit(eventlog.AttemptStarted, u.ID, nil)
	resp, err := t.f.Pool.Do(ctx, httpconn.Target{ID: u.ID, Address: u.Address}, t.request(u, action))
	if err != nil {
		return t.lost(s, action, because(ctx, err))
	}
	heard()
	reply := t.f.Wire.ReadReply(resp.StatusCode, resp.Header)
	t.learn(s, u, reply)
	if reply.NotRun && resp.StatusCode != http.StatusBadRequest {
		t.sent++
		resp.Discard()
		return t.rejected(s, action, resp.StatusCode, reply)
	}
	if !reply.Proven && resp.StatusCode/100 == 2 {
		resp.Body.Close()
		return t.lost(s, action, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "a success without the proof of an upstream"))
	}
	t.sent++
	t.ran++
	t.firstByte = time.Now()
	s.runner.Do(func(sched routing.Scheduler, now time.Time) {
		sched.FirstToken(now, t.stated.ID, action.Endpoint, routing.CachedUnknown)
	})
	pieces, err := t.relay(resp)
	if err != nil {
		err = because(ctx, err)
		resp.Body.Close()
		t.finished(s, action, outcomeOf(err, t.caller.Context()), pieces)
		t.broke(u.ID, err)
		t.avoid = append(t.avoid, u.ID)
		t.emit(eventlog.AttemptFailed, u.ID, err)
		return &attemptError{error: err, reached: true}
	}
	t.finished(s, action, routing.Completed, pieces)
	t.finishedWell(action, resp.StatusCode, pieces)
	return nil
}

// because adds to an error that this daemon caused itself why it did.
func because(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		return errors.Wrap(err, cause.Error())
	}
	return err
}

// finishedWell records how a request was served and why there.
func (t *transfer) finishedWell(action routing.Action, status, pieces int) {
	result := ResultOK
	if status >= http.StatusInternalServerError {
		result = ResultUpstream
	} else {
		t.survived()
	}
	t.end(result, verdict.Ran)
	t.f.Log.EmitSampled(eventlog.RequestFinished, func() eventlog.Fields {
		f := t.fields()
		f.Upstream = action.Endpoint
		f.Detail = fmt.Sprintf("status %d, attempt %d, queued %s, first byte after %s, whole after %s, %d events; %s", status, t.sent,
			t.queued.Round(time.Millisecond), t.firstByte.Sub(t.received).Round(time.Millisecond), time.Since(t.received).Round(time.Millisecond), pieces, action.Why)
		if action.Source != "" {
			f.Detail += ", fetched from " + action.Source
		}
		return f
	})
}

// outcomeOf blames the upstream for a broken answer unless the caller left.
func outcomeOf(err error, caller context.Context) routing.Outcome {
	if caller.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return routing.Canceled
	}
	return routing.Failed
}

// lost accounts for an attempt without an answer.
func (t *transfer) lost(s *service, action routing.Action, err error) error {
	reached := verdict.Of(err) != verdict.NotRun
	if reached {
		t.sent++
		t.ran++
	}
	outcome := outcomeOf(err, t.caller.Context())
	t.finished(s, action, outcome, 0)
	if reached {
		t.broke(action.Endpoint, err)
	}
	t.avoid = append(t.avoid, action.Endpoint)
	t.emit(eventlog.AttemptFailed, action.Endpoint, err)
	return &attemptError{error: err, reached: reached}
}

// broke has an upstream looked at that ended the request's connection: it may
// have crashed, and the request may be why.
func (t *transfer) broke(upstream string, err error) {
	if isBroken(err) && t.caller.Context().Err() == nil {
		t.f.Liveness.broke(upstream, t.fingerprint())
	}
}

// rejected accounts for an upstream's word that it did not run the request.
func (t *transfer) rejected(s *service, action routing.Action, status int, reply Reply) error {
	outcome := routing.Rejected
	if reply.OtherUpstream {
		outcome = routing.Canceled
	}
	t.finished(s, action, outcome, 0)
	t.avoid = append(t.avoid, action.Endpoint)
	err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, http.StatusText(status)+" from "+action.Endpoint)
	t.emit(eventlog.AttemptFailed, action.Endpoint, err)
	return &attemptError{error: err, reached: true}
}

func (t *transfer) finished(s *service, action routing.Action, outcome routing.Outcome, pieces int) {
	s.runner.Do(func(sched routing.Scheduler, now time.Time) {
		sched.Finished(now, t.stated.ID, action.Endpoint, outcome, pieces)
	})
}

// request is what is sent to an upstream, which fetches and saves cached
// prompts as the scheduler chose.
func (t *transfer) request(u *fleet.Registration, action routing.Action) *httpconn.Request {
	d := &Delivery{Upstream: u.ID, TimeLeft: time.Until(t.deadline), LastEvent: t.lastEvent}
	if t.organisation != nil {
		d.Organisation = t.organisation.Name
	}
	if p := t.stated.Prompt; p != nil && t.model != nil && t.model.Engine != nil {
		d.Prompted = true
		d.Priority = t.priority()
		d.Version = u.Version(p.Model)
		d.CacheScope = cacheScope(t.cacheOwner(), d.Version)
		store := t.f.Table().CacheStore()
		if from := t.f.Registry().ByID[action.Source]; from != nil && from.Version(p.Model) == d.Version {
			d.FetchFrom = from.Address
		} else if store != nil && action.Source == store.Address {
			d.FetchFrom = store.Address
		}
		if store != nil && action.Save {
			d.SaveTo = store.Address
		}
	}
	id := t.stated.ID
	return &httpconn.Request{
		Method: t.caller.Method, URI: t.caller.RequestURI, Host: t.caller.Host, Body: t.body,
		Header: t.f.Wire.UpstreamHeader(t.caller.Header, d),
		Answers: func(resp *http.Response) bool {
			got := t.f.Wire.ReadReply(resp.StatusCode, resp.Header).RequestID
			return got == "" || got == id
		},
	}
}

// learn takes in what a response states of its upstream.
func (t *transfer) learn(s *service, u *fleet.Registration, reply Reply) {
	if l := reply.Load; l != nil {
		s.runner.Do(func(sched routing.Scheduler, now time.Time) {
			sched.Report(now, routing.LoadReport{Endpoint: u.ID, At: now, Running: l.Running, Queued: l.Waiting, Slowdown: l.Slowdown})
		})
	}
	if p := t.stated.Prompt; p != nil && reply.Version > 0 && !reply.OtherUpstream {
		t.f.Learned(u, p.Model, reply.Version)
	}
}

func (t *transfer) emit(id eventlog.ID, upstream string, err error) {
	fields := t.fields()
	fields.Upstream = upstream
	if err != nil {
		fields.Detail = fmt.Sprintf("attempt %d: %s", t.sent, err)
	}
	var refused *refusedError
	if errors.As(err, &refused) {
		fields.Detail += ": " + refused.figures.String()
	}
	t.f.Log.Emit(id, fields)
}

// fields are those of each event of the request.
func (t *transfer) fields() eventlog.Fields {
	f := eventlog.Fields{Service: t.service, RequestID: t.stated.ID, Revision: t.revision}
	if t.route != nil {
		f.Route = t.route.Name
	}
	if t.organisation != nil {
		f.Organisation = t.organisation.Name
	}
	return f
}

// cacheScope separates cached prompts by who may use them and by the weights
// they were made under: a store of cached prompts keeps those of old weights.
func cacheScope(owner string, version int) string {
	return strconv.Itoa(version) + "/" + owner
}

// ScopeOwner returns the owner and the version in a cache scope; ok is false
// for scopes that no daemon makes.
func ScopeOwner(scope string) (owner string, version int, ok bool) {
	text, owner, ok := strings.Cut(scope, "/")
	if !ok {
		return "", 0, false
	}
	version, err := strconv.Atoi(text)
	return owner, version, err == nil
}
