package dispatch

import "sync"

// background counts goroutines that outlive the call that started them.
type background struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// start runs fn. After close nobody waits for it.
func (b *background) start(fn func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		go fn()
		return
	}
	b.group.Go(fn)
}

// close ends the counting and reports whether it was the first call.
func (b *background) close() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := !b.closed
	b.closed = true
	return first
}

func (b *background) wait() { b.group.Wait() }
