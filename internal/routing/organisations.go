package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/prefix"
)

const (
	// organisationLife is how long an organisation without requests counts
	// when slots are divided.
	organisationLife = 30 * time.Second
	// maxOrganisationsShared bounds what a daemon tells of organisations.
	maxOrganisationsShared = 16
	// overShareFrom is how many times its part of all slots an organisation
	// holds before it counts as exceeding its share.
	overShareFrom = 1.3
	// overSharePart is the part of an engine's slots up to which work beyond
	// an organisation's share starts; the rest is kept for the others.
	overSharePart = 0.7
)

// organisation is what the daemon knows of a customer's use of the engines.
type organisation struct {
	share int
	own   int
	peers int
	seen  time.Time
}

// organisations divides slots among customers by their shares.
type organisations struct {
	byHash map[uint64]*organisation
	shares int
	swept  time.Time
}

func (o *organisations) get(hash uint64) *organisation {
	if o.byHash == nil {
		o.byHash = map[uint64]*organisation{}
	}
	c := o.byHash[hash]
	if c == nil {
		c = &organisation{}
		o.byHash[hash] = c
	}
	return c
}

// arrived notes that an organisation is active and returns its hash.
func (o *organisations) arrived(now time.Time, name string, share int) uint64 {
	hash := prefix.NodeHash(name)
	c := o.get(hash)
	c.seen = now
	o.shares += max(1, share) - c.share
	c.share = max(1, share)
	o.sweep(now)
	return hash
}

// sweep forgets organisations that have been inactive for long.
func (o *organisations) sweep(now time.Time) {
	if now.Sub(o.swept) < organisationLife/4 {
		return
	}
	o.swept = now
	for hash, c := range o.byHash {
		if c.own+c.peers == 0 && now.Sub(c.seen) > organisationLife {
			o.shares -= c.share
			delete(o.byHash, hash)
		}
	}
}

// over reports whether an organisation holds more than its part of slots.
func (o *organisations) over(hash uint64, slots int) bool {
	c := o.byHash[hash]
	if c == nil || c.share == 0 || c.share == o.shares {
		return false
	}
	part := float64(c.share) / float64(o.shares) * float64(slots)
	return float64(c.own+c.peers) >= overShareFrom*part
}

// told returns the organisations with the most requests here.
func (o *organisations) told() []OrganisationLoad {
	var out []OrganisationLoad
	for hash, c := range o.byHash {
		if c.own > 0 {
			out = append(out, OrganisationLoad{Hash: hash, Requests: c.own})
		}
	}
	slices.SortFunc(out, func(a, b OrganisationLoad) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Hash, b.Hash))
	})
	return out[:min(len(out), maxOrganisationsShared)]
}

func (o *organisations) clearPeers() {
	for _, c := range o.byHash {
		c.peers = 0
	}
}

func (o *organisations) addPeer(loads []OrganisationLoad) {
	for _, l := range loads {
		o.get(l.Hash).peers += l.Requests
	}
}
