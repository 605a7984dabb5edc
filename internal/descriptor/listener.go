package descriptor

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
)

// acceptBackoff is the backoff after a failure to accept.
var acceptBackoff = backoff.Policy{Min: 5 * time.Millisecond, Max: 100 * time.Millisecond}

// passingErrors are the errors of accept(2), apart from shortages, that say nothing of the
// listener: a connection was aborted, or its network has an error pending.
var passingErrors = []error{
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.EPERM, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.ETIMEDOUT,
}

// Listener accepts connections within a Budget.
type Listener struct {
	net.Listener
	budget *Budget
	group  *groupConns
	once   sync.Once
	closed chan struct{}
}

// Listen wraps a listener, whose own descriptor counts too. The connections are *Conn.
func (b *Budget) Listen(l net.Listener, g Group) *Listener {
	b.mu.Lock()
	b.open++
	b.own++
	b.mu.Unlock()
	return &Listener{Listener: l, budget: b, group: b.addGroup(g), closed: make(chan struct{})}
}

// Accept implements net.Listener. It waits while resources are short and refuses
// connections for which the Budget has no room; it fails only if the listener does.
func (l *Listener) Accept() (net.Conn, error) {
	for failures := 0; ; {
		raw, err := l.Listener.Accept()
		switch {
		case err == nil:
			if c := l.budget.add(l.group, raw); c != nil {
				return c, nil
			}
			raw.Close()
			continue
		case IsShortage(err):
			l.budget.recordFailure(err)
			l.budget.reclaim()
		case !errors.IsAny(err, passingErrors...):
			return nil, err
		}
		if !l.pause(acceptBackoff.Delay(failures)) {
			return nil, net.ErrClosed
		}
		failures++
	}
}

// pause waits; it returns false if the listener is closed.
func (l *Listener) pause(d time.Duration) bool {
	timer := time.NewTimer(max(d, time.Nanosecond))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.once.Do(func() {
		close(l.closed)
		l.budget.release(true)
	})
	return err
}
