// Package rollout brings engines to the weights that the documents in force
// specify. One daemon at a time sends orders, under a lease; every order
// carries the lease's fencing token.
package rollout

import (
	"cmp"
	"slices"
	"strings"

	"github.com/verbenabend/verbenabend/internal/fleet"
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/servicedoc"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

const (
	// MaxConcurrentLoads bounds the engines that load weights at the same time,
	// over all services.
	MaxConcurrentLoads = 2
	// MaxWeightsPerEngine is the number of model versions that one engine can hold.
	MaxWeightsPerEngine = 2
	// MaxUnavailablePercent bounds the engines that orders leave without any
	// version of a model, in percent of those assigned to it, but allows at
	// least one.
	MaxUnavailablePercent = 25
)

// Candidate is one engine as the planner sees it.
type Candidate struct {
	*fleet.Upstream
	// Weights lists the loaded model versions, in the form of
	// servicedoc.Model.Weights.
	Weights []string
	// Busy is set while the engine loads or an order to it may still take
	// effect; it gets no other order.
	Busy bool
}

// Step is an order to one engine, without its fencing token.
type Step struct {
	Address string
	Order   upstream.Order
}

// Plan returns the orders that may be sent now. It is a pure function: the
// same documents and engines give the same steps.
func Plan(docs map[string]*servicedoc.Accepted, engines []Candidate) []Step {
	p := newPlanner(docs, engines)
	for _, e := range p.engines {
		p.planLoad(e)
	}
	for _, e := range p.engines {
		p.planUnload(e)
	}
	return p.steps
}

// plannedEngine is an engine with the weights that it should hold.
type plannedEngine struct {
	Candidate
	desired []string
}

type planner struct {
	engines []*plannedEngine
	// loading counts the engines that are busy or get an order to load, or to
	// unload before a load.
	loading int
	// enginesByModel lists the engines assigned to each model, by modelKey.
	enginesByModel map[string][]*plannedEngine
	steps          []Step
}

func newPlanner(docs map[string]*servicedoc.Accepted, engines []Candidate) *planner {
	p := &planner{enginesByModel: map[string][]*plannedEngine{}}
	perService := map[string][]*plannedEngine{}
	for _, e := range engines {
		e.Weights = slices.Clone(e.Weights)
		if e.Busy {
			p.loading++
		}
		doc := docs[e.Service]
		if doc == nil || doc.Document.Kind != servicedoc.KindModel || !inDataCentre(doc, e.DataCentre) || !e.usable() {
			continue
		}
		n := &plannedEngine{Candidate: e}
		p.engines = append(p.engines, n)
		perService[e.Service] = append(perService[e.Service], n)
	}
	for service, list := range perService {
		assign(docs[service], list)
		for _, e := range list {
			for _, w := range e.desired {
				key := modelKey(service, w)
				p.enginesByModel[key] = append(p.enginesByModel[key], e)
			}
		}
	}
	// Engines that serve the fewest of their models come first.
	slices.SortFunc(p.engines, func(a, b *plannedEngine) int {
		return cmp.Or(cmp.Compare(a.servedModels(), b.servedModels()), cmp.Compare(a.Address, b.Address))
	})
	return p
}

func inDataCentre(doc *servicedoc.Accepted, dc string) bool {
	return len(doc.Document.DataCentres) == 0 || slices.Contains(doc.Document.DataCentres, dc)
}

// assign decides what each engine of a service should hold: all models that
// its labels match or, when those are too many, the ones with the highest
// rendezvous scores. A model that no engine would hold replaces a redundant one.
func assign(doc *servicedoc.Accepted, engines []*plannedEngine) {
	holders := map[string]int{}
	for _, e := range engines {
		matching := matchingModels(doc, e)
		for _, m := range matching[:min(MaxWeightsPerEngine, len(matching))] {
			e.desired = append(e.desired, m.Weights())
			holders[m.Weights()]++
		}
	}
	for _, m := range doc.Document.Models {
		if holders[m.Weights()] == 0 {
			replaceRedundant(m, engines, holders)
		}
	}
}

// matchingModels returns the models that may run on e, highest rendezvous score
// first.
func matchingModels(doc *servicedoc.Accepted, e *plannedEngine) []servicedoc.Model {
	var list []servicedoc.Model
	for _, m := range doc.Document.Models {
		if e.HasLabels(m.Engines) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b servicedoc.Model) int { return cmp.Compare(rendezvousScore(e, b), rendezvousScore(e, a)) })
	return list
}

func rendezvousScore(e *plannedEngine, m servicedoc.Model) uint64 {
	return prefix.NodeHash(e.Address + "/" + m.Name)
}

// replaceRedundant assigns m to the engine with the highest rendezvous score for
// it among those with redundant weights, in place of these.
func replaceRedundant(m servicedoc.Model, engines []*plannedEngine, holders map[string]int) {
	var best *plannedEngine
	for _, e := range engines {
		if e.HasLabels(m.Engines) && e.redundantIndex(holders) >= 0 && (best == nil || rendezvousScore(e, m) > rendezvousScore(best, m)) {
			best = e
		}
	}
	if best == nil {
		return
	}
	i := best.redundantIndex(holders)
	holders[best.desired[i]]--
	best.desired[i] = m.Weights()
	holders[m.Weights()]++
}

// redundantIndex returns the index of desired weights that another engine is
// assigned too, or -1.
func (e *plannedEngine) redundantIndex(holders map[string]int) int {
	return slices.IndexFunc(e.desired, func(w string) bool { return holders[w] > 1 })
}

// servedModels returns the number of desired models that the engine holds in any
// version.
func (e *plannedEngine) servedModels() int {
	n := 0
	for _, w := range e.desired {
		if e.holdsModel(modelName(w)) {
			n++
		}
	}
	return n
}

func (e *plannedEngine) holdsModel(name string) bool {
	return slices.ContainsFunc(e.Weights, func(w string) bool { return modelName(w) == name })
}

func (e *plannedEngine) missingWeights() string {
	for _, w := range e.desired {
		if !slices.Contains(e.Weights, w) {
			return w
		}
	}
	return ""
}

// usable reports whether the engine takes requests. Others neither get orders
// nor count for capacity.
func (c Candidate) usable() bool { return c.State == fleet.Serving && !c.Engine.Leaving }

// planLoad adds an order for e to load missing weights, or one to unload old
// weights first when e is full.
func (p *planner) planLoad(e *plannedEngine) {
	w := e.missingWeights()
	if w == "" || e.Busy {
		return
	}
	if len(e.Weights) < MaxWeightsPerEngine {
		if p.loading < MaxConcurrentLoads {
			p.loading++
			e.Busy = true
			p.steps = append(p.steps, Step{e.Address, upstream.Order{Kind: upstream.OrderLoad, Weights: w}})
		}
		return
	}
	if p.loading >= MaxConcurrentLoads {
		return // unload only when the load can follow
	}
	for _, old := range e.Weights {
		if !slices.Contains(e.desired, old) && p.mayUnload(e, old) {
			p.loading++ // the load that follows
			p.addUnload(e, old)
			return
		}
	}
}

// mayUnload reports whether enough engines keep a version of old's model when e
// unloads old.
func (p *planner) mayUnload(e *plannedEngine, old string) bool {
	name := modelName(old)
	rest := slices.DeleteFunc(slices.Clone(e.Weights), func(w string) bool { return w == old })
	if slices.ContainsFunc(rest, func(w string) bool { return modelName(w) == name }) {
		return true
	}
	assigned := p.enginesByModel[modelKey(e.Service, old)]
	if !slices.Contains(assigned, e) {
		return p.modelCovered(assigned, name)
	}
	unavailable := 0
	for _, x := range assigned {
		if !x.holdsModel(name) {
			unavailable++
		}
	}
	return unavailable < max(1, len(assigned)*MaxUnavailablePercent/100)
}

// modelCovered reports whether enough of the assigned engines hold any version
// of a model.
func (p *planner) modelCovered(assigned []*plannedEngine, name string) bool {
	held := 0
	for _, x := range assigned {
		if x.holdsModel(name) {
			held++
		}
	}
	return held*100 >= len(assigned)*(100-MaxUnavailablePercent)
}

// planUnload adds an order for e to unload weights that it should not hold, once
// enough engines hold their replacement.
func (p *planner) planUnload(e *plannedEngine) {
	if e.missingWeights() != "" || e.Busy {
		return
	}
	for _, old := range e.Weights {
		if slices.Contains(e.desired, old) || !p.replacementReady(e, old) {
			continue
		}
		p.addUnload(e, old)
		return
	}
}

// replacementReady reports whether enough of the engines assigned to old's model
// hold the version in force.
func (p *planner) replacementReady(e *plannedEngine, old string) bool {
	assigned := p.enginesByModel[modelKey(e.Service, old)]
	held := 0
	for _, x := range assigned {
		if slices.ContainsFunc(x.Weights, func(w string) bool { return modelName(w) == modelName(old) && slices.Contains(x.desired, w) }) {
			held++
		}
	}
	return held*100 >= len(assigned)*(100-MaxUnavailablePercent)
}

func (p *planner) addUnload(e *plannedEngine, w string) {
	e.Weights = slices.DeleteFunc(e.Weights, func(x string) bool { return x == w })
	e.Busy = true
	p.steps = append(p.steps, Step{e.Address, upstream.Order{Kind: upstream.OrderUnload, Weights: w}})
}

func modelName(weights string) string {
	name, _, _ := strings.Cut(weights, "@")
	return name
}

func modelKey(service, weights string) string { return service + "/" + modelName(weights) }
