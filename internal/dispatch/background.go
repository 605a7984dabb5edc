package dispatch

import "sync"

// backgroundTasks tracks goroutines that may outlive the call that started them.
type backgroundTasks struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// start runs fn in a goroutine. One started after close is not waited for.
func (b *backgroundTasks) start(fn func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		go fn()
		return
	}
	b.group.Go(fn)
}

// close stops the tracking of new goroutines and reports whether this was the
// first call.
func (b *backgroundTasks) close() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := !b.closed
	b.closed = true
	return first
}

func (b *backgroundTasks) wait() { b.group.Wait() }
