package mirror

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// stalenessFleets are fleets, all but the smallest with few readers, with the stated bounds of their
// deployments: how long a change may be missing at a daemon in contact, and how long one
// must have been in order to be in contact.
var stalenessFleets = []struct {
	size                 int
	maxAge, contactAfter time.Duration
}{
	{minFleet - 3, 2 * time.Second, 3 * time.Second},
	{minFleet, 2 * time.Second, 3 * time.Second},
	{60, 3 * time.Second, 4 * time.Second},
	{300, 3 * time.Second, 4 * time.Second},
}

// newsLog records when versions were written.
type newsLog struct {
	versions  []uint64
	writtenAt []time.Time
}

// due returns the newest version that was written at a time or before, 0 if there is none.
func (l *newsLog) due(at time.Time) uint64 {
	for i, t := range slices.Backward(l.writtenAt) {
		if !t.After(at) {
			return l.versions[i]
		}
	}
	return 0
}

// impairments are the faults of a reader that leave its followers in contact. The reader is
// impaired while the flag is set.
var impairments = map[string]func(*copyDaemon, bool){
	"the store leaves it unanswered": func(d *copyDaemon, on bool) { d.unanswered.Store(on) },
	"the store turns it away":        func(d *copyDaemon, on bool) { d.refused.Store(on) },
	"it is cut off":                  func(d *copyDaemon, on bool) { d.cutOff.Store(on) },
	"it stands still":                func(d *copyDaemon, on bool) { d.frozen.Store(on) },
	"its answers are slow": func(d *copyDaemon, on bool) {
		d.delay.Store(0)
		if on {
			d.delay.Store(int64(1200 * time.Millisecond))
		}
	},
}

// Guards against followers that take an open call of their reader for a proof that nothing
// changed: changes were missing for up to 3.3 s, with a bound of 2 s, when the store left
// the reader without answers.
func TestStalenessBoundWithoutTheReader(t *testing.T) {
	for name, impair := range impairments {
		for _, readers := range []int{1, 2} {
			for _, newsEvery := range []time.Duration{100 * time.Millisecond, 2300 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/%d readers/news every %s", name, readers, newsEvery), func(t *testing.T) {
					largest := 60
					if readers == 2 && newsEvery > time.Second {
						largest = 300
					}
					checkStaleness(t, largest, newsEvery, func(f *copyFleet) {
						for range 2 {
							impaired := f.ranked()[:readers]
							for _, d := range impaired {
								d.impair(impair, true)
							}
							time.Sleep(4 * time.Second)
							for _, d := range impaired {
								d.impair(impair, false)
							}
							time.Sleep(6 * time.Second)
						}
					})
				})
			}
		}
	}
}

// Guards against the same when the store leaves a third of the daemons without answers, its
// reader first.
func TestStalenessBoundWhileTheStoreLeavesAThirdUnanswered(t *testing.T) {
	checkStaleness(t, 300, 700*time.Millisecond, func(f *copyFleet) {
		for offset := range 3 {
			for i, d := range f.ranked() {
				d.impair(impairments["the store leaves it unanswered"], i%3 == offset)
			}
			time.Sleep(6 * time.Second)
			for _, d := range f.daemons {
				d.impair(impairments["the store leaves it unanswered"], false)
			}
			time.Sleep(6 * time.Second)
		}
	})
}

// Guards against calls to the store that grow with the fleet while its reader gets no answers.
func TestFewDaemonsReadTheStoreWithoutTheReader(t *testing.T) {
	const outage = 20 * time.Second
	countCalls := func(size int) (calls int64) {
		synctest.Test(t, func(t *testing.T) {
			f := newCopyFleet(t, size)
			f.start()
			time.Sleep(5 * time.Second)
			before := f.store.calls.Load()
			f.readers()[0].impair(impairments["the store leaves it unanswered"], true)
			time.Sleep(outage)
			calls = f.store.calls.Load() - before
			f.stopAll()
		})
		return calls
	}
	small, large := countCalls(60), countCalls(300)
	assert.Check(t, float64(small) <= maxSteadyReads*outage.Seconds()*testSites, "%d calls", small)
	assert.Check(t, large-small <= testSites, "%d calls at 60 daemons, %d at 300", small, large)
}

// impair sets or ends an impairment; the daemon is out of contact meanwhile.
func (d *copyDaemon) impair(set func(*copyDaemon, bool), on bool) {
	if on {
		d.impaired.Store(true)
	}
	set(d, on)
	if !on && d.impaired.Load() {
		d.inOrderSince.Store(time.Now().UnixNano()) // first: the check may run at any moment
		d.impaired.Store(false)
	}
}

// ranked returns the daemons in the order in which they are to read the store.
func (f *copyFleet) ranked() []*copyDaemon {
	var nodes []Node
	for _, d := range f.daemons {
		nodes = append(nodes, d.node)
	}
	var out []*copyDaemon
	for _, n := range (RankedSources{Global: len(nodes)}).Sources(Node{Name: "none"}, nodes) {
		out = append(out, f.daemons[slices.Index(nodes, n)])
	}
	for _, d := range f.daemons { // those behind the unknown node
		if !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// checkStaleness runs fleets of up to a size in which faults happen, and checks all the while
// that each daemon in contact knows the changes that were made before the stated bound.
func checkStaleness(t *testing.T, largest int, newsEvery time.Duration, faults func(f *copyFleet)) {
	for _, c := range stalenessFleets {
		if c.size > largest || testing.Short() && c.size > 60 {
			continue
		}
		t.Run(fmt.Sprint(c.size, " daemons"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCopyFleet(t, c.size)
				f.maxAge = c.maxAge
				f.start()
				time.Sleep(5 * time.Second)
				if c.size >= minFleet {
					assert.Equal(t, f.readers()[0], f.ranked()[0])
				}
				var done atomic.Bool
				go func() {
					faults(f)
					done.Store(true)
				}()
				var news newsLog
				late, worst := 0, time.Duration(0)
				for nextNews := time.Now(); !done.Load(); time.Sleep(20 * time.Millisecond) {
					now := time.Now()
					if !now.Before(nextNews) {
						f.store.write(fmt.Sprint("row ", len(news.versions)%50), false)
						news.versions, news.writtenAt = append(news.versions, f.store.version), append(news.writtenAt, now)
						nextNews = nextNews.Add(newsEvery)
					}
					due := news.due(now.Add(-c.maxAge))
					for _, d := range f.daemons {
						inContact := !d.impaired.Load() && now.Sub(time.Unix(0, d.inOrderSince.Load())) >= c.contactAfter
						if version := d.mirror.copyPosition(false).Version; inContact && version < due {
							late++
							missing := news.writtenAt[slices.IndexFunc(news.versions, func(v uint64) bool { return v > version })]
							worst = max(worst, now.Sub(missing))
						}
					}
				}
				assert.Check(t, late == 0, "changes were missing for up to %s, bound %s", worst, c.maxAge)
				for _, d := range f.daemons {
					d.mu.Lock()
					assert.Check(t, slices.IsSortedFunc(d.positions, comparePositions), "the version of %s went back", d.node.Name)
					d.mu.Unlock()
				}
				f.stopAll()
			})
		})
	}
}
