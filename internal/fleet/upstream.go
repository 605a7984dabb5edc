// Package fleet is the aggregate of all upstreams: who they are, which
// incarnation and weights they run, and whether they may get new work. Readers
// take an immutable snapshot through an atomic pointer; writers copy it.
package fleet

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

// State says whether an upstream may get new work.
type State int8

const (
	// Unknown means that no state was learned yet.
	Unknown State = iota
	// Serving upstreams get work.
	Serving
	// Leaving upstreams get no new work; what they run goes on.
	Leaving
	// Down upstreams do not answer.
	Down
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"unknown", "serving", "leaving", "down"}[s]
}

// Upstream is one engine or one instance of a plain service. Values within a
// Snapshot are immutable.
type Upstream struct {
	Address    string
	Service    string
	DataCentre string
	Labels     map[string]string
	State      State
	// Engine is the newest state report of a model engine; zero for plain services.
	Engine upstream.EngineState
	// ReportedAt is when Engine was learned.
	ReportedAt time.Time
	// AddedAt is when the upstream was first listed or told of.
	AddedAt time.Time
	// Hash is the address's hash for rendezvous hashing.
	Hash uint64
}

// Serves reports whether the upstream may get new work for weights; plain
// services have no weights and are asked with "".
func (u *Upstream) Serves(weights string) bool {
	if u.State != Serving {
		return false
	}
	return weights == "" || (!u.Engine.Leaving && slices.Contains(u.Engine.Weights, weights))
}

// Matches reports whether the upstream carries all of the given labels.
func (u *Upstream) Matches(labels map[string]string) bool {
	for k, v := range labels {
		if u.Labels[k] != v {
			return false
		}
	}
	return true
}

// Snapshot is an immutable view of all upstreams.
type Snapshot struct {
	// Generation grows with each change.
	Generation uint64
	// ByService lists a service's upstreams, ordered by address.
	ByService map[string][]*Upstream
	// ByAddress finds one upstream.
	ByAddress map[string]*Upstream
}

func newUpstream(address, service, dataCentre string, labels map[string]string) *Upstream {
	return &Upstream{
		Address: address, Service: service, DataCentre: dataCentre, Labels: labels,
		AddedAt: time.Now(), Hash: prefix.NodeHash(address),
	}
}
