package wholepath

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/platform"
)

// documentBound is how long after the yes a document is in force everywhere.
const documentBound = 5 * time.Second

// accept submits a document at a daemon, which must say yes, and calls then.
func (c *cluster) accept(at, mark int, then func()) {
	c.t.Helper()
	based := c.revision(at)
	accepted, err := c.operator(at).Submit(c.t.Context(), modelService, clusterDocument(modelService, mark), based)
	then()
	assert.NilError(c.t, err)
	assert.Equal(c.t, accepted.Revision, based+1)
	took := c.await(documentBound, "the document is in force everywhere", func() bool {
		return c.revision(0) == based+1 && c.revision(1) == based+1 && c.revision(2) == based+1
	})
	c.t.Logf("revision %d in force everywhere %v after the yes", based+1, took)
}

func nothing() {}

// TestDocumentsInForceEverywhere accepts documents at each daemon while the
// platform or connections fail right after the yes or before it.
func TestDocumentsInForceEverywhere(t *testing.T) {
	for _, x := range []struct {
		name   string
		before func(*cluster)
		after  func(*cluster)
	}{
		{name: "nothing fails"},
		{name: "platform down after the yes", after: func(c *cluster) { c.platform.SetFaults(platform.Faults{Down: true}) }},
		{name: "platform silent after the yes", after: func(c *cluster) { c.platform.SetFaults(platform.Faults{Silent: true}) }},
		{name: "one cut off from its peers", before: func(c *cluster) { c.net.SetCut(fromPeers(2)) }},
		{name: "one cut off from the platform", before: func(c *cluster) { c.net.SetCut(fromPlatform(2)) }},
		{name: "one cut off from its peers, another from the platform", before: func(c *cluster) {
			peers, platform := fromPeers(2), fromPlatform(1)
			c.net.SetCut(func(from, to string) bool { return peers(from, to) || platform(from, to) })
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(_ *testing.T, c *cluster) {
				if x.before != nil {
					x.before(c)
					time.Sleep(time.Minute)
				}
				after := func() {
					if x.after != nil {
						x.after(c)
					}
				}
				for at := range clusterDaemons {
					if x.before != nil && at != 0 {
						break // a daemon that is cut off may refuse
					}
					c.accept(at, 10+at, after)
					c.platform.SetFaults(platform.Faults{})
					time.Sleep(10 * time.Second)
				}
			})
		})
	}
}

// fromPeers cuts a daemon off from its peers.
func fromPeers(i int) func(from, to string) bool {
	return func(from, to string) bool {
		return to == peers(i) || from == name(i) && (to == peers(0) || to == peers(1) || to == peers(2))
	}
}

// fromPlatform cuts a daemon off from the platform.
func fromPlatform(i int) func(from, to string) bool {
	return func(from, to string) bool { return from == name(i) && to == platformAddress }
}

// TestDocumentsSurviveRestartsWithoutTable restarts all daemons while the table
// is down and the object store is up.
func TestDocumentsSurviveRestartsWithoutTable(t *testing.T) {
	const bound = 15 * time.Second
	runCluster(t, func(t *testing.T, c *cluster) {
		for mark := range 4 {
			c.accept(mark%clusterDaemons, 20+mark, nothing)
		}
		want := c.revision(0)
		c.platform.SetFaults(platform.Faults{TableDown: true})
		for i := range clusterDaemons {
			c.stop(i)
		}
		for i := range clusterDaemons {
			c.start(i)
		}
		restarted := time.Now()
		for time.Since(restarted) < time.Minute {
			for i := range clusterDaemons {
				r := c.revision(i)
				assert.Assert(t, r == want || r == 0 && time.Since(restarted) < bound, "%s serves by revision %d %v after the restart, %d is in force", name(i), r, time.Since(restarted), want)
			}
			time.Sleep(conditionPoll)
		}
		_, err := c.ask(0, "Which blue?")
		assert.NilError(t, err)
		c.platform.SetFaults(platform.Faults{})
		time.Sleep(documentBound)
		c.accept(1, 30, nothing)
	})
}
