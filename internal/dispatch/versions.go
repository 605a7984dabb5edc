package dispatch

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/routing"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// versionTransitionPeriod is how long after a document comes into force its
// models may still be served by another version, while engines load the new one.
// It is the time within which an accepted document is in force everywhere.
const versionTransitionPeriod = 5 * time.Second

// versionCounts counts the engines of one model by the version they have loaded.
type versionCounts struct {
	// currentEngines is the number of engines with the version of the document.
	currentEngines int
	// otherEngines is the number of engines with only other versions.
	otherEngines int
	// mostCommonOther is the model in the version that most of those have.
	mostCommonOther servicedoc.Model
}

// countVersionsByModel counts the endpoints by version for each model of a
// document.
func countVersionsByModel(doc *servicedoc.Document, endpoints []routing.Endpoint) map[string]versionCounts {
	out := map[string]versionCounts{}
	for _, m := range doc.Models {
		out[m.Name] = countModelVersions(m, endpoints)
	}
	return out
}

func countModelVersions(m servicedoc.Model, endpoints []routing.Endpoint) versionCounts {
	counts := versionCounts{}
	enginesByVersion := map[servicedoc.WeightsID]int{}
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
			counts.currentEngines++
		case other.Name != "":
			counts.otherEngines++
			enginesByVersion[other]++
		}
	}
	maxEngines := 0
	for id, n := range enginesByVersion {
		if n > maxEngines || (n == maxEngines && id.Version > counts.mostCommonOther.Version) {
			maxEngines = n
			counts.mostCommonOther = m
			counts.mostCommonOther.Version = id.Version
		}
	}
	return counts
}

// selectVersion returns the request for the model version that is to serve it:
// the document's version, with two exceptions. While no engine has that version,
// the one that most engines have is used. During versionTransitionPeriod,
// requests are split in proportion to the engines with either version, so that
// the first engines with the new version are not overloaded.
func (d *Dispatcher) selectVersion(req *ModelRequest) *ModelRequest {
	service := req.Service.Document.Service
	d.mu.Lock()
	counts := d.versions[service][req.Model.Name]
	documentSetAt := d.documentSetAt[service]
	d.mu.Unlock()
	if counts.otherEngines == 0 || (counts.currentEngines > 0 && time.Since(documentSetAt) > versionTransitionPeriod) {
		return req
	}
	if counts.currentEngines > 0 {
		route := routingRequest(req)
		if route.Chain.HomeKey()%uint64(counts.currentEngines+counts.otherEngines) < uint64(counts.currentEngines) {
			return req
		}
	}
	fallback := *req
	fallback.Model = counts.mostCommonOther
	return &fallback
}

// applyRefusal updates the fleet with the state that an engine reported when it
// refused an attempt. It reports whether the engine refused because it has other
// weights now; the model version must then be selected again.
func (d *Dispatcher) applyRefusal(a *attempt) bool {
	refused, ok := refusalOf(a.err)
	if !ok || refused.Incarnation == "" {
		return false
	}
	d.cfg.Fleet.ApplyRefusal(a.action.Endpoint, refused.Incarnation, refused.Weights)
	return refused.Reason == upstream.RefusedWeights
}

// versionChanged reports whether a request did not run because engines switched
// to another model version meanwhile, so that it can be retried.
func (d *Dispatcher) versionChanged(err error, req, chosen *ModelRequest) bool {
	if verdict.Of(err) != verdict.NotRun {
		return false
	}
	if refused, ok := refusalOf(err); ok && refused.Reason == upstream.RefusedWeights {
		return true
	}
	e, ok := verdict.As(err)
	return ok && e.Code == verdict.CodeNoUpstream && d.selectVersion(req).Model.Version != chosen.Model.Version
}

func refusalOf(err error) (*upstream.RefusedError, bool) {
	var refused *upstream.RefusedError
	return refused, errors.As(err, &refused)
}
