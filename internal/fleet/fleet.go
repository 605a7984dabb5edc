package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/upstream"
)

// Fleet holds the current snapshot of all upstreams. It is safe for concurrent use.
type Fleet struct {
	current  atomic.Pointer[Snapshot]
	mu       sync.Mutex // serialises writers
	onChange func(*Snapshot)
}

// New returns an empty fleet. onChange, if not nil, is called after each
// change with the new snapshot, one call at a time.
func New(onChange func(*Snapshot)) *Fleet {
	f := &Fleet{onChange: onChange}
	f.current.Store(&Snapshot{ByService: map[string][]*Upstream{}, ByAddress: map[string]*Upstream{}})
	return f
}

// Snapshot returns the current snapshot; it never blocks.
func (f *Fleet) Snapshot() *Snapshot { return f.current.Load() }

// ApplyInstanceList merges the platform's instance list: upstreams no longer listed are
// removed, leaving ones are marked. The list is eventually consistent, so it
// never sets a leaving or down upstream to serving; a state report does.
func (f *Fleet) ApplyInstanceList(list []platform.Instance) {
	f.updateSnapshot(func(byAddress map[string]*Upstream) bool {
		changed := false
		listed := map[string]bool{}
		for _, in := range list {
			if in.Service == platform.EntryService {
				continue
			}
			listed[in.Address] = true
			changed = mergeInstance(byAddress, in) || changed
		}
		for address := range byAddress {
			if !listed[address] {
				delete(byAddress, address)
				changed = true
			}
		}
		return changed
	})
}

func mergeInstance(byAddress map[string]*Upstream, in platform.Instance) bool {
	old, known := byAddress[in.Address]
	next := newUpstream(in.Address, in.Service, in.DataCentre, in.Labels)
	if known {
		if old.Service == in.Service && old.DataCentre == in.DataCentre && maps.Equal(old.Labels, in.Labels) &&
			(in.State != platform.InstanceLeaving || old.State == Leaving) {
			return false
		}
		next.State, next.Engine, next.ReportedAt, next.AddedAt = old.State, old.Engine, old.ReportedAt, old.AddedAt
	}
	if in.State == platform.InstanceLeaving {
		next.State = Leaving
	}
	byAddress[in.Address] = next
	return true
}

// ApplyEngineState records an engine's own state report of time at. Reports
// older than the last one are ignored.
func (f *Fleet) ApplyEngineState(address string, s upstream.EngineState, at time.Time) {
	f.updateUpstream(address, func(u *Upstream) bool {
		if at.Before(u.ReportedAt) {
			return false
		}
		restarted := s.Incarnation != u.Engine.Incarnation
		u.Engine, u.ReportedAt = s, at
		switch {
		case s.Leaving:
			u.State = Leaving
		case u.State != Leaving || restarted:
			u.State = Serving
		}
		return true
	})
}

// ApplyRefusal records the incarnation and weights that an engine stated when
// it refused a request. They are newer than any state report.
func (f *Fleet) ApplyRefusal(address, incarnation string, weights []string) {
	f.updateUpstream(address, func(u *Upstream) bool {
		if u.Engine.Incarnation == incarnation && slices.Equal(u.Engine.Weights, weights) {
			return false
		}
		u.Engine.Incarnation, u.Engine.Weights = incarnation, weights
		return true
	})
}

// SetState sets the state of an upstream. A leaving upstream can only become down.
func (f *Fleet) SetState(address string, s State) {
	f.updateUpstream(address, func(u *Upstream) bool {
		if u.State == s || (u.State == Leaving && s != Down) {
			return false
		}
		u.State = s
		return true
	})
}

func (f *Fleet) updateUpstream(address string, change func(*Upstream) bool) {
	f.updateSnapshot(func(byAddress map[string]*Upstream) bool {
		old, ok := byAddress[address]
		if !ok {
			return false
		}
		next := *old
		if !change(&next) {
			return false
		}
		byAddress[address] = &next
		return true
	})
}

func (f *Fleet) updateSnapshot(change func(map[string]*Upstream) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.current.Load()
	byAddress := maps.Clone(old.ByAddress)
	if !change(byAddress) {
		return
	}
	next := &Snapshot{Generation: old.Generation + 1, ByAddress: byAddress, ByService: map[string][]*Upstream{}}
	for _, u := range byAddress {
		next.ByService[u.Service] = append(next.ByService[u.Service], u)
	}
	for _, list := range next.ByService {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.Address, b.Address) })
	}
	f.current.Store(next)
	if f.onChange != nil {
		f.onChange(next)
	}
}
