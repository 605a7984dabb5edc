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

// Registration is an upstream's own entry in the platform's store.
type Registration struct {
	// ID identifies one upstream; usually each start of the process has a new one.
	ID         string
	Address    string
	Service    string
	DataCentre string
	// Leaving upstreams get no new work.
	Leaving bool
	Slots   int
	// StartedAt is when the process started, in Unix milliseconds. It
	// distinguishes incarnations that share an ID.
	StartedAt int64
	// Software is the version of the upstream's software, which has no order; empty if not stated.
	Software string
	// Models is empty for plain services.
	Models []LoadedModel
	// Hash is the hash of ID for rendezvous hashing; Registry sets it.
	Hash uint64

	process, incarnation string
}

// Version returns the loaded version of a model, 0 when it is not loaded.
func (r *Registration) Version(model string) int {
	for _, m := range r.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

// Process identifies one run of the upstream's process, whatever its weights.
func (r *Registration) Process() string { return r.process }

// Incarnation identifies one run of the upstream's process with one set of
// weights. The upstream loses its cache when either changes.
func (r *Registration) Incarnation() string { return r.incarnation }

func (r *Registration) formatIncarnation() string {
	var b strings.Builder
	b.WriteString(r.process)
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

// Registry holds the upstreams registered in the platform's store. Readers never block.
type Registry struct {
	current atomic.Pointer[RegistrySnapshot]
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	r := &Registry{}
	r.Replace(nil)
	return r
}

// Snapshot returns the current snapshot; it never blocks.
func (r *Registry) Snapshot() *RegistrySnapshot { return r.current.Load() }

// Replace replaces all registered upstreams by list, which it takes over and
// modifies. Calls must not overlap.
func (r *Registry) Replace(list []Registration) *RegistrySnapshot {
	next := &RegistrySnapshot{ByID: map[string]*Registration{}, ByService: map[string][]*Registration{}}
	for i := range list {
		u := &list[i]
		u.Hash, u.process = prefix.NodeHash(u.ID), fmt.Sprintf("%s/%d", u.ID, u.StartedAt)
		u.incarnation = u.formatIncarnation()
		next.ByID[u.ID] = u
		next.ByService[u.Service] = append(next.ByService[u.Service], u)
	}
	for _, service := range next.ByService {
		slices.SortFunc(service, func(a, b *Registration) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.current.Store(next)
	return next
}
