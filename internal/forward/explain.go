package forward

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/routetable"
	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// Explanation says where a request would go now, and why.
type Explanation struct {
	// Revision is that of the desired state.
	Revision uint64
	Route    string
	// Organisation is empty if the request needs no key.
	Organisation string
	// Allowance is the organisation's quota over all daemons; not limited without one.
	Allowance routetable.Allowance
	// Cost is what the request would take of the quota, and AllowanceHeld what this daemon
	// holds of it at present, in its unit. Beyond that the daemon asks AllowanceOwner, which
	// counts for all.
	Cost, AllowanceHeld float64
	AllowanceOwner      string
	// Service is the one that the request's ID selects of the route's services.
	Service string
	// Software is the software version that began the stream which the request resumes; empty if
	// it resumes none.
	Software string
	// TimeLimit is the caller's or the route's time limit.
	TimeLimit time.Duration
	// Priority is the request's priority at engines; 0 is served first.
	Priority   int
	Scheduling routing.Explanation
}

// AllowanceHolder is implemented by Allowances that tell what this daemon holds.
type AllowanceHolder interface {
	// Held returns what this daemon may spend of an organisation's quota without asking, and
	// the name of the daemon that counts for all; empty if none is known.
	Held(o *routetable.Organisation) (amount float64, owner string)
}

// errNotExplained reports a scheduler that does not explain its decisions.
var errNotExplained = errors.New("the scheduler explains no decisions")

// Explain returns the decision on a request, which is not sent. r has its headers, host and
// request URI; its body is not read. Errors are those that the caller would get.
func (f *Forwarder) Explain(r *http.Request) (*Explanation, error) {
	t := &transfer{forwarder: f, writer: discardWriter{http.Header{}}, callerRequest: r, receivedAt: time.Now()}
	table, err := t.identify()
	if err != nil {
		return nil, err
	}
	x := &Explanation{Revision: table.Revision, Route: t.route.Name, Service: t.serviceName, TimeLimit: t.timeout(), Priority: t.priority()}
	if t.organisation != nil {
		x.Organisation, x.Allowance = t.organisation.Name, t.organisation.Allowance
	}
	if cost, limited := t.allowanceCost(); limited {
		x.Cost = cost
		if holder, ok := f.Allowances.(AllowanceHolder); ok {
			x.AllowanceHeld, x.AllowanceOwner = holder.Held(t.organisation)
		}
	}
	if err := t.quarantineError(); err != nil {
		return nil, err
	}
	svc := f.Services.existing(t.serviceName)
	if svc == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "the service "+t.serviceName+" has no upstreams")
	}
	t.lastEventID = t.metadata.LastEventID
	if err := t.findOrigin(r.Context()); err != nil {
		return nil, err
	}
	x.Software = t.software
	q := t.schedulerRequest()
	err = errNotExplained
	svc.runner.Do(func(sched routing.Scheduler, now time.Time) {
		if explainer, ok := sched.(routing.Explainer); ok {
			x.Scheduling, err = explainer.Explain(now, q), nil
		}
	})
	return x, err
}

// existing returns a service that has a scheduler, nil for another one.
func (s *Services) existing(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

// discardWriter takes the headers of a response that is not sent.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w discardWriter) WriteHeader(int)             {}
