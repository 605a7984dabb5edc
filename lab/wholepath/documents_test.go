package wholepath

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/lab/platform"
)

// documentPropagationBound is the time after acceptance in which a document comes
// into force at all daemons.
const documentPropagationBound = 5 * time.Second

// submitDocument submits a document at a daemon, which must accept it, calls
// afterAcceptance and waits until the document is in force everywhere.
func (c *cluster) submitDocument(daemon, retryPercent int, afterAcceptance func()) {
	c.t.Helper()
	baseRevision := c.revision(daemon)
	accepted, err := c.operator(daemon).Submit(c.t.Context(), modelService, clusterDocument(modelService, retryPercent), baseRevision)
	afterAcceptance()
	assert.NilError(c.t, err)
	assert.Equal(c.t, accepted.Revision, baseRevision+1)
	took := c.await(documentPropagationBound, "the document is in force everywhere", func() bool {
		return c.revision(0) == baseRevision+1 && c.revision(1) == baseRevision+1 && c.revision(2) == baseRevision+1
	})
	c.t.Logf("revision %d in force everywhere %v after acceptance", baseRevision+1, took)
}

func noop() {}

// TestAcceptedDocumentReachesAllDaemons submits documents while the platform or
// connections fail right after the acceptance or before it.
func TestAcceptedDocumentReachesAllDaemons(t *testing.T) {
	for _, x := range []struct {
		name   string
		before func(*cluster)
		after  func(*cluster)
	}{
		{name: "nothing fails"},
		{name: "platform down after acceptance", after: func(c *cluster) { c.platform.SetFaults(platform.Faults{Down: true}) }},
		{name: "platform unresponsive after acceptance", after: func(c *cluster) { c.platform.SetFaults(platform.Faults{Silent: true}) }},
		{name: "one cut off from its peers", before: func(c *cluster) { c.net.SetPartition(partitionFromPeers(2)) }},
		{name: "one cut off from the platform", before: func(c *cluster) { c.net.SetPartition(partitionFromPlatform(2)) }},
		{name: "one cut off from its peers, another from the platform", before: func(c *cluster) {
			peers, platform := partitionFromPeers(2), partitionFromPlatform(1)
			c.net.SetPartition(func(from, to string) bool { return peers(from, to) || platform(from, to) })
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
					c.submitDocument(at, 10+at, after)
					c.platform.SetFaults(platform.Faults{})
					time.Sleep(10 * time.Second)
				}
			})
		})
	}
}

// partitionFromPeers returns a partition between a daemon and its peers.
func partitionFromPeers(i int) func(from, to string) bool {
	return func(from, to string) bool {
		return to == peerAddress(i) || from == daemonName(i) && (to == peerAddress(0) || to == peerAddress(1) || to == peerAddress(2))
	}
}

// partitionFromPlatform returns a partition that separates a daemon from the
// platform.
func partitionFromPlatform(i int) func(from, to string) bool {
	return func(from, to string) bool { return from == daemonName(i) && to == platformAddress }
}

// TestDocumentsSurviveRestartsWithoutTable restarts all daemons while the table
// is down and the object store is up.
func TestDocumentsSurviveRestartsWithoutTable(t *testing.T) {
	const bound = 15 * time.Second
	runCluster(t, func(t *testing.T, c *cluster) {
		for submission := range 4 {
			c.submitDocument(submission%clusterDaemons, 20+submission, noop)
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
				assert.Assert(t, r == want || r == 0 && time.Since(restarted) < bound, "%s serves by revision %d %v after the restart, %d is in force", daemonName(i), r, time.Since(restarted), want)
			}
			time.Sleep(pollInterval)
		}
		_, err := c.ask(0, "Which blue?")
		assert.NilError(t, err)
		c.platform.SetFaults(platform.Faults{})
		time.Sleep(documentPropagationBound)
		c.submitDocument(1, 30, noop)
	})
}
