package measure

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// baseline is the common part of the policies that the product is compared
// with: one FIFO queue, a bound on the daemon's requests in flight at each
// engine, and a refusal once a request has waited for its class's MaxWait.
type baseline struct {
	choose      func(r *routing.Request) int
	daemons     int
	endpoints   []routing.Endpoint
	outstanding map[string]int
	queue       []queuedRequest
	actions     []routing.Action
}

type queuedRequest struct {
	request  *routing.Request
	refuseAt time.Time
}

func newBaseline() *baseline { return &baseline{daemons: 1, outstanding: map[string]int{}} }

// baselineSlotFactor bounds a daemon's requests in flight at an engine, as a
// multiple of the daemon's equal share of the engine's slots.
const baselineSlotFactor = 2

// Results of choose other than an index into endpoints: allFull when every engine
// that can serve the request is full, noneServes when none can serve it.
const (
	allFull    = -1
	noneServes = -2
)

func (b *baseline) SetEndpoints(_ time.Time, endpoints []routing.Endpoint) { b.endpoints = endpoints }
func (b *baseline) SetDaemonCount(_ time.Time, daemons int)                { b.daemons = max(1, daemons) }
func (b *baseline) FirstToken(time.Time, string, string, int)              {}
func (b *baseline) ApplyLoadReport(time.Time, routing.LoadReport)          {}
func (b *baseline) LoadsForPeers(time.Time) []routing.PeerLoad             { return nil }
func (b *baseline) ApplyPeerLoads(time.Time, string, []routing.PeerLoad)   {}

func (b *baseline) Submit(now time.Time, r *routing.Request) {
	b.queue = append(b.queue, queuedRequest{r, now.Add(r.Class.MaxWait)})
}

func (b *baseline) Withdraw(_ time.Time, id string) {
	b.queue = slices.DeleteFunc(b.queue, func(q queuedRequest) bool { return q.request.ID == id })
}

func (b *baseline) Finished(_ time.Time, _, endpoint string, _ routing.Outcome, _ int) {
	b.outstanding[endpoint] = max(0, b.outstanding[endpoint]-1)
}

func (b *baseline) Advance(now time.Time) []routing.Action {
	b.actions = b.actions[:0]
	b.queue = slices.DeleteFunc(b.queue, func(q queuedRequest) bool { return b.startOrRefuse(now, q) })
	return b.actions
}

func (b *baseline) NextWake(time.Time) time.Time {
	var next time.Time
	for _, q := range b.queue {
		if next.IsZero() || q.refuseAt.Before(next) {
			next = q.refuseAt
		}
	}
	return next
}

// startOrRefuse starts or refuses a request if possible, and reports whether it did.
func (b *baseline) startOrRefuse(now time.Time, q queuedRequest) bool {
	i := b.choose(q.request)
	switch {
	case i >= 0:
		e := b.endpoints[i]
		b.outstanding[e.ID]++
		b.actions = append(b.actions, routing.Action{Kind: routing.Start, Request: q.request, Endpoint: e.ID, Incarnation: e.Incarnation})
	case i == noneServes:
		b.refuse(q.request, verdict.CodeNoUpstream)
	case !now.Before(q.refuseAt):
		b.refuse(q.request, verdict.CodeOverloaded)
	default:
		return false
	}
	return true
}

func (b *baseline) refuse(r *routing.Request, code verdict.Code) {
	b.actions = append(b.actions, routing.Action{Kind: routing.Refuse, Request: r, Code: code, RetryAfter: time.Second})
}

func (b *baseline) serves(e *routing.Endpoint, r *routing.Request) bool {
	return slices.Contains(e.Weights, r.Weights) && !slices.Contains(r.ExcludedEndpoints, e.ID)
}

func (b *baseline) hasRoom(e *routing.Endpoint) bool {
	return b.outstanding[e.ID] < (baselineSlotFactor*e.Slots+b.daemons-1)/b.daemons
}
