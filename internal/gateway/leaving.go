package gateway

import (
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/internal/fleet"
)

// leavingRetention is how long it is remembered that an upstream leaves after its
// registration disappeared: it may come back after a failure of the store. By then
// the upstream has exited.
const leavingRetention = 10 * time.Minute

// upstreamStart identifies one start of an upstream's process.
type upstreamStart struct {
	id        string
	startedAt int64
}

func startOf(u *fleet.Registration) upstreamStart { return upstreamStart{u.ID, u.StartedAt} }

// leavingUpstreams are the upstreams that said in a response that they leave. Their
// registrations say so later or never. It is safe for concurrent use.
type leavingUpstreams struct {
	mu sync.Mutex
	// goneSince holds when the registration of each was first seen missing; zero while
	// it is present.
	goneSince map[upstreamStart]time.Time
}

// add adds an upstream and reports whether it is new.
func (l *leavingUpstreams) add(k upstreamStart) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.goneSince[k]; known {
		return false
	}
	if l.goneSince == nil {
		l.goneSince = map[upstreamStart]time.Time{}
	}
	l.goneSince[k] = time.Time{}
	return true
}

func (l *leavingUpstreams) contains(k upstreamStart) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.goneSince[k]
	return known
}

// prune removes the upstreams whose registrations have been missing for
// leavingRetention.
func (l *leavingUpstreams) prune(now time.Time, registered []fleet.Registration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.goneSince) == 0 {
		return
	}
	present := make(map[upstreamStart]bool, len(registered))
	for i := range registered {
		present[startOf(&registered[i])] = true
	}
	for k, since := range l.goneSince {
		switch {
		case present[k]:
			l.goneSince[k] = time.Time{}
		case since.IsZero():
			l.goneSince[k] = now
		case now.Sub(since) > leavingRetention:
			delete(l.goneSince, k)
		}
	}
}

// recordLeaving applies an upstream's own word, in a response, that it leaves.
func (d *Daemon) recordLeaving(u *fleet.Registration) {
	if !d.view.leaving.add(startOf(u)) {
		return
	}
	d.log.Emit(eventlog.UpstreamLeaving, eventlog.Fields{Service: u.Service, Upstream: u.ID, Detail: "its own response says so"})
	d.updateServices()
}
