package gateway

import (
	"context"
	"sync"
	"time"
)

// delayQueue holds keys until they are due. It is safe for concurrent use.
type delayQueue[K comparable] struct {
	mu   sync.Mutex
	due  map[K]time.Time
	wake chan struct{}
}

func newDelayQueue[K comparable]() *delayQueue[K] {
	return &delayQueue[K]{due: map[K]time.Time{}, wake: make(chan struct{}, 1)}
}

// add queues a key until a time.
func (q *delayQueue[K]) add(key K, at time.Time) {
	q.mu.Lock()
	q.due[key] = at
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// takeDue removes and returns the keys that are due, and returns when the next one is;
// next is zero if there is none.
func (q *delayQueue[K]) takeDue(now time.Time) (due []K, next time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for key, at := range q.due {
		switch {
		case !at.After(now):
			due = append(due, key)
			delete(q.due, key)
		case next.IsZero() || at.Before(next):
			next = at
		}
	}
	return due, next
}

// run calls fn with each key when it is due, until ctx ends.
func (q *delayQueue[K]) run(ctx context.Context, fn func(K)) error {
	timer := time.NewTimer(time.Nanosecond)
	defer timer.Stop()
	for {
		due, next := q.takeDue(time.Now())
		for _, key := range due {
			fn(key)
		}
		var timeout <-chan time.Time
		if !next.IsZero() {
			timer.Reset(max(time.Until(next), time.Nanosecond))
			timeout = timer.C
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.wake:
		case <-timeout:
		}
	}
}
