// Package rollout brings engines to the weights that the documents in force
// ask for. One daemon at a time gives orders, under a lease; every order
// carries the lease's fencing number.
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
	// MaxLoading bounds the engines that load weights at the same time.
	MaxLoading = 2
	// EngineWeights is how many weights one engine can hold.
	EngineWeights = 2
	// MaxOutPercent bounds the engines of one model that orders leave without
	// any version of it, in percent of those assigned to it, but at least one.
	MaxOutPercent = 25
)

// Candidate is what the planner knows of one engine.
type Candidate struct {
	*fleet.Upstream
	// Weights lists what is loaded.
	Weights []string
	// Busy engines load, or may have been ordered to; they get no order.
	Busy bool
}

// Step is an order to one engine, without its fencing number.
type Step struct {
	Address string
	Order   upstream.Order
}

// Plan returns the orders that may be given now. It is a pure function: the
// same documents and engines give the same steps.
func Plan(docs map[string]*servicedoc.Accepted, engines []Candidate) []Step {
	p := newPlanner(docs, engines)
	for _, e := range p.order {
		p.restore(e)
	}
	for _, e := range p.order {
		p.tidy(e)
	}
	return p.steps
}

// planned is an engine with what it should hold.
type planned struct {
	Candidate
	desired []string
}

type planner struct {
	order   []*planned
	loading int
	// byModel lists the engines assigned to a model, by service and name.
	byModel map[string][]*planned
	steps   []Step
}

func newPlanner(docs map[string]*servicedoc.Accepted, engines []Candidate) *planner {
	p := &planner{byModel: map[string][]*planned{}}
	perService := map[string][]*planned{}
	for _, e := range engines {
		e.Weights = slices.Clone(e.Weights)
		if e.Busy {
			p.loading++
		}
		doc := docs[e.Service]
		if doc == nil || doc.Document.Kind != servicedoc.KindModel || !inDataCentre(doc, e.DataCentre) || !e.usable() {
			continue
		}
		n := &planned{Candidate: e}
		p.order = append(p.order, n)
		perService[e.Service] = append(perService[e.Service], n)
	}
	for service, list := range perService {
		assign(docs[service], list)
		for _, e := range list {
			for _, w := range e.desired {
				key := modelKey(service, w)
				p.byModel[key] = append(p.byModel[key], e)
			}
		}
	}
	// Engines that serve nothing are brought back first.
	slices.SortFunc(p.order, func(a, b *planned) int {
		return cmp.Or(cmp.Compare(a.served(), b.served()), cmp.Compare(a.Address, b.Address))
	})
	return p
}

func inDataCentre(doc *servicedoc.Accepted, dc string) bool {
	return len(doc.Document.DataCentres) == 0 || slices.Contains(doc.Document.DataCentres, dc)
}

// assign decides what each engine of a service should hold: all models that
// its labels match or, when those are too many, the ones that rendezvous
// hashing gives it; a model that nobody would hold goes to its first choice.
func assign(doc *servicedoc.Accepted, engines []*planned) {
	holders := map[string]int{}
	for _, e := range engines {
		matching := matchingModels(doc, e)
		for _, m := range matching[:min(EngineWeights, len(matching))] {
			e.desired = append(e.desired, m.Weights())
			holders[m.Weights()]++
		}
	}
	for _, m := range doc.Document.Models {
		if holders[m.Weights()] == 0 {
			takeOver(m, engines, holders)
		}
	}
}

// matchingModels returns the models that may run on e, best choice first.
func matchingModels(doc *servicedoc.Accepted, e *planned) []servicedoc.Model {
	var list []servicedoc.Model
	for _, m := range doc.Document.Models {
		if e.Matches(m.Engines) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b servicedoc.Model) int { return cmp.Compare(choice(e, b), choice(e, a)) })
	return list
}

func choice(e *planned, m servicedoc.Model) uint64 { return prefix.NodeHash(e.Address + "/" + m.Name) }

// takeOver gives m to its first choice among the engines that hold something
// which another engine holds too.
func takeOver(m servicedoc.Model, engines []*planned, holders map[string]int) {
	var best *planned
	for _, e := range engines {
		if e.Matches(m.Engines) && e.spare(holders) >= 0 && (best == nil || choice(e, m) > choice(best, m)) {
			best = e
		}
	}
	if best == nil {
		return
	}
	i := best.spare(holders)
	holders[best.desired[i]]--
	best.desired[i] = m.Weights()
	holders[m.Weights()]++
}

// spare returns the index of a desired weight that another engine holds too, or -1.
func (e *planned) spare(holders map[string]int) int {
	return slices.IndexFunc(e.desired, func(w string) bool { return holders[w] > 1 })
}

// served counts the desired models that the engine holds in any version.
func (e *planned) served() int {
	n := 0
	for _, w := range e.desired {
		if e.holdsModel(modelName(w)) {
			n++
		}
	}
	return n
}

func (e *planned) holdsModel(name string) bool {
	return slices.ContainsFunc(e.Weights, func(w string) bool { return modelName(w) == name })
}

func (e *planned) missing() string {
	for _, w := range e.desired {
		if !slices.Contains(e.Weights, w) {
			return w
		}
	}
	return ""
}

// usable reports whether the engine gets work at all. Others neither get
// orders nor count for capacity.
func (c Candidate) usable() bool { return c.State == fleet.Serving && !c.Engine.Leaving }

// restore orders e to load what it lacks, after making room if it must.
func (p *planner) restore(e *planned) {
	w := e.missing()
	if w == "" || e.Busy {
		return
	}
	if len(e.Weights) < EngineWeights {
		if p.loading < MaxLoading {
			p.loading++
			e.Busy = true
			p.steps = append(p.steps, Step{e.Address, upstream.Order{Kind: upstream.OrderLoad, Weights: w}})
		}
		return
	}
	if p.loading >= MaxLoading {
		return // room is made only for a load that can follow
	}
	for _, old := range e.Weights {
		if !slices.Contains(e.desired, old) && p.mayTakeOut(e, old) {
			p.loading++ // the load that follows
			p.unload(e, old)
			return
		}
	}
}

// mayTakeOut reports whether e may go without old and its model for a time.
func (p *planner) mayTakeOut(e *planned, old string) bool {
	name := modelName(old)
	rest := slices.DeleteFunc(slices.Clone(e.Weights), func(w string) bool { return w == old })
	if slices.ContainsFunc(rest, func(w string) bool { return modelName(w) == name }) {
		return true
	}
	assigned := p.byModel[modelKey(e.Service, old)]
	if !slices.Contains(assigned, e) {
		return p.covered(assigned, name)
	}
	out := 0
	for _, x := range assigned {
		if !x.holdsModel(name) {
			out++
		}
	}
	return out < max(1, len(assigned)*MaxOutPercent/100)
}

// covered reports whether enough of the assigned engines hold a version of a model.
func (p *planner) covered(assigned []*planned, name string) bool {
	held := 0
	for _, x := range assigned {
		if x.holdsModel(name) {
			held++
		}
	}
	return held*100 >= len(assigned)*(100-MaxOutPercent)
}

// tidy orders e to unload what no document asks of it, once enough engines
// hold what replaces it.
func (p *planner) tidy(e *planned) {
	if e.missing() != "" || e.Busy {
		return
	}
	for _, old := range e.Weights {
		if slices.Contains(e.desired, old) || !p.replaced(e, old) {
			continue
		}
		p.unload(e, old)
		return
	}
}

// replaced reports whether enough of the engines assigned to old's model hold
// the version in force.
func (p *planner) replaced(e *planned, old string) bool {
	assigned := p.byModel[modelKey(e.Service, old)]
	held := 0
	for _, x := range assigned {
		if slices.ContainsFunc(x.Weights, func(w string) bool { return modelName(w) == modelName(old) && slices.Contains(x.desired, w) }) {
			held++
		}
	}
	return held*100 >= len(assigned)*(100-MaxOutPercent)
}

func (p *planner) unload(e *planned, w string) {
	e.Weights = slices.DeleteFunc(e.Weights, func(x string) bool { return x == w })
	e.Busy = true
	p.steps = append(p.steps, Step{e.Address, upstream.Order{Kind: upstream.OrderUnload, Weights: w}})
}

func modelName(weights string) string {
	name, _, _ := strings.Cut(weights, "@")
	return name
}

func modelKey(service, weights string) string { return service + "/" + modelName(weights) }
