package forward

import (
	"slices"
	"time"

	"github.com/verbenabend/verbenabend/internal/fleet"
)

// An upstream that stops responding may have crashed, with its machine, or be cut off. The next
// registration tells: after a crash it is that of another process.

const (
	// lostMemory is how long after it stopped responding an upstream's next process counts as
	// proof of a crash.
	lostMemory = time.Minute
	// maxLostProcesses and maxLostRequests bound what is remembered, and of each process.
	maxLostProcesses = 256
	maxLostRequests  = 256
)

// lostProcess is a process of an upstream that stopped responding.
type lostProcess struct{ id, process string }

type lostRequests struct {
	service, address string
	// aliveAt is when the process last showed a sign of life, or was sent a request: upstreams
	// that are lost together stop at about the same time, whenever that is found out.
	aliveAt, lostAt time.Time
	requests        []RunningRequest
}

// recordLost records a request at a process that stopped responding.
func (l *Liveness) recordLost(id, process string, r RunningRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.upstreams[id]
	if h == nil {
		return
	}
	key := lostProcess{id, process}
	x := l.lost[key]
	if x == nil {
		if len(l.lost) >= maxLostProcesses {
			return
		}
		x = &lostRequests{service: h.service, address: h.address, aliveAt: h.lastByteAt, lostAt: time.Now()}
		l.lost[key] = x
	}
	if len(x.requests) < maxLostRequests {
		x.aliveAt = latest(x.aliveAt, r.SentAt)
		x.requests = append(x.requests, r)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// clearLost forgets the lost requests that equal one that ran to its end.
func (l *Liveness) clearLost(fingerprint func() string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lost) == 0 {
		return
	}
	f := fingerprint()
	for key, x := range l.lost {
		x.requests = slices.DeleteFunc(x.requests, func(r RunningRequest) bool { return r.Fingerprint == f })
		if len(x.requests) == 0 {
			delete(l.lost, key)
		}
	}
}

// Observe compares the processes that stopped responding with the registered upstreams, and reports
// the crash of those that have a successor: another process of the upstream, or one of its service at
// its address.
func (l *Liveness) Observe(snapshot *fleet.RegistrySnapshot) {
	now := time.Now()
	crashed := map[lostProcess]*lostRequests{}
	l.mu.Lock()
	for key, x := range l.lost {
		switch {
		case x.hasSuccessor(key, snapshot):
			crashed[key] = x
			delete(l.lost, key)
		case now.Sub(x.lostAt) > lostMemory:
			delete(l.lost, key)
		}
	}
	l.mu.Unlock()
	for key, x := range crashed {
		if l.onLostCrash != nil {
			l.onLostCrash(key.id, key.process, x.aliveAt, x.requests)
		}
	}
}

func (x *lostRequests) hasSuccessor(key lostProcess, snapshot *fleet.RegistrySnapshot) bool {
	if u := snapshot.ByID[key.id]; u != nil && u.Address == x.address {
		return u.Process() != key.process
	}
	return slices.ContainsFunc(snapshot.ByService[x.service], func(u *fleet.Registration) bool { return u.Address == x.address && u.ID != key.id })
}
