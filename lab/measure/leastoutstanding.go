package measure

import (
	"math/rand/v2"

	"github.com/verbenabend/verbenabend/internal/routing"
)

// leastOutstanding picks the engine with the fewest of this daemon's requests in
// flight and breaks ties at random.
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
	best, ties := noneServes, 0
	for i := range p.endpoints {
		e := &p.endpoints[i]
		switch {
		case !p.serves(e, r):
		case !p.hasRoom(e):
			if best == noneServes {
				best = allFull
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
