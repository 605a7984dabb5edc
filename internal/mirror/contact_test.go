package mirror

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/platform"
)

// knownAnswers is a contact with answers each half second from a time to another, but for a gap.
func knownAnswers(from, until platform.StoreTime, lost gap, failed bool) contact {
	c := contact{minOutage: 2 * time.Second}
	for at := from; at <= until; at += 500 {
		if at > lost.from && at < lost.until {
			if failed {
				c.failed(at)
			}
			continue
		}
		c.answered(at, at)
	}
	return c
}

// Guards against a lost link that is taken for an outage of the store, and against an outage that
// is not noticed, or dated later than its end, because one daemon notices it late.
func TestOutagesAreToldFromLostLinks(t *testing.T) {
	never := gap{}
	for _, c := range []struct {
		name     string
		own      contact
		peer     contact
		returned platform.StoreTime
	}{
		{"own link lost", knownAnswers(1000, 20000, gap{from: 5000, until: 9000}, true), knownAnswers(2000, 20000, never, false), 0},
		{"own link lost, peer started meanwhile", knownAnswers(1000, 20000, gap{from: 5000, until: 9000}, true), knownAnswers(6000, 20000, never, false), 0},
		{"own link lost, peer started late in it", knownAnswers(1000, 20000, gap{from: 5000, until: 9000}, true), knownAnswers(8000, 20000, never, false), 8000},
		{"outage, both failed", knownAnswers(1000, 20000, gap{from: 5000, until: 9000}, true), knownAnswers(1000, 20000, gap{from: 5500, until: 8500}, true), 8500},
		{"outage, own read late", knownAnswers(1000, 20000, gap{from: 5000, until: 12000}, true), knownAnswers(1000, 20000, gap{from: 5500, until: 8500}, true), 8500},
		{"outage, only the peer asked", knownAnswers(1000, 20000, gap{from: 5000, until: 9000}, false), knownAnswers(1000, 20000, gap{from: 5500, until: 8500}, true), 8500},
		{"outage, peer knows nothing", knownAnswers(1000, 20000, gap{from: 5000, until: 9000}, true), contact{}, 9000},
		{"outage, told at the start", contact{minOutage: 2 * time.Second}, knownAnswers(1000, 20000, gap{from: 5500, until: 8500}, true), 8500},
		{"nobody asked", knownAnswers(1000, 20000, gap{from: 5000, until: 9000}, false), knownAnswers(1000, 20000, gap{from: 5000, until: 9000}, false), 0},
		{"too short", knownAnswers(1000, 20000, gap{from: 5000, until: 6500}, true), knownAnswers(1000, 20000, gap{from: 5000, until: 6500}, true), 0},
		{"links lost one after the other", knownAnswers(1000, 20000, gap{from: 5000, until: 9000}, true), knownAnswers(1000, 20000, gap{from: 8000, until: 12000}, true), 0},
		{"link lost after an outage", knownAnswers(1000, 9000, gap{from: 3000, until: 6000}, true), knownAnswers(1000, 9000, gap{from: 3000, until: 6000}, true), 6000},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.own.relayed(c.peer.state())
			assert.Equal(t, c.own.returnedAt(), c.returned)
			c.own.relayed(c.peer.state())
			assert.Equal(t, c.own.returnedAt(), c.returned, "told again")
		})
	}
}

// Guards against a store in order that is taken for one that was away because one daemon's calls failed, and
// those of others were slow; and against outages that are not noticed because calls survive them.
func TestOutagesAreToldFromSlowCalls(t *testing.T) {
	const from, until = 5000, 9000
	newContact := func(name string) contact {
		c := contact{self: name, witnesses: maxWitnesses, minOutage: 2 * time.Second}
		c.answered(1000, 1000)
		c.answered(from, from)
		return c
	}
	for _, c := range []struct {
		name     string
		happens  func(own, peer *contact)
		returned platform.StoreTime
	}{
		{"only own calls failed", func(own, _ *contact) { own.failed(7000) }, 0},
		{"both failed", func(own, peer *contact) { own.failed(7000); peer.failed(7500) }, until},
		{"a peer's call was slow", func(own, peer *contact) {
			own.failed(7000)
			peer.failed(7500)
			peer.answered(6000, until+500)
		}, 0},
		{"a peer's call was sent too late", func(own, peer *contact) {
			own.failed(7000)
			peer.failed(7500)
			peer.answered(8000, until+500)
		}, until},
		{"an answer came late", func(own, peer *contact) {
			own.failed(6000)
			peer.failed(8000)
			own.answered(until, until)
			peer.answered(6900, 7050)
		}, 0},
		{"a failure becomes known late", func(own, peer *contact) {
			own.answered(until, until)
			own.failed(7000)
			peer.failed(7500)
		}, until},
		{"calls survived, rows vanished", func(own, peer *contact) {
			own.answered(from, until)
			peer.answered(from, until)
			own.rowsVanished()
		}, until},
	} {
		t.Run(c.name, func(t *testing.T) {
			own, peer := newContact("own"), newContact("peer")
			c.happens(&own, &peer)
			own.answered(until, until)
			peer.relayed(own.state())
			own.relayed(peer.state())
			assert.Equal(t, own.returnedAt(), c.returned)
			peer.relayed(own.state())
			assert.Equal(t, peer.returnedAt(), c.returned, "at the peer")
		})
	}
}

// Guards against outages that daemons don't all know of, know too late or make up, whatever links
// fail meanwhile and in whatever order the daemons tell each other.
func TestDaemonsAgreeOnTheStoresReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			step      = 100 // all times are in ms
			readEach  = 500
			minOutage = 2000
		)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		drawTime := func(name string, lengths ...int) gap {
			from := platform.StoreTime(rapid.IntRange(30, 150).Draw(t, name) * step)
			return gap{from: from, until: from + platform.StoreTime(rapid.SampledFrom(lengths).Draw(t, name+"'s length"))}
		}
		outage := drawTime("outage", 0, 1000, 2500, 5000)
		daemons, cuts := make([]contact, rapid.IntRange(2, 6).Draw(t, "daemons")), make([]gap, 6)
		for i := range daemons {
			daemons[i].minOutage = minOutage * time.Millisecond
			if i > 0 { // the first one keeps its link
				cuts[i] = drawTime("cut", 0, 700, 1500, 3000, 8000)
			}
		}
		in := func(s gap, at platform.StoreTime) bool { return at >= s.from && at < s.until }
		firstAnswer := platform.StoreTime(0)
		for at := platform.StoreTime(step); at <= outage.until.Add(reappearanceWindow); at += step {
			for i := range daemons {
				switch {
				case (at+platform.StoreTime(i*step))%readEach != 0:
				case in(outage, at) || in(cuts[i], at):
					daemons[i].failed(at)
				default:
					daemons[i].answered(at, at)
					if at >= outage.until && firstAnswer == 0 {
						firstAnswer = at
					}
				}
				if from := random.IntN(3 * len(daemons)); from < len(daemons) && !in(cuts[i], at) && !in(cuts[from], at) {
					daemons[i].relayed(daemons[from].state())
				}
			}
		}
		for range daemons {
			for i := range daemons {
				for j := range daemons {
					daemons[i].relayed(daemons[j].state())
				}
			}
		}
		if outage.length() < minOutage*time.Millisecond {
			firstAnswer = 0
		}
		for i := range daemons {
			assert.Equal(t, daemons[i].returnedAt(), firstAnswer, "daemon %d of %d; outage %v, cuts %v", i, len(daemons), outage, cuts)
		}
	})
}
