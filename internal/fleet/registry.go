package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

// LoadedModel is a model that an engine has loaded.
type LoadedModel struct {
	Name    string
	Version int
}

// Registration is what an upstream states of itself in the platform's store.
type Registration struct {
	// ID names one upstream; mostly, each start has a new one.
	ID         string
	Address    string
	Service    string
	DataCentre string
	// Leaving upstreams get no new work.
	Leaving bool
	Slots   int
	// StartedAt is when the process started, in Unix milliseconds. It tells
	// two lives under one ID apart.
	StartedAt int64
	// Models is empty for plain services.
	Models []LoadedModel
	// Hash is the hash of ID for rendezvous hashing; Registry sets it.
	Hash uint64

	incarnation string
}

// Version returns the version of a model that the engine has loaded, 0 when none.
func (r *Registration) Version(model string) int {
	for _, m := range r.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

// Incarnation names one life of an upstream with one set of weights: its cache
// ends with either.
func (r *Registration) Incarnation() string { return r.incarnation }

func (r *Registration) nameIncarnation() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s/%d", r.ID, r.StartedAt)
	for _, m := range r.Models {
		fmt.Fprintf(&b, "/%s@%d", m.Name, m.Version)
	}
	return b.String()
}

// RegistrySnapshot is an immutable view of the registered upstreams.
type RegistrySnapshot struct {
	ByID map[string]*Registration
	// ByService lists a service's upstreams, ordered by ID.
	ByService map[string][]*Registration
}

// Registry holds the upstreams that registered themselves. Readers never block.
type Registry struct {
	current atomic.Pointer[RegistrySnapshot]
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	r := &Registry{}
	r.Replace(nil)
	return r
}

// Snapshot returns the current view.
func (r *Registry) Snapshot() *RegistrySnapshot { return r.current.Load() }

// Replace makes list the registered upstreams. One caller at a time.
func (r *Registry) Replace(list []Registration) *RegistrySnapshot {
	next := &RegistrySnapshot{ByID: map[string]*Registration{}, ByService: map[string][]*Registration{}}
	for i := range list {
		u := &list[i]
		u.Hash, u.incarnation = prefix.NodeHash(u.ID), u.nameIncarnation()
		next.ByID[u.ID] = u
		next.ByService[u.Service] = append(next.ByService[u.Service], u)
	}
	for _, service := range next.ByService {
		slices.SortFunc(service, func(a, b *Registration) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.current.Store(next)
	return next
}
