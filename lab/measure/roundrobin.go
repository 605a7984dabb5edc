package measure

import "github.com/verbenabend/verbenabend/internal/routing"

// roundRobin uses the engines in turn.
type roundRobin struct {
	*baseline
	next int
}

func newRoundRobin(s routing.Settings) routing.Scheduler {
	p := &roundRobin{baseline: newBaseline(), next: int(s.Seed % firstTurns)}
	p.choose = p.pick
	return p
}

// firstTurns spreads the daemons' first choices.
const firstTurns = 1009

func (p *roundRobin) pick(r *routing.Request) int {
	found := unserved
	for n := range p.endpoints {
		i := (p.next + n) % len(p.endpoints)
		e := &p.endpoints[i]
		if !p.serves(e, r) {
			continue
		}
		if p.hasRoom(e) {
			p.next = i + 1
			return i
		}
		found = noEndpoint
	}
	return found
}
