// Package descriptor keeps the connections of a process within a number of file
// descriptors. Where none is left, idle accepted connections are closed before new ones
// are refused, so that the connections that the process opens itself do not fail.
package descriptor

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrExhausted is the error of a connection attempt for which the Budget has no descriptor
// left and no idle connection to close.
var ErrExhausted = errors.New("no file descriptor is left")

// shortages are the errors of system calls that lack a resource of this process or machine.
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, ErrExhausted}

// IsShortage reports whether an error says that this process or its machine lacks
// descriptors, memory or local ports, which is no evidence about the other end.
func IsShortage(err error) bool { return errors.IsAny(err, shortages...) }

// Group is the connections of one listener.
type Group struct {
	// Name labels the group in logs and metrics.
	Name string
	// ReclaimOrder orders the groups whose idle connections may be closed, the lowest
	// first; 0 excludes the group. A connection is idle from its acceptance to its first
	// byte, and from MarkIdle to the next byte.
	ReclaimOrder int
	// UsesReserve lets the group take the descriptors that are kept for connections which
	// the process opens.
	UsesReserve bool
}

// Stats are the counters of a Budget.
type Stats struct {
	// Open counts the descriptors in use, Accepted those of them by group.
	Open     int
	Accepted map[string]int
	// Reclaimed counts the idle connections that were closed, Refused the accepted
	// connections that were closed unread, and Failed the failures to accept or connect.
	Reclaimed, Refused, Failed int64
	// LastCause is the last shortage.
	LastCause string
}

// Budget counts the descriptors of listeners and connections. It is safe for concurrent use.
type Budget struct {
	limit int

	mu      sync.Mutex
	reserve int
	open    int
	// own counts the descriptors of listeners, opened connections and groups that use the
	// reserve.
	own    int
	groups []*groupConns
	stats  Stats
}

// groupConns are the open connections of a group.
type groupConns struct {
	Group
	conns []*Conn
}

// NewBudget returns a Budget of limit descriptors; 0 or less means no limit.
func NewBudget(limit int) *Budget { return &Budget{limit: max(limit, 0)} }

// Limit returns the number of descriptors, 0 if there is no limit.
func (b *Budget) Limit() int { return b.limit }

// SetReserve sets how many descriptors are kept for connections that the process opens, at
// most half of all.
func (b *Budget) SetReserve(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = min(max(n, 0), b.limit/2)
}

// Stats returns a copy of the counters.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Open, s.Accepted = b.open, map[string]int{}
	for _, g := range b.groups {
		s.Accepted[g.Name] += len(g.conns)
	}
	return s
}

// take counts one more descriptor and closes idle connections to make room for it. It
// returns false if there is no room.
func (b *Budget) take(own bool) bool {
	for {
		b.mu.Lock()
		if b.hasRoom(own) {
			b.open++
			if own {
				b.own++
			}
			b.mu.Unlock()
			return true
		}
		victim := b.pickIdle()
		if victim == nil {
			b.stats.LastCause = ErrExhausted.Error()
		}
		b.mu.Unlock()
		if victim == nil {
			return false
		}
		victim.Close()
	}
}

// hasRoom reports whether a descriptor is left. b.mu must be held.
func (b *Budget) hasRoom(own bool) bool {
	switch {
	case b.limit == 0:
		return true
	case own:
		return b.open < b.limit
	default:
		return b.open-b.own+max(b.own, b.reserve) < b.limit
	}
}

func (b *Budget) release(own bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	if own {
		b.own--
	}
}

// reclaim closes an idle connection and reports whether there was one.
func (b *Budget) reclaim() bool {
	b.mu.Lock()
	victim := b.pickIdle()
	b.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.Close()
	return true
}

// pickIdle marks a random idle connection of the first group that has one as reclaimed. The
// longest idle one would be a bad choice: it is the next one to be used if callers use theirs
// at equal intervals. b.mu must be held.
func (b *Budget) pickIdle() *Conn {
	for _, g := range b.groups {
		if g.ReclaimOrder == 0 || len(g.conns) == 0 {
			continue
		}
		start := rand.IntN(len(g.conns))
		for i := range g.conns {
			c := g.conns[(start+i)%len(g.conns)]
			if c.markReclaimed() {
				b.stats.Reclaimed++
				return c
			}
		}
	}
	return nil
}

// recordFailure counts a failure to accept or to connect for lack of a resource.
func (b *Budget) recordFailure(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Failed++
	b.stats.LastCause = err.Error()
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns dial within the budget. Where descriptors are short, it closes idle
// connections; if there are none, it fails with an error for which IsShortage holds, and
// nothing was sent.
func (b *Budget) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !b.take(true) {
			b.recordFailure(ErrExhausted)
			return nil, errors.Wrapf(ErrExhausted, "connect to %s", address)
		}
		conn, err := dial(ctx, network, address)
		if IsShortage(err) {
			b.recordFailure(err)
			if b.reclaim() {
				conn, err = dial(ctx, network, address)
			}
		}
		if err != nil {
			b.release(true)
			return nil, err
		}
		return newDialedConn(conn, func() { b.release(true) }), nil
	}
}

// add admits an accepted connection; it returns nil if there is no room.
func (b *Budget) add(g *groupConns, raw net.Conn) *Conn {
	if !b.take(g.UsesReserve) {
		b.mu.Lock()
		b.stats.Refused++
		b.mu.Unlock()
		return nil
	}
	c := &Conn{Conn: raw, budget: b, group: g}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.index = len(g.conns)
	g.conns = append(g.conns, c)
	return c
}

func (b *Budget) remove(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	if c.group.UsesReserve {
		b.own--
	}
	list := c.group.conns
	last := list[len(list)-1]
	list[c.index], last.index = last, c.index
	list[len(list)-1] = nil
	c.group.conns = list[:len(list)-1]
}

// addGroup registers a group and keeps the groups in the order of reclaiming.
func (b *Budget) addGroup(g Group) *groupConns {
	conns := &groupConns{Group: g}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.groups = append(b.groups, conns)
	slices.SortStableFunc(b.groups, func(x, y *groupConns) int { return x.ReclaimOrder - y.ReclaimOrder })
	return conns
}
