package fleet

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/upstream"
)

// PeerState is what one daemon tells others of an upstream that it watches.
// It holds all that a daemon needs which can't reach the platform's list.
type PeerState struct {
	Service     string            `msgpack:"s"`
	DataCentre  string            `msgpack:"d"`
	Labels      map[string]string `msgpack:"l,omitempty"`
	State       State             `msgpack:"t"`
	Incarnation string            `msgpack:"i,omitempty"`
	Weights     []string          `msgpack:"w,omitempty"`
	Slots       int               `msgpack:"n,omitempty"`
	Loading     bool              `msgpack:"o,omitempty"`
}

// PeerStateOf returns what to tell of u.
func PeerStateOf(u *Upstream) PeerState {
	return PeerState{
		Service: u.Service, DataCentre: u.DataCentre, Labels: u.Labels, State: u.State,
		Incarnation: u.Engine.Incarnation, Weights: u.Engine.Weights, Slots: u.Engine.Slots, Loading: u.Engine.Loading,
	}
}

// ownReportFresh is how long a daemon's own report outweighs what peers tell.
const ownReportFresh = 2 * time.Second

// ApplyPeerState records what a peer tells of an upstream. A daemon that
// watches the upstream itself trusts its own fresh reports, but believes a
// peer that says it is leaving.
func (f *Fleet) ApplyPeerState(address string, s PeerState, watched bool, now time.Time) {
	f.update(func(byAddress map[string]*Upstream) bool {
		old := byAddress[address]
		fresh := old != nil && watched && now.Sub(old.ReportedAt) < ownReportFresh
		news := s.State != Unknown || old == nil
		if (fresh && s.State != Leaving) || !news || s.State < Unknown || s.State > Down {
			return false
		}
		next := newUpstream(address, s.Service, s.DataCentre, s.Labels)
		next.State = s.State
		next.Engine = upstream.EngineState{
			Incarnation: s.Incarnation, Weights: s.Weights, Slots: s.Slots, Loading: s.Loading, Leaving: s.State == Leaving,
		}
		if old != nil {
			next.ReportedAt, next.AddedAt = old.ReportedAt, old.AddedAt
			if old.State == Leaving && old.Engine.Incarnation == s.Incarnation && s.State == Serving {
				return false
			}
		}
		byAddress[address] = next
		return true
	})
}
