package mirror

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/platform"
)

const (
	// maxGaps is how many gaps a contact remembers.
	maxGaps = 4
	// maxWitnesses is how many daemons must have failed in an outage, if so many are known. The
	// failures of one may be those of its link.
	maxWitnesses = 2
)

// contact is what is known of when the store answered calls, this daemon's or others'. A gap
// between its answers may have been an outage of the store, in which rows of live writers expired.
// Each answer that becomes known later, or arrives late, makes the gap shorter: the store was in
// order then, and it was a link or a machine that was not. Times are those of Clock.
type contact struct {
	// self is this daemon's name. witnesses is how many daemons must have failed in an outage.
	self      string
	witnesses int
	// minOutage is the length of the shortest gap that counts.
	minOutage time.Duration
	// since and last are the first and the last known answer; 0 before the first.
	since, last platform.StoreTime
	// gaps are the times of at least minOutage between since and last without a known answer,
	// the latest last.
	gaps []gap
	// failures are the latest failures after last, one for each daemon.
	failures []platform.Failure
}

// gap is the time between two answers.
type gap struct {
	from, until platform.StoreTime
	// asked is when the first call was sent that the store is known to have answered at until or
	// later. A call that is sent in an outage is lost.
	asked platform.StoreTime
	// failedBy are daemons that had a call fail in the gap, maxWitnesses at most.
	failedBy []string
	// vanished is set if rows vanished as they do when the store was down: without a trace in the
	// history, or most of them at once.
	vanished bool
}

func (g gap) length() time.Duration { return g.until.Sub(g.from) }

// clip returns the part of the gap between two times.
func (g gap) clip(from, until platform.StoreTime) gap {
	g.from, g.until = max(g.from, from), min(g.until, until)
	g.asked = min(max(g.asked, g.from), g.until)
	return g
}

func (g *gap) addFailure(by string) {
	if len(g.failedBy) < maxWitnesses && !slices.Contains(g.failedBy, by) {
		g.failedBy = append(slices.Clip(g.failedBy), by)
	}
}

// isOutage reports whether the store is known to have been down in the gap. Calls without an answer
// alone do not show it: they may be slow.
func (c *contact) isOutage(g gap) bool {
	return g.vanished || len(g.failedBy) >= max(1, c.witnesses) && g.asked.Sub(g.from) >= c.minOutage
}

// failed notes that a call of this daemon failed, or was sent and is not answered although a later
// one is.
func (c *contact) failed(at platform.StoreTime) { c.failedAt(platform.Failure{By: c.self, At: at}) }

func (c *contact) failedAt(f platform.Failure) {
	if f.At <= c.last {
		for i := range c.gaps {
			if f.At > c.gaps[i].from && f.At < c.gaps[i].until {
				c.gaps[i].addFailure(f.By)
			}
		}
		return
	}
	i := slices.IndexFunc(c.failures, func(old platform.Failure) bool { return old.By == f.By })
	switch {
	case i >= 0:
		c.failures[i].At = max(c.failures[i].At, f.At)
	case len(c.failures) < maxWitnesses:
		c.failures = append(c.failures, f)
	}
}

// answered notes an answer to a call that was sent at a time and read at another.
func (c *contact) answered(sentAt, readAt platform.StoreTime) {
	c.covered(readAt, readAt)
	for i, g := range c.gaps {
		if sentAt < g.until && readAt >= g.until {
			c.gaps[i].asked = min(g.asked, max(sentAt, g.from))
		}
	}
}

// covered notes that the store answered from one time to another without a gap that counts.
func (c *contact) covered(from, until platform.StoreTime) {
	if c.last == 0 {
		c.since, c.last = from, until
		return
	}
	var gaps []gap
	add := func(g gap) {
		if g.length() >= c.minOutage {
			gaps = append(gaps, g)
		}
	}
	for _, g := range c.gaps {
		if from >= g.until || until <= g.from {
			gaps = append(gaps, g)
			continue
		}
		add(g.clip(g.from, from))
		add(g.clip(until, g.until))
	}
	if until > c.last {
		opened := gap{from: c.last, until: from, asked: from}
		for _, f := range c.failures {
			if f.At <= from {
				opened.addFailure(f.By)
			}
		}
		add(opened)
		c.last = until
		c.failures = slices.DeleteFunc(c.failures, func(f platform.Failure) bool { return f.At <= until })
	}
	for len(gaps) > maxGaps {
		c.since, gaps = gaps[0].until, gaps[1:]
	}
	c.gaps = gaps
}

// relayed notes what another daemon knows.
func (c *contact) relayed(other platform.Contact) {
	if other.Last == 0 {
		return
	}
	from := other.Since
	for _, g := range other.Gaps {
		c.covered(from, g.From)
		from = g.Until
	}
	c.covered(from, other.Last)
	for i := range c.gaps {
		mine := &c.gaps[i]
		for _, g := range other.Gaps {
			both := mine.clip(g.From, g.Until)
			if both.length() < c.minOutage {
				continue
			}
			if g.Asked != 0 {
				mine.asked = min(mine.asked, max(g.Asked, mine.from))
			}
			for _, by := range g.FailedBy {
				mine.addFailure(by)
			}
			mine.vanished = mine.vanished || g.Vanished
		}
	}
	for _, f := range other.Failures {
		c.failedAt(f)
	}
}

// state returns what is known, for other daemons.
func (c *contact) state() platform.Contact {
	out := platform.Contact{Since: c.since, Last: c.last, Failures: slices.Clone(c.failures)}
	for _, g := range c.gaps {
		out.Gaps = append(out.Gaps, platform.Gap{From: g.from, Until: g.until, Asked: g.asked, FailedBy: slices.Clone(g.failedBy), Vanished: g.vanished})
	}
	return out
}

// lastGap returns the latest gap; ok is false if there is none.
func (c *contact) lastGap() (g gap, ok bool) {
	if len(c.gaps) == 0 {
		return gap{}, false
	}
	return c.gaps[len(c.gaps)-1], true
}

// rowsVanished notes that rows vanished in the latest gap as they do when the store was down.
func (c *contact) rowsVanished() {
	if len(c.gaps) > 0 {
		c.gaps[len(c.gaps)-1].vanished = true
	}
}

// lastOutage returns the latest known outage; ok is false if there was none.
func (c *contact) lastOutage() (g gap, ok bool) {
	for _, g := range slices.Backward(c.gaps) {
		if c.isOutage(g) {
			return g, true
		}
	}
	return gap{}, false
}

// returnedAt returns when the store returned from its latest outage, as far as it is known; 0 if
// it had none.
func (c *contact) returnedAt() platform.StoreTime {
	g, _ := c.lastOutage()
	return g.until
}
