// Package fleet holds a daemon's view of all upstreams: their addresses, the
// incarnation and weights that they run, and whether they may get new work.
// Readers load an immutable snapshot through an atomic pointer; writers
// replace it by a changed copy.
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
	// Unknown means that no state has been reported yet.
	Unknown State = iota
	// Serving upstreams get work.
	Serving
	// Leaving upstreams get no new work; their running requests continue.
	Leaving
	// Down upstreams do not respond.
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
	// ReportedAt is the time of the report in Engine.
	ReportedAt time.Time
	// AddedAt is when the upstream was first listed or reported by a peer.
	AddedAt time.Time
	// Hash is the address's hash for rendezvous hashing.
	Hash uint64
}

// Serves reports whether the upstream may get new work for weights, which is ""
// for plain services.
func (u *Upstream) Serves(weights string) bool {
	if u.State != Serving {
		return false
	}
	return weights == "" || (!u.Engine.Leaving && slices.Contains(u.Engine.Weights, weights))
}

// HasLabels reports whether the upstream has all of the given labels.
func (u *Upstream) HasLabels(labels map[string]string) bool {
	for k, v := range labels {
		if u.Labels[k] != v {
			return false
		}
	}
	return true
}

// Snapshot is an immutable view of all upstreams.
type Snapshot struct {
	// Generation increases by 1 with each change.
	Generation uint64
	// ByService lists a service's upstreams, ordered by address.
	ByService map[string][]*Upstream
	ByAddress map[string]*Upstream
}

func newUpstream(address, service, dataCentre string, labels map[string]string) *Upstream {
	return &Upstream{
		Address: address, Service: service, DataCentre: dataCentre, Labels: labels,
		AddedAt: time.Now(), Hash: prefix.NodeHash(address),
	}
}
