package measure

import (
	"math/rand/v2"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// leastOutstanding uses the engine with the fewest of the daemon's own
// requests, breaking ties at random.
type leastOutstanding struct {
	*baseline
	rand *rand.Rand
}

func newLeastOutstanding(s routing.Settings) routing.Scheduler {
	p := &leastOutstanding{baseline: newBaseline(), rand: newRand(s.Seed, "least-outstanding")}
	p.choose = p.pick
	return p
}

func (p *leastOutstanding) pick(r *routing.Request) int {
	best, ties := unserved, 0
	for i := range p.endpoints {
		e := &p.endpoints[i]
		switch {
		case !p.serves(e, r):
		case !p.hasRoom(e):
			if best == unserved {
				best = noEndpoint
			}
		case best < 0 || p.outstanding[e.ID] < p.outstanding[p.endpoints[best].ID]:
			best, ties = i, 1
		case p.outstanding[e.ID] == p.outstanding[p.endpoints[best].ID]:
			ties++
			if p.rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
