package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// organisationIdleTimeout is how long after its last request an organisation
	// still counts when slots are divided.
	organisationIdleTimeout = 30 * time.Second
	// maxOrganisationsShared bounds the organisations whose load is shared with peers.
	maxOrganisationsShared = 16
	// overShareFactor is how many times its fair number of slots an organisation
	// must hold to count as exceeding its share.
	overShareFactor = 1.3
	// overShareSlotFraction is the fraction of an engine's slots that may be taken
	// when an organisation beyond its share starts work; the rest is headroom for
	// the others.
	overShareSlotFraction = 0.7
)

// organisation is the daemon's view of one organisation's use of the engines.
type organisation struct {
	share        int
	ownAttempts  int
	peerRequests int
	lastArrival  time.Time
}

// organisations divides slots among organisations in proportion to their shares.
type organisations struct {
	byHash      map[uint64]*organisation
	totalShares int
	lastSweep   time.Time
}

func (o *organisations) get(hash uint64) *organisation {
	if o.byHash == nil {
		o.byHash = map[uint64]*organisation{}
	}
	org := o.byHash[hash]
	if org == nil {
		org = &organisation{}
		o.byHash[hash] = org
	}
	return org
}

// recordArrival records a request of an organisation and returns the hash of its name.
func (o *organisations) recordArrival(now time.Time, name string, share int) uint64 {
	hash := prefix.NodeHash(name)
	org := o.get(hash)
	org.lastArrival = now
	o.totalShares += max(1, share) - org.share
	org.share = max(1, share)
	o.sweep(now)
	return hash
}

// sweep deletes organisations that have been idle for organisationIdleTimeout.
func (o *organisations) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < organisationIdleTimeout/4 {
		return
	}
	o.lastSweep = now
	for hash, org := range o.byHash {
		if org.ownAttempts+org.peerRequests == 0 && now.Sub(org.lastArrival) > organisationIdleTimeout {
			o.totalShares -= org.share
			delete(o.byHash, hash)
		}
	}
}

// exceedsShare reports whether an organisation holds at least overShareFactor times
// its fair number of slots. The only active organisation never exceeds its share.
func (o *organisations) exceedsShare(hash uint64, slots int) bool {
	org := o.byHash[hash]
	if org == nil || org.share == 0 || org.share == o.totalShares {
		return false
	}
	fairSlots := float64(org.share) / float64(o.totalShares) * float64(slots)
	return float64(org.ownAttempts+org.peerRequests) >= overShareFactor*fairSlots
}

// busiest returns the organisations with the most attempts of this daemon.
func (o *organisations) busiest() []OrganisationLoad {
	var out []OrganisationLoad
	for hash, org := range o.byHash {
		if org.ownAttempts > 0 {
			out = append(out, OrganisationLoad{Hash: hash, Requests: org.ownAttempts})
		}
	}
	slices.SortFunc(out, func(a, b OrganisationLoad) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Hash, b.Hash))
	})
	return out[:min(len(out), maxOrganisationsShared)]
}

func (o *organisations) clearPeers() {
	for _, org := range o.byHash {
		org.peerRequests = 0
	}
}

func (o *organisations) addPeer(loads []OrganisationLoad) {
	for _, l := range loads {
		o.get(l.Hash).peerRequests += l.Requests
	}
}
