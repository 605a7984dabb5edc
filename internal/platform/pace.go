package platform

import (
	"context"
	"sync"
	"time"

	"github.com/verbenabend/verbenabend/internal/backoff"
)

const (
	// paceInterval is the interval between a daemon's background calls after an outage. Lease,
	// documents, instance list, prompt parts, outcomes and sweep each limit their own rate; their
	// sum reached 7 calls in a second.
	paceInterval = 250 * time.Millisecond
	// paceDuration is how long background calls are paced after the last failed call. Outcomes
	// that wait for the platform are recorded within 90 s.
	paceDuration = 2 * time.Minute
	// maxForegroundDelay bounds by how much calls for callers and operators delay background calls.
	maxForegroundDelay = time.Second
)

type backgroundKey struct{}

// WithBackground marks the calls made with a context as background calls: nobody waits for
// their result, so Pace may delay them.
func WithBackground(ctx context.Context) context.Context {
	return context.WithValue(ctx, backgroundKey{}, true)
}

// Pace spaces all background calls of a daemon to the platform during an outage and for
// paceDuration after it, so that daemons do not overload a platform that returns. Other calls
// are never delayed, but delay background calls. The zero value is ready to use.
type Pace struct {
	mu sync.Mutex
	// until is the end of the pacing; next is when the next background call may start.
	until, next time.Time
}

// Wait delays a background call until it may start. It returns ctx's error if ctx ends first.
func (p *Pace) Wait(ctx context.Context) error {
	return backoff.Sleep(ctx, p.reserve(time.Now(), ctx.Value(backgroundKey{}) != nil))
}

// reserve returns how long a call at now has to wait.
func (p *Pace) reserve(now time.Time, background bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.until) {
		return 0
	}
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	if background {
		p.next = p.next.Add(paceInterval)
		return wait
	}
	if wait < maxForegroundDelay {
		p.next = p.next.Add(paceInterval)
	}
	return 0
}

// RecordFailure starts or extends the pacing after a call that the platform did not serve.
func (p *Pace) RecordFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(paceDuration)
}
