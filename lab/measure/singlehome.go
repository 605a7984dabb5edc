package measure

import (
	"github.com/verbenabend/verbenabend/internal/prefix"
	"github.com/verbenabend/verbenabend/internal/routing"
)

// singleHome sends each prefix to a single engine: the first in rendezvous order
// that can serve the request.
type singleHome struct{ *baseline }

func newSingleHome(routing.Settings) routing.Scheduler {
	p := singleHome{newBaseline()}
	p.choose = p.pick
	return p
}

func (p singleHome) pick(r *routing.Request) int {
	home, best := noneServes, uint64(0)
	for i := range p.endpoints {
		e := &p.endpoints[i]
		score := prefix.Score(r.Chain.HomeKey(), e.Hash)
		if p.serves(e, r) && (home < 0 || score > best) {
			home, best = i, score
		}
	}
	if home >= 0 && !p.hasRoom(&p.endpoints[home]) {
		return allFull
	}
	return home
}
