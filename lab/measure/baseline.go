package measure

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// baseline is what the policies to compare with have in common: one queue in
// order of arrival, a bounded number of own requests at each engine, and a
// refusal when a request's class allows no longer wait.
type baseline struct {
	choose      func(r *routing.Request) int
	daemons     int
	endpoints   []routing.Endpoint
	outstanding map[string]int
	queue       []waiting
	actions     []routing.Action
}

type waiting struct {
	request *routing.Request
	until   time.Time
}

func newBaseline() *baseline { return &baseline{daemons: 1, outstanding: map[string]int{}} }

// baselineWindow is the multiple of its fair share of an engine's slots that a daemon uses.
const baselineWindow = 2

// noEndpoint is a choice's answer when every engine that serves is full, unserved when none serves.
const (
	noEndpoint = -1
	unserved   = -2
)

func (b *baseline) SetEndpoints(_ time.Time, endpoints []routing.Endpoint) { b.endpoints = endpoints }
func (b *baseline) SetPeers(_ time.Time, daemons int)                      { b.daemons = max(1, daemons) }
func (b *baseline) FirstToken(time.Time, string, string, int)              {}
func (b *baseline) Report(time.Time, routing.LoadReport)                   {}
func (b *baseline) Share(time.Time) []routing.PeerLoad                     { return nil }
func (b *baseline) Learn(time.Time, string, []routing.PeerLoad)            {}

func (b *baseline) Submit(now time.Time, r *routing.Request) {
	b.queue = append(b.queue, waiting{r, now.Add(r.Class.MaxWait)})
}

func (b *baseline) Withdraw(_ time.Time, id string) {
	b.queue = slices.DeleteFunc(b.queue, func(w waiting) bool { return w.request.ID == id })
}

func (b *baseline) Finished(_ time.Time, _, endpoint string, _ routing.Outcome, _ int) {
	b.outstanding[endpoint] = max(0, b.outstanding[endpoint]-1)
}

func (b *baseline) Advance(now time.Time) []routing.Action {
	b.actions = b.actions[:0]
	b.queue = slices.DeleteFunc(b.queue, func(w waiting) bool { return b.decide(now, w) })
	return b.actions
}

func (b *baseline) NextWake(time.Time) time.Time {
	var next time.Time
	for _, w := range b.queue {
		if next.IsZero() || w.until.Before(next) {
			next = w.until
		}
	}
	return next
}

// decide starts or refuses a request and reports whether it did.
func (b *baseline) decide(now time.Time, w waiting) bool {
	i := b.choose(w.request)
	switch {
	case i >= 0:
		e := b.endpoints[i]
		b.outstanding[e.ID]++
		b.actions = append(b.actions, routing.Action{Kind: routing.Start, Request: w.request, Endpoint: e.ID, Incarnation: e.Incarnation})
	case i == unserved:
		b.refuse(w.request, verdict.CodeNoUpstream)
	case !now.Before(w.until):
		b.refuse(w.request, verdict.CodeOverloaded)
	default:
		return false
	}
	return true
}

func (b *baseline) refuse(r *routing.Request, code verdict.Code) {
	b.actions = append(b.actions, routing.Action{Kind: routing.Refuse, Request: r, Code: code, RetryAfter: time.Second})
}

func (b *baseline) serves(e *routing.Endpoint, r *routing.Request) bool {
	return slices.Contains(e.Weights, r.Weights) && !slices.Contains(r.Avoid, e.ID)
}

func (b *baseline) hasRoom(e *routing.Endpoint) bool {
	return b.outstanding[e.ID] < (baselineWindow*e.Slots+b.daemons-1)/b.daemons
}
