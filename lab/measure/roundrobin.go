package measure

import "github.com/verbenabend/verbenabend/internal/routing"

// roundRobin picks the engines in turn.
type roundRobin struct {
	*baseline
	next int
}

func newRoundRobin(s routing.Settings) routing.Scheduler {
	p := &roundRobin{baseline: newBaseline(), next: int(s.Seed % initialOffsetRange)}
	p.choose = p.pick
	return p
}

// initialOffsetRange bounds the random first index, so that daemons don't all
// start at the same engine.
const initialOffsetRange = 1009

func (p *roundRobin) pick(r *routing.Request) int {
	result := noneServes
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
		result = allFull
	}
	return result
}
