package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/gossip"
)

const (
	// revisionFactID is the ID of the gossip.KindStateRevision fact.
	revisionFactID = "state"
	// revisionTTL is how long peers can learn of a revision. It exceeds the duration
	// of a long poll, after which they read it anyway.
	revisionTTL = time.Minute
	// A daemon whose long poll does not deliver what a peer knows reads the operators'
	// rows after minRecheckDelay and a random part of the spread, which grows with the
	// number of daemons, in case the store is late for many.
	minRecheckDelay        = 300 * time.Millisecond
	recheckSpreadPerDaemon = 10 * time.Millisecond
	maxRecheckSpread       = 700 * time.Millisecond
)

// operatorNews is what a peer knows of the operators' rows: a goal version of a model
// or, where model is empty, the revision of the desired state.
type operatorNews struct {
	model  string
	number uint64
}

func (n operatorNews) String() string {
	if n.model == "" {
		return fmt.Sprintf("revision %d", n.number)
	}
	return fmt.Sprintf("%s version %d", n.model, n.number)
}

// hearNews queues a check of whether this daemon has read what a peer knows. Each news
// is checked at most once.
func (d *Daemon) hearNews(n operatorNews) {
	if d.hasRead(n) {
		return
	}
	d.view.mu.Lock()
	if d.view.news == nil {
		d.view.news = map[string]uint64{}
	}
	isNews := n.number > d.view.news[n.model]
	if isNews {
		d.view.news[n.model] = n.number
	}
	d.view.mu.Unlock()
	if isNews {
		spread := min(time.Duration(d.daemonCount())*recheckSpreadPerDaemon, maxRecheckSpread)
		d.newsQueue.add(n, time.Now().Add(minRecheckDelay+rand.N(spread)))
	}
}

// daemonCount returns the number of daemons, including this one.
func (d *Daemon) daemonCount() int { return 1 + len(d.gossipNode.Peers()) }

// hasRead reports whether this daemon has read news, or newer ones, itself.
func (d *Daemon) hasRead(n operatorNews) bool {
	if n.model == "" {
		table := d.view.table.Load()
		return table != nil && table.Revision >= n.number
	}
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	return uint64(d.view.goalHistory(n.model).Version()) >= n.number
}

// checkNews reads the operators' rows when peers know newer ones: the store's response
// to this daemon's long poll may have been lost. It returns when ctx ends.
func (d *Daemon) checkNews(ctx context.Context) error {
	return d.newsQueue.run(ctx, func(n operatorNews) {
		if d.hasRead(n) {
			return
		}
		d.log.Emit(eventlog.OperatorRowsLate, eventlog.Fields{Detail: n.String()})
		d.operatorMirror.Recheck()
	})
}

// queueRevision queues a revision that came into force, to be shared with peers.
func (d *Daemon) queueRevision(revision uint64) {
	d.revisionQueue.add(revision, time.Now().Add(goalDelay(d.daemonCount())))
}

// publishRevisions publishes the queued revisions until ctx ends.
func (d *Daemon) publishRevisions(ctx context.Context) error {
	return d.revisionQueue.run(ctx, d.publishRevision)
}

// publishRevision tells peers the revision in force, unless a fact that says as much is
// known. One fact serves the whole fleet.
func (d *Daemon) publishRevision(revision uint64) {
	known := slices.ContainsFunc(d.gossipNode.Facts(gossip.KindStateRevision), func(f gossip.Fact) bool { return f.Version >= revision })
	if known || revision == 0 { // gossip replaces version 0
		return
	}
	d.gossipNode.Publish(gossip.Fact{Kind: gossip.KindStateRevision, ID: revisionFactID, Version: revision, TTL: revisionTTL})
}

// receiveRevision applies the revision that is in force at a peer.
func (d *Daemon) receiveRevision(f gossip.Fact) { d.hearNews(operatorNews{number: f.Version}) }
