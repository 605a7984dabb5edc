package fleet

import (
	"time"

	"github.com/verbenabend/verbenabend/internal/upstream"
)

// PeerState is the state of an upstream that its watchers publish to the other
// daemons. It holds all that a daemon needs which can't read the platform's
// instance list.
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

// PeerStateOf returns the state of u to publish to peers.
func PeerStateOf(u *Upstream) PeerState {
	return PeerState{
		Service: u.Service, DataCentre: u.DataCentre, Labels: u.Labels, State: u.State,
		Incarnation: u.Engine.Incarnation, Weights: u.Engine.Weights, Slots: u.Engine.Slots, Loading: u.Engine.Loading,
	}
}

// ownReportMaxAge is the age up to which a daemon's own report takes precedence over peers' reports.
const ownReportMaxAge = 2 * time.Second

// ApplyPeerState records a peer's report of an upstream. On a daemon that
// watches the upstream itself, its own recent report takes precedence, except
// over a peer's report that the upstream is leaving.
func (f *Fleet) ApplyPeerState(address string, s PeerState, watched bool, now time.Time) {
	f.updateSnapshot(func(byAddress map[string]*Upstream) bool {
		old := byAddress[address]
		ownReportRecent := old != nil && watched && now.Sub(old.ReportedAt) < ownReportMaxAge
		informative := s.State != Unknown || old == nil
		if (ownReportRecent && s.State != Leaving) || !informative || s.State < Unknown || s.State > Down {
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
