package dispatch

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// transition is how long after the adoption of a document its models may still
// be served by another version that engines run, while they load the new one.
// It is the time within which an accepted document is in force everywhere.
const transition = 5 * time.Second

// modelVersions counts the engines of one model by what they have loaded.
type modelVersions struct {
	// current is the number of engines with the version of the document.
	current int
	// others is the number of engines with another version only.
	others int
	// other is the version that most of those have.
	other servicedoc.Model
}

// countVersions counts, for each model of a document, the engines given to the
// scheduler by version.
func countVersions(doc *servicedoc.Document, endpoints []routing.Endpoint) map[string]modelVersions {
	out := map[string]modelVersions{}
	for _, m := range doc.Models {
		out[m.Name] = countModel(m, endpoints)
	}
	return out
}

func countModel(m servicedoc.Model, endpoints []routing.Endpoint) modelVersions {
	v := modelVersions{}
	holders := map[servicedoc.WeightsID]int{}
	for _, e := range endpoints {
		current, other := false, servicedoc.WeightsID{}
		for _, w := range e.Weights {
			id, ok := servicedoc.ParseWeights(w)
			switch {
			case w == m.Weights():
				current = true
			case ok && id.Name == m.Name && id.Adapter == m.Adapter:
				other = id
			}
		}
		switch {
		case current:
			v.current++
		case other.Name != "":
			v.others++
			holders[other]++
		}
	}
	best := 0
	for id, n := range holders {
		if n > best || (n == best && id.Version > v.other.Version) {
			best = n
			v.other = m
			v.other.Version = id.Version
		}
	}
	return v
}

// withVersion returns the request for the version of its model that serves it:
// that of the document, but for two cases. While no engine has it, the version
// that most engines have serves on. Within the transition, requests are shared
// out by the number of engines with either, so that the first engines that have
// loaded the new version need not carry all work alone.
func (d *Dispatcher) withVersion(req *ModelRequest) *ModelRequest {
	service := req.Service.Document.Service
	d.mu.Lock()
	v := d.versions[service][req.Model.Name]
	adopted := d.adopted[service]
	d.mu.Unlock()
	if v.others == 0 || (v.current > 0 && time.Since(adopted) > transition) {
		return req
	}
	if v.current > 0 {
		route := routingRequest(req)
		if route.Chain.HomeKey()%uint64(v.current+v.others) < uint64(v.current) {
			return req
		}
	}
	other := *req
	other.Model = v.other
	return &other
}

// heed takes in what an engine said of itself when it refused an attempt, and
// reports whether it refused because it has other weights now: then the version
// of the request is chosen anew.
func (d *Dispatcher) heed(a *attempt) bool {
	refused, ok := refusalOf(a.err)
	if !ok || refused.Incarnation == "" {
		return false
	}
	d.cfg.Fleet.ApplyRefusal(a.action.Endpoint, refused.Incarnation, refused.Weights)
	return refused.Reason == upstream.RefusedWeights
}

// otherVersion reports whether a request was not run because engines went over
// to another version while it was on its way, so that it may be tried anew.
func (d *Dispatcher) otherVersion(err error, req, chosen *ModelRequest) bool {
	if verdict.Of(err) != verdict.NotRun {
		return false
	}
	if refused, ok := refusalOf(err); ok && refused.Reason == upstream.RefusedWeights {
		return true
	}
	e, ok := verdict.As(err)
	return ok && e.Code == verdict.CodeNoUpstream && d.withVersion(req).Model.Version != chosen.Model.Version
}

func refusalOf(err error) (*upstream.RefusedError, bool) {
	var refused *upstream.RefusedError
	return refused, errors.As(err, &refused)
}
